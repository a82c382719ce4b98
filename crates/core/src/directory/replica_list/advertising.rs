//! The list as instances advertise it to each other: in full, or as a delta.

use serde::Deserialize;
use serde::Serialize;

use super::EXPIRY_GRACE;
use super::ListEntry;
use super::ReplicaList;
use crate::BackendId;
use crate::Now;
use crate::Replica;
use crate::Revision;

/// Number of removals that are kept for list deltas: half a minute of them in a fleet of
/// thousands of servers.
const MAX_REMOVALS: usize = 4_096;

/// Number of skipped spans of revisions that are kept. Full lists are taken at a start, when the
/// history is gone and after a restore from a copy, which is not often within a minute.
const MAX_SKIPPED_SPANS: usize = 32;

/// The list as one instance advertises it to another: the full list of the platform, or the
/// changes since the other read it, and the time since an outage ended, so that both treat
/// missing entries alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdvertisedList {
    /// Revision above which the changes apply; none if the list is full.
    pub above: Revision,
    /// Revision of the platform's list.
    pub revision: Revision,
    /// All entries, or those that changed; expired entries are left out.
    pub replicas: Vec<Replica>,
    /// Entries that were removed since `above`; empty if the list is full.
    pub removed: Vec<BackendId>,
    /// Entries that can't be used; they are removed at once, even after an outage.
    pub unusable: Vec<BackendId>,
    /// Milliseconds since the platform answered again after an outage, as long as entries may be
    /// missing because of it.
    pub outage_ended_ms: Option<u64>,
}

impl ListEntry {
    /// Returns the replica as it is advertised now.
    pub(super) fn advertised(&self, now: Now, leaving: bool) -> Replica {
        Replica {
            leaving,
            warm_up: self.cold_until.saturating_sub(now),
            ..self.replica.clone()
        }
    }
}

impl ReplicaList {
    /// Returns the list for an instance that has it at revision `above`: the delta since then,
    /// which is a few entries where the full list has thousands, or the full list if the delta
    /// is not known.
    pub fn delta_since(&self, now: Now, above: impl Into<Revision>) -> AdvertisedList {
        let above = above.into();
        let mut list = self.told(now);
        let is_within = |(from, to): &(Revision, Revision)| *from < above && above < *to;
        let is_unknown = above < self.complete_from || self.skipped.iter().any(is_within);
        if is_unknown || above.is_none() {
            return list;
        }
        list.above = above;
        let has_changed = |replica: &Replica| {
            let entry = self.entries.get(&replica.id);
            entry.is_some_and(|entry| entry.revision > above)
        };
        list.replicas.retain(has_changed);
        let is_listed = |id: &BackendId| {
            let entry = self.entries.get(id);
            entry.is_some_and(|entry| entry.expires_at.is_none())
        };
        let removed = self.removed.iter();
        let removed = removed.filter(|(revision, id)| *revision > above && !is_listed(id));
        list.removed = removed.map(|(_, id)| id.clone()).collect();
        list
    }

    /// Returns the full list for another instance.
    pub fn told(&self, now: Now) -> AdvertisedList {
        let entries = self.entries.values();
        let listed = entries.filter(|entry| entry.expires_at.is_none());
        let listed = listed.map(|entry| entry.advertised(now, self.is_draining(entry)));
        let entries = self.entries.values();
        // Incarnations that the platform lists while a later one has not rewritten its entry.
        let earlier = entries.filter_map(|entry| entry.earlier.clone());
        let ago = self.outage_ended.map(|at| now.saturating_sub(at));
        let ago = ago.filter(|ago| *ago < EXPIRY_GRACE);
        AdvertisedList {
            above: Revision::NONE,
            revision: self.revision,
            removed: Vec::new(),
            unusable: self.unusable.iter().cloned().collect(),
            replicas: listed.chain(earlier).collect(),
            outage_ended_ms: ago.map(|ago| ago.as_millis() as u64),
        }
    }

    /// Records that a full list was taken, so that the changes before it were not seen one by one.
    pub(super) fn record_skipped(&mut self, revision: Revision) {
        if self.revision.is_none() || revision == self.revision {
            return;
        }
        self.skipped.push_back((self.revision, revision));
        if self.skipped.len() > MAX_SKIPPED_SPANS
            && let Some((_, to)) = self.skipped.pop_front()
        {
            self.complete_from = self.complete_from.max(to);
        }
    }

    /// Records a removal for list deltas.
    pub(super) fn record_removal(&mut self, id: &str) {
        self.removed.push_back((self.revision, id.to_owned()));
        if self.removed.len() > MAX_REMOVALS
            && let Some((revision, _)) = self.removed.pop_front()
        {
            self.complete_from = self.complete_from.max(revision);
        }
    }
}
