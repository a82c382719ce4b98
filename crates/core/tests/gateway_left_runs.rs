//! Runs whose callers have left: the end of their server counts, survival of the server clears them,
//! and sound requests are not refused for them.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod ending_scene;
mod gateway_scene;

use iristhread_core::AttributionNotice;
use iristhread_core::GatewayControl;
use iristhread_core::PlacementRequest;
use iristhread_core::PromptParts;
use iristhread_core::RefusalKind;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::RequestClass;
use iristhread_core::RunEnd;
use iristhread_core::UnattributedCause;
use test_case::test_case;

use ending_scene::ENGINES;
use ending_scene::NOW;
use ending_scene::poison;
use ending_scene::refusal;
use gateway_scene::control_with;
use gateway_scene::leaving;
use gateway_scene::ms;

/// How the end of a server shows.
#[derive(Clone, Copy)]
enum Seen {
    Refused,
    Removed,
}

/// Sends a request whose caller leaves after 60 ms; returns its server.
fn leave(control: &mut GatewayControl, now: u64, request: PlacementRequest) -> Replica {
    let name = request.request.clone();
    let ranking = control.place(NOW + ms(now), request).unwrap();
    control.ended(NOW + ms(now + 60), &name, RunEnd::Withdrawn);
    ranking.replicas[0].clone()
}

fn end(control: &mut GatewayControl, now: u64, server: &Replica, seen: Seen) {
    let now = NOW + ms(now);
    match seen {
        Seen::Refused => {
            control.server_ended(now, &server.server_life());
            control.unreachable(now, &server.id);
        }
        Seen::Removed => {
            let removed = vec![ReplicaChange::Removed(server.id.clone())];
            control.change_replicas(now, now.as_millis() as u64, removed);
        }
    }
}

#[test_case(RequestClass::Stream, Seen::Refused)]
#[test_case(RequestClass::Repeatable, Seen::Refused)]
#[test_case(RequestClass::Once, Seen::Refused)]
#[test_case(RequestClass::Stream, Seen::Removed)]
#[test_case(RequestClass::Once, Seen::Removed)]
fn an_end_after_the_caller_has_left_counts(class: RequestClass, seen: Seen) {
    let mut control = control_with(&ENGINES);
    for number in 0..3 {
        let request = PlacementRequest {
            class,
            ..poison(&format!("r{number}"))
        };
        let server = leave(&mut control, number * 3_000, request);
        end(&mut control, number * 3_000 + 2_500, &server, seen);
    }
    assert_eq!(control.quarantined(), 1);
    let refused = refusal(&mut control, NOW + ms(9_000));
    assert_eq!(refused, Some(RefusalKind::Quarantined));
}

/// The last request that may be sent keeps its place until its outcome is known.
#[test]
fn nothing_is_sent_beside_a_run_that_was_left() {
    let mut control = control_with(&ENGINES);
    for number in 0..2 {
        let server = leave(&mut control, number * 200, poison(&format!("r{number}")));
        end(&mut control, number * 200 + 150, &server, Seen::Refused);
    }
    let server = leave(&mut control, 400, poison("third"));
    let refused = refusal(&mut control, NOW + ms(500));
    assert_eq!(refused, Some(RefusalKind::Quarantined));
    control.server_accepted(&server.server_life(), NOW + ms(1_700));
    assert_eq!(refusal(&mut control, NOW + ms(1_800)), None);
}

#[test]
fn a_server_that_lives_on_clears_what_was_left_there() {
    let mut control = control_with(&ENGINES);
    for number in 0..3 {
        let server = leave(&mut control, number * 3_000, poison(&format!("r{number}")));
        let accepted = NOW + ms(number * 3_000 + 1_300);
        control.server_accepted(&server.server_life(), accepted);
        end(&mut control, number * 3_000 + 2_000, &server, Seen::Refused);
    }
    assert_eq!(control.suspected(), 0);
}

/// A draining server ends as announced.
#[test]
fn the_end_of_a_draining_server_is_put_down_to_nothing() {
    let mut control = control_with(&ENGINES);
    let server = leave(&mut control, 0, poison("left"));
    let listed = ReplicaChange::Listed(leaving(&server.id, "z1"));
    control.change_replicas(NOW + ms(100), 10, vec![listed]);
    end(&mut control, 2_000, &server, Seen::Refused);
    assert_eq!(control.suspected(), 0);
    let notices = control.attribution_notices();
    let [AttributionNotice::Unattributed(run)] = &notices[..] else {
        panic!("{notices:?}");
    };
    assert_eq!(run.cause, UnattributedCause::ServerDrained);
}

