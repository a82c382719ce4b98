//! Parser for gateway logs, whose lines may be preceded by text of another program.

use std::io::BufRead;

use serde::Deserialize;
use time::OffsetDateTime;

/// Maximum length of a line that is parsed. The longest lines that gateways write name every
/// change of a list.
const MAX_LINE_BYTES: usize = 1 << 20;

/// The fields of a log line that concern a request.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewayLine {
    /// Log message.
    pub msg: String,
    /// Time of the line, by the clock of its instance.
    #[serde(with = "time::serde::rfc3339")]
    pub ts: OffsetDateTime,
    /// Instance that wrote the line.
    pub instance: String,
    /// Id of the request that the line concerns, if any.
    pub request: Option<String>,
    /// Route of the request.
    pub route: Option<String>,
    /// Way in which the request ended.
    pub end: Option<String>,
    /// Whether the request ran.
    pub outcome: Option<String>,
    /// Status that the backend server returned.
    pub status: Option<u16>,
    /// Reason for a refusal.
    pub reason: Option<String>,
    /// Time for which the request waited for room, in milliseconds; `None` if it did not wait.
    pub waited_ms: Option<u64>,
    /// Number of the attempt, the first being 1.
    pub attempt: Option<u32>,
    /// Maximum number of attempts that the route allows.
    pub max_attempts: Option<u32>,
    /// Result of the attempt.
    pub result: Option<String>,
    /// Candidate backend servers as a JSON list, the chosen one first.
    pub ranking: Option<String>,
    /// Time until the first event of the stream, in milliseconds.
    pub first_event_ms: Option<u64>,
    /// Longest gap between two events of the stream, in milliseconds.
    pub longest_gap_ms: Option<u64>,
    /// Number of failovers to another engine.
    pub carried: Option<u32>,
}

impl GatewayLine {
    /// Parses a line; returns `None` if it is not a line of a gateway log.
    pub fn parse(text: &str) -> Option<GatewayLine> {
        let json = &text[text.find('{')?..];
        serde_json::from_str(json.trim_end()).ok()
    }

    /// Returns the time of the line in milliseconds since the Unix epoch.
    pub fn at_ms(&self) -> i64 {
        (self.ts.unix_timestamp_nanos() / 1_000_000) as i64
    }

    /// Returns the first backend server of the ranking.
    pub fn chosen(&self) -> Option<String> {
        let ranking: Vec<String> = serde_json::from_str(self.ranking.as_deref()?).ok()?;
        ranking.into_iter().next()
    }
}

/// Counts of the lines that were read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinesRead {
    /// Lines of gateway logs.
    pub parsed: u64,
    /// Other lines: truncated, longer than the limit, or of another program.
    pub skipped: u64,
}

/// Passes each line of a gateway log to `on_line`, one at a time, so that memory use does not
/// grow with the size of the logs.
///
/// # Errors
///
/// The I/O error if reading from the source fails.
pub fn read_lines(
    mut source: impl BufRead,
    mut on_line: impl FnMut(GatewayLine),
) -> std::io::Result<LinesRead> {
    let mut read = LinesRead::default();
    let mut bytes = Vec::new();
    while source.read_until(b'\n', &mut bytes)? > 0 {
        let line = match bytes.len() <= MAX_LINE_BYTES {
            true => GatewayLine::parse(&String::from_utf8_lossy(&bytes)),
            false => None,
        };
        match line {
            Some(line) => {
                read.parsed += 1;
                on_line(line);
            }
            None => read.skipped += 1,
        }
        bytes.clear();
    }
    Ok(read)
}
