//! Descriptions of timeline records.

use iristhread_cli::explain;
use iristhread_core::Candidate;
use iristhread_core::HybridTime;
use iristhread_core::RefusalKind;
use iristhread_core::TimelineEvent;
use iristhread_core::TimelineRecord;
use test_case::test_case;

fn record(event: TimelineEvent) -> TimelineRecord {
    TimelineRecord {
        time: HybridTime {
            wall_ms: 5,
            count: 0,
        },
        instance: "a1".to_owned(),
        request: Some("r".to_owned()),
        event,
    }
}

fn placed() -> TimelineEvent {
    let candidate = |engine: &str, score, reason: &str| Candidate {
        engine: engine.to_owned(),
        score,
        reason: reason.to_owned(),
    };
    TimelineEvent::Placed {
        engine: "e1".to_owned(),
        attempt: 1,
        candidates: vec![
            candidate("e1", Some(0.25), "memory +0.250"),
            candidate("e2", None, "paused after failures"),
        ],
    }
}

#[test_case(placed(), "e2: ruled out (paused after failures)"; "candidate ruled out")]
#[test_case(placed(), "e1: score 0.250 (memory +0.250)"; "candidate with its score")]
#[test_case(TimelineEvent::Refused { kind: RefusalKind::QueueFull, retry_after_s: 2 }, "come back in 2 s"; "refusal")]
fn description_contains(event: TimelineEvent, expected: &str) {
    let description = explain(&[record(event)]);
    assert!(description.contains(expected), "{description}");
}

#[test]
fn unknown_request_is_reported() {
    assert!(explain(&[]).contains("remembers this request"));
}
