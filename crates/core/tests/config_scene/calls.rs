//! Calls over connections that are kept, fall silent, or lead nowhere.

use std::time::Duration;

use iristhread_core::ConfigVersion;
use iristhread_core::Now;

/// Way to the directory or a peer and back.
const ROUND_TRIP: Duration = Duration::from_millis(10);

/// Connections that rest between two calls, each with its last use.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    resting: Vec<Connection>,
}

/// A connection to one place.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    used_at: Now,
    is_silent: bool,
}

impl Connection {
    pub fn new(now: Now) -> Connection {
        Connection {
            used_at: now,
            is_silent: false,
        }
    }

    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    pub fn fall_silent(&mut self) {
        self.is_silent = true;
    }
}

impl Pool {
    /// The connection used last that has not rested for longer than `rest`, or a new one.
    pub fn take(&mut self, now: Now, rest: Duration) -> Connection {
        self.resting
            .retain(|connection| now.saturating_sub(connection.used_at) <= rest);
        self.resting.pop().unwrap_or(Connection::new(now))
    }

    /// Keeps a connection on which an answer came.
    pub fn keep(&mut self, now: Now, mut connection: Connection) {
        connection.used_at = now;
        self.resting.push(connection);
    }

    pub fn fall_silent(&mut self) {
        for connection in &mut self.resting {
            connection.fall_silent();
        }
    }
}

/// A call to the directory that is under way.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub sent: Now,
    /// The version after which a watch waits; `None` reads all.
    pub after: Option<ConfigVersion>,
    pub wait: Duration,
    pub connection: Connection,
    pub hangs: bool,
}

impl Call {
    /// When the directory answers, and with which version.
    pub fn answer(&self, acked: &[(ConfigVersion, Now)]) -> (Now, ConfigVersion) {
        let news = |after| acked.iter().find(|(version, _)| *version > after);
        let at = match self.after.map(news) {
            None => self.sent,
            Some(None) => self.sent + self.wait,
            Some(Some((_, acked_at))) => (*acked_at).clamp(self.sent, self.sent + self.wait),
        };
        let known = acked.iter().rev().find(|(_, acked_at)| *acked_at <= at);
        (at + ROUND_TRIP, known.map_or(0, |(version, _)| *version))
    }
}
