//! The last lines of a process that ends.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Result;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use iristhread_daemon::logger_to;
use slog::Level;
use slog::info;

/// Takes a while for each line.
#[derive(Clone, Default)]
struct SlowWriter {
    text: Arc<Mutex<String>>,
    line_takes: Duration,
}

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        std::thread::sleep(self.line_takes);
        let text = String::from_utf8_lossy(bytes);
        self.text.lock().unwrap().push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Once the queue went down with the process: no planned stop told its end.
#[test]
fn queued_lines_are_written_at_the_end() {
    let writer = SlowWriter {
        line_takes: Duration::from_millis(5),
        ..SlowWriter::default()
    };
    let (log, last_lines) = logger_to(writer.clone(), "i1", "z1", Level::Info);
    for number in 0..5 {
        info!(log, "line"; "number" => number);
    }
    assert!(last_lines.written());
    assert_eq!(writer.text.lock().unwrap().lines().count(), 5);
}

#[test]
fn a_blocked_reader_does_not_hold_up_the_end() {
    let writer = SlowWriter {
        line_takes: Duration::from_secs(3_600),
        ..SlowWriter::default()
    };
    let (log, last_lines) = logger_to(writer, "i1", "z1", Level::Info);
    info!(log, "line");
    assert!(!last_lines.written());
}
