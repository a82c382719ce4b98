//! The list of backend servers over outages, the members of the fleet, and the
//! retry budget that they share.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod gateway_scene;

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::FleetMembers;
use iristhread_core::ListedState;
use iristhread_core::Now;
use iristhread_core::ReplicaChange;
use iristhread_core::ReplicaList;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use test_case::test_case;

use gateway_scene::ask;
use gateway_scene::control_with;
use gateway_scene::engine;
use gateway_scene::fleet::address;
use gateway_scene::fleet::members;
use gateway_scene::fleet::state;
use gateway_scene::leaving;
use gateway_scene::ms;
use gateway_scene::told;

fn list() -> ReplicaList {
    let mut list = ReplicaList::default();
    list.snapshot(ms(0), 10, vec![engine("e1", "z1"), leaving("e2", "z1")]);
    list
}

#[test]
fn a_removed_entry_is_gone_at_once() {
    let mut list = list();
    list.change(ms(0), 11, vec![ReplicaChange::Removed("e1".to_owned())]);
    assert_eq!(list.state("e1"), ListedState::Removed);
}

/// The grace counts from the end of the outage, not from the removal: a server
/// that leaves in good order soon after an outage gets nothing new for longer
/// than the users allow otherwise (hunt-e87f-3 of cmuca-cotacao).
#[test_case(5_010, ListedState::Expired; "at the end of the outage")]
#[test_case(6_990, ListedState::Expired; "within two seconds")]
#[test_case(7_010, ListedState::Removed; "later")]
fn an_entry_that_is_removed_after_an_outage(at_ms: u64, expected: ListedState) {
    let mut list = list();
    list.outage_ended(ms(5_000));
    list.change(ms(at_ms), 11, vec![ReplicaChange::Removed("e1".to_owned())]);
    assert_eq!(list.state("e1"), expected);
    list.expire(ms(7_000));
    assert_eq!(list.state("e1"), ListedState::Removed);
}

#[test]
fn a_lapsed_entry_counts_as_serving_for_no_longer_than_the_grace() {
    let mut list = list();
    list.outage_ended(ms(5_000));
    list.change(ms(5_500), 11, vec![ReplicaChange::Removed("e1".to_owned())]);
    assert_eq!(list.serving(ms(6_990)).count(), 1);
    assert_eq!(
        list.serving(ms(7_000)).count(),
        0,
        "also before it is expired"
    );
}

#[test]
fn an_entry_that_comes_back_after_an_outage_serves_again() {
    let mut list = list();
    list.outage_ended(ms(5_000));
    list.snapshot(ms(5_010), 12, Vec::new());
    assert_eq!(list.state("e1"), ListedState::Expired);
    list.change(
        ms(6_500),
        13,
        vec![ReplicaChange::Listed(engine("e1", "z1"))],
    );
    assert!(list.expire(ms(9_000)).is_empty());
    assert_eq!(list.state("e1"), ListedState::Serving);
}

#[test]
fn a_leaving_server_does_not_come_back_by_an_outage() {
    let mut list = list();
    list.outage_ended(ms(5_000));
    list.snapshot(ms(5_010), 12, vec![engine("e1", "z1")]);
    assert_eq!(list.state("e2"), ListedState::Removed);
}

#[test]
fn an_older_end_of_an_outage_changes_nothing() {
    let mut list = list();
    list.outage_ended(ms(5_000));
    list.outage_ended(ms(3_000));
    list.change(ms(6_000), 11, vec![ReplicaChange::Removed("e1".to_owned())]);
    assert_eq!(list.state("e1"), ListedState::Expired);
}

