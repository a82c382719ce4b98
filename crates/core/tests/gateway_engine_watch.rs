//! Direct checks of engines while the list is stale, and the reactions to their results.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::ListedState;

use gateway_scene::ask;
use gateway_scene::config;
use gateway_scene::control_with;
use gateway_scene::engine;
use gateway_scene::ms;
use gateway_scene::terms;
use gateway_scene::told;

const ENGINES: [&str; 5] = ["e1", "e2", "e3", "e4", "e5"];

/// Instances that receive each other's load and have a stale list.
fn fleet(count: u32) -> Vec<GatewayControl> {
    let name = |number: u32| format!("i{number}");
    (0..count)
        .map(|own| {
            let mut control = GatewayControl::new(GatewayParameters {
                instance: name(own),
                ..terms()
            });
            control.offer_config(Arc::new(config(1)));
            let engines = ENGINES.iter().map(|id| engine(id, "z1")).collect();
            control.offer_replicas(Duration::ZERO, 1, engines);
            for other in (0..count).filter(|other| *other != own) {
                control.apply_peer_load(Duration::ZERO, told(&name(other), 1, BTreeMap::new()));
            }
            control.set_list_stale(true);
            control
        })
        .collect()
}

#[test]
fn no_checks_while_the_list_is_confirmed() {
    let mut control = control_with(&ENGINES);
    control.place(Duration::ZERO, ask("r1")).unwrap();
    let checks = control.engine_checks(ms(100));
    assert!(checks.query.is_empty() && checks.probe.is_empty());
}

#[test]
fn each_engine_is_queried_by_one_instance() {
    let mut queried: Vec<String> = fleet(4)
        .iter_mut()
        .flat_map(|control| control.engine_checks(ms(100)).query)
        .map(|engine| engine.id)
        .collect();
    queried.sort();
    assert_eq!(queried, ENGINES);
}

#[test]
fn an_engine_with_a_backup_is_probed_periodically() {
    let mut control = control_with(&ENGINES);
    let backup = control.place(Duration::ZERO, ask("r1")).unwrap().backup;
    control.set_list_stale(true);
    let probed = |control: &mut GatewayControl, at: u64| {
        let engines = control.engine_checks(ms(at)).probe.into_iter();
        engines.map(|engine| engine.id).collect::<Vec<String>>()
    };
    let backup_id = backup.unwrap().id;
    assert_eq!(probed(&mut control, 300).first(), Some(&backup_id));
    assert!(probed(&mut control, 600).is_empty());
    assert_eq!(probed(&mut control, 1_300), [backup_id]);
}

#[test]
fn sessions_move_off_an_engine_that_reports_draining() {
    let mut control = control_with(&["e1"]);
    let ranking = control.place(Duration::ZERO, ask("r1")).unwrap();
    assert!(ranking.backup.is_none());
    let both = vec![engine("e1", "z1"), engine("e2", "z1")];
    control.offer_replicas(ms(10), 2, both.clone());
    let evacuations = control
        .report_draining(ms(100), &engine("e1", "z1").server_life(), true)
        .unwrap();
    assert_eq!(evacuations[0].target.id, "e2");
    assert_eq!(
        control
            .report_draining(ms(200), &engine("e1", "z1").server_life(), false)
            .map(|e| e.len()),
        None
    );
    assert_eq!(control.said_leaving(ms(9_000), false), ["e1"]);
    assert!(control.said_leaving(ms(11_000), false).is_empty());
    // The list may still contain it as serving for a while.
    control.offer_replicas(ms(300), 3, both);
    assert_eq!(control.list().state("e1"), ListedState::Leaving);
    let next = control.place(ms(300), ask("r2")).unwrap();
    assert_eq!(next.replicas[0].id, "e2");
    assert_eq!(next.replicas.len(), 1);
}

#[test]
fn draining_reported_by_a_peer_is_not_advertised_again() {
    let mut control = control_with(&["e1", "e2"]);
    assert!(
        control
            .report_draining(ms(100), &engine("e1", "z1").server_life(), false)
            .is_some()
    );
    assert!(control.said_leaving(ms(200), false).is_empty());
}

#[test]
fn an_unreachable_engine_gets_no_requests_for_a_while() {
    let mut control = control_with(&["e1", "e2"]);
    control.unreachable(ms(100), "e1");
    for number in 0..4 {
        let placed = control.place(ms(200), ask(&format!("r{number}"))).unwrap();
        assert_eq!(placed.replicas.len(), 1);
        assert_eq!(placed.replicas[0].id, "e2");
    }
    let later = control.place(ms(4_200), ask("later")).unwrap();
    assert_eq!(later.replicas.len(), 2);
}

/// Trying an unreachable engine is better than refusing the request.
#[test]
fn if_all_engines_are_unreachable_all_are_tried() {
    let mut control = control_with(&["e1", "e2"]);
    control.unreachable(ms(100), "e1");
    control.unreachable(ms(100), "e2");
    assert_eq!(control.place(ms(200), ask("r1")).unwrap().replicas.len(), 2);
}

