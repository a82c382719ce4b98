//! Placement of requests, and refusals.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::LoadShare;
use iristhread_core::RefusalKind;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::RunEnd;
use iristhread_core::ZoneDigest;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use test_case::test_case;

use gateway_scene::MEMORY_TOKENS;
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

fn first(control: &mut GatewayControl, request: &str) -> String {
    let ranking = control.place(ZERO, ask(request)).unwrap();
    ranking.replicas[0].id.clone()
}

#[test]
fn without_a_configuration_requests_are_refused() {
    let refusal = control().place(ZERO, ask("r1")).unwrap_err();
    assert_eq!(refusal.kind, RefusalKind::NoBackend);
    assert!(refusal.retry_after > ZERO);
}

#[test]
fn sessions_spread_over_engines() {
    let mut control = control_with(&["e1", "e2", "e3", "e4"]);
    let chosen: HashSet<String> = (0..4)
        .map(|number| first(&mut control, &format!("r{number}")))
        .collect();
    assert!(chosen.len() >= 3, "{chosen:?}");
}

#[test]
fn the_load_of_peers_counts() {
    let mut control = control_with(&["e1", "e2"]);
    let heavy = LoadShare {
        requests: 6,
        session_tokens: 7_000,
        ..LoadShare::default()
    };
    let shares = BTreeMap::from([("e1".to_owned(), heavy)]);
    control.apply_peer_load(ZERO, told("i2", 1, shares));
    assert_eq!(first(&mut control, "r1"), "e2");
}

#[test]
fn an_older_heartbeat_of_the_same_incarnation_is_ignored() {
    let mut control = control_with(&["e1", "e2"]);
    let heavy = LoadShare {
        requests: 6,
        session_tokens: 7_000,
        ..LoadShare::default()
    };
    let on_e1 = BTreeMap::from([("e1".to_owned(), heavy)]);
    control.apply_peer_load(ZERO, told("i2", 5, BTreeMap::new()));
    control.apply_peer_load(ZERO, told("i2", 4, on_e1));
    let chosen: HashSet<String> = (0..2)
        .map(|number| first(&mut control, &format!("r{number}")))
        .collect();
    assert_eq!(chosen.len(), 2, "{chosen:?}");
}

#[test]
fn full_engines_lead_to_a_refusal_with_retry_after() {
    let mut control = control_with(&["e1"]);
    let refusal = (0..20)
        .find_map(|number| control.place(ZERO, ask(&format!("r{number}"))).err())
        .unwrap();
    assert_eq!(refusal.kind, RefusalKind::QueueFull);
    assert!(refusal.retry_after > ZERO);
    let tokens = control.shares()["e1"].session_tokens;
    assert!(
        tokens <= MEMORY_TOKENS + 1_000,
        "{tokens} tokens were placed"
    );
}

#[test]
fn draining_engines_get_no_new_requests() {
    let mut control = control_with(&["e1", "e2", "e3"]);
    let changes = vec![ReplicaChange::Listed(leaving("e1", "z1"))];
    control.change_replicas(ZERO, 2, changes);
    for number in 0..10 {
        let ranking = control.place(ZERO, ask(&format!("r{number}"))).unwrap();
        assert!(ranking.replicas.iter().all(|replica| replica.id != "e1"));
        assert!(ranking.backup.is_none_or(|backup| backup.id != "e1"));
    }
}

/// If all four ranked engines are in one remote zone and that zone is cut off, its requests and
/// streams are lost. A cut zone cost 20 streams in this way.
#[test]
fn the_second_choice_is_local_if_the_first_is_remote() {
    let mut control = control();
    control.offer_config(Arc::new(config(1)));
    let mut engines: Vec<Replica> = (0..8).map(|n| engine(&format!("far{n}"), "z2")).collect();
    engines.push(engine("near", "z1"));
    control.offer_replicas(ZERO, 1, engines);
    crowd(&mut control, "near");
    let ranking = control.place(ZERO, ask("r1")).unwrap();
    assert_eq!(ranking.replicas.len(), 4);
    assert_ne!(ranking.replicas[0].id, "near");
    assert_eq!(ranking.replicas[1].id, "near");
}

/// A stream between zones is lost if they are cut off from each other, so the local zone is
/// preferred.
#[test_case(20, "near"; "a fifth of the memory more")]
#[test_case(50, "far"; "half of the memory more")]
fn a_local_engine_may_be_somewhat_fuller(more_percent: u64, expected: &str) {
    let mut control = control();
    control.offer_config(Arc::new(config(1)));
    let engines = vec![engine("near", "z1"), engine("far", "z2")];
    control.offer_replicas(ZERO, 1, engines);
    let load = LoadShare {
        session_tokens: MEMORY_TOKENS * more_percent / 100,
        ..LoadShare::default()
    };
    let shares = BTreeMap::from([("near".to_owned(), load)]);
    control.apply_peer_load(ZERO, told("i2", 1, shares));
    assert_eq!(first(&mut control, "r1"), expected);
}

#[test]
fn a_replica_gets_at_most_max_connections_requests() {
    let mut control = control_with(&["e1"]);
    let mut small = config(2);
    small.services[0].max_connections = 2;
    control.offer_config(Arc::new(small));
    for number in 0..2 {
        control.place(ZERO, ask(&format!("r{number}"))).unwrap();
    }
    assert!(control.place(ZERO, ask("more")).is_err());
    control.ended(ZERO, "r0", RunEnd::Answered);
    assert!(control.place(ZERO, ask("again")).is_ok());
}

