//! Cuts the bytes of an event stream into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// One whole event as it came, with its closing blank line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawEvent {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it has a number as one.
    pub id: Option<u64>,
}

/// Collects bytes until events are whole. What a broken connection leaves of an
/// event is never passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<RawEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = end_of_event(&self.buffer) {
            let bytes = self.buffer.split_to(end).freeze();
            let id = id_of(&bytes);
            events.push(RawEvent { bytes, id });
        }
        events
    }

    /// Bytes of an event that is not whole yet.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }
}

/// Place after the first blank line.
fn end_of_event(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (place, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..place];
        if line_start > 0 && (line.is_empty() || line == b"\r") {
            return Some(place + 1);
        }
        line_start = place + 1;
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
