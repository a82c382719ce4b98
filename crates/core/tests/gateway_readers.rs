//! Which instances read the platform's directory.
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
fn another_reads_when_the_reader_falls_silent() {
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

/// The first of a zone by rank, the others a little later: who is relied on may be cut off.
#[test_case(true; "who could read before")]
#[test_case(false; "who could not")]
fn each_reads_by_itself_when_what_is_known_is_old(could_read: bool) {
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

/// Whether each of them can read or not: who can has to be found, and a large list that all
/// of them read at once costs many pages each.
#[test_case(true; "who could read before")]
#[test_case(false; "who could not")]
fn a_few_read_the_list_by_turns_when_what_is_known_is_old(could_read: bool) {
    let mut had_a_turn = BTreeSet::new();
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
        had_a_turn.extend(readers);
    }
    assert_eq!(had_a_turn.len(), 20, "everybody has a turn");
}

/// An instance that could read left it to others of its zone, who could not.
#[test]
fn who_can_read_reads_when_the_others_of_its_zone_cannot() {
    for second in 100..160 {
        let now = Duration::from_secs(second);
        let mut fleet = members(1);
        for other in [2, 3] {
            let mut cut_off = state(other, "z1", Some(ms(1_000)));
            cut_off.can_read = false;
            fleet.apply_heartbeat(now, address(other), cut_off);
        }
        let reads = fleet.reads(now, Some(ms(1_000)), true);
        assert!(reads, "at second {second} it is the turn of others");
    }
}

#[test]
fn an_instance_that_hears_nobody_reads() {
    assert!(members(3).reads(ms(100), Some(ms(0)), true));
    assert!(members(3).reads(ms(100), None, true));
}
