//! Availability zones that the operators have asked to empty: nothing new is sent to
//! the backend servers there until the order is taken back.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Now;
use crate::ZoneId;

/// How long after an instance has learned of an evacuation it still sends what it had
/// chosen a backend server for before: a session on its way to a copy there would
/// otherwise be lost. Copies take up to a second; the users allow five seconds for all.
const UNDER_WAY: Duration = Duration::from_millis(1_500);

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
pub struct ToldEvacuations {
    /// Revision of the platform's directory at which exactly these were evacuated.
    pub revision: u64,
    /// The zones, in order.
    pub zones: Vec<ZoneId>,
}

/// What the directory says of evacuations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EvacuationNews {
    /// All of them.
    Whole(ToldEvacuations),
    /// What changed between two revisions.
    Changed {
        /// Revision before the changes.
        after: u64,
        /// Revision after them.
        revision: u64,
        /// The changes, in order.
        changes: Vec<EvacuationChange>,
    },
}

/// The evacuated zones to the knowledge of one instance. Whatever has a higher revision
/// replaces what has a lower one, so that a late message undoes nothing.
#[derive(Clone, Debug, Default)]
pub struct ZoneEvacuations {
    revision: u64,
    /// When this instance learned of each.
    known_since: BTreeMap<ZoneId, Now>,
}

impl ZoneEvacuations {
    /// Takes news; returns what is different now, `None` when they are not newer than
    /// what is known or something before them is missing.
    pub fn take(&mut self, now: Now, news: EvacuationNews) -> Option<Vec<EvacuationChange>> {
        match news {
            EvacuationNews::Whole(told) => self.take_whole(now, told),
            EvacuationNews::Changed {
                after,
                revision,
                changes,
            } => self.change(now, after, revision, changes),
        }
    }

    fn take_whole(&mut self, now: Now, told: ToldEvacuations) -> Option<Vec<EvacuationChange>> {
        if told.revision <= self.revision {
            return None;
        }
        let known = self.known_since.keys();
        let ended = known.filter(|zone| !told.zones.contains(zone)).cloned();
        let mut changes: Vec<EvacuationChange> = ended.map(EvacuationChange::Ended).collect();
        changes.extend(told.zones.into_iter().map(EvacuationChange::Began));
        Some(self.apply(now, told.revision, changes))
    }

    /// The last word about a zone counts, so that changes may overlap what is known.
    fn change(
        &mut self,
        now: Now,
        after: u64,
        revision: u64,
        changes: Vec<EvacuationChange>,
    ) -> Option<Vec<EvacuationChange>> {
        let joins = after <= self.revision && revision > self.revision;
        joins.then(|| self.apply(now, revision, changes))
    }

    fn apply(
        &mut self,
        now: Now,
        revision: u64,
        mut changes: Vec<EvacuationChange>,
    ) -> Vec<EvacuationChange> {
        self.revision = revision;
        changes.retain(|change| match change {
            EvacuationChange::Began(zone) => {
                let is_new = !self.known_since.contains_key(zone);
                self.known_since.entry(zone.clone()).or_insert(now);
                is_new
            }
            EvacuationChange::Ended(zone) => self.known_since.remove(zone).is_some(),
        });
        changes
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
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How many zones are evacuated.
    pub fn count(&self) -> usize {
        self.known_since.len()
    }

    /// What is known, for the other instances.
    pub fn told(&self) -> ToldEvacuations {
        ToldEvacuations {
            revision: self.revision,
            zones: self.known_since.keys().cloned().collect(),
        }
    }
}
