//! Backend servers that are cold bear few requests, summed over all instances.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gateway_scene::ask;
use gateway_scene::config;
use gateway_scene::engine;
use gateway_scene::ms;
use gateway_scene::terms;
use iristhread_core::AdvertisedLoads;
use iristhread_core::GatewayConfig;
use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::LoadShares;
use iristhread_core::Now;
use iristhread_core::PlacementRequest;
use iristhread_core::RefusalKind;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::ReplicaList;
use iristhread_core::RequestClass;
use iristhread_core::RunEnd;
use iristhread_core::ZoneDigest;
use test_case::test_case;

/// Requests a second that a cold engine of the scene bears.
const BEARS_PER_S: f64 = 27.0;

/// The users' bound: half as much again, and five, within one second.
const MOST_IN_A_SECOND: usize = 45;

const START: Now = Duration::from_secs(10);

fn cold(id: &str, zone: &str, for_ms: u64) -> Replica {
    Replica {
        warm_up: ms(for_ms),
        ..engine(id, zone)
    }
}

fn bounded_config() -> Arc<GatewayConfig> {
    let mut config = config(1);
    for service in &mut config.services {
        service.cold_per_s = BEARS_PER_S;
    }
    Arc::new(config)
}

fn zone_of(own: usize, zones: usize) -> String {
    format!("z{}", own % zones)
}

/// An instance that hears those of its zone itself and the other zones in `heard` as
/// sums.
fn instance(own: usize, count: usize, zones: usize, heard: &[usize]) -> GatewayControl {
    let zone = zone_of(own, zones);
    let mut control = GatewayControl::new(GatewayParameters {
        instance: format!("i{own}"),
        zone: zone.clone(),
        seed: own as u64,
        ..terms()
    });
    control.offer_config(bounded_config());
    let mut tell = |from: usize, digest: Option<ZoneDigest>| {
        control.apply_peer_load(
            START,
            AdvertisedLoads {
                instance: format!("i{from}"),
                incarnation: "life".to_owned(),
                sequence: 1,
                zone: zone_of(from, zones),
                shares: LoadShares::new(),
                digest,
            },
        );
    };
    for other in (0..count).filter(|other| *other != own) {
        if zone_of(other, zones) == zone {
            tell(other, None);
        }
    }
    for far in heard.iter().filter(|far| zone_of(**far, zones) != zone) {
        let instances = (count / zones) as u32;
        let shares = BTreeMap::new();
        tell(*far, Some(ZoneDigest { instances, shares }));
    }
    control
}

/// Most sends to one engine within a second, of requests that come every 20 ms to each
/// instance for three seconds.
fn busiest_second(fleet: &mut [GatewayControl], servers: &[Replica]) -> BTreeMap<String, usize> {
    for control in fleet.iter_mut() {
        control.offer_replicas(START, 1, servers.to_vec());
    }
    let mut sends: BTreeMap<String, Vec<Now>> = BTreeMap::new();
    for step in 0..150_u64 {
        for (number, control) in fleet.iter_mut().enumerate() {
            // Instances act at moments of their own.
            let now = START + ms(step * 20 + number as u64 % 20);
            let request = format!("r{number}-{step}");
            let call = PlacementRequest {
                class: RequestClass::Repeatable,
                prompt_tokens: 0,
                max_tokens: 0,
                expected_tokens: None,
                ..ask(&request)
            };
            if let Ok(ranking) = control.place(now, call) {
                let first = ranking.replicas[0].id.clone();
                sends.entry(first).or_default().push(now);
                control.ended(now, &request, RunEnd::Answered);
            }
        }
    }
    let most = sends
        .into_iter()
        .map(|(id, times)| (id, most_within_a_second(&times)));
    most.collect()
}

