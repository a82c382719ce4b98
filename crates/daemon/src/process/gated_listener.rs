//! Accepts the connections of callers, and hands them on to be read only as far as the instance
//! can handle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use iristhread_core::ConnectionQueue;
use iristhread_core::MemoryShortage;
use iristhread_core::Now;
use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::process::clock::Clock;
use crate::process::connection_memory::ConnectionMemory;
use crate::process::http_server::AcceptConnections;
use crate::process::http_server::Accepted;
use crate::process::read_permit::ReadPermit;

/// Maximum number of connections that wait to be read. More can't be read within the longest wait.
const MAX_WAITING: usize = 256;

/// Maximum number of connections that are accepted in one turn, so that other tasks have theirs.
const MAX_ACCEPTED: usize = 64;

/// Lateness of this thread, or of the control thread, from which on fewer connections are read in a
/// turn. Heartbeats and the events of streams can wait for a multiple of it.
const MAX_LATENESS: Duration = Duration::from_millis(50);

/// Pause between two turns in which only one connection may be read.
const LATE_READ_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks at an instance that has no room for a request.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Pause after a failed accept: the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Maximum number of connections that are read in one turn of the thread.
const MAX_READS_PER_TURN: usize = 32;

/// Minimum time between two log lines about connections that were closed unread.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How late the parts of an instance are with what it has read, other than the accepting thread.
#[derive(Clone, Copy, Debug)]
pub struct Lateness {
    /// Whether one more request finds room on the path to backend servers.
    pub has_room: bool,
    /// Time for which messages wait for the control thread.
    pub control_wait: Duration,
    /// Delay of the path to backend servers, zero if it is not measured.
    pub path_delay: Duration,
}

/// Tells whether an instance is late with what it has read.
pub trait LoadSignal: Send + Sync {
    /// Returns the current lateness.
    fn lateness(&self) -> Lateness;

    /// Records that a connection is read. It counts as being read until the permit is dropped.
    fn read_permit(&self) -> Option<ReadPermit>;

    /// Claims the memory of one more connection; `None` if it is not counted.
    ///
    /// # Errors
    ///
    /// [`MemoryShortage`] if connections hold all that they may.
    fn connection_memory(&self) -> Result<Option<Arc<ConnectionMemory>>, MemoryShortage> {
        Ok(None)
    }

    /// Counts connections that were closed unread.
    fn closed_unread(&self, count: usize);
}

/// Connections that were closed unread since the last log line.
#[derive(Debug, Default)]
struct Unlogged {
    count: usize,
    logged_at: Option<Now>,
}

/// A listener that closes connections unread while the instance is late.
pub struct GatedListener {
    listener: TcpListener,
    queue: ConnectionQueue<(TcpStream, SocketAddr)>,
    load: Arc<dyn LoadSignal>,
    clock: Clock,
    /// How late this thread was at its last turn.
    turn: Duration,
    /// Pause before the next turn.
    pause: Duration,
    /// Number of connections that may be read in a turn: the shorter turns are, the more.
    reads_per_turn: usize,
    /// Number of connections that may still be read in this turn.
    reads_left: usize,
    unlogged: Unlogged,
    log: Logger,
}

impl GatedListener {
    /// Takes over a listener.
    pub fn new(
        listener: TcpListener,
        load: Arc<dyn LoadSignal>,
        clock: Clock,
        log: Logger,
    ) -> Self {
        GatedListener {
            listener,
            queue: ConnectionQueue::new(MAX_WAITING),
            load,
            clock,
            turn: Duration::ZERO,
            pause: Duration::ZERO,
            reads_per_turn: MAX_READS_PER_TURN,
            reads_left: 0,
            unlogged: Unlogged::default(),
            log,
        }
    }

    /// Accepts what has arrived. Waits for the first connection if none is in the queue.
    async fn accept_arrived(&mut self) -> std::io::Result<()> {
        if self.queue.is_empty() {
            let first = self.listener.accept().await?;
            self.push(first);
        }
        for _ in 0..MAX_ACCEPTED {
            let Some(accepted) = self.listener.accept().now_or_never() else {
                break;
            };
            self.push(accepted?);
        }
        Ok(())
    }

    fn push(&mut self, accepted: (TcpStream, SocketAddr)) {
        let closed = self.queue.push(self.clock.now(), accepted);
        self.count_closed(usize::from(closed.is_some()));
    }

    /// Gives the other tasks of this thread a turn, and measures how long that takes.
    async fn pass_turn(&mut self) {
        let due = self.clock.now() + self.pause;
        match self.pause.is_zero() {
            true => tokio::task::yield_now().await,
            false => tokio::time::sleep(self.pause).await,
        }
        self.turn = self.clock.now().saturating_sub(due);
        self.queue.pass_over();
    }

    /// Begins a turn: accepts what has arrived, closes what waited too long, and decides how many
    /// connections may be read.
    async fn begin_turn(&mut self) -> std::io::Result<()> {
        self.pass_turn().await;
        self.accept_arrived().await?;
        let expired = self.queue.take_expired(self.clock.now());
        self.count_closed(expired.len());
        let lateness = self.turn.max(self.load.lateness().control_wait);
        self.reads_per_turn = match lateness < MAX_LATENESS {
            true => (self.reads_per_turn * 2).min(MAX_READS_PER_TURN),
            false => (self.reads_per_turn / 2).max(1),
        };
        self.pause = match self.reads_per_turn {
            1 => LATE_READ_INTERVAL,
            _ => Duration::ZERO,
        };
        self.reads_left = self.reads_per_turn;
        Ok(())
    }

    /// Takes the connection to be read next, if the instance can handle one more.
    fn next_read(&mut self) -> Option<(TcpStream, SocketAddr)> {
        self.reads_left = self.reads_left.checked_sub(1)?;
        if !self.load.lateness().has_room {
            self.pause = self.pause.max(LOOK_INTERVAL);
            return None;
        }
        self.queue.next(self.clock.now())
    }

    fn count_closed(&mut self, count: usize) {
        if count == 0 {
            return;
        }
        self.load.closed_unread(count);
        self.unlogged.count += count;
        let now = self.clock.now();
        let waited = self.unlogged.logged_at.map(|at| now.saturating_sub(at));
        if waited.is_some_and(|waited| waited < LOG_INTERVAL) {
            return;
        }
        self.unlogged.logged_at = Some(now);
        let count = std::mem::take(&mut self.unlogged.count);
        let lateness = self.load.lateness();
        warn!(self.log, "connections were closed unread: the instance bears no more requests";
            "count" => count,
            "turn_ms" => self.turn.as_millis() as u64,
            "control_wait_ms" => lateness.control_wait.as_millis() as u64,
            "path_delay_ms" => lateness.path_delay.as_millis() as u64);
    }
}

impl AcceptConnections for GatedListener {
    async fn accept(&mut self) -> std::io::Result<Accepted> {
        loop {
            if let Some((stream, address)) = self.next_read() {
                let Ok(memory) = self.load.connection_memory() else {
                    self.count_closed(1);
                    continue;
                };
                return Ok(Accepted {
                    stream,
                    address,
                    permit: self.load.read_permit(),
                    memory,
                });
            }
            if let Err(error) = self.begin_turn().await {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                return Err(error);
            }
        }
    }
}
