//! The memory of one caller's connection: its buffers, and a head that outgrows them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use iristhread_core::MemoryAsk;
use iristhread_core::MemoryKind;
use iristhread_core::MemoryOwner;
use iristhread_core::MemoryShortage;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use crate::process::memory::Memory;
use crate::process::memory::MemoryClaim;

/// Bytes that an open connection takes: its buffer for reading, and its tasks.
const CONNECTION_BYTES: u64 = 12 << 10;

/// Bytes of a head that fit into the buffer of its connection.
const BUFFERED_HEAD_BYTES: usize = 8 << 10;

/// Further bytes that the buffer takes for a larger head.
const LARGE_HEAD_BYTES: u64 = 56 << 10;

/// The claims of one connection.
pub struct ConnectionMemory {
    memory: Arc<Memory>,
    head: Mutex<Head>,
    _buffers: MemoryClaim,
}

#[derive(Default)]
struct Head {
    /// Number of requests that are read or answered, for which no head is read.
    pauses: u32,
    bytes: usize,
    claim: Option<MemoryClaim>,
}

/// While this exists, no bytes of the connection count as those of a head.
pub struct HeadPause {
    connection: Option<Arc<ConnectionMemory>>,
}

impl ConnectionMemory {
    /// Claims the memory of a new connection.
    ///
    /// # Errors
    ///
    /// [`MemoryShortage`] if connections hold all that they may.
    pub fn claim(memory: &Arc<Memory>) -> Result<Arc<Self>, MemoryShortage> {
        let buffers = memory.try_claim(&ask(MemoryKind::Connection, CONNECTION_BYTES))?;
        Ok(Arc::new(ConnectionMemory {
            memory: memory.clone(),
            head: Mutex::default(),
            _buffers: buffers,
        }))
    }

    /// Records that a head was read completely. A new one begins when the pause is dropped.
    pub fn pause(connection: Option<&Arc<Self>>) -> HeadPause {
        let connection = connection.cloned();
        if let Some(connection) = &connection {
            let mut head = connection.lock();
            head.pauses += 1;
            head.bytes = 0;
            head.claim = None;
        }
        HeadPause { connection }
    }

    /// Records bytes that were read.
    fn read(&self, bytes: usize) -> Result<(), MemoryShortage> {
        let mut head = self.lock();
        if head.pauses > 0 {
            return Ok(());
        }
        head.bytes += bytes;
        if head.bytes > BUFFERED_HEAD_BYTES && head.claim.is_none() {
            let ask = ask(MemoryKind::Head, LARGE_HEAD_BYTES);
            head.claim = Some(self.memory.try_claim(&ask)?);
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Head> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for HeadPause {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.lock().pauses -= 1;
        }
    }
}

fn ask(kind: MemoryKind, bytes: u64) -> MemoryAsk {
    MemoryAsk {
        kind,
        bytes,
        owner: MemoryOwner::default(),
    }
}

/// A connection whose large heads are claimed. It breaks if there is no memory for one, or if its
/// caller reads nothing for `write_timeout`.
pub struct ClaimedStream {
    stream: TcpStream,
    memory: Option<Arc<ConnectionMemory>>,
    write_timeout: Duration,
    /// Runs while the caller reads nothing.
    stalled: Option<Pin<Box<Sleep>>>,
}

impl ClaimedStream {
    /// Takes over a connection.
    pub fn new(
        stream: TcpStream,
        memory: Option<Arc<ConnectionMemory>>,
        write_timeout: Duration,
    ) -> Self {
        ClaimedStream {
            stream,
            memory,
            write_timeout,
            stalled: None,
        }
    }

    /// Passes on the result of a write, unless writes have been pending for too long.
    fn check_progress(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let write_timeout = self.write_timeout;
        let stalled = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(write_timeout)));
        match stalled.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for ClaimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let (Poll::Ready(Ok(())), Some(memory)) = (&read, &self.memory) {
            let claimed = memory.read(buffer.filled().len() - before);
            if claimed.is_err() {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        read
    }
}

impl AsyncWrite for ClaimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_progress(context, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_progress(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
