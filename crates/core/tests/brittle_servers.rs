//! Servers that fall over when they have to reject too many requests.

mod brittle_scene;
mod gateway_scene;

use std::time::Duration;

use test_case::test_case;

use brittle_scene::BrittleFleet;

/// Plays a calm time, a burst beyond the capacity, and a calm time.
fn played(instances: usize, servers: usize, reads_notices: bool) -> BrittleFleet {
    let mut fleet = BrittleFleet::new(instances, servers, reads_notices);
    let capacity = fleet.capacity_per_s();
    fleet.run(Duration::from_secs(6), capacity * 6 / 10);
    fleet.run(Duration::from_secs(5), capacity * 13 / 10);
    fleet.run(Duration::from_secs(4), capacity * 6 / 10);
    fleet
}

/// Nobody read what brittle servers declare.
#[test_case(6, 4)]
#[test_case(9, 10)]
#[test_case(20, 10)]
#[test_case(60, 20)]
fn brittle_servers_stay_up(instances: usize, servers: usize) {
    let fleet = played(instances, servers, true);
    let falls = fleet.falls();
    assert!(falls <= 2 + servers / 10, "{falls} falls");
}

/// The servers of these schedules do fall over, and then serve less.
#[test]
fn brittle_servers_that_nobody_reads_fall_over() {
    let (without, fleet) = (played(9, 10, false), played(9, 10, true));
    assert!(without.falls() > 3, "{} falls", without.falls());
    assert!(
        fleet.served > without.served,
        "{} of {}",
        fleet.served,
        without.served
    );
}
