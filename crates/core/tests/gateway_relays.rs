//! Tests of the distribution of loads within a fleet through relays.

mod relay_scene;

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::AdvertisedLoads;
use iristhread_core::Arrival;
use iristhread_core::LoadShare;
use iristhread_core::MessageOrder;
use iristhread_core::PeerLoads;
use iristhread_core::ZoneDigest;
use test_case::test_case;

use relay_scene::SimulatedFleet;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test_case(9, 3, 1_500; "nine")]
#[test_case(30, 3, 1_500; "thirty")]
#[test_case(100, 5, 2_500; "a hundred")]
#[test_case(300, 5, 2_500; "three hundred")]
fn all_views_converge_after_a_cold_start(count: usize, zones: usize, within_ms: u64) {
    for seed in 0..3 {
        let mut fleet = SimulatedFleet::start(count, zones, seed);
        let took = fleet.time_to_agree(ms(within_ms));
        let out_of_date = fleet.out_of_date().len();
        assert!(
            took.is_some(),
            "seed {seed}: {out_of_date} of {count} differ"
        );
    }
}

/// The rate of messages that an instance receives, and that most instances send, does not grow with
/// the fleet.
#[test_case(30, 3; "thirty")]
#[test_case(100, 5; "a hundred")]
#[test_case(300, 5; "three hundred")]
fn message_rates_do_not_grow_with_the_fleet(count: usize, zones: usize) {
    let mut fleet = SimulatedFleet::start(count, zones, 1);
    fleet.run_for(ms(5_000));
    fleet.reset_counters();
    fleet.run_for(ms(10_000));
    let per_second = |counted: u64| counted / 10;
    let received = fleet.instances.iter().map(|i| per_second(i.received)).max();
    assert!(received <= Some(120), "{received:?} datagrams a second");
    let mut sent: Vec<u64> = fleet.instances.iter().map(|i| per_second(i.sent)).collect();
    sent.sort_unstable();
    assert!(
        sent[count / 2] <= 90,
        "{} sent by the middle one",
        sent[count / 2]
    );
    assert!(
        sent[count - 1] <= 1_700,
        "{} sent by the busiest",
        sent[count - 1]
    );
}

/// The local zone receives a placement within one bundle interval, the other zones with the next
/// sums.
#[test]
fn a_placement_is_propagated_quickly() {
    let mut fleet = SimulatedFleet::start(300, 5, 2);
    fleet.run_for(ms(6_000));
    assert!(fleet.out_of_date().is_empty());
    fleet.place(299, 3_000);
    fleet.run_for(ms(100));
    let zone = fleet.instances[299].zone.clone();
    let is_in_zone = |own: &usize| fleet.instances[*own].zone == zone;
    let out_of_date = fleet.out_of_date();
    assert_eq!(
        out_of_date.iter().filter(|own| is_in_zone(own)).count(),
        0,
        "in its zone"
    );
    let took = fleet.time_to_agree(ms(800));
    assert!(
        took.is_some(),
        "{} differ elsewhere",
        fleet.out_of_date().len()
    );
}

/// State in lost datagrams is sent again.
#[test]
fn lost_datagrams_only_delay_convergence() {
    let mut fleet = SimulatedFleet::start(100, 5, 3);
    fleet.loses_one_in = 20;
    fleet.run_for(ms(6_000));
    fleet.place(99, 3_000);
    let took = fleet.time_to_agree(ms(4_000));
    assert!(took.is_some(), "{} differ", fleet.out_of_date().len());
}

#[test_case(&[0], 2_500; "one relay of a zone")]
#[test_case(&[0, 5, 10], 5_000; "all strong instances of a zone")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14], 6_000; "all strong instances")]
fn views_converge_after_relays_stop(stopped: &[usize], within_ms: u64) {
    let mut fleet = SimulatedFleet::start(100, 5, 4);
    fleet.run_for(ms(5_000));
    for own in stopped {
        fleet.instances[*own].is_alive = false;
    }
    fleet.place(99, 3_000);
    // Shares of stopped instances count for three seconds.
    let took = fleet.time_to_agree(ms(3_400 + within_ms));
    assert!(took.is_some(), "{} differ", fleet.out_of_date().len());
}

#[test]
fn a_partitioned_zone_rejoins() {
    let mut fleet = SimulatedFleet::start(100, 5, 5);
    fleet.run_for(ms(5_000));
    fleet.cut_off = Some("z1".to_owned());
    fleet.run_for(ms(8_000));
    let inside = fleet.instances[1].loads.count();
    assert_eq!(inside, 19, "the others of the zone");
    fleet.cut_off = None;
    let took = fleet.time_to_agree(ms(4_000));
    assert!(took.is_some(), "{} differ", fleet.out_of_date().len());
}

