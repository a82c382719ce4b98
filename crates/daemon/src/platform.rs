//! The platform of the completion interface, which is read and watched.

pub(crate) mod platform_port;
pub(crate) mod platform_reader;
