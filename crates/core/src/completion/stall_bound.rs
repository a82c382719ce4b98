//! Time that a stream may make no progress before it fails over.

use std::time::Duration;

use crate::Now;

/// Weight of a new gap in the running mean and deviation (as in RFC 6298).
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;

/// Number of deviations above the mean that still count as the model's normal pace.
const DEVIATION_FACTOR: f64 = 8.0;

/// Factor on the mean, for streams with almost no deviation.
const MEAN_FACTOR: f64 = 20.0;

/// Minimum and maximum of the bound between tokens.
const MIN_BOUND: Duration = Duration::from_millis(500);
const MAX_BOUND: Duration = Duration::from_secs(5);

/// Bound until the first token of an attempt, which includes queueing and prefill.
const FIRST_TOKEN_BOUND: Duration = Duration::from_secs(10);

/// Stall bound that adapts to the pace of one stream.
#[derive(Clone, Debug)]
pub struct StallBound {
    last: Now,
    mean_s: Option<f64>,
    deviation_s: f64,
}

impl StallBound {
    /// Creates the bound at the start of an attempt.
    pub fn new(now: Now) -> Self {
        StallBound {
            last: now,
            mean_s: None,
            deviation_s: 0.0,
        }
    }

    /// Records progress of the stream.
    pub fn progress(&mut self, now: Now) {
        let gap_s = now.saturating_sub(self.last).as_secs_f64();
        match self.mean_s {
            None => self.mean_s = Some(0.0),
            Some(mean_s) => {
                let error = gap_s - mean_s;
                self.mean_s = Some(mean_s + MEAN_GAIN * error);
                self.deviation_s += DEVIATION_GAIN * (error.abs() - self.deviation_s);
            }
        }
        self.last = now;
    }

    /// Returns the longest time without progress that is currently tolerated.
    pub fn bound(&self) -> Duration {
        let Some(mean_s) = self.mean_s else {
            return FIRST_TOKEN_BOUND;
        };
        let by_deviation = mean_s + DEVIATION_FACTOR * self.deviation_s;
        let bound_s = by_deviation.max(MEAN_FACTOR * mean_s);
        Duration::from_secs_f64(bound_s).clamp(MIN_BOUND, MAX_BOUND)
    }

    /// Returns the time after which the stream counts as stalled.
    pub fn deadline(&self) -> Now {
        self.last + self.bound()
    }
}
