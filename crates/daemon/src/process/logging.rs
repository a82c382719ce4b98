//! Writes log lines as JSON to standard output.
//!
//! No prompt, answer or key is ever passed to the logger. Logging never blocks the caller: lines
//! go through a bounded queue to a writer thread, and lines that do not fit are dropped and
//! counted.

use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::process::log_limit::LogLimit;
use crate::process::whole_line_writer::WholeLineWriter;

/// Maximum number of lines that wait for the writer thread, at most about 1 MB.
const LOG_QUEUE_CAPACITY: usize = 4_096;

/// Maximum time to wait for queued lines at the end of the process. Only a few lines are queued
/// then, and a blocked reader of the output must not delay a planned stop.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The log lines that are still queued at the end of the process.
pub struct PendingLines {
    writer: slog_async::AsyncGuard,
}

impl PendingLines {
    /// Waits until all lines are written, but no longer than 100 ms. Returns whether they are.
    pub fn written(self) -> bool {
        let (done, wait) = mpsc::channel();
        let writer = self.writer;
        std::thread::spawn(move || {
            // Joins the writer thread.
            drop(writer);
            // Fails only after the timeout, when the receiver is gone.
            let _ = done.send(());
        });
        wait.recv_timeout(FLUSH_TIMEOUT).is_ok()
    }
}

/// Creates the logger of a process, which writes to standard output.
pub fn logger(instance: &str, zone: &str, level: Level) -> (Logger, PendingLines) {
    logger_to(std::io::stdout(), instance, zone, level)
}

/// Creates a logger that writes to `writer`.
pub fn logger_to<W: Write + Send + 'static>(
    writer: W,
    instance: &str,
    zone: &str,
    level: Level,
) -> (Logger, PendingLines) {
    // A write error, such as a closed pipe, must not end the process.
    let json = slog_json::Json::default(WholeLineWriter::new(writer)).ignore_res();
    let (queued, writer) = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE_CAPACITY)
        .build_with_guard();
    let queued = queued.ignore_res();
    let limited = LogLimit::new(queued).ignore_res();
    let levelled = slog::LevelFilter::new(limited, level).ignore_res();
    let context = o!(
        "instance" => instance.to_owned(),
        "availability_zone" => zone.to_owned(),
    );
    (Logger::root(levelled, context), PendingLines { writer })
}
