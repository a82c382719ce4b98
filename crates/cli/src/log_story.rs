//! The story of one request out of gateways' logs.

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

/// What one instance logged about the request.
#[derive(Debug)]
struct Step {
    at: OffsetDateTime,
    instance: String,
    text: String,
}

/// The lines about one request, from all instances, in any order.
#[derive(Debug)]
pub struct LogStory {
    request: String,
    steps: Vec<Step>,
}

impl LogStory {
    /// Knows nothing yet about a request.
    pub fn of(request: &str) -> Self {
        LogStory {
            request: request.to_owned(),
            steps: Vec::new(),
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
            // Most lines are about others: only those that name it are parsed.
            if line.contains(&self.request) {
                let step = step_of(&line, &self.request);
                self.steps.extend(step);
            }
            bytes.clear();
        }
        Ok(())
    }

    /// The story in order of time; `None` when no line is about the request.
    pub fn text(mut self) -> Option<String> {
        self.steps.sort_by_key(|step| step.at);
        let start = self.steps.first()?.at;
        let lines = self.steps.iter().map(|step| {
            let after_ms = (step.at - start).whole_milliseconds();
            format!("+{after_ms} ms  {}: {}\n", step.instance, step.text)
        });
        Some(lines.collect())
    }
}

fn step_of(line: &str, request: &str) -> Option<Step> {
    let json = &line[line.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json.trim_end()).ok()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str);
    if text("request") != Some(request) {
        return None;
    }
    let at = OffsetDateTime::parse(text("ts")?, &Rfc3339).ok()?;
    let shown = fields
        .iter()
        .filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null());
    let shown: Vec<String> = shown
        .map(|(name, value)| shown_field(name, value))
        .collect();
    let message = text("msg")?;
    Some(Step {
        at,
        instance: text("instance")?.to_owned(),
        text: match shown.is_empty() {
            true => message.to_owned(),
            false => format!("{message} ({})", shown.join(", ")),
        },
    })
}

fn shown_field(name: &str, value: &Value) -> String {
    match value {
        Value::String(text) => format!("{name} {text}"),
        other => format!("{name} {other}"),
    }
}