/// Each server is probed three times, however many callers left there at one moment.
#[test]
fn a_server_is_probed_once_for_all_that_were_left_at_one_moment() {
    let mut control = control_with(&["a"]);
    for number in 0..20 {
        leave(&mut control, 0, gateway_scene::ask(&format!("r{number}")));
    }
    let probed = |control: &mut GatewayControl, at: u64| {
        let probes = control.left_run_probes(NOW + ms(60 + at));
        (probes.due.len(), probes.awaits_more)
    };
    assert_eq!(probed(&mut control, 50), (0, true));
    assert_eq!(probed(&mut control, 100), (1, true));
    assert_eq!(probed(&mut control, 150), (0, true));
    assert_eq!(probed(&mut control, 400), (1, true));
    assert_eq!(probed(&mut control, 1_200), (1, false));
}

/// A second try would be the fourth end: the outcome of the first is not known yet.
#[test]
fn a_call_is_not_tried_again_while_its_third_end_is_open() {
    let mut control = control_with(&ENGINES);
    for number in 0..2 {
        ending_scene::crash_engine(&mut control, NOW + ms(number * 200), &format!("r{number}"));
    }
    let ranking = control.place(NOW + ms(400), poison("third")).unwrap();
    assert!(
        control.may_retry(NOW + ms(410), "third"),
        "nothing was sent"
    );
    let server = &ranking.replicas[0];
    control.note_broken_run(NOW + ms(500), "third", server);
    assert!(!control.may_retry(NOW + ms(500), "third"));
    assert!(control.restart_stream(NOW + ms(500), "third").is_none());
    control.server_ended(NOW + ms(600), &server.server_life());
    assert_eq!(control.quarantined(), 1);
}

/// The list may be faster than the silent path on which the run broke off.
#[test]
fn a_break_that_is_seen_after_the_entry_is_gone_counts() {
    let mut control = control_with(&ENGINES);
    for number in 0..3 {
        let (now, request) = (NOW + ms(number * 3_000), format!("r{number}"));
        let server = control.place(now, poison(&request)).unwrap().replicas[0].clone();
        end(&mut control, number * 3_000 + 100, &server, Seen::Removed);
        control.note_broken_run(now + ms(600), &request, &server);
        control.ended(now + ms(600), &request, RunEnd::Failed);
    }
    assert_eq!(control.quarantined(), 1);
}

/// The request goes on elsewhere while its first server still executes it.
#[test]
fn an_end_after_the_time_of_an_attempt_counts() {
    let mut control = control_with(&ENGINES);
    for number in 0..3 {
        let (now, request) = (NOW + ms(number * 3_000), format!("r{number}"));
        let ranking = control.place(now, poison(&request)).unwrap();
        control.note_left_attempt(now + ms(300), &request, &ranking.replicas[0]);
        control.moved(now + ms(300), &request, ranking.replicas[1].id.clone());
        end(
            &mut control,
            number * 3_000 + 900,
            &ranking.replicas[0],
            Seen::Refused,
        );
        control.ended(now + ms(950), &request, RunEnd::Refused);
    }
    assert_eq!(control.quarantined(), 1);
}

/// Without the platform's list, nothing else shows the end of a server behind a silent path.
#[test]
fn an_end_that_the_list_shows_after_an_outage_counts() {
    let mut control = control_with(&ENGINES);
    control.set_list_stale(true);
    let servers: Vec<Replica> = (0..3)
        .map(|number| leave(&mut control, number * 3_000, poison(&format!("r{number}"))))
        .collect();
    control.tick(NOW + ms(25_000));
    control.set_list_stale(false);
    for (number, server) in (0..).zip(&servers) {
        end(&mut control, 25_100 + number, server, Seen::Removed);
    }
    assert_eq!(control.quarantined(), 1);
}

/// Guards against sound requests that are refused for a part that many left runs share.
#[test]
fn ends_under_left_runs_count_against_no_part_of_a_prompt() {
    let mut control = control_with(&ENGINES);
    for number in 0..4 {
        let request = PlacementRequest {
            parts: PromptParts::of(Some("serra"), ["shared"], Some(&number.to_string())),
            ..gateway_scene::ask(&format!("r{number}"))
        };
        let server = leave(&mut control, number * 3_000, request);
        end(&mut control, number * 3_000 + 100, &server, Seen::Refused);
    }
    assert_eq!(control.quarantined_parts(), 0);
}
