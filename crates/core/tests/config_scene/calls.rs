//! Simulated calls over connections that are pooled, stall, or get no answer.

use std::time::Duration;

use iristhread_core::ConfigVersion;
use iristhread_core::Now;

/// Round-trip time to the directory or a peer.
const ROUND_TRIP: Duration = Duration::from_millis(10);

/// Idle connections, each with the time of its last use.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Vec<Connection>,
}

/// A connection to the directory or a peer.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    used_at: Now,
    is_stalled: bool,
}

impl Connection {
    pub fn new(now: Now) -> Connection {
        Connection {
            used_at: now,
            is_stalled: false,
        }
    }

    pub fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    pub fn stall(&mut self) {
        self.is_stalled = true;
    }
}

impl Pool {
    /// Returns the last used connection that was idle for at most `max_idle`, or a new one.
    pub fn take(&mut self, now: Now, max_idle: Duration) -> Connection {
        self.idle
            .retain(|connection| now.saturating_sub(connection.used_at) <= max_idle);
        self.idle.pop().unwrap_or(Connection::new(now))
    }

    /// Returns a connection to the pool after an answer.
    pub fn put_back(&mut self, now: Now, mut connection: Connection) {
        connection.used_at = now;
        self.idle.push(connection);
    }

    pub fn stall(&mut self) {
        for connection in &mut self.idle {
            connection.stall();
        }
    }
}

/// A call to the directory that is in flight.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub sent: Now,
    /// The version after which a watch waits; `None` for a full read.
    pub after: Option<ConfigVersion>,
    pub wait: Duration,
    pub connection: Connection,
    pub hangs: bool,
}

impl Call {
    /// Returns the time of the answer, and its version.
    pub fn answer(&self, acked: &[(ConfigVersion, Now)]) -> (Now, ConfigVersion) {
        let update = |after| acked.iter().find(|(version, _)| *version > after);
        let at = match self.after.map(update) {
            None => self.sent,
            Some(None) => self.sent + self.wait,
            Some(Some((_, acked_at))) => (*acked_at).clamp(self.sent, self.sent + self.wait),
        };
        let known = acked.iter().rev().find(|(_, acked_at)| *acked_at <= at);
        (at + ROUND_TRIP, known.map_or(0, |(version, _)| *version))
    }
}
