//! Counts of requests that missed their objectives or failed, by cause, from gateway logs.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::gateway_log::GatewayLine;

/// Maximum number of requests that are kept in memory, at about 200 bytes each.
const MAX_REQUESTS: usize = 2_000_000;

/// Number of unread prompts ahead of a session from which on all counts share one cause.
const MAX_COUNTED_AHEAD: usize = 4;

/// Latency limits for a stream that is served in time.
#[derive(Clone, Copy, Debug)]
pub struct Objectives {
    /// Maximum time to the first event of a stream, in milliseconds.
    pub first_event_ms: u64,
    /// Maximum gap between two events of a stream, in milliseconds.
    pub pause_ms: u64,
}

/// What the logs state about one request.
#[derive(Debug, Default)]
struct RequestTrace {
    /// Backend server that the request was sent to first, and the time in milliseconds.
    chosen: Option<(String, i64)>,
    /// Time for which it waited for room before, in milliseconds.
    waited_ms: u64,
    /// Line that reports its last failed attempt.
    failed_attempt: Option<GatewayLine>,
    first_event_at_ms: Option<i64>,
    /// Whether it had to leave its engine and no other had room for it.
    had_no_room: bool,
    /// Line that reports the end of the request.
    end: Option<GatewayLine>,
}

impl RequestTrace {
    fn last_failed_attempt(&self) -> Option<u32> {
        self.failed_attempt.as_ref().and_then(|line| line.attempt)
    }
}

/// Collects the log lines of all instances, in any order.
#[derive(Debug, Default)]
pub struct Losses {
    traces: HashMap<String, RequestTrace>,
    /// Number of lines that were dropped because the maximum number of requests was reached.
    pub dropped_lines: u64,
}

/// Number of requests by route and cause.
pub type LossTable = BTreeMap<(String, String), u64>;

impl Losses {
    /// Adds a line; ignores lines that don't concern a request.
    pub fn take(&mut self, line: GatewayLine) {
        let Some(request) = line.request.clone() else {
            return;
        };
        if self.traces.len() >= MAX_REQUESTS && !self.traces.contains_key(&request) {
            self.dropped_lines += 1;
            return;
        }
        let trace = self.traces.entry(request).or_default();
        match line.msg.as_str() {
            "backend server chosen" | "request placed from the queue" => {
                let at_ms = line.at_ms();
                trace.chosen = line.chosen().map(|server| (server, at_ms));
                trace.waited_ms = line.waited_ms.unwrap_or(0);
            }
            "attempt failed" if line.attempt >= trace.last_failed_attempt() => {
                trace.failed_attempt = Some(line);
            }
            "stream ended" => {
                trace.first_event_at_ms = first_event_at(&line, trace);
                trace.end = Some(line);
            }
            "stream ended before it began"
            | "call ended"
            | "request refused"
            | "request withdrawn from the queue" => {
                trace.end = Some(line);
            }
            "no engine has room for a session that must move" => trace.had_no_room = true,
            _ => {}
        }
    }

    /// Counts the requests that have ended, by route and cause.
    pub fn table(&self, objectives: Objectives) -> LossTable {
        let waits = self.waits_by_server();
        let mut table = LossTable::new();
        for trace in self.traces.values() {
            let Some(end) = &trace.end else {
                continue;
            };
            let route = end.route.clone().unwrap_or_else(|| "-".to_owned());
            let cause = cause(trace, end, objectives, &waits);
            *table.entry((route, cause)).or_default() += 1;
        }
        table
    }

    /// Returns the interval in which each stream waited for its first event, by backend server.
    fn waits_by_server(&self) -> HashMap<&str, Vec<(i64, i64)>> {
        let mut waits: HashMap<&str, Vec<(i64, i64)>> = HashMap::new();
        for trace in self.traces.values() {
            if let (Some((server, from_ms)), Some(to_ms)) = (&trace.chosen, trace.first_event_at_ms)
            {
                waits.entry(server).or_default().push((*from_ms, to_ms));
            }
        }
        waits
    }
}

fn first_event_at(end: &GatewayLine, trace: &RequestTrace) -> Option<i64> {
    let (_, chosen_ms) = trace.chosen.as_ref()?;
    // The time to the first event counts from the arrival of the request.
    let at_server_ms = end.first_event_ms?.saturating_sub(trace.waited_ms);
    Some(chosen_ms + i64::try_from(at_server_ms).ok()?)
}

