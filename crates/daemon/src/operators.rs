//! The API for operators: resources with their declared and observed state.

pub(crate) mod fleet;
pub(crate) mod operator_api;
pub(crate) mod resource_builder;
pub(crate) mod resource_log;
