//! Loss tables and traces from gateway logs.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use iristhread_cli::LogTrace;
use iristhread_cli::Losses;
use iristhread_cli::Objectives;
use iristhread_cli::format_losses;
use iristhread_cli::read_lines;
use test_case::test_case;

const OBJECTIVES: Objectives = Objectives {
    first_event_ms: 1_800,
    pause_ms: 180,
};

fn line(at_ms: u32, request: &str, rest: &str) -> String {
    let (seconds, millis) = (at_ms / 1_000, at_ms % 1_000);
    format!(
        r#"{{"msg":{rest},"level":"INFO","ts":"2026-03-04T05:06:{seconds:02}.{millis:03}Z","availability_zone":"z1","instance":"i1","request":"{request}"}}"#
    )
}

fn chosen(at_ms: u32, request: &str, server: &str) -> String {
    let ranking = format!(r#""backend server chosen","ranking":"[\"{server}\", \"other\"]""#);
    line(at_ms, request, &ranking)
}

fn ended(at_ms: u32, request: &str, first_event_ms: u32, gap_ms: u32, carried: u32) -> String {
    let rest = format!(
        r#""stream ended","end":"whole","route":"chat","first_event_ms":{first_event_ms},"longest_gap_ms":{gap_ms},"carried":{carried}"#
    );
    line(at_ms, request, &rest)
}

/// Returns the loss table of the lines as text.
fn loss_table(lines: &[String]) -> String {
    let mut losses = Losses::default();
    let text = lines.join("\n");
    read_lines(text.as_bytes(), |line| losses.take(line)).unwrap();
    format_losses(&losses.table(OBJECTIVES))
}

#[test_case(ended(9_000, "r", 900, 120, 0), "served"; "in time")]
#[test_case(ended(9_000, "r", 1_801, 120, 0), "first event late behind 0 unread prompts"; "late")]
#[test_case(ended(9_000, "r", 900, 181, 0), "paused at its engine"; "paused")]
#[test_case(ended(9_000, "r", 900, 300, 1), "paused, and taken to another engine"; "failed over")]
#[test_case(line(900, "r", r#""stream ended","end":"lost","route":"chat""#), "stream lost"; "lost")]
#[test_case(line(900, "r", r#""request refused","reason":"no memory""#), "refused: no memory"; "refused")]
#[test_case(line(900, "r", r#""stream ended before it began","end":"no engine took it","route":"chat""#), "not begun: no engine took it"; "not begun")]
#[test_case(line(900, "r", r#""call ended","end":"Lost","outcome":"unknown","status":null,"route":"book""#), "no answer; may have run"; "call without a response")]
#[test_case(line(900, "r", r#""call ended","end":"Answer","outcome":"unknown","status":500,"route":"book""#), "the server's own failure: 500"; "failure of the service")]
#[test_case(line(900, "r", r#""call ended","end":"Answer","outcome":"ran","status":200,"route":"book""#), "served"; "call")]
fn request_has_cause(end: String, expected: &str) {
    let text = loss_table(&[chosen(100, "r", "e1"), end]);
    assert!(text.ends_with(&format!("100.0%  {expected}\n")), "{text}");
}

/// Sessions lost for lack of room on other engines were counted with those of crashed engines.
#[test]
fn a_stream_lost_for_lack_of_room_has_its_own_cause() {
    let no_room = r#""no engine has room for a session that must move","tokens":3000"#;
    let lost = line(900, "r", r#""stream ended","end":"lost","route":"chat""#);
    let text = loss_table(&[chosen(100, "r", "e1"), line(500, "r", no_room), lost]);
    let expected = "stream lost, no engine had room for its move\n";
    assert!(text.ends_with(expected), "{text}");
}

/// A refusal without a wait has a null there, as the log writes it.
#[test_case(r#""request refused","route":"chat","reason":"full","waited_ms":null"#, "refused: full"; "at once")]
#[test_case(r#""request refused","route":"chat","reason":"full","waited_ms":700"#, "refused after a wait: full"; "after a wait")]
#[test_case(r#""request withdrawn from the queue","route":"chat","waited_ms":700"#, "caller left while it waited for room"; "withdrawn")]
fn refusals_are_counted_by_route_and_reason(end: &str, expected: &str) {
    let waits = r#""request waits for room","route":"chat","wait_until_ms":900"#;
    let text = loss_table(&[line(100, "r", waits), line(800, "r", end)]);
    let expected = format!("chat: 1 requests\n         1  100.0%  {expected}\n");
    assert_eq!(text, expected);
}

/// Without its wait, a late stream would be put down to the prompts at its engine.
#[test_case(1_900, "first event late because it waited for room"; "late by its wait")]
#[test_case(2_900, "first event late behind 0 unread prompts"; "late by its engine as well")]
#[test_case(1_700, "served"; "in time in spite of its wait")]
fn wait_that_made_a_stream_late_is_named(first_event_ms: u32, expected: &str) {
    let placed =
        r#""request placed from the queue","waited_ms":1000,"ranking":"[\"e1\", \"other\"]""#;
    let lines = [
        line(1_100, "r", placed),
        ended(9_000, "r", first_event_ms, 50, 0),
        // Its first event came at 1,095 ms, since its wait is part of the 1,005 ms: its prompt was
        // no longer ahead.
        line(1_090, "before", placed),
        ended(9_000, "before", 1_005, 50, 0),
    ];
    let text = loss_table(&lines);
    assert!(text.contains(expected), "{text}");
}

/// The result of the last attempt is lost otherwise: the end of a call states only that none
/// succeeded.
#[test]
fn failed_attempts_of_a_call_are_named() {
    let attempt = |number: u32, result: &str, status: &str| {
        let rest = format!(
            r#""attempt failed","attempt":{number},"max_attempts":2,"result":"{result}","status":{status}"#
        );
        line(100 * number, "r", &rest)
    };
    let end = |outcome: &str| {
        let rest = format!(r#""call ended","outcome":"{outcome}","status":500,"route":"look""#);
        line(900, "r", &rest)
    };
    let lines = [attempt(2, "failed", "500"), attempt(1, "lost", "null")];
    let text = loss_table(&[&lines[..], &[end("unknown")]].concat());
    let expected = "the server's own failure: 500; attempt 2 of 2: failed 500\n";
    assert!(text.ends_with(expected), "{text}");
    let text = loss_table(&[&lines[..], &[end("ran")]].concat());
    assert!(text.ends_with("100.0%  served\n"), "{text}");
}

/// The trace of a request shows its wait and what ended it.
#[test]
fn request_trace_shows_wait_for_room() {
    let waits = r#""request waits for room","route":"chat","wait_until_ms":900"#;
    let refused = r#""request refused","route":"chat","kind":"queue_full","waited_ms":700"#;
    let mut trace = LogTrace::of("r");
    let lines = [line(800, "r", refused), line(100, "r", waits)].join("\n");
    trace.read(lines.as_bytes()).unwrap();
    let text = trace.text().unwrap();
    assert!(
        text.contains("waits for room (route chat, wait_until_ms 900)"),
        "{text}"
    );
    assert!(
        text.contains("+700 ms") && text.contains("kind queue_full"),
        "{text}"
    );
}

/// The lines of different instances may be read in any order.
#[test]
fn streams_waiting_at_same_engine_are_counted() {
    let mut lines = vec![
        chosen(100, "a", "e1"),
        ended(6_000, "a", 1_700, 50, 0),
        chosen(200, "b", "e1"),
        ended(6_000, "b", 1_500, 50, 0),
        chosen(300, "elsewhere", "e2"),
        ended(6_000, "elsewhere", 1_500, 50, 0),
        chosen(400, "late", "e1"),
        ended(6_000, "late", 2_500, 50, 0),
        chosen(500, "after", "e1"),
        ended(6_000, "after", 100, 50, 0),
    ];
    let expected = "first event late behind 2 unread prompts";
    assert!(
        loss_table(&lines).contains(expected),
        "{}",
        loss_table(&lines)
    );
    lines.reverse();
    // The end of each stream is read before the choice of its server, so that its wait is unknown.
    assert!(
        loss_table(&lines).contains("first event late"),
        "{}",
        loss_table(&lines)
    );
}

#[test]
fn lines_of_other_programs_are_skipped_and_counted() {
    let good = ended(9_000, "r", 900, 10, 0);
    let cut = &good[..good.len() / 2];
    let text = format!("  12.5 front-1 {good}\nsomething else\n{cut}\n{{\"a\":1}}\n\n");
    let mut losses = Losses::default();
    let read = read_lines(text.as_bytes(), |line| losses.take(line)).unwrap();
    assert_eq!((read.parsed, read.skipped), (1, 4));
    assert!(format_losses(&losses.table(OBJECTIVES)).starts_with("chat: 1 requests"));
}

#[test]
fn unfinished_request_is_not_counted() {
    assert_eq!(loss_table(&[chosen(100, "r", "e1")]), "");
}

#[test]
fn request_trace_is_in_time_order_over_all_logs() {
    let mut trace = LogTrace::of("r");
    let later = format!(
        "x {}\n{}",
        ended(9_000, "r", 900, 10, 0),
        ended(1, "r2", 1, 1, 0)
    );
    trace.read(later.as_bytes()).unwrap();
    trace.read(chosen(8_100, "r", "e1").as_bytes()).unwrap();
    let text = trace.text().unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(
        lines[0].starts_with("+0 ms  i1: backend server chosen"),
        "{text}"
    );
    assert!(lines[1].starts_with("+900 ms  i1: stream ended"), "{text}");
    assert!(lines[1].contains("first_event_ms 900"), "{text}");
}

#[test]
fn unknown_request_has_no_trace() {
    let mut trace = LogTrace::of("r");
    trace.read(chosen(1, "r2", "e1").as_bytes()).unwrap();
    assert_eq!(trace.text(), None);
}

/// Lines of all instances are ordered by time; unrelated lines in between are skipped.
#[test]
fn state_changes_are_in_time_order() {
    let era = r#""directory came back from an older copy","from":"120","to":"1/87","source":"i2""#;
    let limit = r#""backend server names a limit","backend_server":"s2","limit_per_s":2.7"#;
    let foreign = r#""entry of the directory can't be used","key":"servers/x","reason":"no JSON""#;
    let lines = [
        line(3_000, "r2", limit),
        chosen(1_500, "r1", "e1"),
        "no line of a gateway".to_owned(),
        line(2_000, "r1", era),
        line(1_000, "r1", foreign),
    ];
    let mut trace = LogTrace::of_state_changes();
    trace.read(lines.join("\n").as_bytes()).unwrap();
    let text = trace.text().unwrap();
    let shown: Vec<&str> = text.lines().collect();
    assert_eq!(shown.len(), 3, "{text}");
    assert!(shown[0].contains("entry of the directory") && shown[0].contains("servers/x"));
    assert!(shown[1].contains("older copy") && shown[1].contains("to 1/87"));
    assert!(shown[2].contains("names a limit") && shown[2].contains("limit_per_s 2.7"));
}

/// The trace lists each wait that delayed a configuration at an instance.
#[test]
fn waits_for_configuration_are_listed() {
    let peer = r#""a peer has a newer configuration","version":4"#;
    let unreachable =
        r#""peer can't be asked","peer":"i2","cause":"no answer in time","waited_ms":1500"#;
    let reads = r#""reading of the configuration","reads":true,"reason":"behind","age_ms":640"#;
    let in_force = r#""configuration in force","version":5,"source":"directory""#;
    let lines = [
        line(1_000, "r1", peer),
        line(2_600, "r1", unreachable),
        line(1_700, "r1", reads),
        line(1_712, "r1", in_force),
    ];
    let mut trace = LogTrace::of_state_changes();
    trace.read(lines.join("\n").as_bytes()).unwrap();
    let text = trace.text().unwrap();
    let shown: Vec<&str> = text.lines().collect();
    assert_eq!(shown.len(), 4, "{text}");
    assert!(shown[1].contains("reason behind") && shown[1].contains("age_ms 640"));
    assert!(shown[2].starts_with("+712 ms") && shown[2].contains("version 5"));
    assert!(shown[3].contains("waited_ms 1500"));
}

#[test]
fn logs_without_state_changes_have_no_trace() {
    let mut trace = LogTrace::of_state_changes();
    trace.read(chosen(1_500, "r1", "e1").as_bytes()).unwrap();
    assert_eq!(trace.text(), None);
}
