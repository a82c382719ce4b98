//! Timing of a reader's watches of the directory, and the time as of which an answer holds.

use std::time::Duration;

use crate::Now;
use crate::directory::read_timing::WATCH;

/// Gap between two watches up to which the second is not shortened.
const MAX_GAP: Duration = Duration::from_millis(100);

/// Shortest wait of a watch; it limits the number of calls.
const SHORTEST_WATCH: Duration = Duration::from_millis(100);

/// The watches of one reader. An answer confirms the state of the directory at the time it was
/// given, not at the time it is handled: the process may have been suspended in between. If the
/// time of the answer isn't known, the start of the call is a lower bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchCycle {
    confirmed_at: Option<Now>,
}

impl WatchCycle {
    /// Returns the wait of the next watch, such that the last confirmation is at most one watch old
    /// when it ends.
    pub fn next_wait(&self, now: Now) -> Duration {
        let age = self.confirmed_at.map(|at| now.saturating_sub(at));
        let left = age.map(|age| WATCH.saturating_sub(age.saturating_sub(MAX_GAP)));
        left.unwrap_or_default().max(SHORTEST_WATCH)
    }

    /// Records the answer to a call that was sent at `sent`; returns the time as of which the
    /// state is confirmed. `quiet_for` is the wait of a watch that returned no change: such an
    /// answer was given when the wait was over.
    pub fn answered(&mut self, sent: Now, quiet_for: Option<Duration>, now: Now) -> Now {
        let ended = quiet_for.map(|wait| sent + wait);
        let at = ended.filter(|ended| *ended <= now).unwrap_or(sent);
        let at = self.confirmed_at.map_or(at, |before| before.max(at));
        self.confirmed_at = Some(at);
        at
    }
}
