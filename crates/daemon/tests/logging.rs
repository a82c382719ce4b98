//! Log lines that are still queued at the end of a process.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Result;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use iristhread_daemon::logger_to;
use slog::Level;
use slog::info;

/// A writer that takes `write_time` for each write.
#[derive(Clone, Default)]
struct SlowWriter {
    text: Arc<Mutex<String>>,
    write_time: Duration,
}

impl Write for SlowWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        std::thread::sleep(self.write_time);
        let text = String::from_utf8_lossy(bytes);
        self.text.lock().unwrap().push_str(&text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Guards against losing the lines that are queued when the process ends, among them the line that
/// logs the end of a planned stop.
#[test]
fn queued_lines_are_written_at_the_end() {
    let writer = SlowWriter {
        write_time: Duration::from_millis(5),
        ..SlowWriter::default()
    };
    let (log, pending_lines) = logger_to(writer.clone(), "i1", "z1", Level::Info);
    for number in 0..5 {
        info!(log, "line"; "number" => number);
    }
    assert!(pending_lines.written());
    assert_eq!(writer.text.lock().unwrap().lines().count(), 5);
}

#[test]
fn blocked_output_does_not_delay_the_end() {
    let writer = SlowWriter {
        write_time: Duration::from_secs(3_600),
        ..SlowWriter::default()
    };
    let (log, pending_lines) = logger_to(writer, "i1", "z1", Level::Info);
    info!(log, "line");
    assert!(!pending_lines.written());
}
