//! How a fleet's instances learn of each other's loads by way of relays.

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

use relay_scene::World;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test_case(9, 3, 1_500; "nine")]
#[test_case(30, 3, 1_500; "thirty")]
#[test_case(100, 5, 2_500; "a hundred")]
#[test_case(300, 5, 2_500; "three hundred")]
fn a_start_of_all_leads_to_the_right_picture(count: usize, zones: usize, within_ms: u64) {
    for seed in 0..3 {
        let mut world = World::start(count, zones, seed);
        let took = world.time_to_agree(ms(within_ms));
        let wrong = world.wrong().len();
        assert!(took.is_some(), "seed {seed}: {wrong} of {count} differ");
    }
}

/// What an instance receives and most of them send stays about the same.
#[test_case(30, 3; "thirty")]
#[test_case(100, 5; "a hundred")]
#[test_case(300, 5; "three hundred")]
fn messages_do_not_grow_with_the_fleet(count: usize, zones: usize) {
    let mut world = World::start(count, zones, 1);
    world.run_for(ms(5_000));
    world.count_anew();
    world.run_for(ms(10_000));
    let per_second = |counted: u64| counted / 10;
    let received = world.instances.iter().map(|i| per_second(i.received)).max();
    assert!(received <= Some(120), "{received:?} datagrams a second");
    let mut sent: Vec<u64> = world.instances.iter().map(|i| per_second(i.sent)).collect();
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

/// The zone knows of a placement within a bundle, the others with the next sums.
#[test]
fn a_placement_is_known_soon() {
    let mut world = World::start(300, 5, 2);
    world.run_for(ms(6_000));
    assert!(world.wrong().is_empty());
    world.place(299, 3_000);
    world.run_for(ms(100));
    let zone = world.instances[299].zone.clone();
    let is_near = |own: &usize| world.instances[*own].zone == zone;
    let wrong = world.wrong();
    assert_eq!(
        wrong.iter().filter(|own| is_near(own)).count(),
        0,
        "in its zone"
    );
    let took = world.time_to_agree(ms(800));
    assert!(took.is_some(), "{} differ elsewhere", world.wrong().len());
}

/// What lost datagrams hide is told again.
#[test]
fn lost_datagrams_make_the_picture_older_only() {
    let mut world = World::start(100, 5, 3);
    world.loses_one_in = 20;
    world.run_for(ms(6_000));
    world.place(99, 3_000);
    let took = world.time_to_agree(ms(4_000));
    assert!(took.is_some(), "{} differ", world.wrong().len());
}

#[test_case(&[0], 2_500; "one relay of a zone")]
#[test_case(&[0, 5, 10], 5_000; "all strong instances of a zone")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14], 6_000; "all strong instances")]
fn the_picture_heals_when_relays_are_gone(gone: &[usize], within_ms: u64) {
    let mut world = World::start(100, 5, 4);
    world.run_for(ms(5_000));
    for own in gone {
        world.instances[*own].is_alive = false;
    }
    world.place(99, 3_000);
    // Shares of the dead count for three seconds.
    let took = world.time_to_agree(ms(3_400 + within_ms));
    assert!(took.is_some(), "{} differ", world.wrong().len());
}

#[test]
fn a_zone_that_was_cut_off_is_heard_again() {
    let mut world = World::start(100, 5, 5);
    world.run_for(ms(5_000));
    world.cut_off = Some("z1".to_owned());
    world.run_for(ms(8_000));
    let inside = world.instances[1].loads.count();
    assert_eq!(inside, 19, "the others of the zone");
    world.cut_off = None;
    let took = world.time_to_agree(ms(4_000));
    assert!(took.is_some(), "{} differ", world.wrong().len());
}

#[test]
fn instances_that_stood_still_do_no_lasting_harm() {
    let mut world = World::start(100, 5, 6);
    world.run_for(ms(5_000));
    let wakes = world.now + ms(3_000);
    for own in (0..100).step_by(10) {
        world.instances[own].frozen_until = wakes;
    }
    world.run_for(ms(3_000));
    world.place(99, 3_000);
    let took = world.time_to_agree(ms(4_500));
    assert!(took.is_some(), "{} differ", world.wrong().len());
}

#[test]
fn a_process_that_starts_again_twice_is_known_by_its_last_life() {
    let mut world = World::start(100, 5, 7);
    world.run_for(ms(5_000));
    world.restart(42);
    world.run_for(ms(200));
    world.restart(42);
    let took = world.time_to_agree(ms(3_000));
    assert!(took.is_some(), "{} differ", world.wrong().len());
}

#[test]
fn all_processes_that_start_again_find_each_other() {
    let mut world = World::start(100, 5, 8);
    world.run_for(ms(5_000));
    for own in 0..100 {
        world.restart(own);
    }
    let took = world.time_to_agree(ms(2_500));
    assert!(took.is_some(), "{} differ", world.wrong().len());
}

/// Two zones of a large fleet read for all, one instance in each; when they are
/// gone, others do.
#[test]
fn a_few_read_for_a_large_fleet() {
    let mut world = World::start(100, 5, 9);
    world.run_for(ms(5_000));
    for _ in 0..3 {
        let readers = readers(&world);
        assert_eq!(readers.len(), 2, "{readers:?}");
        assert_ne!(readers[0] % 5, readers[1] % 5, "in two zones");
        for own in readers {
            world.instances[own].is_alive = false;
        }
        world.run_for(ms(7_000));
    }
}

/// Living instances that read while what they know is fresh.
fn readers(world: &World) -> Vec<usize> {
    let instances = world.instances.iter().enumerate();
    let now = world.now;
    let reads = instances.filter(|(_, i)| i.is_alive && i.members.reads(now, Some(now), true));
    reads.map(|(own, _)| own).collect()
}

#[test]
fn a_late_message_of_an_earlier_life_is_old() {
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

fn told(instance: &str, zone: &str, tokens: u64, digest: Option<u64>) -> AdvertisedLoads {
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

/// The sums of another zone hold the shares of those that are heard from there
/// themselves; those of the own zone would hold this instance's own.
#[test]
fn nothing_is_counted_twice() {
    let mut loads = PeerLoads::new("z1".to_owned());
    loads.hear(ms(0), told("i2", "z1", 10, Some(500)));
    loads.hear(ms(0), told("i3", "z2", 20, None));
    assert_eq!(loads.on("e1").session_tokens, 30);
    assert_eq!(loads.count(), 2);
    loads.hear(ms(0), told("i4", "z2", 5, Some(100)));
    assert_eq!(loads.on("e1").session_tokens, 110);
    assert_eq!(loads.count(), 5);
}

#[test]
fn sums_that_are_no_longer_told_count_no_longer() {
    let mut loads = PeerLoads::new("z1".to_owned());
    loads.hear(ms(0), told("i4", "z2", 5, Some(100)));
    loads.expire(ms(2_900));
    assert_eq!(loads.on("e1").session_tokens, 100);
    loads.expire(ms(3_100));
    assert_eq!(loads.on("e1").session_tokens, 0);
    assert!(!loads.knows_zone("z2"));
}
