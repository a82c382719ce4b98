//! Poison requests: the gateway must attribute server crashes to the right requests, and must check
//! the quarantine before a request is sent on in any way.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod ending_scene;
mod gateway_scene;

use iristhread_core::GatewayControl;
use iristhread_core::PlacementRequest;
use iristhread_core::RefusalKind;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::RequestClass;
use iristhread_core::RunEnd;
use test_case::test_case;

use ending_scene::ENGINES;
use ending_scene::NOW;
use ending_scene::crash_engine;
use ending_scene::fleet;
use ending_scene::poison;
use ending_scene::refusal;
use gateway_scene::ask;
use gateway_scene::control_with;
use gateway_scene::engine;
use gateway_scene::leaving;
use gateway_scene::ms;

fn crash_three_engines(control: &mut GatewayControl) {
    for number in 0..3 {
        crash_engine(control, NOW + ms(number * 500), &format!("end-{number}"));
    }
}

#[test_case(RequestClass::Stream)]
#[test_case(RequestClass::Repeatable)]
#[test_case(RequestClass::Once)]
fn a_poison_request_is_refused_after_three_crashes(class: RequestClass) {
    let mut control = control_with(&ENGINES);
    crash_three_engines(&mut control);
    let call = PlacementRequest {
        class,
        ..poison("one more")
    };
    let refusal = control.place(NOW + ms(2_000), call).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::Quarantined);
    assert!(refusal.retry_after >= ms(1_000));
    assert!(control.place(NOW + ms(2_000), ask("another")).is_ok());
}

/// An error of the server's own counted as a good run, and cleared the crashes.
#[test_case(RunEnd::Unproven, Some(RefusalKind::Quarantined))]
#[test_case(RunEnd::Answered, None)]
fn only_a_successful_answer_is_a_good_run(end: RunEnd, refused: Option<RefusalKind>) {
    let mut control = control_with(&ENGINES);
    crash_engine(&mut control, NOW, "first");
    crash_engine(&mut control, NOW + ms(500), "second");
    control.place(NOW + ms(1_000), poison("answered")).unwrap();
    control.ended(NOW + ms(1_100), "answered", end);
    crash_engine(&mut control, NOW + ms(1_500), "third");
    assert_eq!(refusal(&mut control, NOW + ms(2_000)), refused);
}

#[test]
fn a_running_poison_request_is_not_sent_elsewhere() {
    let mut control = control_with(&ENGINES);
    let ranking = control.place(NOW, poison("running")).unwrap();
    assert!(ranking.backup.is_some());
    assert!(control.may_resend("running"));
    crash_three_engines(&mut control);
    let now = NOW + ms(2_000);
    assert!(!control.may_resend("running"), "a retry");
    assert!(control.fail_over(now, "running").is_none(), "a failover");
    assert!(
        control.restart_stream(now, "running").is_none(),
        "a restart"
    );
    assert!(control.evacuate(now, "running", &[]).is_none(), "a move");
}

/// A request that made progress for long enough before others with the same fingerprint crashed
/// engines is known to run well.
#[test]
fn a_request_that_ran_well_may_fail_over() {
    let mut control = control_with(&ENGINES);
    control.place(NOW, poison("running")).unwrap();
    control.progress(NOW + ms(100), "running", 4);
    control.progress(NOW + ms(1_200), "running", 200);
    crash_three_engines(&mut control);
    assert!(control.may_resend("running"));
    assert!(control.fail_over(NOW + ms(2_000), "running").is_some());
}

#[test]
fn a_crash_after_a_second_of_progress_is_not_attributed() {
    let mut control = control_with(&ENGINES);
    for number in 0..4 {
        let (now, request) = (NOW + ms(number * 2_000), format!("r{number}"));
        let ranking = control.place(now, poison(&request)).unwrap();
        control.progress(now + ms(50), &request, 4);
        control.note_broken_run(now + ms(1_100), &request, &ranking.replicas[0]);
        control.server_ended(now + ms(1_100), &ranking.replicas[0].server_life());
        control.ended(now + ms(1_100), &request, RunEnd::Failed);
    }
    assert_eq!(refusal(&mut control, NOW + ms(9_000)), None);
}

