//! How long peers have had a newer configuration than an instance.

use std::time::Duration;

use crate::Now;
use crate::ReadingWaits;

/// Since when an instance is behind its peers, while it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigLag {
    since: Option<Now>,
}

/// What is new about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LagNews {
    /// A peer has a newer configuration.
    Began,
    /// No peer has one any more, after this time.
    Ended(Duration),
}

impl ConfigLag {
    /// Notes whether a live peer has a newer configuration.
    pub fn note(&mut self, now: Now, is_behind: bool) -> Option<LagNews> {
        match (self.since, is_behind) {
            (None, true) => {
                self.since = Some(now);
                Some(LagNews::Began)
            }
            (Some(since), false) => {
                self.since = None;
                Some(LagNews::Ended(now.saturating_sub(since)))
            }
            _ => None,
        }
    }

    /// Whether the peers have had time enough to hand it over.
    pub fn is_too_long(&self, now: Now, waits: &ReadingWaits) -> bool {
        let time = self.since.map(|since| now.saturating_sub(since));
        time.is_some_and(|time| time >= waits.behind_at_most())
    }
}
