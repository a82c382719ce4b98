//! Limits the rate of log lines per call site.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slog::Drain;
use slog::Level;
use slog::OwnedKVList;
use slog::Record;
use slog::RecordStatic;
use slog::b;

/// Maximum number of lines per second and call site. It is higher than the number of requests per
/// second that an instance handles (docs/CAPACITY.md).
const MAX_LINES_PER_S: u32 = 200;

const WINDOW: Duration = Duration::from_secs(1);

/// File and line of the code that writes a log line.
type CallSite = (&'static str, u32);

/// Counts the lines of one call site within one second.
#[derive(Debug)]
struct Window {
    began: Instant,
    passed: u32,
    left_out: u64,
}

/// Passes on a limited number of lines per second and call site, and logs how many it dropped.
/// Warnings and errors always pass, so that failures are never dropped in favour of successes.
#[derive(Debug)]
pub struct LogLimit<D> {
    inner: D,
    windows: Mutex<HashMap<CallSite, Window>>,
}

impl<D> LogLimit<D> {
    /// Creates a limit in front of `inner`.
    pub fn new(inner: D) -> Self {
        LogLimit {
            inner,
            windows: Mutex::new(HashMap::new()),
        }
    }

    /// Returns whether the line passes, and how many lines of its call site were dropped in the
    /// window that this line ends, if it ends one.
    fn passes(&self, call_site: CallSite, now: Instant) -> (bool, u64) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(call_site).or_insert(Window {
            began: now,
            passed: 0,
            left_out: 0,
        });
        let mut left_out = 0;
        if now.duration_since(window.began) >= WINDOW {
            left_out = window.left_out;
            *window = Window {
                began: now,
                passed: 0,
                left_out: 0,
            };
        }
        if window.passed < MAX_LINES_PER_S {
            window.passed += 1;
            return (true, left_out);
        }
        window.left_out += 1;
        (false, left_out)
    }
}

impl<D: Drain> Drain for LogLimit<D> {
    type Ok = Option<D::Ok>;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<Self::Ok, Self::Err> {
        if record.level().is_at_least(Level::Warning) {
            return self.inner.log(record, values).map(Some);
        }
        let call_site = (record.file(), record.line());
        let (passes, left_out) = self.passes(call_site, Instant::now());
        if left_out > 0 {
            let warning = RecordStatic {
                location: record.location(),
                level: Level::Warning,
                tag: record.tag(),
            };
            let count = b!("left_out" => left_out, "kind" => record.msg().to_string());
            let message = format_args!("log lines were dropped by the rate limit");
            self.inner
                .log(&Record::new(&warning, &message, count), values)?;
        }
        if !passes {
            return Ok(None);
        }
        self.inner.log(record, values).map(Some)
    }
}
