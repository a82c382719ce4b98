//! What the other instances have put on backend servers, summed up by
//! availability zone.

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

/// How long the shares of a silent instance still count: its sessions end or
/// are broken off within a few seconds after its end.
const SHARES_LIFETIME: Duration = Duration::from_secs(3);

/// How long a silent instance or zone still counts as one that sends to limited servers. Behind a
/// cut it goes on sending, and two parts that forgot each other would send twice the limit;
/// this is longer than most cuts last.
const REMEMBERED: Duration = Duration::from_secs(120);

/// What all instances of one availability zone have put on backend servers, as a
/// relay of that zone tells the other zones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Instances that are summed up.
    pub instances: u32,
    /// Their shares.
    pub shares: LoadShares,
}

/// What one instance tells of loads.
#[derive(Clone, Debug)]
pub struct AdvertisedLoads {
    /// The instance.
    pub instance: InstanceId,
    /// Its process life.
    pub incarnation: Incarnation,
    /// Number of the message within that life.
    pub sequence: u64,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it has put on the backend servers itself.
    pub shares: LoadShares,
    /// The sums of its zone, if it is a relay.
    pub digest: Option<ZoneDigest>,
}

#[derive(Debug)]
struct Peer {
    order: MessageOrder,
    heard_at: Now,
    zone: ZoneId,
    shares: LoadShares,
}

/// The loads of one zone: the sums of the instances that are heard themselves,
/// or what a relay of that zone told last.
#[derive(Debug, Default)]
struct ZoneLoads {
    heard: u32,
    sums: HashMap<BackendId, LoadShare>,
    digest: Option<(Now, ZoneDigest)>,
}

impl ZoneLoads {
    fn add(&mut self, shares: &LoadShares) {
        self.heard += 1;
        for (id, share) in shares {
            self.sums.entry(id.clone()).or_default().add(share);
        }
    }

    fn remove(&mut self, shares: &LoadShares) {
        self.heard = self.heard.saturating_sub(1);
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
            None => self.heard,
        }
    }
}

/// The latest shares of the others: of each instance of the own zone, and of the
/// other zones as sums, so that the cost of a decision does not grow with the
/// fleet.
#[derive(Debug)]
pub struct PeerLoads {
    zone: ZoneId,
    peers: HashMap<InstanceId, Peer>,
    zones: BTreeMap<ZoneId, ZoneLoads>,
    silent: BTreeMap<Silent, Remembered>,
}

/// Who is silent.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Silent {
    Instance(InstanceId),
    Zone(ZoneId),
}

/// What was known of it last.
#[derive(Debug)]
struct Remembered {
    heard_at: Now,
    instances: u32,
    /// What it wanted of limited servers.
    wanted: HashMap<BackendId, RequestRate>,
}

impl Remembered {
    fn new(heard_at: Now, instances: u32, shares: &LoadShares) -> Self {
        let wanted = shares.iter().filter(|(_, share)| !share.wanted.is_zero());
        Remembered {
            heard_at,
            instances,
            wanted: wanted
                .map(|(id, share)| (id.clone(), share.wanted))
                .collect(),
        }
    }
}

impl PeerLoads {
    /// Knows nobody, seen from an instance of `zone`.
    pub fn new(zone: ZoneId) -> Self {
        PeerLoads {
            zone,
            peers: HashMap::new(),
            zones: BTreeMap::new(),
            silent: BTreeMap::new(),
        }
    }

    /// Takes what an instance tells; an older message of it changes nothing.
    pub fn hear(&mut self, now: Now, told: AdvertisedLoads) {
        if let Some(peer) = self.peers.get_mut(&told.instance) {
            if peer.order.arrive(&told.incarnation, told.sequence) == Arrival::Old {
                return;
            }
            if let Some(loads) = self.zones.get_mut(&peer.zone) {
                loads.remove(&peer.shares);
            }
        }
        self.silent.remove(&Silent::Instance(told.instance.clone()));
        let loads = self.zones.entry(told.zone.clone()).or_default();
        loads.add(&told.shares);
        // The sums of the own zone would count this instance twice.
        if let Some(digest) = told.digest.filter(|_| told.zone != self.zone) {
            loads.digest = Some((now, digest));
            self.silent.remove(&Silent::Zone(told.zone.clone()));
        }
        match self.peers.get_mut(&told.instance) {
            Some(peer) => {
                peer.heard_at = now;
                peer.zone = told.zone;
                peer.shares = told.shares;
            }
            None => {
                let peer = Peer {
                    order: MessageOrder::new(told.incarnation, told.sequence),
                    heard_at: now,
                    zone: told.zone,
                    shares: told.shares,
                };
                self.peers.insert(told.instance, peer);
            }
        }
    }

