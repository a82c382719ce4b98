//! Generated fault schedules: each instance without recent faults has each configuration in time,
//! whichever faults the others have. `SCHEDULES=20000` runs that many schedules of each size.

mod config_scene;

use std::time::Duration;

use test_case::test_case;

use config_scene::Environment;
use config_scene::Late;
use config_scene::plan::LENGTH_MS;
use config_scene::plan::Plan;

/// Default number of schedules, for a small fleet and for one with relays.
const SCHEDULES: u64 = 200;
const SCHEDULES_WITH_RELAYS: u64 = 10;

fn schedules(instances: usize) -> u64 {
    let requested = std::env::var("SCHEDULES").ok();
    let default = match instances > 32 {
        true => SCHEDULES_WITH_RELAYS,
        false => SCHEDULES,
    };
    requested
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn run(instances: usize, zones: usize, seed: u64) -> Vec<Late> {
    let mut environment = Environment::start(instances, zones, seed, Plan::of(seed, instances));
    environment.run_for(Duration::from_millis(LENGTH_MS));
    environment.late
}

#[test_case(2, 1; "two in a zone")]
#[test_case(3, 1; "three in a zone")]
#[test_case(6, 3; "six in three zones")]
#[test_case(9, 3; "nine in three zones")]
#[test_case(40, 4; "forty with relays")]
fn each_healthy_instance_has_a_configuration_in_time(instances: usize, zones: usize) {
    let mut failed = Vec::new();
    let schedules = schedules(instances);
    for seed in 0..schedules {
        let late = run(instances, zones, seed);
        if let Some(first) = late.first() {
            failed.push((seed, first.clone()));
        }
    }
    let first = failed.first();
    assert!(
        failed.is_empty(),
        "{} of {schedules} schedules, the first: {first:?}",
        failed.len(),
    );
}

/// Schedules that exceeded the bound once. Each guards against the fault in its name.
#[test_case(9, 3, 1_894; "a suspended reader advertised its last answer as new")]
#[test_case(3, 1, 3_529; "delayed heartbeats were treated as new")]
#[test_case(9, 3, 1_145; "delayed heartbeats were treated as new and forwarded")]
fn a_schedule_that_exceeded_the_bound(instances: usize, zones: usize, seed: u64) {
    let late = run(instances, zones, seed);
    assert!(late.is_empty(), "{late:?}");
}
