//! Room for sessions that must move off leaving engines.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;
mod move_scene;

use std::time::Duration;

use iristhread_core::GatewayControl;
use iristhread_core::MoveDemand;
use iristhread_core::PlacementRequest;
use iristhread_core::ReplicaChange;
use iristhread_core::Totals;

use gateway_scene::ask;
use gateway_scene::engine;
use gateway_scene::leaving;
use gateway_scene::ms;
use move_scene::MEMORY_TOKENS;
use move_scene::MoveFleet;
use move_scene::advertised;
use move_scene::gateway;

/// New sessions a second: more than the engines have memory for.
const OFFERED_PER_S: u64 = 70;

/// Engines that leave at once: a sixth.
const DEPARTING: usize = 2;

fn sized(request: &str, prompt_tokens: u32) -> PlacementRequest {
    PlacementRequest {
        prompt_tokens,
        ..ask(request)
    }
}

/// A gateway with one serving engine, on which the sessions run.
fn gateway_with(move_reserve: f64, sessions: &[(&str, u32)]) -> GatewayControl {
    let mut control = gateway(1, move_reserve, &[engine("e1", "z1")]);
    for (request, prompt_tokens) in sessions {
        control
            .place(ms(0), sized(request, *prompt_tokens))
            .unwrap();
    }
    control
}

/// Lists a second engine with `used` tokens of another instance, and drains the first.
fn drain_first(control: &mut GatewayControl, used: u64) -> Vec<(String, String)> {
    let load = iristhread_core::LoadShare {
        session_tokens: used,
        ..Default::default()
    };
    let shares = [("e2".to_owned(), load)].into();
    control.apply_peer_load(ms(0), gateway_scene::told("i2", 1, shares));
    let changes = vec![
        ReplicaChange::Listed(engine("e2", "z1")),
        ReplicaChange::Listed(leaving("e1", "z1")),
    ];
    let moves = control.change_replicas(ms(0), 2, changes).into_iter();
    moves
        .map(|found| (found.request, found.target.id))
        .collect()
}

fn claims(tokens: u64) -> Totals {
    Totals {
        seeking_tokens: [("engines".to_owned(), tokens)].into(),
        ..Totals::default()
    }
}

/// New sessions took the room that sessions on leaving engines needed, and these were lost with
/// their engines 1.5 s later.
#[test]
fn sessions_on_leaving_engines_find_room() {
    let (mut without, mut with) = (MoveFleet::new(0.0), MoveFleet::new(1.0));
    without.run(24, OFFERED_PER_S, DEPARTING);
    with.run(24, OFFERED_PER_S, DEPARTING);
    assert!(without.lost > 20, "{} lost", without.lost);
    assert_eq!(with.lost, 0);
    assert!(with.moved > without.moved, "{} moved", with.moved);
    let (served, before) = (with.chosen.len(), without.chosen.len());
    assert!(served > before * 8 / 10, "{served} of {before} placed");
}

/// A reserve where engines don't leave would refuse callers for nothing.
#[test]
fn nothing_is_kept_while_no_engine_leaves() {
    let (mut without, mut with) = (MoveFleet::new(0.0), MoveFleet::new(1.0));
    without.run(8, OFFERED_PER_S, 0);
    with.run(8, OFFERED_PER_S, 0);
    assert_eq!(with.most_kept, 0.0);
    assert_eq!(with.chosen, without.chosen);
}

/// Deployments that do not use the setting must keep their placements, also beside instances that
/// advertise claims already, as in a rolling change of the settings.
#[test]
fn without_the_setting_claims_of_others_change_nothing() {
    let (mut alone, mut beside) = (MoveFleet::new(0.0), MoveFleet::new(0.0));
    for control in &mut beside.instances {
        control.apply_peer_totals(ms(0), advertised("other", claims(MEMORY_TOKENS * 12)));
    }
    alone.run(8, OFFERED_PER_S, DEPARTING);
    beside.run(8, OFFERED_PER_S, DEPARTING);
    assert_eq!(beside.chosen, alone.chosen);
    assert_eq!(beside.most_kept, 0.0);
}

/// Claims that outlived the search would refuse callers while there is room.
#[test]
fn claims_end_when_the_sessions_have_a_target() {
    let mut control = gateway_with(1e-6, &[("r1", 2_000), ("r2", 2_000)]);
    assert!(drain_first(&mut control, MEMORY_TOKENS).is_empty());
    assert!(control.claims_appeared());
    assert!(!control.claims_appeared(), "already known");
    let advertised = control.advertised_totals(ms(0)).unwrap();
    assert_eq!(advertised.seeking_tokens["engines"], 4_000);
    let kept = control.memory_headroom(ms(0), "engines");
    let expected = 4_000.0 / MEMORY_TOKENS as f64;
    assert!((kept - expected).abs() < 1e-3, "{kept}");
    let empty = gateway_scene::told("i2", 2, Default::default());
    control.apply_peer_load(ms(100), empty);
    assert_eq!(control.tick(ms(200)).evacuations.len(), 2);
    assert!(control.memory_headroom(ms(200), "engines") < 1e-3);
    let advertised = control.advertised_totals(ms(700)).unwrap();
    assert!(advertised.is_empty());
}

