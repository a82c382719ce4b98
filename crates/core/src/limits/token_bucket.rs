//! A token bucket in passed-in time.

use std::time::Duration;

use crate::Now;

/// Allows `rate` events a second with a burst of one second's worth.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    updated: Now,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Now, rate_per_s: f64) -> Self {
        TokenBucket {
            rate_per_s,
            level: rate_per_s.max(1.0),
            updated: now,
        }
    }

    /// Changes the rate and keeps the level within the new burst.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
        self.level = self.level.min(rate_per_s.max(1.0));
    }

    /// Takes one, or tells how long until one is there.
    ///
    /// # Errors
    ///
    /// The time to wait.
    pub fn take(&mut self, now: Now) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let burst = self.rate_per_s.max(1.0);
        self.level = (self.level + elapsed * self.rate_per_s).min(burst);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.level;
        Err(Duration::from_secs_f64(
            missing / self.rate_per_s.max(0.001),
        ))
    }
}
