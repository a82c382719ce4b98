//! Selection of the instances that read the platform's directory.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeSet;
use std::time::Duration;

use iristhread_core::FleetMembers;
use test_case::test_case;

use gateway_scene::fleet::address;
use gateway_scene::fleet::members;
use gateway_scene::fleet::state;
use gateway_scene::fleet::zone_of;
use gateway_scene::ms;

#[test]
fn one_instance_of_a_zone_reads() {
    let fleet = zone_of(5, ms(1_000));
    let reads = |m: &&FleetMembers| m.reads(ms(1_100), Some(ms(1_000)), true);
    assert_eq!(fleet.iter().filter(reads).count(), 1);
}

#[test]
fn another_instance_reads_when_the_reader_stops_sending() {
    let fleet = zone_of(5, ms(1_000));
    let reader = fleet
        .iter()
        .position(|m| m.reads(ms(1_100), Some(ms(1_000)), true))
        .unwrap();
    let now = ms(1_000) + Duration::from_secs(3);
    let mut readers = 0;
    for own in (0..5).filter(|own| *own != reader) {
        let mut fleet = members(own as u8 + 1);
        for other in (0..5).filter(|other| *other != own && *other != reader) {
            let number = other as u8 + 1;
            fleet.apply_heartbeat(now, address(number), state(number, "z1", Some(now)));
        }
        readers += u32::from(fleet.reads(now, Some(now), true));
    }
    assert_eq!(readers, 1);
}

/// The first instance of a zone by rank reads first, the others a little later, because the first
/// one may be cut off from the directory.
#[test_case(true; "could read before")]
#[test_case(false; "could not read before")]
fn each_instance_reads_when_its_state_is_stale(could_read: bool) {
    let confirmed_at = ms(1_000);
    let readers_at = |age_ms| {
        let now = confirmed_at + ms(age_ms);
        let fleet = zone_of(20, now);
        let reads = |m: &&FleetMembers| m.reads(now, Some(confirmed_at), could_read);
        fleet.iter().filter(reads).count()
    };
    assert_eq!(readers_at(1_300), usize::from(could_read));
    assert_eq!(readers_at(1_355), 1);
    assert_eq!(readers_at(1_385), 2);
    assert_eq!(readers_at(1_500), 20);
    assert_eq!(readers_at(60_000), 20);
}

/// Applies whether or not the instances could read before: one that can read has to be found, and
/// if all read a large list at once, each read takes many pages.
#[test_case(true; "could read before")]
#[test_case(false; "could not read before")]
fn a_few_instances_read_the_list_in_rotation_when_it_is_stale(could_read: bool) {
    let mut had_turn = BTreeSet::new();
    for second in 100..160 {
        let now = Duration::from_secs(second);
        let mut fleet = zone_of(20, now);
        for members in &mut fleet {
            let mut with_relays = state(21, "z2", None);
            with_relays.has_relays = true;
            members.apply_heartbeat(now, address(21), with_relays);
        }
        let reads = |own: &usize| fleet[*own].reads_list(now, Some(ms(1_000)), could_read);
        let readers: Vec<usize> = (0..fleet.len()).filter(reads).collect();
        assert_eq!(readers.len(), 2, "at second {second}");
        had_turn.extend(readers);
    }
    assert_eq!(had_turn.len(), 20, "each instance reads at some time");
}

/// Guards against an instance that can read leaving it to others of its zone that cannot.
#[test]
fn an_instance_that_can_read_does_so_when_others_of_its_zone_cannot() {
    for second in 100..160 {
        let now = Duration::from_secs(second);
        let mut fleet = members(1);
        for other in [2, 3] {
            let mut cut_off = state(other, "z1", Some(ms(1_000)));
            cut_off.can_read = false;
            fleet.apply_heartbeat(now, address(other), cut_off);
        }
        let reads = fleet.reads(now, Some(ms(1_000)), true);
        assert!(reads, "at second {second} in the rotation");
    }
}

#[test]
fn an_instance_without_peers_reads() {
    assert!(members(3).reads(ms(100), Some(ms(0)), true));
    assert!(members(3).reads(ms(100), None, true));
}
