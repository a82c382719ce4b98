//! Reads the clocks of the process.

use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use iristhread_core::Now;
use nix::time::ClockId;

/// Minimum difference between the progress of the two clocks that counts as a suspension. The
/// clocks are read one after the other, and the process may be descheduled in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Source of the two clocks from which [`Clock`] reads.
pub trait ClockSource: Debug + Send + Sync {
    /// Time since an arbitrary point, which includes the time of suspensions.
    fn boot_time(&self) -> Duration;

    /// Time by which the timers of the runtime run; it stops while the machine is suspended.
    fn running_time(&self) -> Instant;
}

/// The clocks of the operating system.
#[derive(Debug)]
pub struct SystemClocks;

impl ClockSource for SystemClocks {
    /// Falls back to the clock that stops during suspensions if the system has no other.
    fn boot_time(&self) -> Duration {
        let time = ClockId::CLOCK_BOOTTIME.now();
        let time = time.or_else(|_| ClockId::CLOCK_MONOTONIC.now());
        time.map_or(Duration::ZERO, Duration::from)
    }

    fn running_time(&self) -> Instant {
        Instant::now()
    }
}

/// Monotonic time since the start of the process, including suspensions, and wall time for use in
/// logs and other output.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: &'static dyn ClockSource,
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts now and reads the clocks of the operating system.
    pub fn start() -> Self {
        Clock::with(&SystemClocks)
    }

    /// Creates a clock that starts now and reads the given source.
    pub fn with(source: &'static dyn ClockSource) -> Self {
        Clock {
            source,
            start: source.boot_time(),
        }
    }

    /// Returns the monotonic time since the start. After a suspension of 5 s all ages, deadlines
    /// and leases are 5 s older. By a clock that stops during suspensions an instance would act
    /// on outdated state afterwards.
    pub fn now(&self) -> Now {
        self.source.boot_time().saturating_sub(self.start)
    }

    /// Converts a time to the clock of the runtime's timers. The result is invalid after a
    /// suspension, during which that clock stops, and must be computed again.
    pub fn instant(&self, at: Now) -> tokio::time::Instant {
        let left = at.saturating_sub(self.now());
        tokio::time::Instant::from_std(self.source.running_time() + left)
    }

    /// Returns the wall time in milliseconds since 1970; 0 if the wall clock is before 1970.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.unwrap_or(Duration::ZERO);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Detects suspensions of the machine.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    clock: Clock,
    last_readings: (Now, Instant),
}

impl SuspensionDetector {
    /// Creates a detector that detects suspensions from now on.
    pub fn new(clock: Clock) -> Self {
        SuspensionDetector {
            clock,
            last_readings: (clock.now(), clock.source.running_time()),
        }
    }

    /// Returns how long the machine was suspended since the last call; `None` if it was not.
    pub fn suspended_for(&mut self) -> Option<Duration> {
        let readings = (self.clock.now(), self.clock.source.running_time());
        let all = readings.0.saturating_sub(self.last_readings.0);
        let running = readings.1.saturating_duration_since(self.last_readings.1);
        self.last_readings = readings;
        let suspended = all.saturating_sub(running);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}
