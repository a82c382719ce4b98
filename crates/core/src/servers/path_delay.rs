//! The delay of this instance's own path to backend servers.
//!
//! If connection attempts take long at one server, that server is slow. If even the fastest of all
//! servers takes long, the cause is what they share: the link, the thread or the processor of this
//! instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::BackendId;
use crate::Now;
use crate::ZoneId;

/// Delay from which on the path counts as slow.
const SLOW_PATH: Duration = Duration::from_millis(50);

/// Timeout of a connection attempt on a path that isn't slow. A backend server accepts a connection
/// within a few milliseconds, also from another zone; a lost SYN packet is repeated only after a
/// second. Without the timeout, a request would wait at an unreachable server until its deadline and
/// end as if it might have run, although nothing was written.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest timeout on a slow path.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Multiple of the delay for which a slow path explains that nobody answers.
const SILENCE_FACTOR: u32 = 4;

/// How long an answered attempt tells the current delay.
const RETENTION: Duration = Duration::from_millis(100);

/// How long answered attempts tell by how much later others may be answered.
const TIMEOUT_RETENTION: Duration = Duration::from_secs(1);

/// Number of answered attempts of which the fastest tells the delay.
const SAMPLES: usize = 4;

/// Minimum number of servers that must have answered, so that a slow server isn't taken for a slow
/// path.
const MIN_SERVERS: usize = 2;

/// Number of attempts that have to be open without an answer to any before their age counts as the
/// delay. Fewer may have met failed servers.
const MIN_OPEN: usize = 3;

/// Time after which an availability zone may have become more distant.
const BASELINE_LIFETIME: Duration = Duration::from_secs(30);

/// An answered connection attempt.
#[derive(Clone, Debug)]
struct Answered {
    server: BackendId,
    at: Now,
    /// Time that it took beyond the least that its zone takes.
    delay: Duration,
}

/// The least time that connection attempts to a zone take, over the current and the last period.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    since: Now,
    current: Duration,
    last: Duration,
}

/// The latest connection attempts of this instance to backend servers.
#[derive(Clone, Debug, Default)]
pub struct PathDelay {
    /// The latest answered attempts, the last one first.
    answered: VecDeque<Answered>,
    /// When the attempts that are still open began.
    open: VecDeque<Now>,
    baselines: BTreeMap<ZoneId, Baseline>,
}

impl PathDelay {
    /// Records that an attempt begins.
    pub fn began(&mut self, now: Now) {
        self.open.push_back(now);
    }

    /// Records that a server answered an attempt, by accepting or refusing the connection.
    pub fn answered(&mut self, now: Now, began: Now, server: &str, zone: &str) {
        self.closed(began);
        let took = now.saturating_sub(began);
        let least = self.least_time(now, zone, took);
        self.answered.truncate(SAMPLES - 1);
        self.answered.push_front(Answered {
            server: server.to_owned(),
            at: now,
            delay: took.saturating_sub(least),
        });
    }

    /// Records that an attempt is not waited for any longer.
    pub fn closed(&mut self, began: Now) {
        if let Some(index) = self.open.iter().position(|open| *open == began) {
            self.open.remove(index);
        }
    }

    /// Returns the current delay, zero if it is not known.
    pub fn current(&self, now: Now) -> Duration {
        let fastest = self.fastest_within(now, RETENTION);
        fastest.max(self.unanswered_for(now))
    }

    /// Whether requests that are relayed now are delayed.
    pub fn is_slow(&self, now: Now) -> bool {
        self.current(now) >= SLOW_PATH
    }

    /// Returns the timeout of a connection attempt that begins now.
    pub fn connect_timeout(&self, now: Now) -> Duration {
        let delay = self.fastest_within(now, TIMEOUT_RETENTION);
        (delay * SILENCE_FACTOR).clamp(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }

    /// Whether the path was so slow at the latest answers that the silence since then shows nothing
    /// about any server.
    pub fn explains_silence(&self, now: Now) -> bool {
        let last_delay = self.fastest(|_| true);
        let Some(delay) = last_delay.filter(|delay| *delay >= SLOW_PATH) else {
            return false;
        };
        let answered_at = self.answered.front().map(|answered| answered.at);
        answered_at.is_some_and(|at| now.saturating_sub(at) < delay * SILENCE_FACTOR)
    }

    /// Returns the delay of the latest answers that are not older than `age`, zero if it is not
    /// known.
    fn fastest_within(&self, now: Now, age: Duration) -> Duration {
        let is_recent = |answered: &Answered| now.saturating_sub(answered.at) <= age;
        self.fastest(is_recent).unwrap_or_default()
    }

    /// Returns the delay of the fastest of some attempts; `None` if too few servers answered them.
    fn fastest(&self, counts: impl Fn(&Answered) -> bool) -> Option<Duration> {
        let counted = || self.answered.iter().filter(|answered| counts(answered));
        let servers: BTreeSet<&BackendId> = counted().map(|answered| &answered.server).collect();
        if servers.len() < MIN_SERVERS {
            return None;
        }
        counted().map(|answered| answered.delay).min()
    }

    /// Returns for how long several attempts have been open without an answer to any attempt.
    fn unanswered_for(&self, now: Now) -> Duration {
        let last_answer = self.answered.front().map(|answered| answered.at);
        let since = |began: &Now| last_answer.map_or(*began, |answer| answer.max(*began));
        let waits = self.open.iter().map(|open| now.saturating_sub(since(open)));
        let mut waits: Vec<Duration> = waits.collect();
        waits.sort_unstable_by(|one, other| other.cmp(one));
        waits.get(MIN_OPEN - 1).copied().unwrap_or_default()
    }

    /// Returns the least time that attempts to a zone take; `took` is one more of them.
    fn least_time(&mut self, now: Now, zone: &str, took: Duration) -> Duration {
        let first = Baseline {
            since: now,
            current: took,
            last: took,
        };
        let Some(baseline) = self.baselines.get_mut(zone) else {
            self.baselines.insert(zone.to_owned(), first);
            return took;
        };
        if now.saturating_sub(baseline.since) >= BASELINE_LIFETIME {
            baseline.last = baseline.current;
            baseline.current = took;
            baseline.since = now;
        }
        baseline.current = baseline.current.min(took);
        baseline.current.min(baseline.last)
    }
}
