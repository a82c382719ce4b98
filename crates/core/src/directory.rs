//! The data that the platform's directory publishes: which instances read it and when, the
//! lists of servers, instances and evacuations, and their revisions.

pub(crate) mod instance_list;
pub(crate) mod known_versions;
pub mod read_timing;
pub(crate) mod reader_ranking;
pub(crate) mod replica;
pub(crate) mod replica_list;
pub(crate) mod replica_view;
pub(crate) mod revision;
pub(crate) mod watch_cycle;
pub(crate) mod zone_evacuations;
