//! A token bucket; the caller passes in the time.

use std::time::Duration;

use crate::Now;

/// Permits `rate_per_s` events per second, with a burst of the events of one second (at least
/// one event).
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    level: f64,
    updated: Now,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate_per_s`.
    pub fn new(now: Now, rate_per_s: f64) -> Self {
        TokenBucket {
            rate_per_s,
            level: rate_per_s.max(1.0),
            updated: now,
        }
    }

    /// Sets the rate and reduces the level to the new burst.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
        self.level = self.level.min(rate_per_s.max(1.0));
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The time until a token is available, if there is none now.
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
