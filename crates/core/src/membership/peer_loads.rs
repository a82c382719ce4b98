//! Loads that the other instances have placed on backend servers, summed by availability zone.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Arrival;
use crate::BackendId;
use crate::Incarnation;
use crate::InstanceId;
use crate::LoadShare;
use crate::LoadShares;
use crate::MessageOrder;
use crate::Now;
use crate::RequestRate;
use crate::ZoneId;

/// How long the shares of a silent instance still count: its sessions end or are cancelled within a
/// few seconds after the instance has ended.
const SHARES_LIFETIME: Duration = Duration::from_secs(3);

/// How long a silent instance or zone still counts as a sender to limited servers. Behind a network
/// partition it keeps sending, and two halves that forgot each other would together send twice the
/// limit. The time is longer than most partitions last.
const SILENT_RETENTION: Duration = Duration::from_secs(120);

/// Load that all instances of one availability zone have placed on backend servers, as a relay of
/// that zone advertises it to the other zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Number of instances in the sums.
    pub instances: u32,
    /// Sum of their shares by backend server.
    pub shares: LoadShares,
}

/// Loads that one instance advertises.
#[derive(Clone, Debug)]
pub struct AdvertisedLoads {
    /// Name of the sender.
    pub instance: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Sequence number of the message within that incarnation.
    pub sequence: u64,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Load that it has placed on the backend servers itself.
    pub shares: LoadShares,
    /// Sums of its zone, if it is a relay.
    pub digest: Option<ZoneDigest>,
}

#[derive(Debug)]
struct Peer {
    order: MessageOrder,
    received_at: Now,
    zone: ZoneId,
    shares: LoadShares,
}

/// Loads of one zone: the sums of the instances whose messages are received directly, or the digest
/// that a relay of that zone advertised last.
#[derive(Debug, Default)]
struct ZoneLoads {
    direct_instances: u32,
    sums: HashMap<BackendId, LoadShare>,
    digest: Option<(Now, ZoneDigest)>,
}

impl ZoneLoads {
    fn add(&mut self, shares: &LoadShares) {
        self.direct_instances += 1;
        for (id, share) in shares {
            self.sums.entry(id.clone()).or_default().add(share);
        }
    }

    fn remove(&mut self, shares: &LoadShares) {
        self.direct_instances = self.direct_instances.saturating_sub(1);
        for (id, share) in shares {
            if let Some(sum) = self.sums.get_mut(id) {
                sum.remove(share);
            }
        }
        self.sums.retain(|_, sum| *sum != LoadShare::default());
    }

    fn on(&self, replica: &str) -> Option<&LoadShare> {
        match &self.digest {
            Some((_, digest)) => digest.shares.get(replica),
            None => self.sums.get(replica),
        }
    }

    fn instances(&self) -> u32 {
        match &self.digest {
            Some((_, digest)) => digest.instances,
            None => self.direct_instances,
        }
    }
}

/// Latest loads of the other instances: one entry for each instance of the local zone, and sums for
/// the other zones, so that the cost of a decision does not grow with the fleet.
#[derive(Debug)]
pub struct PeerLoads {
    zone: ZoneId,
    peers: HashMap<InstanceId, Peer>,
    zones: BTreeMap<ZoneId, ZoneLoads>,
    silent: BTreeMap<SilentKey, SilentPeer>,
}

/// Identifies a silent instance or zone.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SilentKey {
    Instance(InstanceId),
    Zone(ZoneId),
}

/// Last known state of a silent instance or zone.
#[derive(Debug)]
struct SilentPeer {
    received_at: Now,
    instances: u32,
    /// Its demand for limited servers.
    demand: HashMap<BackendId, RequestRate>,
}

impl SilentPeer {
    fn new(received_at: Now, instances: u32, shares: &LoadShares) -> Self {
        let demand = shares.iter().filter(|(_, share)| !share.wanted.is_zero());
        SilentPeer {
            received_at,
            instances,
            demand: demand
                .map(|(id, share)| (id.clone(), share.wanted))
                .collect(),
        }
    }
}

impl PeerLoads {
    /// Creates an empty view for an instance of `zone`.
    pub fn new(zone: ZoneId) -> Self {
        PeerLoads {
            zone,
            peers: HashMap::new(),
            zones: BTreeMap::new(),
            silent: BTreeMap::new(),
        }
    }

    /// Applies the loads that an instance advertises; an older message of it is ignored.
    pub fn apply(&mut self, now: Now, advertised: AdvertisedLoads) {
        if let Some(peer) = self.peers.get_mut(&advertised.instance) {
            if peer
                .order
                .arrive(&advertised.incarnation, advertised.sequence)
                == Arrival::Old
            {
                return;
            }
            if let Some(loads) = self.zones.get_mut(&peer.zone) {
                loads.remove(&peer.shares);
            }
        }
        self.silent
            .remove(&SilentKey::Instance(advertised.instance.clone()));
        let loads = self.zones.entry(advertised.zone.clone()).or_default();
        loads.add(&advertised.shares);
        // The sums of the local zone would count this instance twice.
        if let Some(digest) = advertised.digest.filter(|_| advertised.zone != self.zone) {
            loads.digest = Some((now, digest));
            self.silent
                .remove(&SilentKey::Zone(advertised.zone.clone()));
        }
        match self.peers.get_mut(&advertised.instance) {
            Some(peer) => {
                peer.received_at = now;
                peer.zone = advertised.zone;
                peer.shares = advertised.shares;
            }
            None => {
                let peer = Peer {
                    order: MessageOrder::new(advertised.incarnation, advertised.sequence),
                    received_at: now,
                    zone: advertised.zone,
                    shares: advertised.shares,
                };
                self.peers.insert(advertised.instance, peer);
            }
        }
    }

