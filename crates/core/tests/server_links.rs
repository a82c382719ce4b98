//! The connections of an instance to backend servers, and what failures of them show.

use std::time::Duration;

use iristhread_core::DetourPeer;
use iristhread_core::DetourPeers;
use iristhread_core::LinkChange;
use iristhread_core::ServerLinks;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Servers of the service `orders` that are listed.
const LISTED: usize = 3;

#[test]
fn one_failed_server_is_not_a_cut() {
    let mut links = ServerLinks::default();
    assert_eq!(links.failed(ms(0), "orders", "s1", LISTED), None);
    assert_eq!(links.failed(ms(100), "orders", "s1", LISTED), None);
    assert!(!links.is_cut_off("orders"));
}

#[test]
fn two_failed_servers_in_a_row_are_a_cut_of_their_service_only() {
    let mut links = ServerLinks::default();
    links.failed(ms(0), "orders", "s1", LISTED);
    let change = links.failed(ms(100), "orders", "s2", LISTED);
    assert_eq!(change, Some(LinkChange::CutOff));
    assert_eq!(links.cut_off_services(), ["orders"]);
    assert!(!links.is_cut_off("engines"));
}

#[test]
fn a_connection_between_two_failures_shows_that_there_is_no_cut() {
    let mut links = ServerLinks::default();
    links.failed(ms(0), "orders", "s1", LISTED);
    links.connected(ms(50), "orders", "s3");
    assert_eq!(links.failed(ms(100), "orders", "s2", LISTED), None);
}

#[test]
fn failures_far_apart_are_not_a_cut() {
    let mut links = ServerLinks::default();
    links.failed(ms(0), "orders", "s1", LISTED);
    assert_eq!(links.failed(ms(6_000), "orders", "s2", LISTED), None);
}

#[test]
fn the_only_server_of_a_service_suffices() {
    let mut links = ServerLinks::default();
    let change = links.failed(ms(0), "orders", "s1", 1);
    assert_eq!(change, Some(LinkChange::CutOff));
}

#[test]
fn one_connection_ends_a_cut() {
    let mut links = cut_off();
    let change = links.connected(ms(1_100), "orders", "s1");
    assert_eq!(change, Some(LinkChange::Restored(ms(1_000))));
    assert!(links.cut_off_services().is_empty());
}

#[test]
fn a_cut_is_reported_once() {
    let mut links = cut_off();
    assert_eq!(links.failed(ms(200), "orders", "s3", LISTED), None);
}

#[test]
fn probes_are_paced_and_only_sent_during_a_cut() {
    let mut links = ServerLinks::default();
    assert!(links.due_probes(ms(0)).is_empty());
    links = cut_off();
    assert_eq!(links.due_probes(ms(100)), [("orders".to_owned(), 1)]);
    assert!(links.due_probes(ms(200)).is_empty());
    assert_eq!(links.due_probes(ms(400)), [("orders".to_owned(), 2)]);
    links.connected(ms(500), "orders", "s1");
    assert!(links.due_probes(ms(900)).is_empty());
}

/// A check by a server that has failed itself says nothing about the connectivity.
#[test]
fn connectivity_is_checked_by_servers_that_lately_accepted() {
    let mut links = ServerLinks::default();
    links.failed(ms(0), "orders", "s1", LISTED);
    links.failed(ms(10), "orders", "s2", LISTED);
    links.connected(ms(20), "orders", "s4");
    let others = ["s1", "s2", "s3", "s4"].map(str::to_owned);
    let checked = links.servers_to_check("orders", &others);
    assert_eq!(checked, ["s4", "s3", "s1"]);
}

/// A peer of the own zone comes first; one that is cut off itself, was of no help just now, or has
/// fallen silent is not asked.
#[test_case(&[("near", "z1", &[]), ("far", "z2", &[])], 0, Some("near"); "own zone first")]
#[test_case(&[("near", "z1", &["orders"]), ("far", "z2", &[])], 0, Some("far"); "near one cut off")]
#[test_case(&[("near", "z1", &["engines"]), ("far", "z2", &[])], 0, Some("near"); "cut off from another service")]
#[test_case(&[("near", "z1", &["orders"]), ("far", "z2", &["orders"])], 0, None; "all cut off")]
#[test_case(&[("near", "z1", &[])], 4_000, None; "silent")]
#[test_case(&[], 0, None; "no peers")]
fn a_peer_that_reaches_the_service_is_chosen(
    peers: &[(&str, &str, &[&str])],
    at: u64,
    chosen: Option<&str>,
) {
    let mut known = known(peers);
    let choice = known.choose(ms(at), "orders", &mut Pcg32::seed_from_u64(1));
    assert_eq!(choice.map(|(instance, _)| instance).as_deref(), chosen);
}

#[test]
fn a_peer_of_no_help_is_asked_again_after_a_second() {
    let mut known = known(&[("near", "z1", &[]), ("far", "z2", &[])]);
    let mut random = Pcg32::seed_from_u64(1);
    let mut choose = |known: &mut DetourPeers, at| {
        let choice = known.choose(ms(at), "orders", &mut random);
        choice.map(|(instance, _)| instance)
    };
    known.avoid(ms(0), "near", "orders");
    assert_eq!(choose(&mut known, 500).as_deref(), Some("far"));
    assert_eq!(choose(&mut known, 1_100).as_deref(), Some("near"));
}

#[test]
fn requests_spread_over_all_peers_that_help() {
    let mut known = known(&[("a", "z1", &[]), ("b", "z1", &[]), ("c", "z1", &[])]);
    let mut random = Pcg32::seed_from_u64(1);
    let chosen = (0..100).filter_map(|_| known.choose(ms(0), "orders", &mut random));
    let chosen: std::collections::BTreeSet<_> = chosen.map(|(instance, _)| instance).collect();
    assert_eq!(chosen.len(), 3);
}

/// Links that lost the service `orders` after 100 ms.
fn cut_off() -> ServerLinks {
    let mut links = ServerLinks::default();
    links.failed(ms(0), "orders", "s1", LISTED);
    links.failed(ms(100), "orders", "s2", LISTED);
    links
}

/// Peers as an instance of zone z1 knows them at time 0: name, zone and lost services.
fn known(peers: &[(&str, &str, &[&str])]) -> DetourPeers {
    let mut known = DetourPeers::new("z1".to_owned());
    for (instance, zone, cut_off) in peers {
        let peer = DetourPeer {
            instance: (*instance).to_owned(),
            zone: (*zone).to_owned(),
            address: ([10, 0, 0, 1], 8_002).into(),
            cut_off: cut_off
                .iter()
                .map(|service| (*service).to_owned())
                .collect(),
        };
        known.apply(Duration::ZERO, peer);
    }
    known
}
