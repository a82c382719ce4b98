//! Routes and workspaces whose requests may only run in their home regions.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gateway_scene::ask;
use gateway_scene::config;
use gateway_scene::engine;
use gateway_scene::terms;
use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::PlacementRequest;
use iristhread_core::RefusalKind;
use iristhread_core::ReplicaChange;
use test_case::test_case;

const NOW: Duration = Duration::from_secs(10);

/// Two engines in each of three zones; the region of the third zone is unknown.
fn two_regions() -> GatewayControl {
    let regions = [("z1", "north"), ("z2", "south")];
    let regions = regions.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let mut control = GatewayControl::new(GatewayParameters {
        regions: BTreeMap::from(regions),
        ..terms()
    });
    control.offer_config(Arc::new(config(1)));
    let zones = ["z1", "z2", "z3"].iter();
    let engines = zones.flat_map(|z| [engine(&format!("a-{z}"), z), engine(&format!("b-{z}"), z)]);
    control.offer_replicas(NOW, 1, engines.collect());
    control
}

fn in_regions(request: &str, homes: &[&str]) -> PlacementRequest {
    PlacementRequest {
        homes: Some(homes.iter().map(|home| (*home).to_owned()).collect()),
        ..ask(request)
    }
}

#[test]
fn requests_and_backups_stay_in_home_regions() {
    let mut control = two_regions();
    for number in 0..4 {
        let ranking = control
            .place(NOW, in_regions(&format!("r{number}"), &["south"]))
            .unwrap();
        for replica in ranking.replicas.iter().chain(&ranking.backup) {
            assert_eq!(replica.availability_zone, "z2");
        }
    }
}

#[test]
fn a_session_moves_within_its_home_region() {
    let mut control = two_regions();
    let ranking = control.place(NOW, in_regions("r", &["south"])).unwrap();
    let first = ranking.replicas[0].clone();
    let backup = ranking.backup.unwrap();
    let mut draining = vec![ReplicaChange::Listed(gateway_scene::leaving(
        &backup.id, "z2",
    ))];
    draining.push(ReplicaChange::Listed(gateway_scene::leaving(
        &first.id, "z2",
    )));
    assert!(
        control.change_replicas(NOW, 2, draining).is_empty(),
        "no other engine in the region"
    );
    let back = vec![ReplicaChange::Listed(engine("c-z2", "z2"))];
    control.change_replicas(NOW, 3, back);
    let moves = control.tick(NOW).evacuations;
    assert_eq!(moves[0].target.id, "c-z2");
}

#[test]
fn a_stream_restarts_in_its_home_region() {
    let mut control = two_regions();
    for number in 0..10 {
        control.place(NOW, ask(&format!("other{number}"))).unwrap();
    }
    control.place(NOW, in_regions("r", &["south"])).unwrap();
    let target = control.restart_stream(NOW, "r").unwrap();
    assert_eq!(target.replica.availability_zone, "z2");
}

#[test_case(&["west"]; "no server in the region")]
#[test_case(&[]; "route and workspace have no common region")]
fn a_request_without_servers_in_its_regions_is_refused(homes: &[&str]) {
    let mut control = two_regions();
    let refusal = control.place(NOW, in_regions("r", homes)).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::NoBackend);
    assert!(refusal.message.contains("home"), "{}", refusal.message);
    assert_eq!(control.running(), 0);
}

#[test]
fn no_fallback_from_an_evacuated_home_region() {
    let mut control = two_regions();
    let evacuated = iristhread_core::AdvertisedEvacuations {
        revision: 2.into(),
        zones: vec!["z2".to_owned()],
    };
    control
        .offer_evacuations(NOW, iristhread_core::EvacuationUpdate::Whole(evacuated))
        .unwrap();
    let refusal = control.place(NOW, in_regions("r", &["south"])).unwrap_err();
    assert!(refusal.message.contains("evacuated"), "{}", refusal.message);
}
