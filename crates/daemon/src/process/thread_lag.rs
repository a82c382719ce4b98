//! Measures how late a thread of this process handles what has arrived for it.
//!
//! A thread is late when the process gets too little processor time. Whatever times out in such a
//! span says nothing about the other side.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_core::Now;
use slog::Logger;
use slog::info;

use crate::process::clock::Clock;

/// Lateness from which on a span is kept and logged. Timers and the scheduler of the operating
/// system account for less.
pub const MIN_LATENESS: Duration = Duration::from_millis(20);

/// Minimum time between two log lines about one thread.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long a measurement tells how late a thread is now.
const LATEST_RETENTION: Duration = Duration::from_millis(50);

/// Time between two measurements of a thread that does nothing else.
const BEAT: Duration = Duration::from_millis(100);

/// Late spans since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Unlogged {
    spans: u32,
    total: Duration,
    longest: Duration,
}

#[derive(Debug, Default)]
struct State {
    /// The latest measurement and its time.
    latest: Option<(Now, Duration)>,
    unlogged: Unlogged,
    logged_at: Option<Now>,
}

/// Receives every measured lateness.
pub type LatenessObserver = Arc<dyn Fn(Duration) + Send + Sync>;

/// The lateness of one thread. Clones share it.
#[derive(Clone)]
pub struct ThreadLag {
    thread: &'static str,
    clock: Clock,
    observer: LatenessObserver,
    log: Logger,
    state: Arc<Mutex<State>>,
}

impl fmt::Debug for ThreadLag {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("ThreadLag");
        debug.field("thread", &self.thread).finish_non_exhaustive()
    }
}

impl ThreadLag {
    /// Creates the record of a thread that was never late.
    pub fn new(
        thread: &'static str,
        clock: Clock,
        observer: LatenessObserver,
        log: Logger,
    ) -> Self {
        ThreadLag {
            thread,
            clock,
            observer,
            log,
            state: Arc::default(),
        }
    }

    /// Records that something that was due at `due` is handled only now. Returns how late that is.
    pub fn handled(&self, due: Now) -> Duration {
        let now = self.clock.now();
        let lateness = now.saturating_sub(due);
        (self.observer)(lateness);
        self.state().latest = Some((now, lateness));
        if lateness >= MIN_LATENESS {
            self.state().add(lateness);
        }
        self.log_late_spans(now);
        lateness
    }

    /// Returns how late the thread is, zero if it was not measured lately.
    pub fn latest(&self) -> Duration {
        let now = self.clock.now();
        let latest = self.state().latest;
        let recent = latest.filter(|(at, _)| now.saturating_sub(*at) <= LATEST_RETENTION);
        recent.map_or(Duration::ZERO, |(_, lateness)| lateness)
    }

    /// Measures this thread until the process ends.
    pub async fn run(self) {
        loop {
            let due = self.clock.now() + BEAT;
            tokio::time::sleep(BEAT).await;
            self.handled(due);
        }
    }

    fn log_late_spans(&self, now: Now) {
        let mut state = self.state();
        let waited = state.logged_at.map(|at| now.saturating_sub(at));
        if state.unlogged.spans == 0 || waited.is_some_and(|waited| waited < LOG_INTERVAL) {
            return;
        }
        let late = std::mem::take(&mut state.unlogged);
        state.logged_at = Some(now);
        drop(state);
        info!(self.log, "a thread of this process was late";
            "thread" => self.thread,
            "times" => late.spans,
            "late_ms" => late.total.as_millis() as u64,
            "longest_ms" => late.longest.as_millis() as u64);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let locked = self.state.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn add(&mut self, lateness: Duration) {
        self.unlogged.spans += 1;
        self.unlogged.total += lateness;
        self.unlogged.longest = self.unlogged.longest.max(lateness);
    }
}
