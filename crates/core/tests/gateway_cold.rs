//! Cold backend servers get few requests, summed over all instances.
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

/// Requests per second that a cold engine can handle in these tests.
const COLD_CAPACITY_PER_S: f64 = 27.0;

/// Required bound: 1.5 times the capacity plus five requests within one second.
const MAX_PER_SECOND: usize = 45;

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
        service.cold_per_s = COLD_CAPACITY_PER_S;
    }
    Arc::new(config)
}

fn zone_of(own: usize, zones: usize) -> String {
    format!("z{}", own % zones)
}

/// An instance that receives the load of its own zone directly and the zones in `received` as
/// aggregates.
fn instance(own: usize, count: usize, zones: usize, received: &[usize]) -> GatewayControl {
    let zone = zone_of(own, zones);
    let mut control = GatewayControl::new(GatewayParameters {
        instance: format!("i{own}"),
        zone: zone.clone(),
        seed: own as u64,
        ..terms()
    });
    control.offer_config(bounded_config());
    let mut receive_load = |from: usize, digest: Option<ZoneDigest>| {
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
            receive_load(other, None);
        }
    }
    for remote in received
        .iter()
        .filter(|remote| zone_of(**remote, zones) != zone)
    {
        let instances = (count / zones) as u32;
        let shares = BTreeMap::new();
        receive_load(*remote, Some(ZoneDigest { instances, shares }));
    }
    control
}

/// Returns the maximum number of sends per engine within one second. Each instance gets a request
/// every 20 ms for three seconds.
fn busiest_second(fleet: &mut [GatewayControl], servers: &[Replica]) -> BTreeMap<String, usize> {
    for control in fleet.iter_mut() {
        control.offer_replicas(START, 1, servers.to_vec());
    }
    let mut sends: BTreeMap<String, Vec<Now>> = BTreeMap::new();
    for step in 0..150_u64 {
        for (number, control) in fleet.iter_mut().enumerate() {
            // Instances act at different offsets.
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
fn a_single_cold_engine_under_high_load(count: usize, zones: usize) {
    let relays: Vec<usize> = (0..zones).collect();
    let mut fleet: Vec<GatewayControl> = (0..count)
        .map(|own| instance(own, count, zones, &relays))
        .collect();
    let most = busiest_second(&mut fleet, &[cold("e1", "z0", 60_000)]);
    assert!(most["e1"] <= MAX_PER_SECOND, "{most:?}");
    assert!(most["e1"] >= 4, "the engine is not used: {most:?}");
}

/// A network partition: neither side receives the load of the other, and both reach the engine.
#[test_case(66, 3; "66 instances")]
#[test_case(300, 5; "300 instances")]
fn a_partition_in_two(count: usize, zones: usize) {
    let relays: Vec<usize> = (1..zones).collect();
    let mut fleet: Vec<GatewayControl> = (0..count)
        .map(|own| {
            let received: &[usize] = if own % zones == 0 { &[] } else { &relays };
            instance(own, count, zones, received)
        })
        .collect();
    let most = busiest_second(&mut fleet, &[cold("e1", "z0", 60_000)]);
    assert!(most["e1"] <= MAX_PER_SECOND, "{most:?}");
}

/// All servers of a zone restart cold during a burst of requests.
#[test]
fn a_zone_restarts_cold() {
    let mut fleet: Vec<GatewayControl> = (0..66)
        .map(|own| instance(own, 66, 3, &[0, 1, 2]))
        .collect();
    let mut servers: Vec<Replica> = (0..20)
        .map(|number| cold(&format!("c{number}"), "z0", 60_000))
        .collect();
    servers.push(engine("warm", "z1"));
    let most = busiest_second(&mut fleet, &servers);
    for (id, most) in most.iter().filter(|(id, _)| *id != "warm") {
        assert!(*most <= MAX_PER_SECOND, "{id}: {most}");
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
fn a_warm_server_is_not_limited() {
    let mut control = instance(0, 1, 1, &[]);
    control.offer_replicas(START, 1, vec![cold("e1", "z0", 1_000)]);
    let later = START + ms(1_001);
    for number in 0..5 {
        control.place(later, ask(&format!("r{number}"))).unwrap();
    }
}

#[test]
fn a_server_that_turns_cold_again_is_limited() {
    let mut control = instance(0, 1, 1, &[]);
    control.offer_replicas(START, 1, vec![engine("e1", "z0")]);
    control.place(START, ask("r1")).unwrap();
    let changes = vec![ReplicaChange::Listed(cold("e1", "z0", 3_000))];
    control.change_replicas(START, 2, changes);
    control.place(START, ask("r2")).unwrap();
    assert!(control.place(START + ms(10), ask("r3")).is_err());
}

/// Session moves count towards the limit of a cold engine.
#[test]
fn a_session_that_moves_to_a_cold_engine_counts() {
    let mut control = instance(0, 1, 1, &[]);
    control.offer_replicas(START, 1, vec![engine("e1", "z0")]);
    control.place(START, ask("r1")).unwrap();
    let changes = vec![
        ReplicaChange::Listed(gateway_scene::leaving("e1", "z0")),
        ReplicaChange::Listed(cold("e2", "z0", 9_000)),
    ];
    let moves = control.change_replicas(START, 2, changes);
    assert_eq!(moves[0].target.id, "e2");
    assert!(control.place(START + ms(10), ask("r2")).is_err());
    control.place(START + ms(1_000), ask("r3")).unwrap();
}

#[test]
fn an_unchanged_entry_does_not_extend_the_warm_up() {
    let mut list = ReplicaList::default();
    let entry = cold("e1", "z0", 3_000);
    list.snapshot(START, 1, vec![entry.clone()]);
    list.snapshot(START + ms(2_000), 2, vec![entry]);
    assert_eq!(list.cold_for(START + ms(2_000), "e1"), ms(1_000));
}

#[test]
fn the_advertised_warm_up_decreases_with_time() {
    let mut list = ReplicaList::default();
    list.snapshot(START, 1, vec![cold("e1", "z0", 3_000)]);
    let mut other = ReplicaList::default();
    other.hear(START + ms(2_500), list.told(START + ms(2_500)));
    assert_eq!(other.cold_for(START + ms(2_500), "e1"), ms(500));
}
