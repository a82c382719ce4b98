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
use crate::ConnectWindow;
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

/// Multiple of the delay for which a slow path is given time to answer an attempt.
const TIMEOUT_FACTOR: u32 = 4;

/// How long after the last answer a slow path explains that nobody answers: a full link may stall
/// for longer than it delayed the last answers. It is below the time in which a cut must be known.
const MAX_EXPLAINED_SILENCE: Duration = Duration::from_secs(2);

/// How long an answered attempt shows the current delay.
const RETENTION: Duration = Duration::from_millis(100);

/// How long answered attempts count for the timeout of others.
const TIMEOUT_RETENTION: Duration = Duration::from_secs(1);

/// Number of answered attempts of which the fastest gives the delay.
const SAMPLES: usize = 4;

/// Minimum number of servers that must have answered, so that a slow server isn't taken for a slow
/// path.
const MIN_SERVERS: usize = 2;

/// Number of attempts that have to be open without an answer to any before their age counts as the
/// delay. Fewer may have met failed servers.
const MIN_OPEN: usize = 3;

/// Time after which a connection that was read and brought no request counts no longer, unless the
/// path is slow: its caller may keep it for later.
const MAX_READ_TIME: Duration = Duration::from_secs(1);

/// Time after which an availability zone may have become more distant.
const BASELINE_LIFETIME: Duration = Duration::from_secs(30);

/// Number of an attempt, or of a connection that is read.
pub type AttemptId = u64;

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
    open: BTreeMap<AttemptId, Now>,
    /// When the connections of callers whose requests led to no attempt yet were read.
    reads: BTreeMap<AttemptId, Now>,
    last_id: AttemptId,
    window: ConnectWindow,
    baselines: BTreeMap<ZoneId, Baseline>,
}

impl PathDelay {
    /// Records that a connection of a caller is read.
    pub fn read_began(&mut self, now: Now) -> AttemptId {
        self.last_id += 1;
        self.reads.insert(self.last_id, now);
        self.last_id
    }

    /// Records that the request of a connection is sent on, or that there is none.
    pub fn read_ended(&mut self, id: AttemptId) {
        self.reads.remove(&id);
    }

    /// Records that an attempt begins.
    pub fn began(&mut self, now: Now) -> AttemptId {
        self.last_id += 1;
        self.open.insert(self.last_id, now);
        self.last_id
    }

    /// Records that a server answered an attempt, by accepting or refusing the connection.
    pub fn answered(&mut self, now: Now, began: Now, server: &str, zone: &str) {
        let took = now.saturating_sub(began);
        let least = self.least_time(now, zone, took);
        self.answered.truncate(SAMPLES - 1);
        self.answered.push_front(Answered {
            server: server.to_owned(),
            at: now,
            delay: took.saturating_sub(least),
        });
        let delay = self.current(now);
        self.window.apply(now, began, delay, self.in_use(now));
    }

    /// Records that an attempt got no answer in time.
    pub fn unanswered(&mut self, now: Now, began: Now) {
        if self.explains_silence(now) {
            let waited = now.saturating_sub(began);
            self.window.apply(now, began, waited, self.in_use(now));
        }
    }

    /// Records that an attempt is not waited for any longer.
    pub fn ended(&mut self, id: AttemptId) {
        self.open.remove(&id);
    }

    /// Returns the current delay, zero if it is not known.
    pub fn current(&self, now: Now) -> Duration {
        let fastest = self.fastest_within(now, RETENTION);
        fastest.max(self.unanswered_for(now))
    }

    /// Whether a request that is read now finds room on the path.
    pub fn has_room(&self, now: Now) -> bool {
        self.window.has_room(self.in_use(now))
    }

    /// Returns the number of requests that are read or being connected.
    fn in_use(&self, now: Now) -> usize {
        let was_slow = self.was_slow(now);
        let counts = |began: &&Now| was_slow || now.saturating_sub(**began) < MAX_READ_TIME;
        let reads = self.reads.values().filter(counts).count();
        let longest_wait = self.longest_wait(now);
        let is_on_path = |began: &&Now| now.saturating_sub(**began) < longest_wait;
        reads + self.open.values().filter(is_on_path).count()
    }

    /// Returns the time within which the path answers an attempt, judged by the latest answers. An
    /// attempt that is open for longer waits for its server.
    fn longest_wait(&self, now: Now) -> Duration {
        let answered_at = self.answered.front().map(|answered| answered.at);
        match answered_at {
            Some(at) if now.saturating_sub(at) <= RETENTION => {
                SLOW_PATH.max(self.fastest_within(now, RETENTION) * TIMEOUT_FACTOR)
            }
            _ => Duration::MAX,
        }
    }

    /// Whether the path was too slow for what was read lately.
    pub fn was_slow(&self, now: Now) -> bool {
        self.window.shrank_lately(now)
    }

    /// Returns the timeout of a connection attempt that begins now.
    pub fn connect_timeout(&self, now: Now) -> Duration {
        let delay = self.fastest_within(now, TIMEOUT_RETENTION);
        (delay * TIMEOUT_FACTOR).clamp(CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }

    /// Whether the path was so slow at the latest answers that the silence since then shows nothing
    /// about any server.
    pub fn explains_silence(&self, now: Now) -> bool {
        let was_slow = self.fastest(|_| true) >= Some(SLOW_PATH);
        let answered_at = self.answered.front().map(|answered| answered.at);
        was_slow && answered_at.is_some_and(|at| now.saturating_sub(at) < MAX_EXPLAINED_SILENCE)
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
        let waits = self
            .open
            .values()
            .map(|open| now.saturating_sub(since(open)));
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
