//! How often something has happened lately, in passed-in time.

use std::time::Duration;

use crate::Now;

/// Events a second as an exponentially weighted mean over about `window`.
///
/// The mean of many such rates is right also where each counts less than one event in a
/// window.
#[derive(Clone, Debug)]
pub struct EventRate {
    window: Duration,
    begun: Now,
    updated: Now,
    /// Weighted events, divided by the window in seconds.
    sum_per_s: f64,
}

impl EventRate {
    /// Counts from now on.
    pub fn new(now: Now, window: Duration) -> Self {
        EventRate {
            window,
            begun: now,
            updated: now,
            sum_per_s: 0.0,
        }
    }

    /// Notes an event.
    pub fn note(&mut self, now: Now) {
        self.sum_per_s = self.decayed(now) + 1.0 / self.window.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Events a second. What came before the first moment is not taken to be nothing: a
    /// young mean is weighted by the time that it covers, half of the window at least.
    pub fn per_s(&self, now: Now) -> f64 {
        let covered = now.saturating_sub(self.begun).max(self.window / 2);
        let weight = 1.0 - (-self.windows(covered)).exp();
        self.decayed(now) / weight
    }

    fn decayed(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.updated);
        self.sum_per_s * (-self.windows(age)).exp()
    }

    fn windows(&self, time: Duration) -> f64 {
        time.as_secs_f64() / self.window.as_secs_f64()
    }
}
