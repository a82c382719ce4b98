//! Recent rate of an event; the caller passes in the time.

use std::time::Duration;

use crate::Now;

/// Events per second as an exponentially weighted mean over about `window`.
///
/// The mean of many such rates is correct even if each of them counts less than one event
/// per window.
#[derive(Clone, Debug)]
pub struct EventRate {
    window: Duration,
    started_at: Now,
    updated_at: Now,
    /// Weighted events, divided by the window in seconds.
    sum_per_s: f64,
}

impl EventRate {
    /// Creates a rate that counts events from `now` on.
    pub fn new(now: Now, window: Duration) -> Self {
        EventRate {
            window,
            started_at: now,
            updated_at: now,
            sum_per_s: 0.0,
        }
    }

    /// Records an event at `now`.
    pub fn note(&mut self, now: Now) {
        self.sum_per_s = self.decayed(now) + 1.0 / self.window.as_secs_f64();
        self.updated_at = self.updated_at.max(now);
    }

    /// Events per second. The time before the rate was created does not count as time without
    /// events: a new mean is weighted by the time that it covers, at least half of the window.
    pub fn per_s(&self, now: Now) -> f64 {
        let covered = now.saturating_sub(self.started_at).max(self.window / 2);
        let weight = 1.0 - (-self.windows(covered)).exp();
        self.decayed(now) / weight
    }

    fn decayed(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.sum_per_s * (-self.windows(age)).exp()
    }

    fn windows(&self, time: Duration) -> f64 {
        time.as_secs_f64() / self.window.as_secs_f64()
    }
}
