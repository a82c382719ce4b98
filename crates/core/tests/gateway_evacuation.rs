//! Zones that the operators evacuate.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::sync::Arc;
use std::time::Duration;

use gateway_scene::ask;
use gateway_scene::config;
use gateway_scene::control;
use gateway_scene::engine;
use gateway_scene::leaving;
use gateway_scene::ms;
use iristhread_core::AdvertisedEvacuations;
use iristhread_core::EvacuationChange;
use iristhread_core::EvacuationUpdate;
use iristhread_core::GatewayControl;
use iristhread_core::PlacementRequest;
use iristhread_core::RefusalKind;
use iristhread_core::Replica;
use iristhread_core::RequestClass;
use iristhread_core::ZoneEvacuations;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(10);

fn whole(revision: u64, zones: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate::Whole(AdvertisedEvacuations {
        revision: revision.into(),
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    })
}

fn began(zone: &str) -> EvacuationChange {
    EvacuationChange::Began(zone.to_owned())
}

fn ended(zone: &str) -> EvacuationChange {
    EvacuationChange::Ended(zone.to_owned())
}

fn changed(after: u64, revision: u64, changes: Vec<EvacuationChange>) -> EvacuationUpdate {
    EvacuationUpdate::Changed {
        after: after.into(),
        revision: revision.into(),
        changes,
    }
}

/// Two engines and a plain service in each of two zones.
fn two_zones() -> GatewayControl {
    let mut control = control();
    control.offer_config(Arc::new(config(1)));
    let mut servers = Vec::new();
    for zone in ["z1", "z2"] {
        servers.push(engine(&format!("a-{zone}"), zone));
        servers.push(engine(&format!("b-{zone}"), zone));
        servers.push(Replica {
            service: "orders".to_owned(),
            ..engine(&format!("orders-{zone}"), zone)
        });
    }
    control.offer_replicas(NOW, 1, servers);
    control
}

fn ask_of(service: &str, request: &str) -> PlacementRequest {
    PlacementRequest {
        service: service.to_owned(),
        ..ask(request)
    }
}

fn zone_of(control: &GatewayControl, id: &str) -> String {
    control
        .list()
        .replica(id)
        .unwrap()
        .availability_zone
        .clone()
}

#[test_case("engines"; "engines")]
#[test_case("orders"; "a plain service")]
fn an_evacuated_zone_gets_no_new_requests(service: &str) {
    let mut control = two_zones();
    control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
    for number in 0..6 {
        let request = format!("r{number}");
        let ranking = control.place(NOW, ask_of(service, &request)).unwrap();
        let backup = ranking.backup.iter();
        for replica in ranking.replicas.iter().chain(backup) {
            assert_eq!(replica.availability_zone, "z2", "{request}");
        }
    }
}

#[test]
fn a_withdrawn_evacuation_opens_the_zone() {
    let mut control = two_zones();
    control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
    let changes = control.offer_evacuations(NOW, whole(3, &[])).unwrap();
    assert_eq!(changes, [ended("z1")]);
    let ranking = control.place(NOW, ask("r")).unwrap();
    assert_eq!(ranking.replicas[0].availability_zone, "z1");
}

#[test]
fn if_all_zones_are_evacuated_requests_are_refused() {
    let mut control = two_zones();
    control
        .offer_evacuations(NOW, whole(2, &["z1", "z2"]))
        .unwrap();
    let refusal = control.place(NOW, ask("r")).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::NoBackend);
    assert!(refusal.message.contains("evacuated"), "{}", refusal.message);
    assert_eq!(control.running(), 0);
}

#[test]
fn no_failover_to_a_backup_in_an_evacuated_zone() {
    let mut control = two_zones();
    let ranking = control.place(NOW, ask("r")).unwrap();
    let backup = ranking.backup.unwrap();
    let zone = zone_of(&control, &backup.id);
    control.offer_evacuations(NOW, whole(2, &[&zone])).unwrap();
    assert!(control.fail_over(NOW, "r").is_none());
}

