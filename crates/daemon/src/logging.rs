//! JSON lines on standard output.
//!
//! No prompt, answer or key is ever given to the logger.

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;


/// Lines that wait for the writer; more are dropped and counted by the drain.
const QUEUED_LINES: usize = 4_096;

/// The logger of a process.
pub fn logger(instance: &str, zone: &str, level: Level) -> Logger {
    let json = slog_json::Json::default(std::io::stdout()).fuse();
    let queued = slog_async::Async::new(json)
        .chan_size(QUEUED_LINES)
        .build()
        .fuse();
    let levelled = slog::LevelFilter::new(queued, level).fuse();
    let context = o!(
        "instance" => instance.to_owned(),
        "availability_zone" => zone.to_owned(),
    );
    Logger::root(levelled, context)
}
