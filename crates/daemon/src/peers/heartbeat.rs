//! What instances tell each other several times a second, and the datagrams that
//! carry it.

use std::net::SocketAddr;
use std::time::Duration;

use iristhread_core::AdvertisedEvacuations;
use iristhread_core::AdvertisedLimit;
use iristhread_core::AdvertisedSuspect;
use iristhread_core::ConfigVersion;
use iristhread_core::Incarnation;
use iristhread_core::InstanceId;
use iristhread_core::Keyring;
use iristhread_core::LoadShares;
use iristhread_core::ReplicaChange;
use iristhread_core::Revision;
use iristhread_core::ServerLife;
use iristhread_core::ZoneDigest;
use iristhread_core::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

const PURPOSE: &str = "heartbeat";

/// Changes of the list from one revision to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Revision before the changes.
    pub after: Revision,
    /// Revision after them.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<ReplicaChange>,
    /// Milliseconds since the platform answered again after an outage, from
    /// which removals may stem.
    pub outage_ended_ms: Option<u64>,
}

impl ListUpdate {
    /// The changes in short, for logs: what is written is a decision about each
    /// server.
    pub fn summary(&self) -> String {
        let words = self.changes.iter().map(|change| match change {
            ReplicaChange::Listed(replica) if replica.leaving => format!("{} leaves", replica.id),
            ReplicaChange::Listed(replica) => format!("{} serves", replica.id),
            ReplicaChange::Removed(id) => format!("{id} removed"),
            ReplicaChange::Unusable(id) => format!("{id} unusable"),
        });
        words.collect::<Vec<_>>().join(", ")
    }

    /// The same changes, told a while after they were read.
    pub fn aged(&self, age: Duration) -> ListUpdate {
        let mut news = self.clone();
        let age_ms = age.as_millis() as u64;
        news.outage_ended_ms = news.outage_ended_ms.map(|ended_ms| ended_ms + age_ms);
        news
    }
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub instance: InstanceId,
    /// Its process life.
    pub incarnation: Incarnation,
    /// Number of the heartbeat within that life.
    pub sequence: u64,
    /// Milliseconds of its clock at which it was made.
    pub said_at_ms: u64,
    /// Where it listens: a relay may have passed this on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Thousandths of a processor core that it has.
    pub core_millis: u32,
    /// Whether it tells the others by way of relays.
    pub has_relays: bool,
    /// Version of the configuration in force there.
    pub config_version: ConfigVersion,
    /// Milliseconds since the platform confirmed that configuration.
    pub config_age_ms: Option<u64>,
    /// Revision of its list of backend servers.
    pub list_revision: Revision,
    /// Milliseconds since the platform confirmed that list.
    pub list_age_ms: Option<u64>,
    /// Whether it could read the platform when it tried last.
    pub can_read: bool,
    /// Other instances that it knows.
    pub addresses: Vec<SocketAddr>,
    /// What it has put on the backend servers.
    pub shares: LoadShares,
    /// What its whole zone has put on them, from a relay to other zones.
    pub digest: Option<ZoneDigest>,
    /// Backend servers that told it lately that they leave.
    pub said_leaving: Vec<ServerLife>,
    /// Limits that backend servers named.
    pub limits: Vec<AdvertisedLimit>,
    /// Backend servers that took no connection of it lately.
    pub unreachable: Vec<ServerLife>,
    /// The zones that are evacuated.
    pub evacuations: AdvertisedEvacuations,
    /// Contents of requests that it suspects to end backend servers.
    pub suspects: Vec<AdvertisedSuspect>,
    /// The latest changes of the list.
    pub news: Vec<ListUpdate>,
}

/// Why a datagram changes nothing.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeartbeatFault {
    /// It is no heartbeat.
    #[error("the datagram is no heartbeat")]
    Unreadable,
    /// The tag does not match.
    #[error("the heartbeat is not signed by this fleet")]
    Forged,
}

/// A heartbeat as its sender signed it; relays pass it on as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SealedHeartbeat {
    tag: String,
    body: Vec<u8>,
}

/// One datagram between instances.
#[derive(Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// Whether the receiver should pass the heartbeats on within its zone.
    pub pass_on: bool,
    /// The heartbeats.
    pub heartbeats: Vec<SealedHeartbeat>,
}

impl Datagram {
    /// The bytes to send; `None` only if the library can't encode them.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok()
    }

    /// Reads a datagram; its heartbeats are still to be checked.
    ///
    /// # Errors
    ///
    /// [`HeartbeatFault::Unreadable`].
    pub fn decode(bytes: &[u8]) -> Result<Datagram, HeartbeatFault> {
        postcard::from_bytes(bytes).map_err(|_| HeartbeatFault::Unreadable)
    }
}

impl SealedHeartbeat {
    /// Bytes that it takes in a datagram, about.
    pub fn size_bytes(&self) -> usize {
        self.tag.len() + self.body.len() + 4
    }

    /// Reads the heartbeat.
    ///
    /// # Errors
    ///
    /// [`HeartbeatFault`]; the heartbeat must then change nothing.
    pub fn open(&self, keyring: &Keyring) -> Result<Heartbeat, HeartbeatFault> {
        if !keyring.verify(PURPOSE, &self.body, &self.tag) {
            return Err(HeartbeatFault::Forged);
        }
        postcard::from_bytes(&self.body).map_err(|_| HeartbeatFault::Unreadable)
    }
}

impl Heartbeat {
    /// Signs it; `None` only if the library can't encode it.
    pub fn seal(&self, keyring: &Keyring) -> Option<SealedHeartbeat> {
        let body = postcard::to_allocvec(self).ok()?;
        let tag = keyring.sign(PURPOSE, &body);
        Some(SealedHeartbeat { tag, body })
    }
}
