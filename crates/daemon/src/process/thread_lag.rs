//! Measures how late a thread of this process handles what has arrived for it.
//!
//! A thread is late when the process gets too little processor time. Whatever times out in such a
//! span says nothing about the other side.

use std::collections::VecDeque;
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

/// How long late spans are kept: longer than the timeouts that are judged by them.
const RETENTION: Duration = Duration::from_secs(10);

/// Minimum time between two log lines about one thread.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long the latest measurement counts as current.
const LATEST_RETENTION: Duration = Duration::from_millis(50);

/// Time between two measurements of a thread that does nothing else.
const BEAT: Duration = Duration::from_millis(100);

/// A span in which the thread handled nothing that had arrived.
#[derive(Clone, Copy, Debug)]
struct LateSpan {
    from: Now,
    until: Now,
}

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
    spans: VecDeque<LateSpan>,
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
            self.state().add(LateSpan {
                from: due,
                until: now,
            });
        }
        self.log_late_spans(now);
        lateness
    }

    /// Returns for how long the thread was late between `since` and now.
    pub fn late_since(&self, since: Now) -> Duration {
        let state = self.state();
        let spans = state.spans.iter().filter(|span| span.until > since);
        spans.map(|span| span.until - span.from.max(since)).sum()
    }

    /// Returns how late the thread is, zero if no recent value is known.
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
    /// Adds a span that ends now, without what an earlier one covers.
    fn add(&mut self, span: LateSpan) {
        let covered_until = self.spans.back().map_or(Now::ZERO, |last| last.until);
        let from = span.from.max(covered_until);
        let length = span.until.saturating_sub(from);
        self.unlogged.spans += 1;
        self.unlogged.total += length;
        self.unlogged.longest = self.unlogged.longest.max(length);
        let oldest = span.until.saturating_sub(RETENTION);
        while self.spans.front().is_some_and(|s| s.until < oldest) {
            self.spans.pop_front();
        }
        let until = span.until;
        self.spans.push_back(LateSpan { from, until });
    }
}
