//! Lives of backend servers that said that they leave. None ever takes that back, so the
//! mark outlives the entry in the platform's list: an entry that lapsed, or is read again as
//! it was before, doesn't bring a leaving server back into use.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::IncarnationId;
use crate::Now;

/// How long the mark of a life that is listed no more is kept: longer than an outage of the
/// directory in which its entry may have lapsed.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// How long a life that is listed no more may still be sent something that was placed before:
/// a second try follows within twice the objective of a request, 1.8 s at most.
const PLACED_FOR: Duration = Duration::from_secs(4);

/// Marks by life, with the time from which on a life is not listed.
#[derive(Clone, Debug, Default)]
pub struct DrainingMarks {
    unlisted_at: BTreeMap<IncarnationId, Option<Now>>,
    version: u64,
}

impl DrainingMarks {
    /// Marks a life; returns whether that is news.
    pub fn mark(&mut self, now: Now, life: IncarnationId, is_listed: bool) -> bool {
        let unlisted_at = (!is_listed).then_some(now);
        let is_news = self.unlisted_at.insert(life, unlisted_at).is_none();
        self.version += u64::from(is_news);
        is_news
    }

    /// Whether a life is marked.
    pub fn has(&self, life: IncarnationId) -> bool {
        self.unlisted_at.contains_key(&life)
    }

    /// Notes that a life is listed.
    pub fn listed(&mut self, life: IncarnationId) {
        if let Some(unlisted_at) = self.unlisted_at.get_mut(&life) {
            *unlisted_at = None;
        }
    }

    /// Notes that a life is listed no more.
    pub fn unlisted(&mut self, now: Now, life: IncarnationId) {
        if let Some(unlisted_at) = self.unlisted_at.get_mut(&life) {
            unlisted_at.get_or_insert(now);
        }
    }

    /// Drops the mark of a life that can't be told from the next one under its id.
    pub fn forget(&mut self, life: IncarnationId) {
        let was_marked = self.unlisted_at.remove(&life).is_some();
        self.version += u64::from(was_marked);
    }

    /// Drops marks of lives that are long gone.
    pub fn expire(&mut self, now: Now) {
        let is_kept = |at: &Option<Now>| at.is_none_or(|at| now.saturating_sub(at) < KEPT_FOR);
        self.unlisted_at.retain(|_, at| is_kept(at));
    }

    /// Rises with each life that is marked or no longer is.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The marked lives to which something may be on its way: few of all that are marked
    /// where many servers are replaced.
    pub fn lives(&self, now: Now) -> BTreeSet<IncarnationId> {
        let marks = self.unlisted_at.iter();
        let recent = |at: &Option<Now>| at.is_none_or(|at| now.saturating_sub(at) < PLACED_FOR);
        let lives = marks.filter(|(_, at)| recent(at)).map(|(life, _)| *life);
        lives.collect()
    }
}