#[test]
fn a_failing_replica_is_avoided_unless_all_fail() {
    let mut control = control_with(&["e1", "e2"]);
    control.failed(ZERO, "e1");
    for number in 0..4 {
        let request = format!("r{number}");
        assert_eq!(first(&mut control, &request), "e2");
        control.ended(ZERO, &request, RunEnd::Answered);
    }
    control.failed(ZERO, "e2");
    assert!(control.place(ZERO, ask("last")).is_ok());
}

/// In generated schedules, the counted load always equals the running requests, nothing is placed
/// on removed engines, and no session has its backup on its own engine.
#[test]
fn counted_load_equals_running_requests() {
    for seed in 0..300 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut control = control_with(&["e1", "e2", "e3", "e4"]);
        let mut running: Vec<String> = Vec::new();
        let mut removed: HashSet<String> = HashSet::new();
        for step in 0..120_u64 {
            let now = ms(step * 40);
            match random.next_u32() % 6 {
                0..=2 => {
                    let request = format!("r{step}");
                    if let Ok(ranking) = control.place(now, ask(&request)) {
                        let engine = &ranking.replicas[0].id;
                        assert!(!removed.contains(engine), "seed {seed}: placed on {engine}");
                        assert_ne!(Some(engine), ranking.backup.as_ref().map(|b| &b.id));
                        running.push(request);
                    }
                }
                3 if !running.is_empty() => {
                    let index = random.next_u32() as usize % running.len();
                    let request = running.swap_remove(index);
                    control.ended(now, &request, RunEnd::Answered);
                }
                4 if !running.is_empty() => {
                    let index = random.next_u32() as usize % running.len();
                    if let Some(target) = control.fail_over(now, &running[index]) {
                        assert_ne!(target.replica.id, target.from);
                        assert!(!removed.contains(&target.replica.id), "seed {seed}");
                    }
                }
                _ if removed.len() < 2 => {
                    let id = format!("e{}", random.next_u32() % 4 + 1);
                    let changes = vec![ReplicaChange::Removed(id.clone())];
                    control.change_replicas(now, step + 2, changes);
                    removed.insert(id);
                }
                _ => {}
            }
            let counted: u32 = control.shares().values().map(|share| share.requests).sum();
            assert_eq!(counted as usize, running.len(), "seed {seed}, step {step}");
        }
    }
}

/// Instances that receive each other's load late, through relays, must not all choose the engine
/// that seems best; those that receive it directly should.
#[test_case(false, 1, 1; "load received directly")]
#[test_case(true, 3, 5; "load received through relays")]
fn simultaneous_choices(by_relays: bool, least: usize, most: usize) {
    let load = |session_tokens| LoadShare {
        session_tokens,
        ..LoadShare::default()
    };
    let shares = [("e1", 500), ("e2", 1_000), ("e3", 1_000), ("e4", 1_000)];
    let shares = shares.map(|(id, tokens)| (id.to_owned(), load(tokens)));
    let chosen: HashSet<String> = (0..40)
        .map(|seed| {
            let mut control = GatewayControl::new(GatewayParameters { seed, ..terms() });
            control.offer_config(Arc::new(config(1)));
            let engines = ["e1", "e2", "e3", "e4"].map(|id| engine(id, "z1"));
            control.offer_replicas(ZERO, 1, engines.to_vec());
            control.apply_peer_load(ZERO, told("i2", 1, BTreeMap::from(shares.clone())));
            if by_relays {
                let mut relay = told("i9", 1, BTreeMap::new());
                relay.zone = "z2".to_owned();
                relay.digest = Some(ZoneDigest::default());
                relay.digest.as_mut().unwrap().instances = 4;
                control.apply_peer_load(ZERO, relay);
            }
            first(&mut control, "r1")
        })
        .collect();
    assert!((least..=most).contains(&chosen.len()), "{chosen:?}");
}

/// Only the first event is an update for the other instances: the prompt is no longer pending.
#[test]
fn a_session_starts_once() {
    let mut control = control_with(&["e1"]);
    first(&mut control, "r1");
    assert_eq!(control.shares()["e1"].unread_tokens, 1_000);
    assert!(control.progress(ms(0), "r1", 4));
    assert_eq!(control.shares()["e1"].unread_tokens, 0);
    assert!(!control.progress(ms(0), "r1", 64));
    assert!(!control.progress(ms(0), "another", 4));
}

/// Instances of zones without room receive each other's load late. They must not all choose the
/// same engine in another zone, whatever the seed.
#[test]
fn full_zones_choose_different_remote_engines() {
    let zones = ["z1", "z2", "z3", "z4"];
    let engines = ["e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"];
    let chosen: HashSet<String> = zones
        .iter()
        .map(|zone| {
            let zone = (*zone).to_owned();
            let mut control = GatewayControl::new(GatewayParameters { zone, ..terms() });
            control.offer_config(Arc::new(config(1)));
            let mut all: Vec<Replica> = engines.iter().map(|id| engine(id, "z5")).collect();
            for zone in zones {
                let mut full = engine(&format!("slow {zone}"), zone);
                full.warm_up = Duration::from_secs(30);
                all.push(full);
            }
            control.offer_replicas(ZERO, 1, all);
            let mut relay = told("i9", 1, BTreeMap::new());
            relay.zone = "z5".to_owned();
            relay.digest = Some(ZoneDigest {
                instances: 4,
                shares: BTreeMap::new(),
            });
            control.apply_peer_load(ZERO, relay);
            first(&mut control, "r1")
        })
        .collect();
    assert!(chosen.len() >= 3, "{chosen:?}");
}