/// An instance that fetches the list from a peer must not take a lapsed entry
/// for a listed one: nobody would ever remove it.
#[test]
fn a_lapsed_entry_lapses_also_where_the_list_was_fetched() {
    let mut source = list();
    source.outage_ended(ms(5_000));
    source.snapshot(ms(5_100), 12, Vec::new());
    let mut fetched = list();
    fetched.hear(ms(5_300), source.told(ms(5_300)));
    assert_eq!(fetched.state("e1"), ListedState::Expired);
    fetched.expire(ms(7_000));
    assert_eq!(fetched.state("e1"), ListedState::Removed);
}

#[test]
fn an_outage_long_ago_is_not_told() {
    let mut source = list();
    source.outage_ended(ms(5_000));
    assert_eq!(source.told(ms(6_990)).outage_ended_ms, Some(1_990));
    assert_eq!(source.told(ms(7_000)).outage_ended_ms, None);
}

#[test]
fn older_news_change_nothing() {
    let mut list = list();
    assert!(!list.change(ms(0), 10, vec![ReplicaChange::Removed("e1".to_owned())]));
    assert!(!list.snapshot(ms(0), 9, Vec::new()));
    assert_eq!(list.state("e1"), ListedState::Serving);
}

/// Instances that pass on how old something is, one after the other: with 5 ms
/// from one to the next it seemed 4.7 s old after 8 s.
#[test]
fn an_age_that_is_passed_on_never_gets_younger() {
    let (way, between) = (ms(5), ms(12));
    let mut now = ms(1_000);
    let mut told_age = Duration::ZERO;
    let outage_ends = now + Duration::from_secs(8);
    while now < outage_ends {
        // Told now, heard a little later, and told again.
        let heard_at = now + way;
        let confirmed_at = FleetMembers::confirmed_at(heard_at, told_age);
        now += between;
        told_age = now.saturating_sub(confirmed_at);
    }
    assert!(
        told_age >= Duration::from_secs(8),
        "it seems {told_age:?} old"
    );
}

#[test]
fn heartbeats_go_to_seeds_until_others_are_known() {
    let mut random = Pcg32::seed_from_u64(1);
    let mut fleet = members(2);
    assert_eq!(fleet.fan_out(ms(0), &mut random).direct, [address(1)]);
    fleet.learn_address(ms(0), address(7));
    fleet.learn_address(ms(0), address(2));
    let mut targets = fleet.fan_out(ms(0), &mut random).direct;
    targets.sort();
    assert_eq!(targets, [address(1), address(7)], "never to itself");
}

#[test]
fn a_silent_instance_is_sent_fewer_heartbeats_and_then_none() {
    let mut random = Pcg32::seed_from_u64(1);
    let mut fleet = members(1);
    fleet.hear(ms(0), address(2), state(2, "z1", None));
    let sent = |fleet: &mut FleetMembers, random: &mut Pcg32, at: Now| {
        (0..10)
            .filter(|_| !fleet.fan_out(at, random).direct.is_empty())
            .count()
    };
    assert_eq!(sent(&mut fleet, &mut random, ms(100)), 10);
    assert_eq!(sent(&mut fleet, &mut random, ms(60_000)), 2);
    assert_eq!(sent(&mut fleet, &mut random, ms(130_000)), 0);
}

#[test_case(2, 200; "a small fleet")]
#[test_case(30, 348; "one of thirty")]
#[test_case(60, 708; "one of sixty")]
#[test_case(200, 1_000; "a large one")]
fn the_interval_grows_with_the_fleet(count: u8, expected_ms: u64) {
    let mut fleet = members(1);
    for number in 2..=count {
        let mut stronger = state(number, "z1", None);
        stronger.core_millis = 500;
        fleet.hear(ms(0), address(number), stronger);
    }
    let mut random = Pcg32::seed_from_u64(1);
    let fan_out = fleet.fan_out(ms(0), &mut random);
    assert_eq!(fleet.heartbeat_interval(ms(0)), ms(expected_ms));
    let targets = fan_out.direct.len() + usize::from(fan_out.relay.is_some());
    assert!(targets <= 31, "{targets} targets");
}

