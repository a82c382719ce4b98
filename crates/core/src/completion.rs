//! Decision logic of the completion interface: sessions, calls with tickets, and their placement.

pub(crate) mod backend_registry;
pub(crate) mod backend_view;
pub(crate) mod call_run;
pub(crate) mod command;
pub(crate) mod control;
pub(crate) mod cursor;
pub(crate) mod event;
pub(crate) mod outcome;
pub(crate) mod router;
pub(crate) mod session;
pub(crate) mod stall_bound;
pub(crate) mod ticket;
pub(crate) mod ticket_store;
