//! What a process holds in memory for others, and the budget that it stays within.

pub(crate) mod held_memory;
pub(crate) mod memory_budget;
pub(crate) mod memory_turnover;
