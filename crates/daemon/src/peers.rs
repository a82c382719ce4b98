//! Communication between instances: heartbeats over UDP, and signed requests over JSON-RPC.

pub(crate) mod fleet_link;
pub(crate) mod heartbeat;
pub(crate) mod heartbeat_relay;
pub(crate) mod packed;
pub(crate) mod peer_answers;
pub(crate) mod peer_exchanger;
pub(crate) mod peer_message;
pub(crate) mod peer_port;
pub(crate) mod peer_server;