#[test]
fn an_unreachable_backup_is_dropped() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let ranking = control.place(Duration::ZERO, ask("r1")).unwrap();
    control.unreachable(ms(100), &ranking.backup.unwrap().id);
    assert!(control.fail_over(ms(200), "r1").is_none());
    let leaves = control.report_draining(ms(300), &ranking.replicas[0].server_life(), true);
    assert_eq!(leaves.unwrap().len(), 1, "the session has to move now");
}

/// A preempted session can't be copied. Its move is retried at the next tick, instead of on one
/// engine after another at once.
#[test]
fn a_delayed_move_is_retried_at_the_next_tick() {
    let mut control = control_with(&["e1"]);
    control.place(Duration::ZERO, ask("r1")).unwrap();
    control.offer_replicas(ms(10), 2, vec![engine("e1", "z1"), engine("e2", "z1")]);
    control
        .report_draining(ms(100), &engine("e1", "z1").server_life(), true)
        .unwrap();
    control.move_delayed("r1");
    assert_eq!(control.tick(ms(200)).evacuations.len(), 1);
    assert!(
        control.tick(ms(400)).evacuations.is_empty(),
        "the session is moving"
    );
}

/// During an outage of the list, one failed attempt is enough for all instances of the zone.
#[test]
fn an_engine_that_a_neighbour_can_t_reach_gets_no_requests() {
    let mut fleet = fleet(2);
    assert!(fleet[0].refused_connection(ms(100), "e1"));
    assert!(!fleet[0].refused_connection(ms(200), "e1"), "known already");
    assert_eq!(fleet[0].found_unreachable(ms(2_100)), ["e1"]);
    assert!(fleet[0].found_unreachable(ms(2_300)).is_empty());
    fleet[1].apply_peer_unreachable(ms(150), "e1");
    for number in 0..8 {
        let ranking = fleet[1].place(ms(200), ask(&format!("r{number}"))).unwrap();
        assert!(ranking.replicas.iter().all(|replica| replica.id != "e1"));
    }
}

/// An instance that had lost its own path talked its neighbours out of engines that served them.
#[test]
fn an_engine_that_answers_here_stays_in_use_when_a_neighbour_can_t_reach_it() {
    let mut fleet = fleet(2);
    let ranking = fleet[1].place(ms(100), ask("r1")).unwrap();
    let engine = ranking.replicas[0].id.clone();
    fleet[1].progress(ms(150), "r1", 16);
    fleet[1].apply_peer_unreachable(ms(200), &engine);
    assert!(is_chosen(&mut fleet[1], ms(250), &engine));
}

#[test]
fn an_engine_that_answers_is_in_use_again() {
    let mut fleet = fleet(2);
    let ranking = fleet[1].place(ms(100), ask("r1")).unwrap();
    let engine = ranking.replicas[0].id.clone();
    fleet[1].apply_peer_unreachable(ms(150), &engine);
    assert!(!is_chosen(&mut fleet[1], ms(200), &engine));
    fleet[1].progress(ms(250), "r1", 16);
    assert!(is_chosen(&mut fleet[1], ms(300), &engine));
}

/// The failures of an instance without a path say nothing about the servers.
#[test]
fn an_instance_without_a_path_withdraws_what_it_said_about_servers() {
    let mut fleet = fleet(2);
    for engine in ["e1", "e2"] {
        fleet[0].refused_connection(ms(100), engine);
        fleet[0].failed(ms(100), engine);
    }
    fleet[0].service_cut_off("engines");
    assert!(fleet[0].found_unreachable(ms(150)).is_empty());
    for engine in ["e1", "e2"] {
        assert!(is_chosen(&mut fleet[0], ms(150), engine), "{engine}");
    }
}

/// Whether an engine is among those chosen for some of ten requests.
fn is_chosen(control: &mut GatewayControl, at: Duration, engine: &str) -> bool {
    (0..10).any(|number| {
        let request = format!("{engine}-{}-{number}", at.as_millis());
        let ranking = control.place(at, ask(&request)).unwrap();
        ranking.replicas.iter().any(|replica| replica.id == engine)
    })
}

/// A confirmed list shows which servers are gone, and a connection may fail for other reasons.
#[test]
fn refused_connections_are_not_advertised_while_the_list_is_confirmed() {
    let mut control = control_with(&ENGINES);
    assert!(!control.refused_connection(ms(100), "e1"));
    assert!(control.found_unreachable(ms(100)).is_empty());
    control.apply_peer_unreachable(ms(100), "e1");
    let chosen = (0..10).any(|number| {
        let ranking = control.place(ms(200), ask(&format!("r{number}"))).unwrap();
        ranking.replicas.iter().any(|replica| replica.id == "e1")
    });
    assert!(chosen);
}

/// Entries of removed servers stay in use for two seconds after an outage.
#[test]
fn unreachable_engines_are_advertised_until_the_list_has_settled() {
    let mut control = control_with(&ENGINES);
    control.outage_ended(ms(1_000));
    assert!(control.refused_connection(ms(1_500), "e1"));
    assert!(!control.refused_connection(ms(3_100), "e2"));
}
