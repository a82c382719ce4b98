//! Code that every daemon process needs: clocks, settings files, logs, metrics, HTTP connections.

pub(crate) mod answered;
pub(crate) mod claimed_body;
pub(crate) mod claimed_buffer;
pub(crate) mod clock;
pub(crate) mod connection_memory;
pub(crate) mod control_sender;
pub(crate) mod gated_listener;
pub(crate) mod http_server;
pub(crate) mod log_limit;
pub(crate) mod logging;
pub(crate) mod memory;
pub(crate) mod metrics;
pub(crate) mod read_permit;
pub(crate) mod settings_file;
pub(crate) mod settings_reader;
pub(crate) mod thread_lag;
pub(crate) mod whole_line_writer;