/// Connections break and answers are cut while the engines keep running.
#[test]
fn a_lost_connection_alone_is_not_a_crash() {
    let mut control = control_with(&ENGINES);
    for number in 0..6 {
        let (now, request) = (NOW + ms(number * 300), format!("r{number}"));
        let ranking = control.place(now, poison(&request)).unwrap();
        control.note_broken_run(now + ms(20), &request, &ranking.replicas[0]);
        control.ended(now + ms(20), &request, RunEnd::Failed);
        control.tick(now + ms(20));
    }
    assert_eq!(refusal(&mut control, NOW + ms(9_000)), None);
}

/// Engines that are stopped cut the answers that they have not finished.
#[test]
fn the_end_of_a_draining_engine_is_not_attributed() {
    let mut control = control_with(&ENGINES);
    for number in 0..4 {
        let (now, request) = (NOW + ms(number * 500), format!("r{number}"));
        let replica = control.place(now, poison(&request)).unwrap().replicas[0].clone();
        let leaves = ReplicaChange::Listed(leaving(&replica.id, "z1"));
        control.change_replicas(now, 2 + number, vec![leaves]);
        control.note_broken_run(now + ms(400), &request, &replica);
        control.server_ended(now + ms(400), &replica.server_life());
    }
    assert_eq!(refusal(&mut control, NOW + ms(5_000)), None);
}

fn restarted(id: &str, born_ms: u64) -> Replica {
    Replica {
        born_ms: Some(born_ms),
        ..engine(id, "z1")
    }
}

/// Entry of a crashed engine in the list.
#[derive(Clone, Copy)]
enum Listed {
    Removed,
    Back,
}

/// No refused connection was observed, as the engine was cut off or this instance was suspended.
#[test_case(Listed::Removed, false; "the entry is removed")]
#[test_case(Listed::Back, false; "the engine restarts under its id")]
#[test_case(Listed::Back, true; "the engine restarts before the lost connection is seen")]
fn the_list_confirms_a_crash(listed: Listed, is_first: bool) {
    let mut control = control_with(&[]);
    let engines = (0..6).map(|number| restarted(&format!("e{number}"), 1_000));
    control.offer_replicas(NOW, 2, engines.collect());
    for number in 0..3 {
        let (now, request) = (NOW + ms(number * 4_000), format!("r{number}"));
        let replica = control.place(now, poison(&request)).unwrap().replicas[0].clone();
        let change = match listed {
            Listed::Removed => ReplicaChange::Removed(replica.id.clone()),
            Listed::Back => ReplicaChange::Listed(restarted(&replica.id, 2_000 + number)),
        };
        if is_first {
            control.change_replicas(now + ms(50), 10 + number, vec![change.clone()]);
        }
        control.note_broken_run(now + ms(100), &request, &replica);
        control.ended(now + ms(100), &request, RunEnd::Failed);
        // The third crash is confirmed only when the list has changed. Until then its outcome is
        // open, and none like it is sent beside it.
        let is_third = number == 2;
        assert_eq!(control.quarantined(), usize::from(is_first && is_third));
        let refused = is_third.then_some(RefusalKind::Quarantined);
        assert_eq!(refusal(&mut control, now + ms(200)), refused);
        control.ended(now + ms(200), "one more", RunEnd::Refused);
        control.change_replicas(now + ms(3_700), 10 + number, vec![change]);
    }
    let now = NOW + ms(12_000);
    assert_eq!(control.quarantined(), 1);
    assert_eq!(refusal(&mut control, now), Some(RefusalKind::Quarantined));
}

