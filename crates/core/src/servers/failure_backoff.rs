//! Backoff after failures of a backend server.

use std::time::Duration;

use crate::Now;

/// Backoff after the first failure; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum backoff of a backend server that keeps failing.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Number of doublings after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 5;

/// Exponential backoff of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureBackoff {
    failures: u32,
    backoff_until: Now,
}

impl FailureBackoff {
    /// Records a failure and starts the next backoff.
    pub fn fail(&mut self, now: Now) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let backoff = INITIAL_BACKOFF * 2_u32.pow(doublings);
        self.failures += 1;
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records a success, which resets the backoff.
    pub fn succeed(&mut self) {
        *self = FailureBackoff::default();
    }

    /// Whether the backoff is still running.
    pub fn is_backing_off(&self, now: Now) -> bool {
        self.backoff_until > now
    }

    /// Whether the last request failed: after the backoff, one trial request may be
    /// sent.
    pub fn on_probation(&self) -> bool {
        self.failures > 0
    }
}
