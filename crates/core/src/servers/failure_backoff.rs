//! How long a backend server that failed is left alone.

use std::time::Duration;

use crate::Now;

/// First pause after a failure; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause of a backend server that keeps failing.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

/// Doublings after which the pause grows no longer.
const MAX_DOUBLINGS: u32 = 5;

/// Exponential backoff of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureBackoff {
    failures: u32,
    paused_until: Now,
}

impl FailureBackoff {
    /// Notes a failure.
    pub fn fail(&mut self, now: Now) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = FIRST_PAUSE * 2_u32.pow(doublings);
        self.failures += 1;
        self.paused_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes success: the backend server counts as well again.
    pub fn succeed(&mut self) {
        *self = FailureBackoff::default();
    }

    /// Whether it is left alone now.
    pub fn is_backing_off(&self, now: Now) -> bool {
        self.paused_until > now
    }

    /// Whether its last request failed: when the pause is over, one request
    /// may try.
    pub fn on_probation(&self) -> bool {
        self.failures > 0
    }
}
