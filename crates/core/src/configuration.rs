//! What operators declare: its documents, their check and order, and the route of a request.

pub(crate) mod config_lag;
pub(crate) mod config_order;
pub(crate) mod document;
pub(crate) mod document_check;
pub(crate) mod gateway_config;
pub(crate) mod key_index;
pub(crate) mod route_table;
