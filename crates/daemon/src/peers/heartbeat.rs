//! Heartbeats, with which instances advertise their state to each other several times a second,
//! and the datagrams that contain them.

use std::net::SocketAddr;
use std::time::Duration;

use iristhread_core::AdvertisedEvacuations;
use iristhread_core::AdvertisedLimit;
use iristhread_core::AdvertisedRefusal;
use iristhread_core::AdvertisedSuspect;
use iristhread_core::ConfigVersion;
use iristhread_core::Incarnation;
use iristhread_core::InstanceId;
use iristhread_core::Keyring;
use iristhread_core::LoadShares;
use iristhread_core::ReplicaChange;
use iristhread_core::Revision;
use iristhread_core::ServerLife;
use iristhread_core::SuspectAppendix;
use iristhread_core::Totals;
use iristhread_core::ZoneDigest;
use iristhread_core::ZoneId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Purpose that the signature of a heartbeat covers.
const PURPOSE: &str = "heartbeat";

/// Changes of the list of backend servers from one revision to a later one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Revision of the list before the changes.
    pub after: Revision,
    /// Revision of the list after the changes.
    pub revision: Revision,
    /// The changed entries.
    pub changes: Vec<ReplicaChange>,
    /// Milliseconds since the end of an outage of the platform, which may have caused the
    /// removals; `None` if there was no recent outage.
    pub outage_ended_ms: Option<u64>,
}

impl ListUpdate {
    /// Returns a summary of the changes for logs, with the decision about each server.
    pub fn summary(&self) -> String {
        let changes = self.changes.iter().map(|change| match change {
            ReplicaChange::Listed(replica) if replica.leaving => format!("{} leaves", replica.id),
            ReplicaChange::Listed(replica) => format!("{} serves", replica.id),
            ReplicaChange::Removed(id) => format!("{id} removed"),
            ReplicaChange::Unusable(id) => format!("{id} unusable"),
        });
        changes.collect::<Vec<_>>().join(", ")
    }

    /// Returns the same update as advertised `age` after it was read.
    pub fn aged(&self, age: Duration) -> ListUpdate {
        let mut update = self.clone();
        let age_ms = age.as_millis() as u64;
        update.outage_ended_ms = update.outage_ended_ms.map(|ended_ms| ended_ms + age_ms);
        update
    }
}

/// A heartbeat: the state that one instance advertises.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub instance: InstanceId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within this incarnation.
    pub sequence: u64,
    /// Time of creation, in milliseconds of the sender's clock.
    pub said_at_ms: u64,
    /// Peer address of the sender: the datagram may come from a relay instead.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Processor capacity of the sender in thousandths of a core.
    pub core_millis: u32,
    /// Whether the sender sends its heartbeats by way of relays.
    pub has_relays: bool,
    /// Version of the configuration in force at the sender.
    pub config_version: ConfigVersion,
    /// Milliseconds since the platform confirmed this configuration; `None` if not confirmed.
    pub config_age_ms: Option<u64>,
    /// Revision of the sender's list of backend servers.
    pub list_revision: Revision,
    /// Milliseconds since the platform confirmed this list; `None` if not confirmed.
    pub list_age_ms: Option<u64>,
    /// Whether the sender's last read of the platform succeeded.
    pub can_read: bool,
    /// Peer addresses of other instances that the sender knows.
    pub addresses: Vec<SocketAddr>,
    /// Load that the sender has placed on the backend servers.
    pub shares: LoadShares,
    /// Load that the sender's whole zone has placed on them; only from a relay to other zones.
    pub digest: Option<ZoneDigest>,
    /// Backend servers that recently told the sender that they are draining.
    pub said_leaving: Vec<ServerLife>,
    /// Limits that backend servers declared.
    pub limits: Vec<AdvertisedLimit>,
    /// Backend servers that recently refused a connection of the sender.
    pub unreachable: Vec<ServerLife>,
    /// Zones under evacuation.
    pub evacuations: AdvertisedEvacuations,
    /// Fingerprints of requests that the sender suspects of crashing backend servers.
    pub suspects: Vec<AdvertisedSuspect>,
    /// The latest updates of the list of backend servers.
    pub news: Vec<ListUpdate>,
    /// Services of which the sender reaches no server. Appended to the encoding only if there are
    /// any, so that instances of an earlier version read the heartbeats of this one and vice versa.
    #[serde(skip)]
    pub cut_off: Vec<String>,
    /// Totals of the sender, or of its whole zone in a heartbeat with a digest. Appended to the
    /// encoding after `cut_off`, with the same effect.
    #[serde(skip)]
    pub totals: Option<Totals>,
    /// Contents that the sender, or in a heartbeat with a digest its whole zone, refused recently
    /// for lack of room. Appended to the encoding after `totals`, with the same effect.
    #[serde(skip)]
    pub refused: Vec<AdvertisedRefusal>,
    /// What belongs to the suspects. Appended to the encoding after `refused`, with the same effect.
    #[serde(skip)]
    pub suspect_appendix: SuspectAppendix,
}

