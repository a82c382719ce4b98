//! JSON lines on standard error.
//!
//! No prompt, answer or key is ever given to the logger.

use slog::Drain;
use slog::Logger;
use slog::o;

use crate::Settings;

/// Lines that wait for the writer; more are dropped and counted by the drain.
const QUEUED_LINES: usize = 4_096;

/// The logger of a process.
pub fn logger(settings: &Settings) -> Logger {
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let queued = slog_async::Async::new(json)
        .chan_size(QUEUED_LINES)
        .build()
        .fuse();
    let levelled = slog::LevelFilter::new(queued, settings.log_level).fuse();
    let context = o!(
        "instance" => settings.instance.clone(),
        "availability_zone" => settings.zone.clone(),
    );
    Logger::root(levelled, context)
}
