//! Availability zones that the operators have asked to empty: nothing new is sent to
//! the backend servers there until the order is taken back.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Now;
use crate::Revision;
use crate::ZoneId;

/// How long after an instance has learned of an evacuation it still sends what it had
/// chosen a backend server for before: a session on its way to a copy there would
/// otherwise be lost. Copies take up to a second; the users allow five seconds for all.
const UNDER_WAY: Duration = Duration::from_millis(1_500);

/// Time in which operators and backend servers write again what a copy of the directory
/// lacks, as the users promise.
const REWRITTEN_WITHIN: Duration = Duration::from_secs(2);

/// One order of the operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationChange {
    /// A zone is to be emptied.
    Began(ZoneId),
    /// The order for a zone was taken back.
    Ended(ZoneId),
}

/// All zones that are to be empty, as instances tell each other.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct AdvertisedEvacuations {
    /// Revision of the platform's directory at which exactly these were evacuated.
    pub revision: Revision,
    /// The zones, in order.
    pub zones: Vec<ZoneId>,
}

/// What the directory says of evacuations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationUpdate {
    /// All of them.
    Whole(AdvertisedEvacuations),
    /// What changed between two revisions.
    Changed {
        /// Revision before the changes.
        after: Revision,
        /// Revision after them.
        revision: Revision,
        /// The changes, in order.
        changes: Vec<EvacuationChange>,
    },
}

/// The evacuated zones to the knowledge of one instance. Whatever has a higher revision
/// replaces what has a lower one, so that a late message undoes nothing.
#[derive(Clone, Debug, Default)]
pub struct ZoneEvacuations {
    revision: Revision,
    /// When this instance learned of each.
    known_since: BTreeMap<ZoneId, Now>,
    /// Those that a copy of the directory lacks, and when they end unless they are ordered
    /// again.
    unconfirmed: BTreeMap<ZoneId, Now>,
}

impl ZoneEvacuations {
    /// Takes news; returns what is different now, `None` when they are not newer than
    /// what is known or something before them is missing.
    pub fn take(&mut self, now: Now, news: EvacuationUpdate) -> Option<Vec<EvacuationChange>> {
        match news {
            EvacuationUpdate::Whole(told) => self.take_whole(now, told),
            EvacuationUpdate::Changed {
                after,
                revision,
                changes,
            } => self.change(now, after, revision, changes),
        }
    }

    fn take_whole(
        &mut self,
        now: Now,
        told: AdvertisedEvacuations,
    ) -> Option<Vec<EvacuationChange>> {
        if told.revision <= self.revision {
            return None;
        }
        let is_copy = told.revision.era > self.revision.era && !self.revision.is_none();
        let known = self.known_since.keys();
        let missing: Vec<ZoneId> = known
            .filter(|zone| !told.zones.contains(zone))
            .cloned()
            .collect();
        if is_copy {
            // Sending to a zone that is to be empty would break the order; keeping away from
            // one that no longer is costs a moment.
            let ends = now + REWRITTEN_WITHIN;
            self.unconfirmed = missing.into_iter().map(|zone| (zone, ends)).collect();
            let began = told.zones.into_iter().map(EvacuationChange::Began);
            return Some(self.apply(now, told.revision, began.collect()));
        }
        let ended = missing
            .into_iter()
            .filter(|zone| !self.unconfirmed.contains_key(zone));
        let mut changes: Vec<EvacuationChange> = ended.map(EvacuationChange::Ended).collect();
        changes.extend(told.zones.into_iter().map(EvacuationChange::Began));
        Some(self.apply(now, told.revision, changes))
    }

    /// The last word about a zone counts, so that changes may overlap what is known.
    fn change(
        &mut self,
        now: Now,
        after: Revision,
        revision: Revision,
        changes: Vec<EvacuationChange>,
    ) -> Option<Vec<EvacuationChange>> {
        let joins = self.revision.follows(&after) && revision > self.revision;
        joins.then(|| self.apply(now, revision, changes))
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

    /// Ends evacuations that a copy of the directory lacked and nobody has ordered again;
    /// returns them.
    pub fn expire(&mut self, now: Now) -> Vec<EvacuationChange> {
        let over = self.unconfirmed.iter().filter(|(_, ends)| now >= **ends);
        let over: Vec<ZoneId> = over.map(|(zone, _)| zone.clone()).collect();
        let ended = over.into_iter().map(EvacuationChange::Ended).collect();
        let revision = self.revision;
        self.apply(now, revision, ended)
    }

    /// Whether nothing new may be given to the backend servers of a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.known_since.contains_key(zone)
    }

    /// Whether nothing may be sent there any more, not even what was given there before.
    pub fn is_closed(&self, now: Now, zone: &str) -> bool {
        let since = self.known_since.get(zone);
        since.is_some_and(|since| now.saturating_sub(*since) >= UNDER_WAY)
    }

    /// The directory's revision of what is known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// How many zones are evacuated.
    pub fn count(&self) -> usize {
        self.known_since.len()
    }

    fn confirmed(&self) -> impl Iterator<Item = &ZoneId> {
        let zones = self.known_since.keys();
        zones.filter(|zone| !self.unconfirmed.contains_key(*zone))
    }

    /// What is known, for the other instances.
    pub fn told(&self) -> AdvertisedEvacuations {
        AdvertisedEvacuations {
            revision: self.revision,
            // Whoever hears it holds for itself what a copy lacks.
            zones: self.confirmed().cloned().collect(),
        }
    }
}
