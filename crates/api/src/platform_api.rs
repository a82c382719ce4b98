//! The platform's interface: configuration and instance list, read only.
//!
//! `GET /config?after=VERSION&wait_ms=N` answers when a version other than
//! `after` is there, or 304 when the wait is over; `GET /instances` likewise.

use iristhread_core::ConfigVersion;
use iristhread_core::InstanceEntry;
use serde::Deserialize;
use serde::Serialize;

/// A version of the configuration as the platform serves it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Grows with each publication.
    pub version: ConfigVersion,
    /// The document; unchecked.
    pub document: serde_json::Value,
}

/// The instance list as the platform serves it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstancesReply {
    /// Grows with each change.
    pub version: u64,
    /// The list.
    pub entries: Vec<InstanceEntry>,
}

/// Faults of the platform stand-in, set by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answer every read with 503.
    pub outage: bool,
    /// Serve this older version instead of the newest.
    pub stale_version: Option<ConfigVersion>,
}

/// Reads counted by the platform stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadCount {
    /// Reads and watches since it started.
    pub reads: u64,
    /// Those refused because the budget of a second was spent.
    pub refused: u64,
    /// Watches that wait now.
    pub waiting: u64,
}
