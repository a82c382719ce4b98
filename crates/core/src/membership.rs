//! Membership of the fleet: which other instances are live, in which order and with what delay
//! their messages arrive, and the load that they have placed on backend servers.

pub(crate) mod delay_estimate;
pub(crate) mod detour_peers;
pub(crate) mod fleet_members;
pub(crate) mod hybrid_clock;
pub(crate) mod keyring;
pub(crate) mod load_share;
pub(crate) mod message_order;
pub(crate) mod peer_guard;
pub(crate) mod peer_loads;
pub(crate) mod peer_totals;
pub(crate) mod rendezvous;
pub(crate) mod totals;