    /// Removes instances and digests whose lifetime has passed without a message. Returns the
    /// removed instances that no digest covers either.
    pub fn expire(&mut self, now: Now) -> Vec<InstanceId> {
        let is_old = |received_at: Now| now.saturating_sub(received_at) > SHARES_LIFETIME;
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| is_old(peer.received_at));
        let names: Vec<InstanceId> = silent.map(|(name, _)| name.clone()).collect();
        let mut expired = Vec::new();
        for name in names {
            let Some(peer) = self.peers.remove(&name) else {
                continue;
            };
            let Some(loads) = self.zones.get_mut(&peer.zone) else {
                continue;
            };
            loads.remove(&peer.shares);
            if loads.digest.is_none() {
                let silent_peer = SilentPeer::new(peer.received_at, 1, &peer.shares);
                self.silent
                    .insert(SilentKey::Instance(name.clone()), silent_peer);
                expired.push(name);
            }
        }
        for (zone, loads) in &mut self.zones {
            let expired_digest = loads
                .digest
                .take_if(|(received_at, _)| is_old(*received_at));
            if let Some((received_at, digest)) = expired_digest {
                let silent_peer = SilentPeer::new(received_at, digest.instances, &digest.shares);
                self.silent
                    .insert(SilentKey::Zone(zone.clone()), silent_peer);
            }
        }
        let is_kept =
            |silent: &SilentPeer| now.saturating_sub(silent.received_at) < SILENT_RETENTION;
        self.silent.retain(|_, silent| is_kept(silent));
        self.zones.retain(|_, loads| loads.instances() > 0);
        expired
    }

    /// Returns whether some loads are received through relays.
    pub fn uses_relays(&self) -> bool {
        self.zones.values().any(|loads| loads.digest.is_some())
    }

    /// Returns the load that all other instances have placed on a backend server.
    pub fn on(&self, replica: &str) -> LoadShare {
        let mut sum = LoadShare::default();
        let shares = self.zones.values().filter_map(|loads| loads.on(replica));
        shares.for_each(|share| sum.add(share));
        sum
    }

    /// Returns the demand of all other instances for a limited server, silent ones included.
    pub fn demand_for(&self, replica: &str) -> RequestRate {
        let silent = self.silent.values();
        let silent = silent.filter_map(|silent| silent.demand.get(replica));
        silent.fold(self.on(replica).wanted, |sum, demand| sum.plus(*demand))
    }

    /// Returns the number of instances without a message since `at`, directly or through a digest;
    /// those already silent are included.
    pub fn count_silent_since(&self, at: Now) -> u32 {
        let is_summed_up = |zone: &ZoneId| {
            let loads = self.zones.get(zone);
            loads.is_some_and(|loads| loads.digest.is_some())
        };
        let peers = self.peers.values().filter(|peer| !is_summed_up(&peer.zone));
        let peers = peers.filter(|peer| peer.received_at < at).count();
        let digests = self
            .zones
            .values()
            .filter_map(|loads| loads.digest.as_ref());
        let digests = digests.filter(|(received_at, _)| *received_at < at);
        let zones: u32 = digests.map(|(_, digest)| digest.instances).sum();
        let silent = self
            .silent
            .values()
            .filter(|silent| silent.received_at < at);
        let silent: u32 = silent.map(|silent| silent.instances).sum();
        u32::try_from(peers).unwrap_or(u32::MAX) + zones + silent
    }

    /// Returns the sums of the local zone, with the shares of this instance.
    pub fn digest(&self, own: &LoadShares) -> ZoneDigest {
        let mut digest = ZoneDigest {
            instances: 1,
            shares: own.clone(),
        };
        let Some(loads) = self.zones.get(&self.zone) else {
            return digest;
        };
        digest.instances += loads.direct_instances;
        for (id, share) in &loads.sums {
            digest.shares.entry(id.clone()).or_default().add(share);
        }
        digest
    }

    /// Names of the other live instances of the local zone.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        let neighbours = self.peers.iter().filter(|(_, p)| p.zone == self.zone);
        neighbours.map(|(name, _)| name)
    }

    /// Zones with at least one live instance.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// Returns whether a zone has a live instance, as far as this instance knows.
    pub fn knows_zone(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the number of other live instances known here.
    pub fn count(&self) -> usize {
        let instances = self.zones.values().map(ZoneLoads::instances);
        instances.sum::<u32>() as usize
    }
}
