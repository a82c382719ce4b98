//! How fast memory of large holders comes back.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Now;

/// Time in which large holders that make progress give their memory back.
const TURNOVER: Duration = Duration::from_secs(1);

/// Time over which returned memory is summed for its rate.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Bounds of the time after which refused callers come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time after which refused callers come back while no memory was returned lately.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What large holders have taken and given back lately.
#[derive(Clone, Debug, Default)]
pub struct MemoryTurnover {
    granted: VecDeque<(Now, u64)>,
    released: VecDeque<(Now, u64)>,
}

impl MemoryTurnover {
    /// Records bytes that were granted.
    pub fn granted(&mut self, now: Now, bytes: u64) {
        record(&mut self.granted, now, bytes);
    }

    /// Records bytes that were given back.
    pub fn released(&mut self, now: Now, bytes: u64) {
        record(&mut self.released, now, bytes);
    }

    /// Returns the bytes that are expected to come back soon: as many as came back lately, or as
    /// were granted so lately that nothing is known of them.
    pub fn comes_back(&self, now: Now) -> u64 {
        let granted = sum_since(&self.granted, now, TURNOVER);
        granted.max(sum_since(&self.released, now, TURNOVER))
    }

    /// Returns the time in which `bytes` are expected to come back.
    pub fn time_until(&self, now: Now, bytes: u64) -> Duration {
        let released = sum_since(&self.released, now, RATE_WINDOW);
        if released == 0 {
            return UNKNOWN_RETRY_AFTER;
        }
        let windows = bytes as f64 / released as f64;
        let expected = RATE_WINDOW.mul_f64(windows.min(1.0));
        expected.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

fn record(entries: &mut VecDeque<(Now, u64)>, now: Now, bytes: u64) {
    entries.push_back((now, bytes));
    while entries
        .front()
        .is_some_and(|(at, _)| now.saturating_sub(*at) > RATE_WINDOW)
    {
        entries.pop_front();
    }
}

fn sum_since(entries: &VecDeque<(Now, u64)>, now: Now, window: Duration) -> u64 {
    let lately = entries
        .iter()
        .rev()
        .take_while(|(at, _)| now.saturating_sub(*at) <= window);
    lately.map(|(_, bytes)| bytes).sum()
}
