//! What one instance tells another of the list: all of it, or what has changed.

use serde::Deserialize;
use serde::Serialize;

use super::EXPIRY_GRACE;
use super::Line;
use super::ReplicaList;
use crate::BackendId;
use crate::Now;
use crate::Replica;
use crate::Revision;

/// Removals that are remembered to be told: half a minute of them in a fleet of thousands
/// of servers.
const REMOVALS_KEPT: usize = 4_096;

/// Skipped spans of revisions that are remembered: whole lists are taken at a start, when
/// history is gone and after a copy, not many a minute.
const SKIPPED_KEPT: usize = 32;

/// The list as one instance tells it to another: what the platform lists, or what has
/// changed since the other read it, and how long ago an outage ended, so that both draw
/// the same conclusions from entries that are missing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdvertisedList {
    /// Revision after which the changes came; none when the list is whole.
    pub above: Revision,
    /// Revision of the platform's list.
    pub revision: Revision,
    /// Its entries, or those that changed; lapsed ones are none.
    pub replicas: Vec<Replica>,
    /// Entries that were removed since, where the list is not whole.
    pub removed: Vec<BackendId>,
    /// Entries that can't be used; they are gone at once, also after an outage.
    pub unusable: Vec<BackendId>,
    /// Milliseconds since the platform answered again after an outage, while
    /// entries may be missing because of it.
    pub outage_ended_ms: Option<u64>,
}

impl Line {
    /// The replica as another instance hears of it now.
    pub(super) fn told(&self, now: Now, leaving: bool) -> Replica {
        Replica {
            leaving,
            warm_up: self.cold_until.saturating_sub(now),
            ..self.replica.clone()
        }
    }
}

impl ReplicaList {
    /// The list for another instance that has it as it was at a revision: what has
    /// changed since, which is a few entries where the whole list is thousands; the whole
    /// list when that is not known.
    pub fn delta_since(&self, now: Now, above: impl Into<Revision>) -> AdvertisedList {
        let above = above.into();
        let mut told = self.told(now);
        let is_within = |(from, to): &(Revision, Revision)| *from < above && above < *to;
        let is_unknown = above < self.complete_from || self.skipped.iter().any(is_within);
        if is_unknown || above.is_none() {
            return told;
        }
        told.above = above;
        let has_changed = |replica: &Replica| {
            let line = self.lines.get(&replica.id);
            line.is_some_and(|line| line.revision > above)
        };
        told.replicas.retain(has_changed);
        let is_listed = |id: &BackendId| {
            let line = self.lines.get(id);
            line.is_some_and(|line| line.expires_at.is_none())
        };
        let removed = self.removed.iter();
        let removed = removed.filter(|(revision, id)| *revision > above && !is_listed(id));
        told.removed = removed.map(|(_, id)| id.clone()).collect();
        told
    }

    /// The whole list for another instance.
    pub fn told(&self, now: Now) -> AdvertisedList {
        let lines = self.lines.values();
        let listed = lines.filter(|line| line.expires_at.is_none());
        let listed = listed.map(|line| line.told(now, self.leaves(line)));
        let lines = self.lines.values();
        // What the platform lists where a later life has not written itself yet.
        let earlier = lines.filter_map(|line| line.earlier.clone());
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

    /// Remembers that a whole list was taken after changes that were not seen one by one.
    pub(super) fn note_skipped(&mut self, revision: Revision) {
        if self.revision.is_none() || revision == self.revision {
            return;
        }
        self.skipped.push_back((self.revision, revision));
        if self.skipped.len() > SKIPPED_KEPT
            && let Some((_, to)) = self.skipped.pop_front()
        {
            self.complete_from = self.complete_from.max(to);
        }
    }

    /// Remembers a removal, for whoever asks what has changed.
    pub(super) fn note_removal(&mut self, id: &str) {
        self.removed.push_back((self.revision, id.to_owned()));
        if self.removed.len() > REMOVALS_KEPT
            && let Some((revision, _)) = self.removed.pop_front()
        {
            self.complete_from = self.complete_from.max(revision);
        }
    }
}