    /// Forgets instances and sums that have not been heard for long; returns the
    /// instances of which nobody else tells either.
    pub fn expire(&mut self, now: Now) -> Vec<InstanceId> {
        let is_old = |heard_at: Now| now.saturating_sub(heard_at) > SHARES_LIFETIME;
        let silent = self.peers.iter().filter(|(_, peer)| is_old(peer.heard_at));
        let names: Vec<InstanceId> = silent.map(|(name, _)| name.clone()).collect();
        let mut unheard = Vec::new();
        for name in names {
            let Some(peer) = self.peers.remove(&name) else {
                continue;
            };
            let Some(loads) = self.zones.get_mut(&peer.zone) else {
                continue;
            };
            loads.remove(&peer.shares);
            if loads.digest.is_none() {
                let remembered = Remembered::new(peer.heard_at, 1, &peer.shares);
                self.silent
                    .insert(Silent::Instance(name.clone()), remembered);
                unheard.push(name);
            }
        }
        for (zone, loads) in &mut self.zones {
            let lapsed = loads.digest.take_if(|(heard_at, _)| is_old(*heard_at));
            if let Some((heard_at, digest)) = lapsed {
                let remembered = Remembered::new(heard_at, digest.instances, &digest.shares);
                self.silent.insert(Silent::Zone(zone.clone()), remembered);
            }
        }
        let is_kept = |silent: &Remembered| now.saturating_sub(silent.heard_at) < REMEMBERED;
        self.silent.retain(|_, silent| is_kept(silent));
        self.zones.retain(|_, loads| loads.instances() > 0);
        unheard
    }

    /// Whether others are heard by way of relays.
    pub fn by_relays(&self) -> bool {
        self.zones.values().any(|loads| loads.digest.is_some())
    }

    /// What all others have put on a backend server.
    pub fn on(&self, replica: &str) -> LoadShare {
        let mut sum = LoadShare::default();
        let shares = self.zones.values().filter_map(|loads| loads.on(replica));
        shares.for_each(|share| sum.add(share));
        sum
    }

    /// What all others want of a limited server, those that fell silent included.
    pub fn demand_for(&self, replica: &str) -> RequestRate {
        let silent = self.silent.values();
        let silent = silent.filter_map(|silent| silent.wanted.get(replica));
        silent.fold(self.on(replica).wanted, |sum, wanted| sum.plus(*wanted))
    }

    /// Instances that nobody was heard of since a moment, those that are silent included.
    pub fn count_silent_since(&self, at: Now) -> u32 {
        let is_summed_up = |zone: &ZoneId| {
            let loads = self.zones.get(zone);
            loads.is_some_and(|loads| loads.digest.is_some())
        };
        let peers = self.peers.values().filter(|peer| !is_summed_up(&peer.zone));
        let peers = peers.filter(|peer| peer.heard_at < at).count();
        let digests = self
            .zones
            .values()
            .filter_map(|loads| loads.digest.as_ref());
        let digests = digests.filter(|(heard_at, _)| *heard_at < at);
        let zones: u32 = digests.map(|(_, digest)| digest.instances).sum();
        let silent = self.silent.values().filter(|silent| silent.heard_at < at);
        let silent: u32 = silent.map(|silent| silent.instances).sum();
        u32::try_from(peers).unwrap_or(u32::MAX) + zones + silent
    }

    /// What the own zone has put on backend servers, with the shares of this
    /// instance.
    pub fn digest(&self, own: &LoadShares) -> ZoneDigest {
        let mut digest = ZoneDigest {
            instances: 1,
            shares: own.clone(),
        };
        let Some(loads) = self.zones.get(&self.zone) else {
            return digest;
        };
        digest.instances += loads.heard;
        for (id, share) in &loads.sums {
            digest.shares.entry(id.clone()).or_default().add(share);
        }
        digest
    }

    /// Names of the other instances of the own zone that were heard lately.
    pub fn neighbours(&self) -> impl Iterator<Item = &InstanceId> {
        let near = self.peers.iter().filter(|(_, p)| p.zone == self.zone);
        near.map(|(name, _)| name)
    }

    /// Zones of which an instance is known to live.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// Whether any instance of a zone is known to live.
    pub fn knows_zone(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Other instances that live, to the knowledge of this one.
    pub fn count(&self) -> usize {
        let instances = self.zones.values().map(ZoneLoads::instances);
        instances.sum::<u32>() as usize
    }
}
