//! Traces from gateway logs: of one request, or of the changes in what the instances know of
//! backend servers, zones and the directory.

use std::io::BufRead;

use serde_json::Map;
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Fields that every line has; they are shown separately or omitted.
const COMMON_FIELDS: [&str; 6] = [
    "msg",
    "level",
    "ts",
    "instance",
    "availability_zone",
    "request",
];

/// Messages that report a change of state, or a wait that delayed one.
const STATE_CHANGES: [&str; 20] = [
    "directory lost",
    "directory regained",
    "directory came back from an older copy",
    "entry of the directory can't be used",
    "a peer has a newer configuration",
    "reading of the configuration",
    "call to the directory failed",
    "fetched from a peer",
    "peer can't be asked",
    "configuration in force",
    "peer fell silent",
    "the machine was suspended",
    "backend server says that it leaves",
    "backend server rests",
    "backend server names a limit",
    "backend server names a limit no more",
    "speed of a backend server changed",
    "zone is evacuated: nothing new goes there",
    "zone is no longer evacuated",
    "memory kept for moves",
];

/// Maximum number of entries that are kept in memory, at a few hundred bytes each.
const MAX_TRACE_ENTRIES: usize = 200_000;

/// Subject of a trace.
#[derive(Debug)]
enum Topic {
    Request(String),
    StateChanges,
}

impl Topic {
    /// Returns whether a line may concern the topic. Most lines don't and need not be parsed.
    fn may_match(&self, line: &str) -> bool {
        match self {
            Topic::Request(request) => line.contains(request),
            Topic::StateChanges => STATE_CHANGES.iter().any(|message| line.contains(message)),
        }
    }

    fn matches_topic(&self, message: &str, request: Option<&str>) -> bool {
        match self {
            Topic::Request(id) => request == Some(id),
            Topic::StateChanges => STATE_CHANGES.contains(&message),
        }
    }
}

/// A log line of one instance that concerns the topic.
#[derive(Debug)]
struct Entry {
    at: OffsetDateTime,
    instance: String,
    text: String,
}

/// The log lines that concern one topic, read from all instances in any order.
#[derive(Debug)]
pub struct LogTrace {
    topic: Topic,
    entries: Vec<Entry>,
    /// Number of matching lines that were dropped because the trace was full.
    pub dropped_lines: u64,
}

impl LogTrace {
    /// Creates an empty trace of a request.
    pub fn of(request: &str) -> Self {
        LogTrace::new(Topic::Request(request.to_owned()))
    }

    /// Creates an empty trace of the state changes of the instances.
    pub fn of_state_changes() -> Self {
        LogTrace::new(Topic::StateChanges)
    }

    fn new(topic: Topic) -> Self {
        LogTrace {
            topic,
            entries: Vec::new(),
            dropped_lines: 0,
        }
    }

    /// Reads a log; skips lines that don't concern the topic and text that is not a log line.
    ///
    /// # Errors
    ///
    /// The I/O error if reading from the source fails.
    pub fn read(&mut self, mut source: impl BufRead) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while source.read_until(b'\n', &mut bytes)? > 0 {
            let line = String::from_utf8_lossy(&bytes);
            if self.topic.may_match(&line)
                && let Some(entry) = parse_entry(&line, &self.topic)
            {
                self.keep(entry);
            }
            bytes.clear();
        }
        Ok(())
    }

    fn keep(&mut self, entry: Entry) {
        match self.entries.len() < MAX_TRACE_ENTRIES {
            true => self.entries.push(entry),
            false => self.dropped_lines += 1,
        }
    }

    /// Returns the trace in order of time, or `None` if no line concerns the topic.
    pub fn text(&mut self) -> Option<String> {
        self.entries.sort_by_key(|entry| entry.at);
        let start = self.entries.first()?.at;
        let lines = self.entries.iter().map(|entry| {
            let after_ms = (entry.at - start).whole_milliseconds();
            format!("+{after_ms} ms  {}: {}\n", entry.instance, entry.text)
        });
        Some(lines.collect())
    }
}

fn parse_entry(line: &str, topic: &Topic) -> Option<Entry> {
    let json = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json.trim_end()).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    let message = text("msg")?;
    if !topic.matches_topic(message, text("request")) {
        return None;
    }
    let at = OffsetDateTime::parse(text("ts")?, &Rfc3339).ok()?;
    let details = fields
        .iter()
        .filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null());
    let details: Vec<String> = details
        .map(|(name, value)| format_field(name, value))
        .collect();
    Some(Entry {
        at,
        instance: text("instance")?.to_owned(),
        text: match details.is_empty() {
            true => message.to_owned(),
            false => format!("{message} ({})", details.join(", ")),
        },
    })
}

fn format_field(name: &str, value: &Value) -> String {
    match value {
        Value::String(text) => format!("{name} {text}"),
        other => format!("{name} {other}"),
    }
}
