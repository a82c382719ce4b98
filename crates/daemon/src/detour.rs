//! Paths to backend servers: the direct one, and a detour through one peer while this instance
//! reaches no server of a service itself.

pub(crate) mod carried_end;
pub(crate) mod carried_stream;
pub(crate) mod detour_client;
pub(crate) mod detour_message;
pub(crate) mod detour_server;
pub(crate) mod keep_alive;
pub(crate) mod known_servers;
pub(crate) mod link_prober;
pub(crate) mod reach;
pub(crate) mod server_dialer;
