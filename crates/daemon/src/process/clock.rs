//! The clocks of the process, read here and passed on.

use std::fmt::Debug;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use iristhread_core::Now;
use nix::time::ClockId;

/// How far the two clocks may drift apart between two looks before that counts as a
/// suspension: they are read one after the other, and a process may wait in between.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);

/// Clocks of the machine.
pub trait ClockSource: Debug + Send + Sync {
    /// Time that goes on while the machine is suspended, since some moment.
    fn boot_time(&self) -> Duration;

    /// Time that the runtime's timers count, which stands still meanwhile.
    fn running_time(&self) -> Instant;
}

/// The clocks of this machine.
#[derive(Debug)]
pub struct MachineClocks;

impl ClockSource for MachineClocks {
    /// Where the system has no such clock, the one that stands still must do.
    fn boot_time(&self) -> Duration {
        let time = ClockId::CLOCK_BOOTTIME.now();
        let time = time.or_else(|_| ClockId::CLOCK_MONOTONIC.now());
        time.map_or(Duration::ZERO, Duration::from)
    }

    fn running_time(&self) -> Instant {
        Instant::now()
    }
}

/// Monotonic time since the start of the process, suspensions included, and wall time for
/// labels.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: &'static dyn ClockSource,
    start: Duration,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        Clock::with(&MachineClocks)
    }

    /// Starts now, by clocks of any kind.
    pub fn with(source: &'static dyn ClockSource) -> Self {
        Clock {
            source,
            start: source.boot_time(),
        }
    }

    /// Monotonic time since the start. After a suspension of 5 s all ages, deadlines and
    /// leases are 5 s older; by the clock that stands still, an instance went by what it
    /// had known before.
    pub fn now(&self) -> Now {
        self.source.boot_time().saturating_sub(self.start)
    }

    /// The same moment for timers of the runtime; ask again after a suspension, in which
    /// those stand still.
    pub fn instant(&self, at: Now) -> tokio::time::Instant {
        let left = at.saturating_sub(self.now());
        tokio::time::Instant::from_std(self.source.running_time() + left)
    }

    /// Milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.unwrap_or(Duration::ZERO);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Notices that the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionWatch {
    clock: Clock,
    seen: (Now, Instant),
}

impl SuspensionWatch {
    /// Watches from now on.
    pub fn new(clock: Clock) -> Self {
        SuspensionWatch {
            clock,
            seen: (clock.now(), clock.source.running_time()),
        }
    }

    /// How long the machine was suspended since this was asked last, if it was.
    pub fn suspended_for(&mut self) -> Option<Duration> {
        let seen = (self.clock.now(), self.clock.source.running_time());
        let all = seen.0.saturating_sub(self.seen.0);
        let running = seen.1.saturating_duration_since(self.seen.1);
        self.seen = seen;
        let suspended = all.saturating_sub(running);
        (suspended >= LEAST_SUSPENSION).then_some(suspended)
    }
}
