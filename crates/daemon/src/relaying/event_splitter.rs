//! Splits the bytes of an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Maximum size of one event: far more than any generated text, and far less than what an instance
/// has for all of its streams.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Bytes that a buffer may keep between two events.
const USUAL_BYTES: usize = 8 << 10;

/// An event is longer than any that is relayed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("an event has no end within {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// One complete event, byte for byte as received, including its closing blank line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawEvent {
    /// The bytes of the event.
    pub bytes: Bytes,
    /// The id of the event, `None` if it has no id or the id is not a number.
    pub id: Option<u64>,
}

/// Buffers bytes until events are complete. A partial event that is left after a broken
/// connection is never forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the first line whose end was not found yet.
    line_start: usize,
    /// Bytes that were searched for it, so that a long event is read once.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// An error if the event after them is longer than any that is relayed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<RawEvent>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.event_end() {
            let bytes = self.buffer.split_to(end).freeze();
            let id = event_id(&bytes);
            events.push(RawEvent { bytes, id });
        }
        self.shrink();
        match self.buffer.len() {
            0..=MAX_EVENT_BYTES => Ok(events),
            _ => Err(EventTooLong),
        }
    }

    /// Gives back the memory of long events that are complete.
    fn shrink(&mut self) {
        if self.buffer.len() <= USUAL_BYTES && self.buffer.capacity() > 2 * USUAL_BYTES {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }

    /// Returns the position after the first blank line.
    fn event_end(&mut self) -> Option<usize> {
        for position in self.searched..self.buffer.len() {
            if self.buffer[position] != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..position];
            if self.line_start > 0 && (line.is_empty() || line == b"\r") {
                (self.line_start, self.searched) = (0, 0);
                return Some(position + 1);
            }
            self.line_start = position + 1;
        }
        self.searched = self.buffer.len();
        None
    }

    /// Number of buffered bytes of an event that is not complete yet.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
