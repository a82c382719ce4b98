//! The configuration that operators publish: its documents, their validation and version order,
//! and the routing of requests.

pub(crate) mod config_lag;
pub(crate) mod config_order;
pub(crate) mod document;
pub(crate) mod document_check;
pub(crate) mod gateway_config;
pub(crate) mod key_index;
pub(crate) mod route_table;