/// The claims of an instance that has ended would keep memory from callers for ever.
#[test]
fn claims_of_silent_peers_expire() {
    let mut control = gateway_with(1.0, &[]);
    control.apply_peer_totals(ms(0), advertised("i2", claims(MEMORY_TOKENS)));
    assert!(control.place(ms(10), ask("r1")).is_err());
    control.tick(ms(3_200));
    assert_eq!(control.memory_headroom(ms(3_200), "engines"), 0.0);
    assert!(control.place(ms(3_200), ask("r2")).is_ok());
}

/// A stream that its caller has read in part would be lost with room left on an engine.
#[test]
fn only_streams_without_events_leave_the_kept_room_free() {
    let mut control = gateway_with(1.0, &[("begun", 2_000), ("fresh", 2_000)]);
    control.progress(ms(0), "begun", 40);
    drain_first(&mut control, 0);
    control.apply_peer_totals(ms(0), advertised("i2", claims(MEMORY_TOKENS)));
    assert!(control.restart_stream(ms(10), "fresh").is_none());
    assert!(control.restart_stream(ms(10), "begun").is_some());
}

/// Small sessions used up the room in which a large one would have fitted.
#[test]
fn the_largest_session_goes_first() {
    let sessions = [("r1", 2_000), ("r2", 8_000), ("r3", 4_000)];
    for (move_reserve, first) in [(0.0, "r1"), (1.0, "r2")] {
        let mut control = gateway_with(move_reserve, &sessions);
        let moves = drain_first(&mut control, MEMORY_TOKENS - 9_000);
        assert_eq!(moves[0].0, first);
    }
}

/// Each session of an instance found out by itself that an engine has no room, while the notice of
/// its engine passed.
#[test]
fn an_engine_that_refused_a_move_is_skipped_for_a_moment() {
    let mut control = gateway_with(1.0, &[("r1", 2_000), ("r2", 2_000)]);
    assert_eq!(drain_first(&mut control, 0).len(), 2);
    control.move_refused(ms(100), "e2".to_owned());
    assert!(control.evacuate(ms(100), "r1", &[]).is_none());
    assert!(control.evacuate(ms(300), "r2", &[]).is_none());
    assert_eq!(control.tick(ms(400)).evacuations.len(), 0);
    assert_eq!(control.tick(ms(600)).evacuations.len(), 2);
}

/// An operator couldn't tell from the log why a session was lost with its engine.
#[test]
fn a_session_without_a_target_is_reported_once() {
    let mut control = gateway_with(0.0, &[("r1", 2_000)]);
    drain_first(&mut control, MEMORY_TOKENS);
    control.tick(ms(200));
    let unplaced = control.take_unplaced_moves();
    assert_eq!(unplaced.len(), 1);
    assert_eq!((unplaced[0].tokens, unplaced[0].candidates), (2_000, 1));
    assert!(unplaced[0].best_memory.unwrap() > 1.0);
    control.tick(ms(400));
    assert!(control.take_unplaced_moves().is_empty());
}

/// Sessions that ask for room for the first time after totals have just been sent must not wait for
/// the interval: their engine is gone before the others know of them.
#[test]
fn claims_that_appear_are_advertised_at_once() {
    let mut control = gateway_with(1.0, &[("r1", 2_000)]);
    control.apply_peer_totals(ms(0), advertised("i2", Totals::default()));
    assert!(control.advertised_totals(ms(0)).is_some());
    assert!(control.advertised_totals(ms(50)).is_none());
    drain_first(&mut control, MEMORY_TOKENS);
    assert!(control.advertised_totals(ms(100)).is_some());
    assert!(control.advertised_totals(ms(150)).is_none());
}

/// The first departure after the setting was switched on without a restart was not learned.
#[test]
fn a_departure_counts_soon_after_the_setting_was_switched_on() {
    let mut control = gateway_with(0.0, &[("r1", 2_000)]);
    control.set_terms(iristhread_core::GatewayParameters {
        move_reserve: 1.0,
        ..gateway_scene::terms()
    });
    control.tick(ms(200));
    drain_first(&mut control, 0);
    assert!(control.move_headrooms(ms(200))[0].needed_tokens >= 2_000.0);
}

/// Engines that leave together need room together; a smaller departure must not hide a larger one,
/// and a reserve must end.
#[test]
fn the_need_of_departures_adds_up_within_a_second_and_decays() {
    let mut demand = MoveDemand::default();
    assert_eq!(demand.needed(ms(0), "engines"), 0.0);
    demand.departed(ms(0), "engines", 1_000);
    demand.departed(ms(900), "engines", 500);
    assert_eq!(demand.needed(ms(0), "engines"), 1_500.0);
    assert_eq!(demand.needed(ms(0), "orders"), 0.0);
    demand.departed(ms(30_000), "engines", 100);
    assert_eq!(demand.needed(ms(30_000), "engines"), 750.0);
    let end = ms(30_000) + Duration::from_secs(120);
    assert_eq!(demand.needed(end, "engines"), 0.0);
}
