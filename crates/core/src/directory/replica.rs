//! One backend server as the platform lists it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendId;
use crate::IncarnationId;
use crate::ZoneId;
use crate::membership::rendezvous::weight;

/// One life of a backend server. A restart is another life, at times under the same id,
/// and an address may later belong to a replica of another service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Names it; at times kept over a restart.
    pub id: BackendId,
    /// When this life began, in milliseconds since 1970; `None` where the platform does
    /// not tell.
    pub born_ms: Option<u64>,
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

/// A backend server in one of its lives.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerLife {
    /// Its name.
    pub id: BackendId,
    /// Which life.
    pub life: IncarnationId,
}

impl Replica {
    /// This life of it, for news about it.
    pub fn server_life(&self) -> ServerLife {
        ServerLife {
            id: self.id.clone(),
            life: self.life(),
        }
    }

    /// Identifies this life of it.
    pub fn life(&self) -> IncarnationId {
        let born = self.born_ms.map_or(String::new(), |born| born.to_string());
        weight(&self.id, &born)
    }
}
