//! Lines of gateways' logs, as they are written or with another program's text before.

use std::io::BufRead;

use serde::Deserialize;
use time::OffsetDateTime;

/// Longest line that is looked at: the longest written names every change of a list.
const MAX_LINE_BYTES: usize = 1 << 20;

/// One line, as far as it tells of a request.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewayLine {
    /// What happened.
    pub msg: String,
    /// When, by the clock of its instance.
    #[serde(with = "time::serde::rfc3339")]
    pub ts: OffsetDateTime,
    /// The instance.
    pub instance: String,
    /// The request, if it is about one.
    pub request: Option<String>,
    /// The request's route.
    pub route: Option<String>,
    /// How the request ended.
    pub end: Option<String>,
    /// Whether it ran.
    pub outcome: Option<String>,
    /// The status that its backend server gave.
    pub status: Option<u16>,
    /// Why it was refused.
    pub reason: Option<String>,
    /// Backend servers that it may go to, the chosen one first, as a JSON list.
    pub ranking: Option<String>,
    /// Time to its first event.
    pub first_event_ms: Option<u64>,
    /// Its longest pause between two events.
    pub longest_gap_ms: Option<u64>,
    /// How often it was taken to another engine.
    pub carried: Option<u32>,
}

impl GatewayLine {
    /// Reads a line; `None` when it holds no line of a gateway.
    pub fn parse(text: &str) -> Option<GatewayLine> {
        let json = &text[text.find('{')?..];
        serde_json::from_str(json.trim_end()).ok()
    }

    /// Milliseconds since 1970.
    pub fn at_ms(&self) -> i64 {
        (self.ts.unix_timestamp_nanos() / 1_000_000) as i64
    }

    /// The first backend server of the ranking.
    pub fn chosen(&self) -> Option<String> {
        let ranking: Vec<String> = serde_json::from_str(self.ranking.as_deref()?).ok()?;
        ranking.into_iter().next()
    }
}

/// How many lines were read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinesRead {
    /// Lines of gateways.
    pub taken: u64,
    /// Others: cut in the middle, too long, or of another program.
    pub left_out: u64,
}

/// Hands each line of a gateway to `take`, one at a time, so that memory doesn't grow
/// with the logs.
///
/// # Errors
///
/// When the source can't be read on.
pub fn read_lines(
    mut source: impl BufRead,
    mut take: impl FnMut(GatewayLine),
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
                read.taken += 1;
                take(line);
            }
            None => read.left_out += 1,
        }
        bytes.clear();
    }
    Ok(read)
}
