//! One backend server as the platform lists it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendId;
use crate::ZoneId;

/// One life of a backend server: a restart is another replica, and an address
/// may later belong to a replica of another service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Identifies this life of the process.
    pub id: BackendId,
    /// The service that it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: ZoneId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving: no new work goes there.
    pub leaving: bool,
    /// How much longer it is cold, when this was written: after a start, and at times
    /// later, it is slow and bears few requests.
    pub warm_up: Duration,
}
