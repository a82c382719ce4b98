//! Writes whole lines only.

use std::io::Result;
use std::io::Write;

/// Collects what is written until a line is whole and then writes it at once, so
/// that lines of other threads on the same output never end up inside it.
#[derive(Debug)]
pub struct WholeLines<W> {
    out: W,
    line: Vec<u8>,
}

impl<W: Write> WholeLines<W> {
    /// Writes to `out`.
    pub fn new(out: W) -> Self {
        WholeLines {
            out,
            line: Vec::new(),
        }
    }
}

impl<W: Write> Write for WholeLines<W> {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let written = self.out.write_all(&self.line);
            self.line.clear();
            written?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        self.out.flush()
    }
}
