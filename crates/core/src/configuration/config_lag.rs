//! How long peers have had a newer configuration than an instance.

use std::time::Duration;

use crate::Now;
use crate::ReadTiming;

/// Since when an instance is behind its peers, while it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigLag {
    since: Option<Now>,
}

/// What is new about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LagUpdate {
    /// A peer has a newer configuration.
    Began,
    /// No peer has one any more, after this time.
    Ended(Duration),
}

impl ConfigLag {
    /// Notes whether a live peer has a newer configuration.
    pub fn note(&mut self, now: Now, is_behind: bool) -> Option<LagUpdate> {
        match (self.since, is_behind) {
            (None, true) => {
                self.since = Some(now);
                Some(LagUpdate::Began)
            }
            (Some(since), false) => {
                self.since = None;
                Some(LagUpdate::Ended(now.saturating_sub(since)))
            }
            _ => None,
        }
    }

    /// Whether the peers have had time enough to hand it over.
    pub fn is_overdue(&self, now: Now, waits: &ReadTiming) -> bool {
        let time = self.since.map(|since| now.saturating_sub(since));
        time.is_some_and(|time| time >= waits.max_config_lag())
    }
}
