//! Bounds how many lines of one kind are logged a second.

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

/// Lines of one kind a second: more than an instance handles requests (docs/CAPACITY.md).
const LINES_PER_S: u32 = 200;

const WINDOW: Duration = Duration::from_secs(1);

/// A kind of line: the place in the code that writes it.
type Kind = (&'static str, u32);

#[derive(Debug)]
struct Window {
    began: Instant,
    passed: u32,
    left_out: u64,
}

/// Passes on a bounded number of lines of a kind a second; says how many it
/// left out. Warnings and errors always pass: failures are kept before successes.
#[derive(Debug)]
pub struct LogLimit<D> {
    inner: D,
    windows: Mutex<HashMap<Kind, Window>>,
}

impl<D> LogLimit<D> {
    /// Limits what goes to `inner`.
    pub fn new(inner: D) -> Self {
        LogLimit {
            inner,
            windows: Mutex::new(HashMap::new()),
        }
    }

    /// Whether the line passes, and how many of its kind were left out before.
    fn passes(&self, kind: Kind, now: Instant) -> (bool, u64) {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(kind).or_insert(Window {
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
        if window.passed < LINES_PER_S {
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
        let kind = (record.file(), record.line());
        let (passes, left_out) = self.passes(kind, Instant::now());
        if left_out > 0 {
            let place = RecordStatic {
                location: record.location(),
                level: Level::Warning,
                tag: record.tag(),
            };
            let count = b!("left_out" => left_out, "kind" => record.msg().to_string());
            let message = format_args!("log lines were left out");
            self.inner
                .log(&Record::new(&place, &message, count), values)?;
        }
        if !passes {
            return Ok(None);
        }
        self.inner.log(record, values).map(Some)
    }
}
