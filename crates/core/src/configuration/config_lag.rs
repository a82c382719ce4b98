//! Tracks how long peers have had a newer configuration than this instance.

use std::time::Duration;

use crate::Now;
use crate::ReadTiming;

/// Tracks since when an instance is behind its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigLag {
    since: Option<Now>,
}

/// A change of the lag.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LagUpdate {
    /// A peer has a newer configuration.
    Began,
    /// No peer has a newer configuration any more; holds the duration of the lag.
    Ended(Duration),
}

impl ConfigLag {
    /// Records whether a live peer has a newer configuration; returns the change, if any.
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

    /// Returns whether the instance has been behind for longer than a fetch from a peer may take.
    pub fn is_overdue(&self, now: Now, timing: &ReadTiming) -> bool {
        let lag = self.since.map(|since| now.saturating_sub(since));
        lag.is_some_and(|lag| lag >= timing.max_config_lag())
    }
}
