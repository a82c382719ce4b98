//! The other instances: who is there, in which order and how late their messages come, what they
//! have put on backend servers.

pub(crate) mod delay_estimate;
pub(crate) mod fleet_members;
pub(crate) mod hybrid_clock;
pub(crate) mod keyring;
pub(crate) mod load_share;
pub(crate) mod message_order;
pub(crate) mod peer_guard;
pub(crate) mod peer_loads;
pub(crate) mod rendezvous;
