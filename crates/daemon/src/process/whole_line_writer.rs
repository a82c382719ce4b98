//! A writer that never splits a line across writes.

use std::io::Result;
use std::io::Write;

/// Buffers bytes until a line is complete and then writes the line in one call, so that lines that
/// other threads write to the same output never end up inside it.
#[derive(Debug)]
pub struct WholeLineWriter<W> {
    out: W,
    line: Vec<u8>,
}

impl<W: Write> WholeLineWriter<W> {
    /// Creates a writer in front of `out`.
    pub fn new(out: W) -> Self {
        WholeLineWriter {
            out,
            line: Vec::new(),
        }
    }
}

impl<W: Write> Write for WholeLineWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let result = self.out.write_all(&self.line);
            self.line.clear();
            result?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        self.out.flush()
    }
}
