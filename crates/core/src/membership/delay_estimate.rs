//! Estimates how long a message of a peer was delayed before it was handled.

use std::time::Duration;

use crate::Now;

/// Assumed relative drift between the clocks of two machines, by which the smallest clock
/// difference may grow over time.
const CLOCK_DRIFT_RATIO: f64 = 0.001;

/// Compares the send times on a peer's clock with the times at which its messages are handled here.
/// The smallest difference is taken as the normal transit time. Any excess is delay, because one of
/// the processes was suspended or the link was slow.
#[derive(Clone, Copy, Debug)]
pub struct DelayEstimate {
    /// Smallest difference between the two clocks, in microseconds.
    least_us: i64,
    handled_at: Now,
}

impl DelayEstimate {
    /// Starts with the first message of a process, which is assumed to have had the normal transit
    /// time.
    pub fn new(sent_at: Now, handled_at: Now) -> Self {
        DelayEstimate {
            least_us: difference_us(sent_at, handled_at),
            handled_at,
        }
    }

    /// Records a message and returns how much its transit time exceeded the normal one.
    pub fn delay(&mut self, sent_at: Now, handled_at: Now) -> Duration {
        let passed = handled_at.saturating_sub(self.handled_at);
        let drift_us = passed.mul_f64(CLOCK_DRIFT_RATIO).as_micros() as i64;
        self.handled_at = handled_at;
        let difference_us = difference_us(sent_at, handled_at);
        self.least_us = difference_us.min(self.least_us + drift_us);
        Duration::from_micros((difference_us - self.least_us).unsigned_abs())
    }
}

fn difference_us(sent_at: Now, handled_at: Now) -> i64 {
    let us = |at: Now| i64::try_from(at.as_micros()).unwrap_or(i64::MAX);
    us(handled_at).saturating_sub(us(sent_at))
}
