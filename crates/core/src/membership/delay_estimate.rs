//! How long ago a peer said what is handled now.

use std::time::Duration;

use crate::Now;

/// By how many parts of the time that passes the usual way may get longer: clocks of machines
/// drift apart.
const CLOCK_DRIFT_RATIO: f64 = 0.001;

/// Compares the times that a peer's process tells of its own clock with those at which its
/// messages are handled. The least difference stands for the usual way; what a message took
/// longer it lay waiting, since either process stood still or the link was slow.
#[derive(Clone, Copy, Debug)]
pub struct DelayEstimate {
    /// Least difference of the two clocks, in microseconds.
    least_us: i64,
    handled_at: Now,
}

impl DelayEstimate {
    /// Begins with the first message of a process, which is taken to have come the usual way.
    pub fn new(sent_at: Now, handled_at: Now) -> Self {
        DelayEstimate {
            least_us: difference_us(sent_at, handled_at),
            handled_at,
        }
    }

    /// Notes a message; returns how much longer than the usual way it took.
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
