//! Splits the bytes of an event stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Maximum size of one event: far more than any generated text, and far less than what an instance
/// has for all of its streams.
const MAX_EVENT_BYTES: usize = 256 << 10;

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
        while let Some(end) = event_end(&self.buffer) {
            let bytes = self.buffer.split_to(end).freeze();
            let id = event_id(&bytes);
            events.push(RawEvent { bytes, id });
        }
        match self.buffer.len() {
            0..=MAX_EVENT_BYTES => Ok(events),
            _ => Err(EventTooLong),
        }
    }

    /// Number of buffered bytes of an event that is not complete yet.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the position after the first blank line.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..position];
        if line_start > 0 && (line.is_empty() || line == b"\r") {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
