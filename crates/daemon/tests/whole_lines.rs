//! Log lines on an output that other code writes to as well.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Result;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use iristhread_daemon::WholeLineWriter;
use slog::Drain;
use slog::Logger;
use slog::info;
use slog::o;

/// A writer that records each write separately.
#[derive(Clone, Default)]
struct Writes(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for Writes {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.0.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Guards against a log line that is written in several pieces, so that another line, such as the
/// one with the addresses of a process, ends up inside it. Under load this occurred in 1 of 11
/// cases of the test `configuration`.
#[test]
fn a_record_is_one_write() {
    let writes = Writes::default();
    let json = slog_json::Json::default(WholeLineWriter::new(writes.clone())).ignore_res();
    let log = Logger::root(Mutex::new(json).ignore_res(), o!("instance" => "i1"));
    for number in 0..3 {
        info!(log, "a line"; "number" => number, "text" => "two\nlines");
    }
    let writes = writes.0.lock().unwrap();
    assert_eq!(writes.len(), 3);
    for line in writes.iter() {
        let parsed: serde_json::Value = serde_json::from_slice(line).unwrap();
        assert_eq!(parsed["msg"], "a line");
        assert!(line.ends_with(b"\n"));
    }
}
