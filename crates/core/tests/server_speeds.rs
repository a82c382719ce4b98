//! Relative times of servers, from timings under different loads.

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::IncarnationId;
use iristhread_core::LoadShare;
use iristhread_core::ServerLife;
use iristhread_core::ServerLoad;
use iristhread_core::ServerSpeeds;
use iristhread_core::SpeedSample;
use iristhread_core::TimedUnits;

const TOLERANCE: f64 = 0.25;
const NONE: BTreeMap<IncarnationId, SpeedSample> = BTreeMap::new();

/// A time per token of 10 ms at an idle server of relative time 1, and twice that at a full one.
fn timed(factor: f64, load: f64) -> TimedUnits {
    TimedUnits {
        units: 64.0,
        took: Duration::from_secs_f64(0.64 * factor * (1.0 + load)),
        load,
    }
}

fn update(speeds: &mut ServerSpeeds, second: u64, peers: &BTreeMap<IncarnationId, SpeedSample>) {
    let listed = (0..4).map(|life| ServerLoad {
        server: ServerLife {
            id: format!("e{life}"),
            life,
        },
        service: "engines".to_owned(),
        load: 0.0,
    });
    let listed: Vec<ServerLoad> = listed.collect();
    speeds.update(Duration::from_secs(second), &listed, peers, TOLERANCE);
}

fn relative_time(speeds: &ServerSpeeds, server: IncarnationId) -> f64 {
    speeds.speed("engines", server, 0.0).relative_time
}

/// Records timings each second at servers with these factors, loads and variations of the load.
fn play(seconds: u64, servers: &[(f64, f64, f64)]) -> ServerSpeeds {
    let mut speeds = ServerSpeeds::default();
    for second in 0..seconds {
        for (server, (factor, load, variation)) in servers.iter().enumerate() {
            for part in [-1.0, 0.0, 1.0] {
                let timed = timed(*factor, load + variation * part);
                speeds.record("engines", server as IncarnationId, &timed);
            }
        }
        update(&mut speeds, second, &NONE);
    }
    speeds
}

/// A fast engine is given more sessions, so its tokens may take as long as those of an idle slow one.
#[test]
fn a_crowded_fast_engine_is_told_from_an_idle_slow_one() {
    let crowded = (0.55, 0.85, 0.1);
    let idle = (1.2, 0.1, 0.1);
    let speeds = play(30, &[crowded, idle, idle, idle]);
    let relative = relative_time(&speeds, 0);
    assert!((0.42..0.52).contains(&relative), "{relative}");
    assert!((relative_time(&speeds, 1) - 1.0).abs() < f64::EPSILON);
}

/// One late answer is no sign of a slow server.
#[test]
fn few_timings_and_single_late_ones_do_not_count() {
    let mut speeds = play(10, &[(1.0, 0.2, 0.1); 3]);
    speeds.record("engines", 3, &timed(1.4, 0.2));
    update(&mut speeds, 10, &NONE);
    assert!((relative_time(&speeds, 3) - 1.0).abs() < f64::EPSILON);
    speeds.record("engines", 0, &timed(100.0, 0.2));
    update(&mut speeds, 10, &NONE);
    assert!(relative_time(&speeds, 0) < 1.8);
}

/// An instance times few servers itself: it would take the fast ones that it knows for usual.
#[test]
fn peers_know_the_servers_that_this_instance_has_not_timed() {
    let mut speeds = play(10, &[(0.5, 0.2, 0.1)]);
    assert!((relative_time(&speeds, 0) - 1.0).abs() < f64::EPSILON);
    let sample = |measured_ms| SpeedSample {
        measured_ms,
        expected_ms: 20_000,
    };
    let peers =
        BTreeMap::from([0, 1, 2, 3].map(|e| (e, sample([10_000, 20_000][e.min(1) as usize]))));
    for second in 10..60 {
        speeds.record("engines", 0, &timed(0.5, 0.2));
        update(&mut speeds, second, &peers);
    }
    let relative = relative_time(&speeds, 0);
    assert!((0.45..0.6).contains(&relative), "{relative}");
    let usual = speeds.speed("engines", 1, 0.2);
    assert!((11.0..13.0).contains(&usual.ms_per_unit.unwrap_or_default()));
}

/// Forecasts would ignore prompts ahead, or the speed of the engine.
#[test]
fn forecasts_follow_from_prompts_ahead_load_and_speed() {
    let mut speeds = play(20, &[(2.0, 0.2, 0.1), (1.0, 0.2, 0.1), (1.0, 0.2, 0.1)]);
    let load = LoadShare {
        unread_tokens: 3_000,
        ..LoadShare::default()
    };
    assert_eq!(
        speeds.speed("none", 1, 0.2).first_event(&load, 1_000),
        Duration::ZERO
    );
    speeds.record_prompt("engines", 1, 2_000, Duration::from_millis(200));
    let (usual, slow) = (
        speeds.speed("engines", 1, 0.2),
        speeds.speed("engines", 0, 0.2),
    );
    assert_eq!(usual.first_event(&load, 1_000).as_millis(), 400);
    assert!(slow.first_event(&load, 1_000) > usual.first_event(&load, 1_000));
    assert!((45..=51).contains(&usual.event_gap(4).as_millis()));
    assert!(slow.event_gap(4) > usual.event_gap(4));
}

/// A server whose speed changes all the time would fill the logs.
#[test]
fn changes_of_a_server_are_reported_at_most_each_five_seconds() {
    let mut speeds = play(5, &[(1.0, 0.2, 0.1); 3]);
    for second in 5..25 {
        let slow = SpeedSample {
            measured_ms: 40_000,
            expected_ms: 20_000,
        };
        let is_slow = second % 2 == 0;
        let peers = is_slow.then_some((0, slow)).into_iter().collect();
        update(&mut speeds, second, &peers);
    }
    let changes = speeds.take_changes();
    assert!((2..=4).contains(&changes.len()), "{changes:?}");
    assert_eq!(changes[0].peers.measured_ms, 40_000);
}

/// Timings without weight would add to each heartbeat.
#[test]
fn only_timings_that_matter_are_advertised() {
    let mut speeds = play(10, &[(1.0, 0.2, 0.1), (1.5, 0.2, 0.1), (1.0, 0.2, 0.1)]);
    assert_eq!(speeds.advertised(9, |life| life).len(), 3);
    assert!(speeds.advertised(1, |life| 9 - life).contains_key(&2));
    // Ten half-lives later.
    update(&mut speeds, 110, &NONE);
    assert!(speeds.advertised(9, |life| life).is_empty());
}
