//! Totals that the other instances advertise, and their sums.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::InstanceId;
use crate::Now;
use crate::Totals;
use crate::ZoneId;

/// How long the totals of a silent instance or zone still count: as long as its load shares do.
const TOTALS_LIFETIME: Duration = Duration::from_secs(3);

/// Minimum time between two heartbeats that carry totals. They change more slowly than the load
/// shares, and would add to each of the heartbeats that a placement triggers.
const ADVERTISE_INTERVAL: Duration = Duration::from_millis(500);

/// Totals that one instance advertises.
#[derive(Clone, Debug)]
pub struct AdvertisedTotals {
    /// Name of the sender.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its own totals, or the sums of its zone.
    pub totals: Totals,
    /// Whether these are the sums of its zone.
    pub is_zone_sum: bool,
}

#[derive(Debug)]
struct Received {
    at: Now,
    zone: ZoneId,
    totals: Totals,
}

/// Latest totals of the other instances: one entry for each instance whose heartbeats arrive directly, and
/// the sums of the other zones.
#[derive(Debug)]
pub struct PeerTotals {
    zone: ZoneId,
    instances: BTreeMap<InstanceId, Received>,
    zones: BTreeMap<ZoneId, Received>,
    /// Sums of all entries; `None` after a change.
    sums: Option<Totals>,
    advertised_at: Option<Now>,
    /// Whether the totals that were advertised last were empty.
    advertised_empty: bool,
    /// Whether they contained sessions that seek room.
    advertised_claims: bool,
}

impl PeerTotals {
    /// Creates an empty view for an instance of `zone`.
    pub fn new(zone: ZoneId) -> Self {
        PeerTotals {
            zone,
            instances: BTreeMap::new(),
            zones: BTreeMap::new(),
            sums: None,
            advertised_at: None,
            advertised_empty: true,
            advertised_claims: false,
        }
    }

    /// Applies the totals that an instance advertises. The sums of the local zone are ignored,
    /// since they would count this instance twice.
    pub fn apply(&mut self, now: Now, advertised: AdvertisedTotals) {
        if advertised.is_zone_sum && advertised.zone == self.zone {
            return;
        }
        let received = Received {
            at: now,
            zone: advertised.zone.clone(),
            totals: advertised.totals,
        };
        match advertised.is_zone_sum {
            true => self.zones.insert(advertised.zone, received),
            false => self.instances.insert(advertised.instance, received),
        };
        self.sums = None;
    }

    /// Removes the totals of silent instances and zones.
    pub fn expire(&mut self, now: Now) {
        let is_live = |received: &Received| now.saturating_sub(received.at) <= TOTALS_LIFETIME;
        let count = self.instances.len() + self.zones.len();
        self.instances.retain(|_, received| is_live(received));
        self.zones.retain(|_, received| is_live(received));
        if self.instances.len() + self.zones.len() != count {
            self.sums = None;
        }
    }

    /// Returns the sums over all other instances.
    pub fn sums(&mut self) -> &Totals {
        let (instances, zones) = (&self.instances, &self.zones);
        self.sums.get_or_insert_with(|| {
            let mut sums = Totals::default();
            let direct = instances.values();
            let direct = direct.filter(|received| !zones.contains_key(&received.zone));
            direct
                .chain(zones.values())
                .for_each(|received| sums.add(&received.totals));
            sums
        })
    }

    /// Returns the sums of the local zone with the totals of this instance.
    pub fn zone_sums(&self, own: &Totals) -> Totals {
        let mut sums = own.clone();
        let neighbours = self.instances.values().filter(|r| r.zone == self.zone);
        neighbours.for_each(|received| sums.add(&received.totals));
        sums
    }

    /// Returns whether the next heartbeat should carry totals: after the interval, unless they are
    /// empty, were empty before, and no instance is heard whose totals a relay has to sum up.
    /// Sessions that begin to seek room are advertised at once, since their engines leave within
    /// seconds and the others still fill the room.
    pub fn is_advertisement_due(&mut self, now: Now, own: &Totals) -> bool {
        let is_early = |at: Now| now.saturating_sub(at) < ADVERTISE_INTERVAL;
        let is_idle = own.is_empty() && self.advertised_empty && self.instances.is_empty();
        let has_claims = !own.seeking_tokens.is_empty();
        let is_urgent = has_claims && !self.advertised_claims;
        if is_idle || (!is_urgent && self.advertised_at.is_some_and(is_early)) {
            return false;
        }
        self.advertised_at = Some(now);
        self.advertised_empty = own.is_empty();
        self.advertised_claims = has_claims;
        true
    }
}
