//! JSON lines on standard output.
//!
//! No prompt, answer or key is ever given to the logger. Writing never holds
//! anything up: lines wait in a bounded queue for a thread of their own, and
//! what does not fit is dropped and counted.

use std::io::Write;
use std::sync::mpsc;
use std::time::Duration;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::process::log_limit::LogLimit;
use crate::process::whole_lines::WholeLines;

/// Lines that wait for the writer; about a megabyte at most.
const QUEUED_LINES: usize = 4_096;

/// Longest wait for the last lines at the end of a process: they are a few, and
/// a reader that is blocked must not hold up a planned stop.
const LAST_LINES_WAIT: Duration = Duration::from_millis(100);

/// Writes what is still queued.
pub struct LastLines {
    writer: slog_async::AsyncGuard,
}

impl LastLines {
    /// Waits until all lines are written, for a short time only. Returns whether
    /// they are.
    pub fn written(self) -> bool {
        let (done, wait) = mpsc::channel();
        let writer = self.writer;
        std::thread::spawn(move || {
            // Joins the thread that writes.
            drop(writer);
            // Nobody listens when the wait was too long.
            let _ = done.send(());
        });
        wait.recv_timeout(LAST_LINES_WAIT).is_ok()
    }
}

/// The logger of a process, to standard output.
pub fn logger(instance: &str, zone: &str, level: Level) -> (Logger, LastLines) {
    logger_to(std::io::stdout(), instance, zone, level)
}

/// A logger to a writer.
pub fn logger_to<W: Write + Send + 'static>(
    writer: W,
    instance: &str,
    zone: &str,
    level: Level,
) -> (Logger, LastLines) {
    // A reader that went away must not end the process.
    let json = slog_json::Json::default(WholeLines::new(writer)).ignore_res();
    let (queued, writer) = slog_async::Async::new(json)
        .chan_size(QUEUED_LINES)
        .build_with_guard();
    let queued = queued.ignore_res();
    let limited = LogLimit::new(queued).ignore_res();
    let levelled = slog::LevelFilter::new(limited, level).ignore_res();
    let context = o!(
        "instance" => instance.to_owned(),
        "availability_zone" => zone.to_owned(),
    );
    (Logger::root(levelled, context), LastLines { writer })
}
