//! Messages of the platform interface: the configuration and the instance list, both read-only.
//!
//! `GET /config?after=VERSION&wait_ms=N` is a long poll: it returns the configuration once its
//! version differs from `after`, or 304 after `wait_ms`. `GET /instances` works the same way.

use iristhread_core::ConfigVersion;
use iristhread_core::InstanceEntry;
use serde::Deserialize;
use serde::Serialize;

/// Response body of `GET /config`: one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigReply {
    /// Version; increases with each publication.
    pub version: ConfigVersion,
    /// Configuration document, not validated yet.
    pub document: serde_json::Value,
}

/// Response body of `GET /instances`: the instance list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstancesReply {
    /// Version; increases with each change.
    pub version: u64,
    /// Entries of the list.
    pub entries: Vec<InstanceEntry>,
}

/// Faults of the platform stand-in, set by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Refuse every read with 503.
    pub outage: bool,
    /// Serve this older version instead of the newest.
    pub stale_version: Option<ConfigVersion>,
}

/// Read counts of the platform stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadCount {
    /// Reads and watches since the stand-in started.
    pub reads: u64,
    /// Reads refused because the budget of the current second was spent.
    pub refused: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
}