/// Two incarnations with the same ID count separately.
#[test]
fn crashes_of_one_restarting_engine_are_counted() {
    let mut control = control_with(&[]);
    for number in 0..3 {
        let now = NOW + ms(number * 4_000);
        control.offer_replicas(now, 2 + number, vec![restarted("e", 1_000 + number)]);
        assert_eq!(crash_engine(&mut control, now, &format!("r{number}")), "e");
    }
    let now = NOW + ms(12_000);
    assert_eq!(refusal(&mut control, now), Some(RefusalKind::Quarantined));
}

/// All requests on an engine are running there when it crashes. Other sessions fail over to other
/// engines and may run beside the poison request there again.
#[test]
fn other_sessions_on_crashed_engines_keep_being_served() {
    let mut control = control_with(&ENGINES);
    let beside = ["s0", "s1", "s2"];
    for number in 0..5 {
        let now = NOW + ms(number * 300);
        let ranking = control.place(now, poison(&format!("end-{number}")));
        let Ok(ranking) = ranking else {
            break;
        };
        let replica = &ranking.replicas[0];
        for session in beside {
            // Each session was sent to the same engine.
            if control.place(now, ask(session)).is_ok() {
                control.note_broken_run(now + ms(100), session, replica);
            }
        }
        control.note_broken_run(now + ms(100), &format!("end-{number}"), replica);
        control.server_ended(now + ms(101), &replica.server_life());
    }
    assert_eq!(
        refusal(&mut control, NOW + ms(5_000)),
        Some(RefusalKind::Quarantined)
    );
    // One of these sessions was in fewer crashes. The others are distinguished from the poison
    // request once it crashes one more engine.
    control.apply_peer_suspects(NOW + ms(5_000), &one_more_crash());
    for session in beside {
        assert!(
            control.place(NOW + ms(5_100), ask(session)).is_ok(),
            "{session}"
        );
    }
}

/// Suspicions that another instance advertises after one more crash.
fn one_more_crash() -> Vec<iristhread_core::AdvertisedSuspect> {
    let mut other = control_with(&["g"]);
    crash_engine(&mut other, NOW + ms(4_000), "elsewhere");
    other.advertised_suspects(NOW + ms(4_500))
}

#[test]
fn one_instance_probes_after_the_quarantine() {
    let mut fleet = fleet();
    crash_three_engines(&mut fleet[0]);
    let suspects = fleet[0].advertised_suspects(NOW + ms(1_500));
    for control in &mut fleet[1..] {
        control.apply_peer_suspects(NOW + ms(1_500), &suspects);
    }
    let during = NOW + ms(20_000);
    let refused = fleet.iter_mut().map(|control| refusal(control, during));
    assert_eq!(refused.flatten().count(), 4);
    let after = NOW + ms(200_000);
    let refused = fleet.iter_mut().map(|control| refusal(control, after));
    assert_eq!(refused.flatten().count(), 3, "one instance probes");
    let refused = fleet
        .iter_mut()
        .map(|control| refusal(control, after + ms(50)));
    assert_eq!(refused.flatten().count(), 4, "only one probe is sent");
    let prober = fleet.iter().position(|c| c.running() > 0).unwrap();
    fleet[prober].ended(after + ms(900), "one more", RunEnd::Answered);
    let cleared = fleet[prober].advertised_suspects(after + ms(900));
    for control in &mut fleet {
        control.apply_peer_suspects(after + ms(910), &cleared);
        assert_eq!(refusal(control, after + ms(920)), None);
    }
}

#[test]
fn an_isolated_instance_does_not_probe() {
    let mut fleet = fleet();
    crash_three_engines(&mut fleet[0]);
    let suspects = fleet[0].advertised_suspects(NOW + ms(1_500));
    for control in &mut fleet {
        control.apply_peer_suspects(NOW + ms(1_500), &suspects);
        control.tick(NOW + ms(200_000));
        let refused = refusal(control, NOW + ms(200_000));
        assert_eq!(refused, Some(RefusalKind::Quarantined));
    }
}
