//! Where sessions keep copies, and where they go when their engine leaves or
//! breaks off.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::LoadShare;
use iristhread_core::ReplicaChange;
use iristhread_core::RequestClass;

use gateway_scene::ask;
use gateway_scene::config;
use gateway_scene::control;
use gateway_scene::control_with;
use gateway_scene::crowd;
use gateway_scene::engine;
use gateway_scene::leaving;
use gateway_scene::ms;
use gateway_scene::terms;
use gateway_scene::told;

const ZERO: Duration = Duration::ZERO;

#[test]
fn a_copy_is_kept_on_another_engine() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    for number in 0..6 {
        let ranking = control.place(ZERO, ask(&format!("r{number}"))).unwrap();
        let backup = ranking.backup.expect("there is room for copies");
        assert_ne!(backup.id, ranking.replicas[0].id);
    }
}

#[test]
fn short_answers_and_plain_calls_get_no_copy() {
    let mut control = control_with(&["e1", "e2"]);
    let mut short = ask("short");
    short.expected_tokens = Some(12);
    assert!(control.place(ZERO, short).unwrap().backup.is_none());
    let mut plain = ask("plain");
    plain.class = RequestClass::Once;
    assert!(control.place(ZERO, plain).unwrap().backup.is_none());
}

#[test]
fn a_session_goes_on_at_its_copy() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    let target = control.fail_over(ms(10), "r1").unwrap();
    assert_eq!(target.replica.id, ranking.backup.unwrap().id);
    assert_eq!(target.from, ranking.replicas[0].id);
    let next = target.backup.expect("a new copy is kept");
    assert_ne!(next.id, target.replica.id);
    assert_ne!(next.id, target.from);
}

#[test]
fn a_copy_that_could_not_be_used_is_not_tried_again() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    let first = ranking.replicas[0].id.clone();
    control.fail_over(ZERO, "r1").unwrap();
    control.failover_failed("r1", first.clone());
    assert!(control.fail_over(ZERO, "r1").is_none());
    assert_eq!(control.shares()[&first].requests, 1);
}

#[test]
fn no_copy_means_no_place_to_go_on() {
    let mut control = control_with(&["e1"]);
    assert!(control.place(ZERO, ask("r1")).unwrap().backup.is_none());
    assert!(control.fail_over(ZERO, "r1").is_none());
}

#[test]
fn sessions_without_a_copy_move_off_a_leaving_engine() {
    let mut control = control_with(&["e1"]);
    control.place(ZERO, ask("r1")).unwrap();
    let news = vec![
        ReplicaChange::Listed(engine("e2", "z1")),
        ReplicaChange::Listed(leaving("e1", "z1")),
    ];
    let evacuations = control.change_replicas(ZERO, 2, news);
    assert_eq!(evacuations.len(), 1);
    assert_eq!(evacuations[0].target.id, "e2");
    let again = vec![ReplicaChange::Listed(leaving("e1", "z1"))];
    assert!(
        control.change_replicas(ZERO, 3, again).is_empty(),
        "it moves already"
    );
}

#[test]
fn a_session_whose_copy_leaves_first_moves_when_its_engine_does() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    let (engine, backup) = (&ranking.replicas[0].id, ranking.backup.unwrap().id);
    let removed = vec![ReplicaChange::Removed(backup.clone())];
    assert!(control.change_replicas(ZERO, 2, removed).is_empty());
    assert!(control.fail_over(ZERO, "r1").is_none());
    let leaves = vec![ReplicaChange::Listed(leaving(engine, "z1"))];
    let evacuations = control.change_replicas(ZERO, 3, leaves);
    assert_eq!(evacuations.len(), 1);
    assert_ne!(evacuations[0].target.id, backup);
}

/// Instances that move sessions off one engine at the same moment must not all
/// choose the same target, where their copies would wait for each other.
#[test]
fn moves_at_one_moment_spread_over_engines() {
    let mut targets = BTreeSet::new();
    for seed in 0..20 {
        let mut control = GatewayControl::new(GatewayParameters { seed, ..terms() });
        control.offer_config(Arc::new(config(1)));
        let ids = ["e1", "e2", "e3", "e4", "e5", "e6", "e7"];
        let engines = ids.map(|id| engine(id, "z1")).to_vec();
        control.offer_replicas(ZERO, 1, engines);
        control.place(ZERO, ask("r1")).unwrap();
        control.moved(Duration::ZERO, "r1", "e1".to_owned());
        let loads = ids.iter().zip(0..).map(|(id, place)| {
            let load = LoadShare {
                session_tokens: place * 300,
                ..LoadShare::default()
            };
            (id.to_string(), load)
        });
        control.apply_peer_load(ZERO, told("i2", 1, loads.collect()));
        targets.insert(control.evacuate(ZERO, "r1", &[]).unwrap().target.id);
    }
    assert!(targets.len() >= 4, "{targets:?}");
}

