//! Availability zones that the operators have ordered to evacuate: no new work is sent to the
//! backend servers there until the order is withdrawn.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Now;
use crate::Revision;
use crate::ZoneId;

/// Time after learning of an evacuation during which an instance still sends requests whose
/// backend server was chosen before: a session that is failing over to a backup there would
/// otherwise be lost. Copies take up to a second; the requirement allows five seconds in total.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(1_500);

/// Time in which operators and backend servers are required to rewrite what a restored copy of
/// the directory lacks.
const REWRITE_GRACE: Duration = Duration::from_secs(2);

/// One change of the operators' evacuation orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// The evacuation of a zone was ordered.
    Began(ZoneId),
    /// The order for a zone was withdrawn.
    Ended(ZoneId),
}

/// All evacuated zones, as instances advertise them to each other.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AdvertisedEvacuations {
    /// Revision of the platform's directory at which exactly these zones were evacuated.
    pub revision: Revision,
    /// The zones, sorted by name.
    pub zones: Vec<ZoneId>,
}

/// An update of the evacuations from the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationUpdate {
    /// The full set of evacuated zones.
    Whole(AdvertisedEvacuations),
    /// The changes between two revisions.
    Changed {
        /// Revision before the first change.
        after: Revision,
        /// Revision after the last change.
        revision: Revision,
        /// The changes, in order.
        changes: Vec<EvacuationChange>,
    },
}

/// The evacuated zones as known to one instance. State of a higher revision replaces that of a
/// lower one, so that a delayed message undoes nothing.
#[derive(Clone, Debug, Default)]
pub struct ZoneEvacuations {
    revision: Revision,
    /// Time at which this instance learned of each evacuation.
    known_since: BTreeMap<ZoneId, Now>,
    /// Evacuations that a restored copy of the directory lacks, and the time at which they end
    /// unless they are ordered again.
    unconfirmed: BTreeMap<ZoneId, Now>,
}

impl ZoneEvacuations {
    /// Applies an update; returns the changes that took effect. `None` if the update is not
    /// newer than the known state or changes before it are missing.
    pub fn take(&mut self, now: Now, update: EvacuationUpdate) -> Option<Vec<EvacuationChange>> {
        match update {
            EvacuationUpdate::Whole(advertised) => self.take_full(now, advertised),
            EvacuationUpdate::Changed {
                after,
                revision,
                changes,
            } => self.change(now, after, revision, changes),
        }
    }

    fn take_full(
        &mut self,
        now: Now,
        advertised: AdvertisedEvacuations,
    ) -> Option<Vec<EvacuationChange>> {
        if advertised.revision <= self.revision {
            return None;
        }
        let is_copy = advertised.revision.era > self.revision.era && !self.revision.is_none();
        let known = self.known_since.keys();
        let missing: Vec<ZoneId> = known
            .filter(|zone| !advertised.zones.contains(zone))
            .cloned()
            .collect();
        if is_copy {
            // Sending to an evacuated zone would break the order; avoiding a zone that is no
            // longer evacuated only costs a short time.
            let ends = now + REWRITE_GRACE;
            self.unconfirmed = missing.into_iter().map(|zone| (zone, ends)).collect();
            let began = advertised.zones.into_iter().map(EvacuationChange::Began);
            return Some(self.apply(now, advertised.revision, began.collect()));
        }
        let ended = missing
            .into_iter()
            .filter(|zone| !self.unconfirmed.contains_key(zone));
        let mut changes: Vec<EvacuationChange> = ended.map(EvacuationChange::Ended).collect();
        changes.extend(advertised.zones.into_iter().map(EvacuationChange::Began));
        Some(self.apply(now, advertised.revision, changes))
    }

    /// Applies changes. The last change of a zone counts, so changes may overlap the known state.
    fn change(
        &mut self,
        now: Now,
        after: Revision,
        revision: Revision,
        changes: Vec<EvacuationChange>,
    ) -> Option<Vec<EvacuationChange>> {
        let is_contiguous = self.revision.follows(&after) && revision > self.revision;
        is_contiguous.then(|| self.apply(now, revision, changes))
    }

    fn apply(
        &mut self,
        now: Now,
        revision: Revision,
        mut changes: Vec<EvacuationChange>,
    ) -> Vec<EvacuationChange> {
        self.revision = revision;
        changes.retain(|change| match change {
            EvacuationChange::Began(zone) => {
                self.unconfirmed.remove(zone);
                let is_new = !self.known_since.contains_key(zone);
                self.known_since.entry(zone.clone()).or_insert(now);
                is_new
            }
            EvacuationChange::Ended(zone) => {
                self.unconfirmed.remove(zone);
                self.known_since.remove(zone).is_some()
            }
        });
        changes
    }

    /// Ends evacuations that a restored copy of the directory lacked and that were not ordered
    /// again in time; returns them.
    pub fn expire(&mut self, now: Now) -> Vec<EvacuationChange> {
        let over = self.unconfirmed.iter().filter(|(_, ends)| now >= **ends);
        let over: Vec<ZoneId> = over.map(|(zone, _)| zone.clone()).collect();
        let ended = over.into_iter().map(EvacuationChange::Ended).collect();
        let revision = self.revision;
        self.apply(now, revision, ended)
    }

    /// Returns whether the backend servers of a zone may receive no new work.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.known_since.contains_key(zone)
    }

    /// Returns whether nothing may be sent to a zone, including work that was placed there before.
    pub fn is_closed(&self, now: Now, zone: &str) -> bool {
        let since = self.known_since.get(zone);
        since.is_some_and(|since| now.saturating_sub(*since) >= IN_FLIGHT_GRACE)
    }

    /// Returns the revision of the known state.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.known_since.len()
    }

    fn confirmed(&self) -> impl Iterator<Item = &ZoneId> {
        let zones = self.known_since.keys();
        zones.filter(|zone| !self.unconfirmed.contains_key(*zone))
    }

    /// Returns the state to advertise to the other instances.
    pub fn told(&self) -> AdvertisedEvacuations {
        AdvertisedEvacuations {
            revision: self.revision,
            // Each receiver keeps the evacuations that a restored copy lacks by itself.
            zones: self.confirmed().cloned().collect(),
        }
    }
}
