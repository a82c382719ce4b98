//! The story of one request, or of what is believed of servers and the directory, out of
//! gateways' logs.

use std::io::BufRead;

use serde_json::Map;
use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Fields that stand in each line and are shown apart or not at all.
const COMMON_FIELDS: [&str; 6] = [
    "msg",
    "level",
    "ts",
    "instance",
    "availability_zone",
    "request",
];

/// Lines that tell of a change in what is believed, and of the waits on the way to it.
const BELIEFS: [&str; 18] = [
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
    "zone is evacuated: nothing new goes there",
    "zone is no longer evacuated",
];

/// Most lines that are kept: some hundred bytes each.
const MAX_TRACE_ENTRIES: usize = 200_000;

/// What a story is about.
#[derive(Debug)]
enum Topic {
    Request(String),
    Beliefs,
}

impl Topic {
    /// Whether a line may be about it; most are not, and needn't be parsed.
    fn may_match(&self, line: &str) -> bool {
        match self {
            Topic::Request(request) => line.contains(request),
            Topic::Beliefs => BELIEFS.iter().any(|message| line.contains(message)),
        }
    }

    fn matches_topic(&self, message: &str, request: Option<&str>) -> bool {
        match self {
            Topic::Request(id) => request == Some(id),
            Topic::Beliefs => BELIEFS.contains(&message),
        }
    }
}

/// What one instance logged about the topic.
#[derive(Debug)]
struct Step {
    at: OffsetDateTime,
    instance: String,
    text: String,
}

/// The lines about one topic, from all instances, in any order.
#[derive(Debug)]
pub struct LogTrace {
    topic: Topic,
    steps: Vec<Step>,
    /// Lines about it that were more than are kept.
    pub dropped_lines: u64,
}

impl LogTrace {
    /// Knows nothing yet about a request.
    pub fn of(request: &str) -> Self {
        LogTrace::about(Topic::Request(request.to_owned()))
    }

    /// Knows nothing yet about what the instances believe.
    pub fn of_state_changes() -> Self {
        LogTrace::about(Topic::Beliefs)
    }

    fn about(topic: Topic) -> Self {
        LogTrace {
            topic,
            steps: Vec::new(),
            dropped_lines: 0,
        }
    }

    /// Reads logs; lines that are about something else, or are none, are passed over.
    ///
    /// # Errors
    ///
    /// When the source can't be read on.
    pub fn read(&mut self, mut source: impl BufRead) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while source.read_until(b'\n', &mut bytes)? > 0 {
            let line = String::from_utf8_lossy(&bytes);
            if self.topic.may_match(&line)
                && let Some(step) = parse_entry(&line, &self.topic)
            {
                self.keep(step);
            }
            bytes.clear();
        }
        Ok(())
    }

    fn keep(&mut self, step: Step) {
        match self.steps.len() < MAX_TRACE_ENTRIES {
            true => self.steps.push(step),
            false => self.dropped_lines += 1,
        }
    }

    /// The story in order of time; `None` when no line is about the topic.
    pub fn text(&mut self) -> Option<String> {
        self.steps.sort_by_key(|step| step.at);
        let start = self.steps.first()?.at;
        let lines = self.steps.iter().map(|step| {
            let after_ms = (step.at - start).whole_milliseconds();
            format!("+{after_ms} ms  {}: {}\n", step.instance, step.text)
        });
        Some(lines.collect())
    }
}

fn parse_entry(line: &str, topic: &Topic) -> Option<Step> {
    let json = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json.trim_end()).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    let message = text("msg")?;
    if !topic.matches_topic(message, text("request")) {
        return None;
    }
    let at = OffsetDateTime::parse(text("ts")?, &Rfc3339).ok()?;
    let shown = fields
        .iter()
        .filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null());
    let shown: Vec<String> = shown
        .map(|(name, value)| format_field(name, value))
        .collect();
    Some(Step {
        at,
        instance: text("instance")?.to_owned(),
        text: match shown.is_empty() {
            true => message.to_owned(),
            false => format!("{message} ({})", shown.join(", ")),
        },
    })
}

fn format_field(name: &str, value: &Value) -> String {
    match value {
        Value::String(text) => format!("{name} {text}"),
        other => format!("{name} {other}"),
    }
}
