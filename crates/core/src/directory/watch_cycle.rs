//! How long a reader's watches of the directory wait, and what their answers prove.

use std::time::Duration;

use crate::Now;
use crate::directory::read_timing::WATCH;

/// Pause between two watches that doesn't shorten the second.
const PAUSE: Duration = Duration::from_millis(100);

/// Shortest wait of a watch: each call has a price.
const SHORTEST_WATCH: Duration = Duration::from_millis(100);

/// The watches of one reader. An answer proves how the directory was when it gave it, and
/// not when it was handled: the process may have stood still in between. Where that moment
/// isn't known, the call itself began before it.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchCycle {
    confirmed_at: Option<Now>,
}

impl WatchCycle {
    /// How long the next watch waits: what is confirmed by then is no older than a watch.
    pub fn next_wait(&self, now: Now) -> Duration {
        let age = self.confirmed_at.map(|at| now.saturating_sub(at));
        let left = age.map(|age| WATCH.saturating_sub(age.saturating_sub(PAUSE)));
        left.unwrap_or_default().max(SHORTEST_WATCH)
    }

    /// Notes the answer to a call that was sent then; returns since when it holds.
    /// `quiet_for` is the wait of a watch that brought nothing: such an answer was given when
    /// the wait was over.
    pub fn answered(&mut self, sent: Now, quiet_for: Option<Duration>, now: Now) -> Now {
        let ended = quiet_for.map(|wait| sent + wait);
        let at = ended.filter(|ended| *ended <= now).unwrap_or(sent);
        let at = self.confirmed_at.map_or(at, |before| before.max(at));
        self.confirmed_at = Some(at);
        at
    }
}
