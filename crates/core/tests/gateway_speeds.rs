//! Speed of backend servers in a fleet whose instances exchange their timings.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;
mod speed_scene;

use iristhread_core::GatewayControl;
use iristhread_core::PlacementRequest;
use iristhread_core::Replica;
use iristhread_core::RequestClass;
use iristhread_core::RunEnd;
use iristhread_core::SpeedClass;
use test_case::test_case;

use gateway_scene::ask;
use gateway_scene::control_with;
use gateway_scene::engine;
use gateway_scene::instance;
use gateway_scene::ms;
use gateway_scene::terms;
use speed_scene::SpeedFleet;

/// A quarter of the engines needs 0.55 of the usual time, the others 1.2.
const UNEVEN: [f64; 8] = [0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];

fn learn(control: &mut GatewayControl) {
    control.set_terms(iristhread_core::GatewayParameters {
        learn_speeds: true,
        ..terms()
    });
}

/// Slow engines were given as many sessions as fast ones; fast ones given all would be slow, too.
#[test_case(5.0)]
#[test_case(8.0)]
fn fast_engines_get_more_sessions_and_stay_fast(per_s: f64) {
    let mut without = SpeedFleet::new(&UNEVEN, false);
    without.run(45, per_s);
    let mut fleet = SpeedFleet::new(&UNEVEN, true);
    fleet.run(45, per_s);
    let (fast, slow) = (fleet.chosen(0), fleet.chosen(1));
    assert!(fast > slow * 2, "{fast} and {slow}");
    assert!(slow > fast / 12, "{fast} and {slow}");
    let (before, after) = (without.mean_token_ms(), fleet.mean_token_ms());
    assert!(after < before * 0.95, "{after} ms instead of {before} ms");
    let relative = fleet.relative_time(0);
    assert!((0.4..0.55).contains(&relative), "{relative}");
    assert!((fleet.relative_time(1) - 1.0).abs() < f64::EPSILON);
    assert!(fleet.changes.len() <= 8, "{:?}", fleet.changes);
}

/// Choices would depend on noise where all engines are about as fast, and on the feature where it is
/// off.
#[test]
fn engines_within_the_tolerance_are_chosen_as_without_learning() {
    let factors = [0.9, 1.1, 1.0, 1.05, 0.95, 1.0];
    let mut without = SpeedFleet::new(&factors, false);
    without.run(30, 6.0);
    let mut fleet = SpeedFleet::new(&factors, true);
    fleet.run(30, 6.0);
    assert_eq!(fleet.choices, without.choices);
    assert!(fleet.instances[0].advertised_totals(ms(60_000)).is_some());
    assert!(without.instances[0].advertised_totals(ms(60_000)).is_none());
    assert_eq!(without.instances[0].speeds().relative_times().count(), 0);
}

/// An engine that was slow for some seconds would be avoided for ever, or never.
#[test]
fn an_engine_that_becomes_slow_is_detected_and_recovers() {
    let mut fleet = SpeedFleet::new(&[1.0; 6], true);
    fleet.run(10, 6.0);
    fleet.set_factor(2, 3.0, false);
    fleet.run(5, 6.0);
    assert!(fleet.relative_time(2) > 1.25);
    fleet.set_factor(2, 1.0, false);
    fleet.run(12, 6.0);
    assert!((fleet.relative_time(2) - 1.0).abs() < f64::EPSILON);
    let classes: Vec<SpeedClass> = fleet.changes.iter().map(|c| c.class).collect();
    assert_eq!(classes, [SpeedClass::Slow, SpeedClass::Usual]);
}

/// A restarted engine would inherit the speed of an earlier incarnation.
#[test]
fn a_new_incarnation_starts_unknown() {
    let mut fleet = SpeedFleet::new(&UNEVEN, true);
    fleet.run(20, 6.0);
    assert!(fleet.relative_time(0) < 0.6);
    let before = fleet.choices.len();
    fleet.set_factor(0, 1.2, true);
    assert!((fleet.relative_time(0) - 1.0).abs() < f64::EPSILON);
    fleet.run(10, 6.0);
    assert!((fleet.relative_time(0) - 1.0).abs() < f64::EPSILON);
    let chosen = fleet.choices[before..].iter().filter(|e| **e == 0).count();
    assert!((1..=15).contains(&chosen), "{chosen}");
}

/// Timings of peers that have ended would count for ever.
#[test]
fn the_timings_of_silent_peers_expire() {
    let mut fleet = SpeedFleet::new(&UNEVEN, true);
    fleet.run(20, 6.0);
    fleet.is_connected = false;
    // Ten half-lives, after which nothing is left of the own timings either.
    fleet.run(100, 0.0);
    assert!((fleet.relative_time(0) - 1.0).abs() < f64::EPSILON);
}

/// A pause for other reasons, or the time of a move, would make an engine slow.
#[test]
fn interrupted_and_moved_sessions_are_not_timed() {
    let mut control = control_with(&["e1", "e2"]);
    learn(&mut control);
    let mut engines = Vec::new();
    for request in ["interrupted", "moved"] {
        let ranking = control.place(ms(0), ask(request)).unwrap();
        engines.push(ranking.replicas[0].id.clone());
        control.progress(ms(100), request, 4);
        control.progress(ms(800), request, 68);
    }
    control.tick(ms(1_000));
    control.interrupted("interrupted");
    // Back to its engine, after a move that failed.
    control.moved(ms(1_000), "moved", engines[1].clone());
    // By then nothing is left of the timings before.
    control.tick(ms(30_000));
    for request in ["interrupted", "moved"] {
        control.progress(ms(30_100), request, 132);
    }
    assert!(control.speeds().advertised(9, |life| life).is_empty());
    control.progress(ms(30_800), "moved", 196);
    assert_eq!(control.speeds().advertised(9, |life| life).len(), 1);
}

/// The daemon reports the first send as well; if that dropped the timing, the time to the first
/// event would never be learned.
#[test]
fn the_report_of_the_first_send_keeps_the_timing_of_the_prompt() {
    let mut control = control_with(&["e1", "e2"]);
    learn(&mut control);
    let ranking = control.place(ms(0), ask("r1")).unwrap();
    control.moved(ms(1), "r1", ranking.replicas[0].id.clone());
    control.progress(ms(100), "r1", 4);
    let ranking = control.place(ms(200), ask("r2")).unwrap();
    assert!(ranking.server_view.first_event > ms(0));
}

/// Idle slow servers would be preferred to idle fast ones, whose load cost is zero as well.
#[test]
fn plain_servers_are_compared_by_the_times_of_their_answers() {
    let server = |id| Replica {
        service: "orders".to_owned(),
        ..engine(id, "z1")
    };
    let mut control = instance(1, &[server("s1"), server("s2"), server("s3")]);
    learn(&mut control);
    let mut slow_of_last = 0;
    for number in 0..400 {
        let now = ms(number * 200);
        let request = format!("r{number}");
        let call = PlacementRequest {
            service: "orders".to_owned(),
            class: RequestClass::Once,
            ..ask(&request)
        };
        let ranking = control.place(now, call).unwrap();
        let is_slow = ranking.replicas[0].id == "s2";
        slow_of_last += usize::from(is_slow && number >= 300);
        let took = ms(if is_slow { 190 } else { 60 });
        control.ended(now + took, &request, RunEnd::Answered);
        control.tick(now + ms(199));
    }
    assert!(slow_of_last <= 20, "{slow_of_last} of 100");
}
