//! The clocks of the process, read here and passed on.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use iristhread_core::Now;

/// Monotonic time since the start of the process, and wall time for labels.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Monotonic time since the start.
    pub fn now(&self) -> Now {
        self.start.elapsed()
    }

    /// The same moment for timers of the runtime.
    pub fn instant(&self, at: Now) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + at)
    }

    /// Milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.unwrap_or(Duration::ZERO);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