fn most_within_a_second(times: &[Now]) -> usize {
    let within = |from: &Now| {
        let counted = times.iter().filter(|time| *time >= from);
        counted.filter(|time| **time < *from + ms(1_000)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[test_case(9, 3; "nine instances")]
#[test_case(66, 3; "66 instances")]
#[test_case(300, 5; "300 instances")]
fn one_cold_engine_left_for_a_hot_service(count: usize, zones: usize) {
    let relays: Vec<usize> = (0..zones).collect();
    let mut fleet: Vec<GatewayControl> = (0..count)
        .map(|own| instance(own, count, zones, &relays))
        .collect();
    let most = busiest_second(&mut fleet, &[cold("e1", "z0", 60_000)]);
    assert!(most["e1"] <= MOST_IN_A_SECOND, "{most:?}");
    assert!(most["e1"] >= 4, "it is used: {most:?}");
}

/// A zone is cut off: neither side hears the other, and both see the engine.
#[test_case(66, 3; "66 instances")]
#[test_case(300, 5; "300 instances")]
fn a_fleet_in_two_parts(count: usize, zones: usize) {
    let relays: Vec<usize> = (1..zones).collect();
    let mut fleet: Vec<GatewayControl> = (0..count)
        .map(|own| {
            let heard: &[usize] = if own % zones == 0 { &[] } else { &relays };
            instance(own, count, zones, heard)
        })
        .collect();
    let most = busiest_second(&mut fleet, &[cold("e1", "z0", 60_000)]);
    assert!(most["e1"] <= MOST_IN_A_SECOND, "{most:?}");
}

/// A whole zone comes back cold while the others burst.
#[test]
fn a_zone_comes_back_cold() {
    let mut fleet: Vec<GatewayControl> = (0..66)
        .map(|own| instance(own, 66, 3, &[0, 1, 2]))
        .collect();
    let mut servers: Vec<Replica> = (0..20)
        .map(|number| cold(&format!("c{number}"), "z0", 60_000))
        .collect();
    servers.push(engine("warm", "z1"));
    let most = busiest_second(&mut fleet, &servers);
    for (id, most) in most.iter().filter(|(id, _)| *id != "warm") {
        assert!(*most <= MOST_IN_A_SECOND, "{id}: {most}");
    }
}

#[test]
fn with_all_servers_cold_callers_are_refused_at_once() {
    let mut control = instance(0, 1, 1, &[]);
    control.offer_replicas(START, 1, vec![cold("e1", "z0", 5_000)]);
    control.place(START, ask("r1")).unwrap();
    let refusal = control.place(START, ask("r2")).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::QueueFull);
    assert!(refusal.message.contains("cold"), "{}", refusal.message);
    control.place(START + ms(1_000), ask("r3")).unwrap();
}

#[test]
fn a_server_that_is_warm_gets_everything() {
    let mut control = instance(0, 1, 1, &[]);
    control.offer_replicas(START, 1, vec![cold("e1", "z0", 1_000)]);
    let later = START + ms(1_001);
    for number in 0..5 {
        control.place(later, ask(&format!("r{number}"))).unwrap();
    }
}

#[test]
fn a_server_that_turns_cold_again_is_spared() {
    let mut control = instance(0, 1, 1, &[]);
    control.offer_replicas(START, 1, vec![engine("e1", "z0")]);
    control.place(START, ask("r1")).unwrap();
    let news = vec![ReplicaChange::Listed(cold("e1", "z0", 3_000))];
    control.change_replicas(START, 2, news);
    control.place(START, ask("r2")).unwrap();
    assert!(control.place(START + ms(10), ask("r3")).is_err());
}

/// Sessions that move count like all others.
#[test]
fn a_session_that_moves_to_a_cold_engine_counts() {
    let mut control = instance(0, 1, 1, &[]);
    control.offer_replicas(START, 1, vec![engine("e1", "z0")]);
    control.place(START, ask("r1")).unwrap();
    let news = vec![
        ReplicaChange::Listed(gateway_scene::leaving("e1", "z0")),
        ReplicaChange::Listed(cold("e2", "z0", 9_000)),
    ];
    let moves = control.change_replicas(START, 2, news);
    assert_eq!(moves[0].target.id, "e2");
    assert!(control.place(START + ms(10), ask("r2")).is_err());
    control.place(START + ms(1_000), ask("r3")).unwrap();
}

#[test]
fn the_same_entry_read_again_is_not_cold_anew() {
    let mut list = ReplicaList::default();
    let entry = cold("e1", "z0", 3_000);
    list.snapshot(START, 1, vec![entry.clone()]);
    list.snapshot(START + ms(2_000), 2, vec![entry]);
    assert_eq!(list.cold_for(START + ms(2_000), "e1"), ms(1_000));
}

#[test]
fn what_is_told_of_a_cold_server_grows_older() {
    let mut list = ReplicaList::default();
    list.snapshot(START, 1, vec![cold("e1", "z0", 3_000)]);
    let mut other = ReplicaList::default();
    other.hear(START + ms(2_500), list.told(START + ms(2_500)));
    assert_eq!(other.cold_for(START + ms(2_500), "e1"), ms(500));
}