#[test]
fn a_session_on_a_draining_engine_moves_to_an_open_zone() {
    for number in 0..8 {
        let mut control = two_zones();
        let request = format!("r{number}");
        let ranking = control.place(NOW, ask(&request)).unwrap();
        let first = ranking.replicas[0].clone();
        control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
        let draining = leaving(&first.id, &first.availability_zone);
        let changes = vec![iristhread_core::ReplicaChange::Listed(draining)];
        let moves = control.change_replicas(NOW, 2, changes);
        let target = &moves[0].target;
        assert_eq!(target.availability_zone, "z2");
    }
}

#[test]
fn a_stream_restarts_outside_an_evacuated_zone() {
    let mut control = two_zones();
    for number in 0..20 {
        control.place(NOW, ask(&format!("r{number}"))).unwrap();
    }
    control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
    let target = control.restart_stream(NOW, "r0").unwrap();
    assert_eq!(target.replica.availability_zone, "z2");
}

#[test]
fn running_sessions_stay_in_an_evacuated_zone() {
    let mut control = two_zones();
    control.place(NOW, ask("r")).unwrap();
    control
        .offer_evacuations(NOW, whole(2, &["z1", "z2"]))
        .unwrap();
    assert!(control.tick(NOW + ms(200)).evacuations.is_empty());
    assert_eq!(control.running(), 1);
}

#[test_case(whole(4, &[]); "an older full state")]
#[test_case(changed(1, 4, vec![ended("z1")]); "an older change")]
#[test_case(changed(6, 7, vec![ended("z1")]); "a change after a gap")]
fn late_or_incomplete_updates_are_ignored(late: EvacuationUpdate) {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.take(NOW, whole(5, &["z1"])).unwrap();
    assert_eq!(evacuations.take(NOW, late), None);
    assert!(evacuations.is_evacuated("z1"));
    assert_eq!(evacuations.revision(), 5.into());
}

#[test]
fn changes_may_overlap_the_known_state() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.take(NOW, whole(5, &["z1"])).unwrap();
    let update = changed(2, 9, vec![began("z1"), ended("z1"), began("z2")]);
    assert_eq!(
        evacuations.take(NOW, update).unwrap(),
        [ended("z1"), began("z2")]
    );
    assert_eq!(evacuations.told().zones, ["z2"]);
}

/// The newest revision wins, in whatever order messages arrive.
#[test]
fn instances_agree_in_any_message_order() {
    for seed in 0..500_u64 {
        let mut orders = Vec::new();
        let mut expected: Vec<&str> = Vec::new();
        let mut draw = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        for revision in 1..12 {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let zone = ["z1", "z2", "z3"][(draw >> 33) as usize % 3];
            match expected.iter().position(|known| *known == zone) {
                Some(place) => drop(expected.remove(place)),
                None => expected.push(zone),
            }
            expected.sort_unstable();
            orders.push(whole(revision, &expected));
        }
        let last = orders.last().cloned().unwrap();
        for place in (1..orders.len()).rev() {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            orders.swap(place, (draw >> 33) as usize % (place + 1));
        }
        let mut evacuations = ZoneEvacuations::default();
        for order in orders {
            evacuations.take(NOW, order);
        }
        assert_eq!(
            EvacuationUpdate::Whole(evacuations.told()),
            last,
            "seed {seed}"
        );
    }
}

#[test]
fn requests_in_progress_may_be_sent_for_a_grace_period() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.take(NOW, whole(1, &["z1"])).unwrap();
    evacuations
        .take(NOW + ms(900), whole(2, &["z1", "z2"]))
        .unwrap();
    assert!(!evacuations.is_closed(NOW + ms(1_400), "z1"));
    assert!(
        evacuations.is_closed(NOW + ms(1_600), "z1"),
        "a repeated order does not extend the grace period"
    );
    assert!(!evacuations.is_closed(NOW + ms(1_600), "z2"));
    assert!(!evacuations.is_closed(NOW + ms(9_000), "z3"));
}

#[test]
fn repeatable_calls_avoid_an_evacuated_zone() {
    let mut control = two_zones();
    control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
    let call = PlacementRequest {
        class: RequestClass::Repeatable,
        ..ask_of("orders", "c")
    };
    let ranking = control.place(NOW, call).unwrap();
    assert_eq!(ranking.replicas.len(), 1);
    assert_eq!(ranking.replicas[0].id, "orders-z2");
}