fn cause(
    trace: &RequestTrace,
    end: &GatewayLine,
    objectives: Objectives,
    waits: &HashMap<&str, Vec<(i64, i64)>>,
) -> String {
    let stream_end = end.end.as_deref().unwrap_or("-");
    match end.msg.as_str() {
        "request refused" => refusal_cause(end),
        "request withdrawn from the queue" => "caller left while it waited for room".to_owned(),
        "stream ended before it began" => format!("not begun: {stream_end}"),
        "call ended" => call_cause(end) + &failed_attempts(trace, end),
        _ if stream_end == "lost" && trace.had_no_room => {
            "stream lost, no engine had room for its move".to_owned()
        }
        _ if stream_end != "whole" => format!("stream {stream_end}"),
        _ => stream_cause(trace, end, objectives, waits),
    }
}

fn refusal_cause(end: &GatewayLine) -> String {
    let reason = end.reason.as_deref().unwrap_or("-");
    match end.waited_ms {
        Some(_) => format!("refused after a wait: {reason}"),
        None => format!("refused: {reason}"),
    }
}

/// Describes the last failed attempt of a call that was not served; empty if no line reports one.
fn failed_attempts(trace: &RequestTrace, end: &GatewayLine) -> String {
    let Some(line) = &trace.failed_attempt else {
        return String::new();
    };
    if end.outcome.as_deref() == Some("ran") {
        return String::new();
    }
    let (number, max) = (line.attempt.unwrap_or(0), line.max_attempts.unwrap_or(0));
    let result = line.result.as_deref().unwrap_or("-");
    let status = line.status.map(|status| format!(" {status}"));
    let status = status.unwrap_or_default();
    format!("; attempt {number} of {max}: {result}{status}")
}

fn call_cause(end: &GatewayLine) -> String {
    match (end.outcome.as_deref(), end.status) {
        (Some("ran"), _) => "served".to_owned(),
        (_, Some(status)) => format!("the server's own failure: {status}"),
        (Some("not_run"), None) => "not run".to_owned(),
        _ => "no answer; may have run".to_owned(),
    }
}

fn stream_cause(
    trace: &RequestTrace,
    end: &GatewayLine,
    objectives: Objectives,
    waits: &HashMap<&str, Vec<(i64, i64)>>,
) -> String {
    let objective_ms = objectives.first_event_ms;
    if let Some(time_ms) = end.first_event_ms
        && time_ms > objective_ms
    {
        if time_ms.saturating_sub(trace.waited_ms) <= objective_ms {
            return "first event late because it waited for room".to_owned();
        }
        return format!(
            "first event late behind {} unread prompts",
            count_ahead(trace, waits)
        );
    }
    if end
        .longest_gap_ms
        .is_some_and(|gap| gap > objectives.pause_ms)
    {
        return match end.carried.unwrap_or(0) {
            0 => "paused at its engine".to_owned(),
            _ => "paused, and taken to another engine".to_owned(),
        };
    }
    "served".to_owned()
}

/// Counts the streams that waited at the same backend server when this one was sent there.
fn count_ahead(trace: &RequestTrace, waits: &HashMap<&str, Vec<(i64, i64)>>) -> String {
    let Some((server, at_ms)) = &trace.chosen else {
        return "unknown".to_owned();
    };
    let waiting = waits.get(server.as_str()).into_iter().flatten();
    let before = waiting.filter(|(from_ms, to_ms)| from_ms < at_ms && at_ms < to_ms);
    match before.count() {
        count if count >= MAX_COUNTED_AHEAD => format!("{MAX_COUNTED_AHEAD} or more"),
        count => count.to_string(),
    }
}

/// Formats the table as text, with the most frequent causes of each route first.
pub fn format_losses(table: &LossTable) -> String {
    let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
    for ((route, _), count) in table {
        *sums.entry(route).or_default() += count;
    }
    let mut text = String::new();
    for (route, sum) in sums {
        text += &format!("{route}: {sum} requests\n");
        let of_route = table.iter().filter(|((of, _), _)| of == route);
        let mut rows: Vec<(&String, u64)> = of_route.map(|((_, c), n)| (c, *n)).collect();
        rows.sort_by_key(|(cause, count)| (std::cmp::Reverse(*count), *cause));
        for (cause, count) in rows {
            let share = count as f64 / sum as f64 * 100.0;
            text += &format!("  {count:>8}  {share:>5.1}%  {cause}\n");
        }
    }
    text
}