#[test]
fn a_short_answer_is_not_moved() {
    let mut control = control_with(&["e1"]);
    let mut short = ask("r1");
    short.expected_tokens = Some(10);
    control.place(ZERO, short).unwrap();
    let news = |revision| {
        let leaves = vec![
            ReplicaChange::Listed(engine("e2", "z1")),
            ReplicaChange::Listed(leaving("e1", "z1")),
        ];
        (revision, leaves)
    };
    let (revision, changes) = news(2);
    assert!(control.change_replicas(ZERO, revision, changes).is_empty());
    control.progress(ms(0), "r1", 200);
    let (revision, changes) = news(3);
    let evacuations = control.change_replicas(ZERO, revision, changes);
    assert_eq!(evacuations.len(), 1, "it is longer than it seemed");
}

#[test]
fn an_engine_that_breaks_off_during_a_move_leaves_no_copy() {
    let mut control = control_with(&["e1"]);
    control.place(ZERO, ask("r1")).unwrap();
    let news = vec![
        ReplicaChange::Listed(engine("e2", "z1")),
        ReplicaChange::Listed(leaving("e1", "z1")),
    ];
    assert_eq!(control.change_replicas(ZERO, 2, news).len(), 1);
    assert!(control.fail_over(ZERO, "r1").is_none());
}

#[test]
fn a_move_tries_other_engines_and_those_of_its_zone_first() {
    let mut control = control();
    control.offer_config(Arc::new(config(1)));
    let engines = vec![engine("e1", "z2"), engine("e2", "z2"), engine("e3", "z1")];
    control.offer_replicas(ZERO, 1, engines);
    let mut alone = ask("r1");
    alone.expected_tokens = Some(10);
    control.place(ZERO, alone).unwrap();
    control.moved(Duration::ZERO, "r1", "e1".to_owned());
    assert_eq!(control.evacuate(ZERO, "r1", &[]).unwrap().target.id, "e2");
    let tried = ["e2".to_owned()];
    assert_eq!(
        control.evacuate(ZERO, "r1", &tried).unwrap().target.id,
        "e3"
    );
    let tried = ["e2".to_owned(), "e3".to_owned()];
    assert!(control.evacuate(ZERO, "r1", &tried).is_none());
}

#[test]
fn a_session_in_another_zone_keeps_its_copy_in_this_one() {
    let mut control = control();
    control.offer_config(Arc::new(config(1)));
    let engines = vec![
        engine("far1", "z2"),
        engine("far2", "z2"),
        engine("near", "z1"),
    ];
    control.offer_replicas(ZERO, 1, engines);
    crowd(&mut control, "near");
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    assert!(ranking.replicas[0].id.starts_with("far"));
    assert_eq!(ranking.backup.unwrap().id, "near");
}

#[test]
fn sessions_stay_where_engines_can_t_move_them() {
    let mut control = control_with(&["e1", "e2"]);
    let mut fixed = config(2);
    if let Some(engine) = &mut fixed.services[0].engine {
        engine.can_move = false;
        engine.can_back_up = false;
    }
    control.offer_config(Arc::new(fixed));
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    let leaves = vec![ReplicaChange::Listed(leaving(
        &ranking.replicas[0].id,
        "z1",
    ))];
    assert!(control.change_replicas(ZERO, 2, leaves).is_empty());
}

#[test]
fn a_stream_is_run_again_elsewhere_for_a_retry() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let mut long = ask("r1");
    long.prompt_tokens = 8_000;
    let ranking = control.place(ZERO, long).unwrap();
    assert!(ranking.backup.is_none(), "too large for a copy");
    let target = control.restart_stream(ms(10), "r1").unwrap();
    assert_eq!(target.from, ranking.replicas[0].id);
    assert_ne!(target.replica.id, target.from);
    assert_eq!(control.shares()[&target.replica.id].requests, 1);
}

#[test]
fn a_stream_is_not_run_again_without_a_retry_left() {
    let mut control = GatewayControl::new(GatewayParameters {
        retry_ratio: 0.0,
        retry_extra: 0.0,
        ..terms()
    });
    control.offer_config(Arc::new(config(1)));
    let engines = vec![engine("e1", "z1"), engine("e2", "z1")];
    control.offer_replicas(ZERO, 1, engines);
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    assert!(control.restart_stream(ms(10), "r1").is_none());
    assert_eq!(control.shares()[&ranking.replicas[0].id].requests, 1);
}

/// Engines that have just come are empty; their room is for sessions while the
/// others have none.
#[test]
fn no_copy_is_kept_on_an_empty_engine_while_the_others_are_full() {
    let full = ["e3", "e4", "e5", "e6", "e7", "e8"];
    let mut control = control_with(&["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"]);
    let load = |session_tokens| LoadShare {
        session_tokens,
        ..LoadShare::default()
    };
    let loads = full.map(|id| (id.to_owned(), load(9_000)));
    control.apply_peer_load(ZERO, told("i2", 1, loads.into()));
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    assert!(ranking.backup.is_none(), "{:?}", ranking.backup);
    let loads = full.map(|id| (id.to_owned(), load(3_000)));
    control.apply_peer_load(ZERO, told("i2", 2, loads.into()));
    let ranking = control.place(ZERO, ask("r2")).unwrap();
    assert!(ranking.backup.is_some());
}
