//! The delay of this instance's own path to backend servers.
//!
//! If connection attempts take long at one server, that server is slow. If even the fastest of all
//! servers takes long, the cause is what they share: the link, the thread or the processor of this
//! instance.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use crate::BackendId;
use crate::Now;

/// How long an attempt that was answered counts.
const RETENTION: Duration = Duration::from_millis(100);

/// Number of answered attempts of which the fastest tells the delay. They must be of several servers,
/// so that a slow server is not taken for a slow path.
const SAMPLES: usize = 4;

/// Minimum number of servers that must have answered.
const MIN_SERVERS: usize = 2;

/// Number of attempts that have to be open without an answer to any before their age counts as the
/// delay. Fewer may have met failed servers.
const MIN_OPEN: usize = 3;

/// An answered connection attempt.
#[derive(Clone, Debug)]
struct Answered {
    server: BackendId,
    at: Now,
    took: Duration,
}

/// The latest connection attempts of this instance to backend servers.
#[derive(Clone, Debug, Default)]
pub struct PathDelay {
    /// The latest answered attempts, the last one first.
    answered: VecDeque<Answered>,
    /// When the attempts that are still open began.
    open: VecDeque<Now>,
}

impl PathDelay {
    /// Records that an attempt begins.
    pub fn began(&mut self, now: Now) {
        self.open.push_back(now);
    }

    /// Records that a server answered an attempt, by accepting or refusing the connection.
    pub fn answered(&mut self, now: Now, began: Now, server: &str) {
        self.closed(began);
        self.answered.truncate(SAMPLES - 1);
        self.answered.push_front(Answered {
            server: server.to_owned(),
            at: now,
            took: now.saturating_sub(began),
        });
    }

    /// Records that an attempt is not waited for any longer.
    pub fn closed(&mut self, began: Now) {
        if let Some(index) = self.open.iter().position(|open| *open == began) {
            self.open.remove(index);
        }
    }

    /// Returns the delay, zero if it is not known.
    pub fn current(&self, now: Now) -> Duration {
        self.fastest(now).max(self.unanswered_for(now))
    }

    /// Returns the time that the fastest of the latest attempts took.
    fn fastest(&self, now: Now) -> Duration {
        let recent = || {
            self.answered
                .iter()
                .filter(|answered| !answered.is_old(now))
        };
        let servers: BTreeSet<&BackendId> = recent().map(|answered| &answered.server).collect();
        if servers.len() < MIN_SERVERS {
            return Duration::ZERO;
        }
        let fastest = recent().map(|answered| answered.took).min();
        fastest.unwrap_or_default()
    }

    /// Returns for how long several attempts have been open without an answer to any attempt.
    fn unanswered_for(&self, now: Now) -> Duration {
        let last_answer = self.answered.front().map(|answered| answered.at);
        let since = |began: &Now| last_answer.map_or(*began, |answer| answer.max(*began));
        let mut waits: Vec<Duration> = self
            .open
            .iter()
            .map(|began| now.saturating_sub(since(began)))
            .collect();
        waits.sort_unstable_by(|one, other| other.cmp(one));
        waits.get(MIN_OPEN - 1).copied().unwrap_or_default()
    }
}

impl Answered {
    fn is_old(&self, now: Now) -> bool {
        now.saturating_sub(self.at) > RETENTION
    }
}