#[test]
fn a_peer_that_is_ahead_is_named() {
    let mut fleet = members(1);
    let mut newer = state(2, "z1", None);
    newer.config_version = 5;
    fleet.hear(ms(0), address(2), newer);
    fleet.hear(ms(0), address(3), state(3, "z1", None));
    let ahead = fleet.ahead(ms(0), 1, 1.into());
    assert_eq!(ahead.len(), 1);
    assert_eq!(ahead[0].1.instance, "i2");
    assert!(fleet.ahead(ms(0), 5, 1.into()).is_empty());
}

#[test]
fn a_configuration_is_confirmed_by_peers_that_have_no_newer_one() {
    let mut fleet = members(1);
    let mut newer = state(2, "z1", Some(ms(900)));
    newer.config_version = 5;
    fleet.hear(ms(1_000), address(2), newer);
    fleet.hear(ms(1_000), address(3), state(3, "z1", Some(ms(400))));
    assert_eq!(fleet.config_confirmed_at(ms(1_000), 1), Some(ms(400)));
    assert_eq!(fleet.config_confirmed_at(ms(1_000), 5), Some(ms(900)));
    assert!(fleet.is_ahead_in_config(ms(1_000), 1));
    assert!(!fleet.is_ahead_in_config(ms(1_000), 5));
    assert!(
        !fleet.is_ahead_in_config(ms(9_000), 1),
        "a silent one counts no longer"
    );
}

/// Further sends of all instances together stay within the ratio and the extra.
#[test]
fn the_fleet_shares_one_retry_budget() {
    let mut granted = 0;
    for number in 0..3 {
        let mut control = control_with(&["e1", "e2", "e3"]);
        for other in (0..3).filter(|other| *other != number) {
            let name = format!("i{other}");
            control.apply_peer_load(ms(0), told(&name, 1, BTreeMap::new()));
        }
        for request in 0..20 {
            let request = format!("r{request}");
            if control.place(ms(0), ask(&request)).is_ok() {
                control.ended(ms(0), &request, iristhread_core::RunEnd::Answered);
            }
        }
        granted += (0..50).filter(|_| control.spend_retry("engines")).count();
    }
    let bound = 3 * 20 / 10 + 9;
    assert!(
        granted <= bound,
        "{granted} further sends, the bound is {bound}"
    );
    assert!(granted >= 6, "{granted} further sends");
}

/// A small instance that hands a large configuration to many is slow and may run out
/// of memory.
#[test]
fn a_large_fleet_fetches_from_the_strong_ones_of_its_zone() {
    let mut fleet = members(1);
    for number in 2..=40 {
        let zone = if number % 2 == 0 { "z1" } else { "z2" };
        let mut ahead = state(number, zone, None);
        ahead.config_version = 5;
        ahead.core_millis = if number % 10 < 2 { 500 } else { 120 };
        fleet.hear(ms(0), address(number), ahead);
    }
    let names = |fleet: &FleetMembers| {
        let sources = fleet.sources(ms(0), 1, 1.into());
        let names = sources.iter().map(|(_, state)| state.instance.clone());
        names.collect::<Vec<_>>()
    };
    assert_eq!(names(&fleet).len(), 39, "any of a small fleet");
    fleet.fan_out(ms(0), &mut Pcg32::seed_from_u64(1));
    assert_eq!(names(&fleet), ["i10", "i20", "i30", "i40"]);
}

/// Other zones hear of choices soon, and bytes don't grow with the engines.
#[test_case(0, 100; "none yet")]
#[test_case(60, 100; "sixty engines")]
#[test_case(133, 133; "a large fleet of today")]
#[test_case(3_000, 300; "three thousand")]
fn a_relay_tells_other_zones_as_often_as_its_sums_allow(sums: usize, expected_ms: u64) {
    assert_eq!(
        FleetMembers::relay_heartbeat_interval(sums),
        ms(expected_ms)
    );
}
