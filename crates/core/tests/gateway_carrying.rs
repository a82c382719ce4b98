//! Placement of backups, and failover, restart and moves of sessions whose engine fails or drains.
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
fn the_backup_is_on_another_engine() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    for number in 0..6 {
        let ranking = control.place(ZERO, ask(&format!("r{number}"))).unwrap();
        let backup = ranking.backup.expect("there is room for backups");
        assert_ne!(backup.id, ranking.replicas[0].id);
    }
}

#[test]
fn short_answers_and_plain_calls_get_no_backup() {
    let mut control = control_with(&["e1", "e2"]);
    let mut short = ask("short");
    short.expected_tokens = Some(12);
    assert!(control.place(ZERO, short).unwrap().backup.is_none());
    let mut plain = ask("plain");
    plain.class = RequestClass::Once;
    assert!(control.place(ZERO, plain).unwrap().backup.is_none());
}

#[test]
fn a_session_fails_over_to_its_backup() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    let target = control.fail_over(ms(10), "r1").unwrap();
    assert_eq!(target.replica.id, ranking.backup.unwrap().id);
    assert_eq!(target.from, ranking.replicas[0].id);
    let next = target.backup.expect("a new backup is chosen");
    assert_ne!(next.id, target.replica.id);
    assert_ne!(next.id, target.from);
}

#[test]
fn an_unusable_backup_is_not_tried_again() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    let first = ranking.replicas[0].id.clone();
    control.fail_over(ZERO, "r1").unwrap();
    control.failover_failed("r1", first.clone());
    assert!(control.fail_over(ZERO, "r1").is_none());
    assert_eq!(control.shares()[&first].requests, 1);
}

#[test]
fn without_a_backup_there_is_no_failover() {
    let mut control = control_with(&["e1"]);
    assert!(control.place(ZERO, ask("r1")).unwrap().backup.is_none());
    assert!(control.fail_over(ZERO, "r1").is_none());
}

#[test]
fn sessions_without_a_backup_move_off_a_draining_engine() {
    let mut control = control_with(&["e1"]);
    control.place(ZERO, ask("r1")).unwrap();
    let changes = vec![
        ReplicaChange::Listed(engine("e2", "z1")),
        ReplicaChange::Listed(leaving("e1", "z1")),
    ];
    let evacuations = control.change_replicas(ZERO, 2, changes);
    assert_eq!(evacuations.len(), 1);
    assert_eq!(evacuations[0].target.id, "e2");
    let again = vec![ReplicaChange::Listed(leaving("e1", "z1"))];
    assert!(
        control.change_replicas(ZERO, 3, again).is_empty(),
        "the session is moving already"
    );
}

#[test]
fn a_session_that_lost_its_backup_moves_when_its_engine_drains() {
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

/// Instances that move sessions off one engine at the same time must not all choose the same
/// target, where the copies would wait for each other.
#[test]
fn simultaneous_moves_spread_over_engines() {
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
    let changes_at = |revision| {
        let leaves = vec![
            ReplicaChange::Listed(engine("e2", "z1")),
            ReplicaChange::Listed(leaving("e1", "z1")),
        ];
        (revision, leaves)
    };
    let (revision, changes) = changes_at(2);
    assert!(control.change_replicas(ZERO, revision, changes).is_empty());
    control.progress(ms(0), "r1", 200);
    let (revision, changes) = changes_at(3);
    let evacuations = control.change_replicas(ZERO, revision, changes);
    assert_eq!(evacuations.len(), 1, "the answer is longer than expected");
}

#[test]
fn an_engine_that_fails_during_a_move_leaves_no_backup() {
    let mut control = control_with(&["e1"]);
    control.place(ZERO, ask("r1")).unwrap();
    let changes = vec![
        ReplicaChange::Listed(engine("e2", "z1")),
        ReplicaChange::Listed(leaving("e1", "z1")),
    ];
    assert_eq!(control.change_replicas(ZERO, 2, changes).len(), 1);
    assert!(control.fail_over(ZERO, "r1").is_none());
}

#[test]
fn a_move_prefers_untried_engines_of_the_same_zone() {
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
fn a_session_in_a_remote_zone_has_its_backup_in_the_local_zone() {
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
fn sessions_stay_on_engines_that_can_t_move_them() {
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
fn a_restart_uses_another_engine() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let mut long = ask("r1");
    long.prompt_tokens = 8_000;
    let ranking = control.place(ZERO, long).unwrap();
    assert!(ranking.backup.is_none(), "too large for a backup");
    let target = control.restart_stream(ms(10), "r1").unwrap();
    assert_eq!(target.from, ranking.replicas[0].id);
    assert_ne!(target.replica.id, target.from);
    assert_eq!(control.shares()[&target.replica.id].requests, 1);
}

#[test]
fn a_restart_needs_retry_budget() {
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

/// Engines that have just started are empty; their room is reserved for sessions while the other
/// engines are full.
#[test]
fn no_backup_on_an_empty_engine_while_the_others_are_full() {
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
