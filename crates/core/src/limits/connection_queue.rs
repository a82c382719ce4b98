//! Connections that were accepted but not read yet.
//!
//! An instance that reads more than it can handle serves nothing of it in time. So it reads one more
//! connection only while it is not late with what it has read before. Connections that would wait
//! for long are closed unread: their callers know at once that nothing has run, and can try another
//! instance.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Now;

/// Time after which a connection is closed unread.
const MAX_WAIT: Duration = Duration::from_millis(80);

/// Wait from which on the newest connection is read first.
const LONG_WAIT: Duration = Duration::from_millis(40);

/// Number of turns in which a connection has to be passed over before it is closed: a few late turns
/// of the thread are no overload.
const MIN_PASSES: u32 = 5;

#[derive(Debug)]
struct Waiting<C> {
    connection: C,
    since: Now,
    passes: u32,
}

/// Accepted connections in the order of their arrival.
#[derive(Debug)]
pub struct ConnectionQueue<C> {
    waiting: VecDeque<Waiting<C>>,
    max_waiting: usize,
}

impl<C> ConnectionQueue<C> {
    /// Creates an empty queue for at most `max_waiting` connections.
    pub fn new(max_waiting: usize) -> Self {
        ConnectionQueue {
            waiting: VecDeque::new(),
            max_waiting,
        }
    }

    /// Whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a connection. Returns the one that has to be closed for it if the queue is full.
    pub fn push(&mut self, now: Now, connection: C) -> Option<C> {
        self.waiting.push_back(Waiting {
            connection,
            since: now,
            passes: 0,
        });
        let is_over = self.waiting.len() > self.max_waiting;
        let oldest = is_over.then(|| self.waiting.pop_front()).flatten();
        oldest.map(|oldest| oldest.connection)
    }

    /// Takes the connection to be read next. If connections wait for long, the newest goes first: its
    /// caller has the most time left.
    pub fn next(&mut self, now: Now) -> Option<C> {
        let oldest = self.waiting.front()?;
        let next = match now.saturating_sub(oldest.since) >= LONG_WAIT {
            true => self.waiting.pop_back(),
            false => self.waiting.pop_front(),
        };
        next.map(|next| next.connection)
    }

    /// Records that the connections that wait were passed over in one turn of the thread.
    pub fn pass_over(&mut self) {
        for waiting in &mut self.waiting {
            waiting.passes += 1;
        }
    }

    /// Takes the connections that have waited for too long, to be closed unread.
    pub fn take_expired(&mut self, now: Now) -> Vec<C> {
        let is_expired = |waiting: &Waiting<C>| {
            now.saturating_sub(waiting.since) >= MAX_WAIT && waiting.passes >= MIN_PASSES
        };
        let expired = self.waiting.iter().take_while(|w| is_expired(w)).count();
        let expired = self.waiting.drain(..expired);
        expired.map(|waiting| waiting.connection).collect()
    }
}
