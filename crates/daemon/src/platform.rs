//! Reads and watches the platform, for the completion interface.

pub(crate) mod platform_port;
pub(crate) mod platform_reader;
