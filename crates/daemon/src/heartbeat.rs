//! What instances tell each other several times a second, as one datagram.

use std::net::SocketAddr;
use std::time::Duration;

use iristhread_core::BackendId;
use iristhread_core::ConfigVersion;
use iristhread_core::Incarnation;
use iristhread_core::InstanceId;
use iristhread_core::Keyring;
use iristhread_core::LoadShares;
use iristhread_core::ReplicaChange;
use iristhread_core::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::directory::Revision;

const PURPOSE: &str = "heartbeat";

/// Changes of the list from one revision to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListNews {
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

impl ListNews {
    /// The same changes, told a while after they were read.
    pub fn aged(&self, age: Duration) -> ListNews {
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
    /// Its availability zone.
    pub zone: ZoneId,
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
    /// Other instances that it has heard.
    pub addresses: Vec<SocketAddr>,
    /// What it has put on the backend servers.
    pub shares: LoadShares,
    /// Backend servers that told it lately that they leave.
    pub said_leaving: Vec<BackendId>,
    /// The latest changes of the list.
    pub news: Vec<ListNews>,
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

#[derive(Serialize, Deserialize)]
struct Sealed {
    tag: String,
    body: Vec<u8>,
}

impl Heartbeat {
    /// The datagram; `None` only if the library can't encode it.
    pub fn seal(&self, keyring: &Keyring) -> Option<Vec<u8>> {
        let body = postcard::to_allocvec(self).ok()?;
        let tag = keyring.sign(PURPOSE, &body);
        postcard::to_allocvec(&Sealed { tag, body }).ok()
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// [`HeartbeatFault`]; the datagram must then change nothing.
    pub fn open(datagram: &[u8], keyring: &Keyring) -> Result<Heartbeat, HeartbeatFault> {
        let sealed: Sealed =
            postcard::from_bytes(datagram).map_err(|_| HeartbeatFault::Unreadable)?;
        if !keyring.verify(PURPOSE, &sealed.body, &sealed.tag) {
            return Err(HeartbeatFault::Forged);
        }
        postcard::from_bytes(&sealed.body).map_err(|_| HeartbeatFault::Unreadable)
    }
}
