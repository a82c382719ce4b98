//! JSON lines on standard output.
//!
//! No prompt, answer or key is ever given to the logger. Writing never holds
//! anything up: lines wait in a bounded queue for a thread of their own, and
//! what does not fit is dropped and counted.

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::log_limit::LogLimit;
use crate::whole_lines::WholeLines;

/// Lines that wait for the writer; about a megabyte at most.
const QUEUED_LINES: usize = 4_096;

/// The logger of a process.
pub fn logger(instance: &str, zone: &str, level: Level) -> Logger {
    // A reader that went away must not end the process.
    let json = slog_json::Json::default(WholeLines::new(std::io::stdout())).ignore_res();
    let queued = slog_async::Async::new(json)
        .chan_size(QUEUED_LINES)
        .build()
        .ignore_res();
    let limited = LogLimit::new(queued).ignore_res();
    let levelled = slog::LevelFilter::new(limited, level).ignore_res();
    let context = o!(
        "instance" => instance.to_owned(),
        "availability_zone" => zone.to_owned(),
    );
    Logger::root(levelled, context)
}
