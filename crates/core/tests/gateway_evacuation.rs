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
fn nothing_new_goes_to_an_evacuated_zone(service: &str) {
    let mut control = two_zones();
    control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
    for number in 0..6 {
        let request = format!("r{number}");
        let ranking = control.place(NOW, ask_of(service, &request)).unwrap();
        let kept = ranking.backup.iter();
        for replica in ranking.replicas.iter().chain(kept) {
            assert_eq!(replica.availability_zone, "z2", "{request}");
        }
    }
}

#[test]
fn an_order_that_is_taken_back_opens_the_zone() {
    let mut control = two_zones();
    control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
    let changes = control.offer_evacuations(NOW, whole(3, &[])).unwrap();
    assert_eq!(changes, [ended("z1")]);
    let ranking = control.place(NOW, ask("r")).unwrap();
    assert_eq!(ranking.replicas[0].availability_zone, "z1");
}

#[test]
fn with_all_zones_evacuated_callers_are_refused_at_once() {
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
fn a_session_does_not_go_on_at_a_copy_in_an_evacuated_zone() {
    let mut control = two_zones();
    let ranking = control.place(NOW, ask("r")).unwrap();
    let copy = ranking.backup.unwrap();
    let zone = zone_of(&control, &copy.id);
    control.offer_evacuations(NOW, whole(2, &[&zone])).unwrap();
    assert!(control.fail_over(NOW, "r").is_none());
}

#[test]
fn a_session_on_a_leaving_engine_moves_past_an_evacuated_zone() {
    for number in 0..8 {
        let mut control = two_zones();
        let request = format!("r{number}");
        let ranking = control.place(NOW, ask(&request)).unwrap();
        let first = ranking.replicas[0].clone();
        control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
        let gone = leaving(&first.id, &first.availability_zone);
        let news = vec![iristhread_core::ReplicaChange::Listed(gone)];
        let moves = control.change_replicas(NOW, 2, news);
        let target = &moves[0].target;
        assert_eq!(target.availability_zone, "z2");
    }
}

#[test]
fn a_stream_is_run_again_outside_an_evacuated_zone() {
    let mut control = two_zones();
    for number in 0..20 {
        control.place(NOW, ask(&format!("r{number}"))).unwrap();
    }
    control.offer_evacuations(NOW, whole(2, &["z1"])).unwrap();
    let target = control.restart_stream(NOW, "r0").unwrap();
    assert_eq!(target.replica.availability_zone, "z2");
}

#[test]
fn a_session_that_runs_there_stays() {
    let mut control = two_zones();
    control.place(NOW, ask("r")).unwrap();
    control
        .offer_evacuations(NOW, whole(2, &["z1", "z2"]))
        .unwrap();
    assert!(control.tick(NOW + ms(200)).evacuations.is_empty());
    assert_eq!(control.running(), 1);
}

#[test_case(whole(4, &[]); "a whole")]
#[test_case(changed(1, 4, vec![ended("z1")]); "a change")]
#[test_case(changed(6, 7, vec![ended("z1")]); "a change after one that is missing")]
fn news_that_are_late_or_lack_something_change_nothing(late: EvacuationUpdate) {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.take(NOW, whole(5, &["z1"])).unwrap();
    assert_eq!(evacuations.take(NOW, late), None);
    assert!(evacuations.is_evacuated("z1"));
    assert_eq!(evacuations.revision(), 5.into());
}

#[test]
fn changes_may_overlap_what_is_known() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.take(NOW, whole(5, &["z1"])).unwrap();
    let news = changed(2, 9, vec![began("z1"), ended("z1"), began("z2")]);
    assert_eq!(
        evacuations.take(NOW, news).unwrap(),
        [ended("z1"), began("z2")]
    );
    assert_eq!(evacuations.told().zones, ["z2"]);
}

/// Whatever order messages arrive in, the newest word wins.
#[test]
fn instances_agree_whatever_is_late() {
    for seed in 0..500_u64 {
        let mut orders = Vec::new();
        let mut truth: Vec<&str> = Vec::new();
        let mut draw = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1;
        for revision in 1..12 {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let zone = ["z1", "z2", "z3"][(draw >> 33) as usize % 3];
            match truth.iter().position(|known| *known == zone) {
                Some(place) => drop(truth.remove(place)),
                None => truth.push(zone),
            }
            truth.sort_unstable();
            orders.push(whole(revision, &truth));
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
fn what_is_under_way_may_still_be_sent_for_a_short_time() {
    let mut evacuations = ZoneEvacuations::default();
    evacuations.take(NOW, whole(1, &["z1"])).unwrap();
    evacuations
        .take(NOW + ms(900), whole(2, &["z1", "z2"]))
        .unwrap();
    assert!(!evacuations.is_closed(NOW + ms(1_400), "z1"));
    assert!(
        evacuations.is_closed(NOW + ms(1_600), "z1"),
        "told again is no reprieve"
    );
    assert!(!evacuations.is_closed(NOW + ms(1_600), "z2"));
    assert!(!evacuations.is_closed(NOW + ms(9_000), "z3"));
}

#[test]
fn a_call_that_may_be_repeated_stays_out_of_it() {
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
