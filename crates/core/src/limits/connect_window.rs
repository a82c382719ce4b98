//! Number of requests that this instance may have read but not sent on while it reads more.
//!
//! The window follows the delay of the instance's own path: the longer connection attempts wait
//! there, the fewer may wait at once. New requests are read only within the window, so that the path carries
//! what was read in time, however many callers there are.

use std::time::Duration;

use crate::Now;

/// Delay of the path that the window aims at. It keeps the path busy, and is short against the objectives of requests.
const TARGET_DELAY: Duration = Duration::from_millis(40);

/// Window before the path is known. Attempts are answered within milliseconds on a path that isn't
/// slow, so that it allows thousands a second.
const INITIAL_WINDOW: f64 = 16.0;

/// Largest window.
const MAX_WINDOW: f64 = 1_024.0;

/// Window of a path that stays slow: a few requests must still show when that is over.
const MIN_WINDOW: f64 = 4.0;

/// Smallest factor by which the window shrinks at once.
const MIN_FACTOR: f64 = 0.2;

/// How long the path counts as slow after the window shrank.
const SLOW_LATELY: Duration = Duration::from_secs(3);

/// The window of one instance.
#[derive(Clone, Copy, Debug)]
pub struct ConnectWindow {
    window: f64,
    shrunk_at: Option<Now>,
}

impl Default for ConnectWindow {
    fn default() -> Self {
        ConnectWindow {
            window: INITIAL_WINDOW,
            shrunk_at: None,
        }
    }
}

impl ConnectWindow {
    /// Whether a request may be read while `in_use` places of the window are taken.
    pub fn has_room(&self, in_use: usize) -> bool {
        (in_use as f64) < self.window
    }

    /// Whether the path was slow lately.
    pub fn shrank_lately(&self, now: Now) -> bool {
        self.shrunk_at
            .is_some_and(|at| now.saturating_sub(at) < SLOW_LATELY)
    }

    /// Returns the window.
    pub fn size(&self) -> usize {
        self.window as usize
    }

    /// Applies the delay of the path at the answer to an attempt that began at `began`, while `in_use`
    /// other places of the window are taken.
    pub fn apply(&mut self, now: Now, began: Now, delay: Duration, in_use: usize) {
        match delay < TARGET_DELAY {
            true => self.grow(in_use),
            false => self.shrink(now, began, delay),
        }
    }

    /// Adds one for each window of answers, as long as the window is used.
    fn grow(&mut self, in_use: usize) {
        if in_use as f64 + 1.0 >= self.window / 2.0 {
            self.window = (self.window + 1.0 / self.window).min(MAX_WINDOW);
        }
    }

    /// Shrinks the window in proportion to the delay.
    fn shrink(&mut self, now: Now, began: Now, delay: Duration) {
        // Attempts that began before the window shrank say nothing about the smaller one.
        if self.shrunk_at.is_some_and(|at| began < at) {
            return;
        }
        let factor = TARGET_DELAY.as_secs_f64() / delay.as_secs_f64();
        self.window = (self.window * factor.max(MIN_FACTOR)).max(MIN_WINDOW);
        self.shrunk_at = Some(now);
    }
}
