//! Requests told by cause, and a request's story, out of gateways' logs.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use iristhread_cli::LogTrace;
use iristhread_cli::Losses;
use iristhread_cli::Objectives;
use iristhread_cli::format_losses;
use iristhread_cli::read_lines;
use test_case::test_case;

const IN_TIME: Objectives = Objectives {
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

/// Causes of all requests with their counts, as the table shows them.
fn causes(lines: &[String]) -> String {
    let mut losses = Losses::default();
    let text = lines.join("\n");
    read_lines(text.as_bytes(), |line| losses.take(line)).unwrap();
    format_losses(&losses.table(IN_TIME))
}

#[test_case(ended(9_000, "r", 900, 120, 0), "served"; "in time")]
#[test_case(ended(9_000, "r", 1_801, 120, 0), "first event late behind 0 unread prompts"; "late")]
#[test_case(ended(9_000, "r", 900, 181, 0), "paused at its engine"; "paused")]
#[test_case(ended(9_000, "r", 900, 300, 1), "paused, and taken to another engine"; "carried")]
#[test_case(line(900, "r", r#""stream ended","end":"lost","route":"chat""#), "stream lost"; "lost")]
#[test_case(line(900, "r", r#""request refused","reason":"no memory""#), "refused: no memory"; "refused")]
#[test_case(line(900, "r", r#""stream ended before it began","end":"no engine took it","route":"chat""#), "not begun: no engine took it"; "not begun")]
#[test_case(line(900, "r", r#""call ended","end":"Lost","outcome":"unknown","status":null,"route":"book""#), "no answer; may have run"; "a call without an answer")]
#[test_case(line(900, "r", r#""call ended","end":"Answer","outcome":"unknown","status":500,"route":"book""#), "the server's own failure: 500"; "a service's own failure")]
#[test_case(line(900, "r", r#""call ended","end":"Answer","outcome":"ran","status":200,"route":"book""#), "served"; "a call")]
fn a_request_has_a_cause(end: String, expected: &str) {
    let text = causes(&[chosen(100, "r", "e1"), end]);
    assert!(text.ends_with(&format!("100.0%  {expected}\n")), "{text}");
}

/// Lines of different instances come in any order.
#[test]
fn streams_that_waited_at_the_same_engine_are_counted() {
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
    assert!(causes(&lines).contains(expected), "{}", causes(&lines));
    lines.reverse();
    // The end of a stream is known before its choice: its wait can't be told.
    assert!(
        causes(&lines).contains("first event late"),
        "{}",
        causes(&lines)
    );
}

#[test]
fn lines_that_are_none_of_a_gateway_are_counted_and_left_out() {
    let good = ended(9_000, "r", 900, 10, 0);
    let cut = &good[..good.len() / 2];
    let text = format!("  12.5 front-1 {good}\nsomething else\n{cut}\n{{\"a\":1}}\n\n");
    let mut losses = Losses::default();
    let read = read_lines(text.as_bytes(), |line| losses.take(line)).unwrap();
    assert_eq!((read.taken, read.left_out), (1, 4));
    assert!(format_losses(&losses.table(IN_TIME)).starts_with("chat: 1 requests"));
}

#[test]
fn a_request_under_way_is_not_counted() {
    assert_eq!(causes(&[chosen(100, "r", "e1")]), "");
}

#[test]
fn the_story_of_a_request_is_in_order_over_all_logs() {
    let mut story = LogTrace::of("r");
    let later = format!(
        "x {}\n{}",
        ended(9_000, "r", 900, 10, 0),
        ended(1, "r2", 1, 1, 0)
    );
    story.read(later.as_bytes()).unwrap();
    story.read(chosen(8_100, "r", "e1").as_bytes()).unwrap();
    let text = story.text().unwrap();
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
fn a_request_that_is_nowhere_has_no_story() {
    let mut story = LogTrace::of("r");
    story.read(chosen(1, "r2", "e1").as_bytes()).unwrap();
    assert_eq!(story.text(), None);
}

/// From all instances in order of time, whatever else stands between.
#[test]
fn beliefs_are_told_in_order_of_time() {
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
    let mut story = LogTrace::of_state_changes();
    story.read(lines.join("\n").as_bytes()).unwrap();
    let text = story.text().unwrap();
    let told: Vec<&str> = text.lines().collect();
    assert_eq!(told.len(), 3, "{text}");
    assert!(told[0].contains("entry of the directory") && told[0].contains("servers/x"));
    assert!(told[1].contains("older copy") && told[1].contains("to 1/87"));
    assert!(told[2].contains("names a limit") && told[2].contains("limit_per_s 2.7"));
}

/// Why an instance had a configuration late, wait by wait.
#[test]
fn the_way_of_a_configuration_is_told_wait_by_wait() {
    let peer = r#""a peer has a newer configuration","version":4"#;
    let asked = r#""peer can't be asked","peer":"i2","cause":"no answer in time","waited_ms":1500"#;
    let reads = r#""reading of the configuration","reads":true,"reason":"behind","age_ms":640"#;
    let in_force = r#""configuration in force","version":5,"source":"directory""#;
    let lines = [
        line(1_000, "r1", peer),
        line(2_600, "r1", asked),
        line(1_700, "r1", reads),
        line(1_712, "r1", in_force),
    ];
    let mut story = LogTrace::of_state_changes();
    story.read(lines.join("\n").as_bytes()).unwrap();
    let text = story.text().unwrap();
    let told: Vec<&str> = text.lines().collect();
    assert_eq!(told.len(), 4, "{text}");
    assert!(told[1].contains("reason behind") && told[1].contains("age_ms 640"));
    assert!(told[2].starts_with("+712 ms") && told[2].contains("version 5"));
    assert!(told[3].contains("waited_ms 1500"));
}

#[test]
fn logs_without_beliefs_have_no_story() {
    let mut story = LogTrace::of_state_changes();
    story.read(chosen(1_500, "r1", "e1").as_bytes()).unwrap();
    assert_eq!(story.text(), None);
}