#[test]
fn views_converge_after_instances_were_suspended() {
    let mut fleet = SimulatedFleet::start(100, 5, 6);
    fleet.run_for(ms(5_000));
    let wakes = fleet.now + ms(3_000);
    for own in (0..100).step_by(10) {
        fleet.instances[own].frozen_until = wakes;
    }
    fleet.run_for(ms(3_000));
    fleet.place(99, 3_000);
    let took = fleet.time_to_agree(ms(4_500));
    assert!(took.is_some(), "{} differ", fleet.out_of_date().len());
}

#[test]
fn a_process_that_restarts_twice_is_known_by_its_last_incarnation() {
    let mut fleet = SimulatedFleet::start(100, 5, 7);
    fleet.run_for(ms(5_000));
    fleet.restart(42);
    fleet.run_for(ms(200));
    fleet.restart(42);
    let took = fleet.time_to_agree(ms(3_000));
    assert!(took.is_some(), "{} differ", fleet.out_of_date().len());
}

#[test]
fn processes_find_each_other_after_all_restart() {
    let mut fleet = SimulatedFleet::start(100, 5, 8);
    fleet.run_for(ms(5_000));
    for own in 0..100 {
        fleet.restart(own);
    }
    let took = fleet.time_to_agree(ms(2_500));
    assert!(took.is_some(), "{} differ", fleet.out_of_date().len());
}

/// In two zones of a large fleet, one instance each reads for all; when these stop, others take
/// over.
#[test]
fn a_few_instances_read_for_a_large_fleet() {
    let mut fleet = SimulatedFleet::start(100, 5, 9);
    fleet.run_for(ms(5_000));
    for _ in 0..3 {
        let readers = readers(&fleet);
        assert_eq!(readers.len(), 2, "{readers:?}");
        assert_ne!(readers[0] % 5, readers[1] % 5, "in two zones");
        for own in readers {
            fleet.instances[own].is_alive = false;
        }
        fleet.run_for(ms(7_000));
    }
}

/// Returns the live instances that read while their state is fresh.
fn readers(fleet: &SimulatedFleet) -> Vec<usize> {
    let instances = fleet.instances.iter().enumerate();
    let now = fleet.now;
    let reads = instances.filter(|(_, i)| i.is_alive && i.members.reads(now, Some(now), true));
    reads.map(|(own, _)| own).collect()
}

#[test]
fn a_late_message_of_an_earlier_incarnation_is_old() {
    let mut order = MessageOrder::new("one".to_owned(), 7);
    assert_eq!(order.arrive(&"one".to_owned(), 7), Arrival::Old);
    assert_eq!(order.arrive(&"one".to_owned(), 8), Arrival::Newer);
    assert_eq!(
        order.arrive(&"two".to_owned(), 1),
        Arrival::FirstOfIncarnation
    );
    assert_eq!(order.arrive(&"one".to_owned(), 9), Arrival::Old);
    assert_eq!(order.arrive(&"two".to_owned(), 2), Arrival::Newer);
}

fn advertised(instance: &str, zone: &str, tokens: u64, digest: Option<u64>) -> AdvertisedLoads {
    let shares = |session_tokens| {
        let load = LoadShare {
            session_tokens,
            ..LoadShare::default()
        };
        BTreeMap::from([("e1".to_owned(), load)])
    };
    AdvertisedLoads {
        instance: instance.to_owned(),
        incarnation: "life".to_owned(),
        sequence: 1,
        zone: zone.to_owned(),
        shares: shares(tokens),
        digest: digest.map(|tokens| ZoneDigest {
            instances: 4,
            shares: shares(tokens),
        }),
    }
}

/// The sums of another zone include the shares of instances there whose messages are received
/// directly. The sums of the own zone would include this instance's own shares.
#[test]
fn no_share_is_counted_twice() {
    let mut loads = PeerLoads::new("z1".to_owned());
    loads.apply(ms(0), advertised("i2", "z1", 10, Some(500)));
    loads.apply(ms(0), advertised("i3", "z2", 20, None));
    assert_eq!(loads.on("e1").session_tokens, 30);
    assert_eq!(loads.count(), 2);
    loads.apply(ms(0), advertised("i4", "z2", 5, Some(100)));
    assert_eq!(loads.on("e1").session_tokens, 110);
    assert_eq!(loads.count(), 5);
}

#[test]
fn digests_expire_when_no_longer_advertised() {
    let mut loads = PeerLoads::new("z1".to_owned());
    loads.apply(ms(0), advertised("i4", "z2", 5, Some(100)));
    loads.expire(ms(2_900));
    assert_eq!(loads.on("e1").session_tokens, 100);
    loads.expire(ms(3_100));
    assert_eq!(loads.on("e1").session_tokens, 0);
    assert!(!loads.knows_zone("z2"));
}
