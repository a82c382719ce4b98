//! The entry of a backend server in the directory.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendId;
use crate::IncarnationId;
use crate::ZoneId;
use crate::membership::rendezvous::weight;

/// One incarnation of a backend server. A restart begins a new incarnation, which may have the
/// same id, and an address may later belong to a replica of another service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Id of the server; it may stay the same across a restart.
    pub id: BackendId,
    /// Start time of this incarnation, in milliseconds since 1970; `None` if the platform does
    /// not publish it.
    pub born_ms: Option<u64>,
    /// Name of the service that it runs.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: ZoneId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining: it receives no new work.
    pub leaving: bool,
    /// Remaining warm-up time when the entry was written. After a start, and sometimes later,
    /// the server is slow and can handle few requests.
    pub warm_up: Duration,
}

/// Identifies one incarnation of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLife {
    /// Id of the server.
    pub id: BackendId,
    /// Identifies the incarnation.
    pub life: IncarnationId,
}

impl Replica {
    /// Returns the key of this incarnation, for updates about it.
    pub fn server_life(&self) -> ServerLife {
        ServerLife {
            id: self.id.clone(),
            life: self.life(),
        }
    }

    /// Whether two entries are of the same incarnation at the same address. Without start times an
    /// id at another address is another server.
    pub fn is_same_server(&self, other: &Replica) -> bool {
        self.life() == other.life() && self.address == other.address
    }

    /// Returns an identifier of this incarnation, derived from the id and the start time.
    pub fn life(&self) -> IncarnationId {
        let born = self.born_ms.map_or(String::new(), |born| born.to_string());
        weight(&self.id, &born)
    }
}