/// What follows the totals in the encoding. The totals have to precede it even if the heartbeat
/// carries none.
#[derive(Debug, Deserialize, Serialize)]
struct AfterTotals {
    carries_totals: bool,
    refused: Vec<AdvertisedRefusal>,
}

/// Reason why a datagram or heartbeat is rejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HeartbeatFault {
    /// The bytes can't be decoded.
    #[error("datagram can't be decoded as a heartbeat")]
    Unreadable,
    /// The signature matches no key of this fleet.
    #[error("heartbeat is not signed by this fleet")]
    Forged,
}

/// A heartbeat as its sender encoded and signed it; relays forward it unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SealedHeartbeat {
    tag: String,
    body: Vec<u8>,
}

/// A datagram between instances.
#[derive(Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// Whether the receiver should forward the heartbeats within its zone.
    pub pass_on: bool,
    /// The signed heartbeats.
    pub heartbeats: Vec<SealedHeartbeat>,
}

impl Datagram {
    /// Returns the encoded datagram; `None` only if the encoder fails.
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok()
    }

    /// Decodes a datagram; the signatures of its heartbeats are not checked yet.
    ///
    /// # Errors
    ///
    /// [`HeartbeatFault::Unreadable`] if the bytes are no datagram.
    pub fn decode(bytes: &[u8]) -> Result<Datagram, HeartbeatFault> {
        postcard::from_bytes(bytes).map_err(|_| HeartbeatFault::Unreadable)
    }
}

impl SealedHeartbeat {
    /// Approximate size in a datagram, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.tag.len() + self.body.len() + 4
    }

    /// Checks the signature and decodes the heartbeat.
    ///
    /// # Errors
    ///
    /// [`HeartbeatFault`] if the signature or the encoding is invalid. The caller must then ignore
    /// the heartbeat.
    pub fn open(&self, keyring: &Keyring) -> Result<Heartbeat, HeartbeatFault> {
        if !keyring.verify(PURPOSE, &self.body, &self.tag) {
            return Err(HeartbeatFault::Forged);
        }
        let unreadable = |_| HeartbeatFault::Unreadable;
        let (mut heartbeat, appended): (Heartbeat, &[u8]) =
            postcard::take_from_bytes(&self.body).map_err(unreadable)?;
        heartbeat.read_appended(appended).map_err(unreadable)?;
        Ok(heartbeat)
    }
}

impl Heartbeat {
    /// Encodes and signs the heartbeat; `None` only if the encoder fails.
    pub fn seal(&self, keyring: &Keyring) -> Option<SealedHeartbeat> {
        let mut body = postcard::to_allocvec(self).ok()?;
        self.append(&mut body).ok()?;
        let tag = keyring.sign(PURPOSE, &body);
        Some(SealedHeartbeat { tag, body })
    }

    /// Appends the fields that instances of earlier versions don't know, up to the last one that is
    /// not empty.
    fn append(&self, body: &mut Vec<u8>) -> postcard::Result<()> {
        let has_suspects = !self.suspect_appendix.is_empty();
        let has_refused = !self.refused.is_empty() || has_suspects;
        let has_totals = self.totals.is_some();
        if !self.cut_off.is_empty() || has_totals || has_refused {
            body.extend(postcard::to_allocvec(&self.cut_off)?);
        }
        if has_totals || has_refused {
            let totals = self.totals.clone().unwrap_or_default();
            body.extend(postcard::to_allocvec(&totals)?);
        }
        if has_refused {
            let after = AfterTotals {
                carries_totals: has_totals,
                refused: self.refused.clone(),
            };
            body.extend(postcard::to_allocvec(&after)?);
        }
        if has_suspects {
            body.extend(postcard::to_allocvec(&self.suspect_appendix)?);
        }
        Ok(())
    }

    /// Reads the fields that [`append`](Self::append) wrote; those of an earlier version end sooner.
    fn read_appended(&mut self, appended: &[u8]) -> postcard::Result<()> {
        if appended.is_empty() {
            return Ok(());
        }
        let (cut_off, appended) = postcard::take_from_bytes(appended)?;
        self.cut_off = cut_off;
        if appended.is_empty() {
            return Ok(());
        }
        let (totals, appended) = postcard::take_from_bytes(appended)?;
        self.totals = Some(totals);
        if appended.is_empty() {
            return Ok(());
        }
        let (after, appended): (AfterTotals, _) = postcard::take_from_bytes(appended)?;
        self.totals = self.totals.take().filter(|_| after.carries_totals);
        self.refused = after.refused;
        if appended.is_empty() {
            return Ok(());
        }
        self.suspect_appendix = postcard::from_bytes(appended)?;
        Ok(())
    }
}
