//! Incarnations of backend servers that announced that they are draining. This is never
//! withdrawn, so the mark outlives the entry in the platform's list: if the entry expires, or an
//! earlier version of it is read again, the draining server does not come back into use.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::IncarnationId;
use crate::Now;

/// How long the mark of an incarnation that is no longer listed is kept: longer than an outage of
/// the directory in which its entry may have expired.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// How long requests that were placed before may still be sent to an incarnation that is no longer
/// listed: a second attempt follows within twice the objective of a request, 1.8 s at most.
const PLACEMENT_LIFETIME: Duration = Duration::from_secs(4);

/// Marks by incarnation, with the time at which the incarnation left the list (`None` while it
/// is listed).
#[derive(Clone, Debug, Default)]
pub struct DrainingMarks {
    unlisted_at: BTreeMap<IncarnationId, Option<Now>>,
    version: u64,
}

impl DrainingMarks {
    /// Marks an incarnation as draining; returns whether it was unmarked before.
    pub fn mark(&mut self, now: Now, incarnation: IncarnationId, is_listed: bool) -> bool {
        let unlisted_at = (!is_listed).then_some(now);
        let is_new = self.unlisted_at.insert(incarnation, unlisted_at).is_none();
        self.version += u64::from(is_new);
        is_new
    }

    /// Whether an incarnation is marked.
    pub fn has(&self, incarnation: IncarnationId) -> bool {
        self.unlisted_at.contains_key(&incarnation)
    }

    /// Records that an incarnation is listed.
    pub fn listed(&mut self, incarnation: IncarnationId) {
        if let Some(unlisted_at) = self.unlisted_at.get_mut(&incarnation) {
            *unlisted_at = None;
        }
    }

    /// Records that an incarnation is no longer listed.
    pub fn unlisted(&mut self, now: Now, incarnation: IncarnationId) {
        if let Some(unlisted_at) = self.unlisted_at.get_mut(&incarnation) {
            unlisted_at.get_or_insert(now);
        }
    }

    /// Removes the mark of an incarnation that can't be distinguished from the next one with the
    /// same id.
    pub fn forget(&mut self, incarnation: IncarnationId) {
        let was_marked = self.unlisted_at.remove(&incarnation).is_some();
        self.version += u64::from(was_marked);
    }

    /// Removes the marks of incarnations that have been unlisted for 60 s.
    pub fn expire(&mut self, now: Now) {
        let is_kept =
            |at: &Option<Now>| at.is_none_or(|at| now.saturating_sub(at) < UNLISTED_RETENTION);
        self.unlisted_at.retain(|_, at| is_kept(at));
    }

    /// Version of the set of marks; increases when an incarnation is newly marked or its mark is
    /// removed by [`DrainingMarks::forget`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The marked incarnations to which requests may still be on their way: a small part of all
    /// marks where many servers are replaced.
    pub fn lives(&self, now: Now) -> BTreeSet<IncarnationId> {
        let marks = self.unlisted_at.iter();
        let recent =
            |at: &Option<Now>| at.is_none_or(|at| now.saturating_sub(at) < PLACEMENT_LIFETIME);
        let lives = marks
            .filter(|(_, at)| recent(at))
            .map(|(incarnation, _)| *incarnation);
        lives.collect()
    }
}
