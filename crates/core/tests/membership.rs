//! Configuration order, readers, peers' messages: decisions of membership.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::Command;
use iristhread_core::ConfigOrder;
use iristhread_core::Control;
use iristhread_core::ControlSettings;
use iristhread_core::Document;
use iristhread_core::Event;
use iristhread_core::HybridClock;
use iristhread_core::HybridTime;
use iristhread_core::InstanceEntry;
use iristhread_core::InstanceList;
use iristhread_core::InstanceState;
use iristhread_core::Keyring;
use iristhread_core::Offer;
use iristhread_core::OfferVerdict;
use iristhread_core::PeerGuard;
use iristhread_core::PeerRejection;
use iristhread_core::ReaderRanking;
use iristhread_core::RoutingPolicy;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::proptest;
use test_case::test_case;

fn offer(version: u64, faulty: bool) -> Offer {
    let mut document = Document::default();
    if faulty {
        document.adapters.push(iristhread_core::Adapter {
            name: "x".to_owned(),
            model: "none".to_owned(),
        });
    }
    Offer {
        version,
        document: Arc::new(document),
    }
}

fn entry(number: usize) -> InstanceEntry {
    InstanceEntry {
        instance: format!("i{number}"),
        availability_zone: "a".to_owned(),
        peer_address: ([127, 0, 0, 1], 7_000 + number as u16).into(),
        state: InstanceState::Live,
    }
}

fn instance_list(size: usize) -> InstanceList {
    let mut instance_list = InstanceList::default();
    instance_list.offer(1, (0..size).map(entry).collect());
    instance_list
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes in whatever order: the version in force only grows, and
    /// no refused document is ever in force.
    #[test]
    fn the_version_in_force_never_reverts(offers in prop::collection::vec((1_u64..30, any::<bool>()), 0..60)) {
        let mut order = ConfigOrder::default();
        let mut last = 0;
        for (version, faulty) in offers {
            let verdict = order.offer(offer(version, faulty));
            prop_assert!(order.version() >= last);
            if verdict == OfferVerdict::InForce {
                prop_assert!(!faulty && version > last);
            }
            last = order.version();
        }
    }

    /// A roster from a stale replica changes nothing.
    #[test]
    fn an_older_list_is_ignored(versions in prop::collection::vec(1_u64..20, 1..40)) {
        let mut instance_list = InstanceList::default();
        for version in versions {
            let before = instance_list.version();
            let taken = instance_list.offer(version, vec![entry(version as usize)]);
            prop_assert_eq!(taken, version > before);
        }
    }
}

#[test_case(1, 0, 1; "one instance")]
#[test_case(3, 0, 2; "three")]
#[test_case(9, 0, 2; "nine")]
#[test_case(270, 0, 2; "the target's zone")]
#[test_case(270, 11, 2; "news is on its way")]
#[test_case(270, 13, 4; "readers are silent")]
#[test_case(270, 20, 8; "more are silent")]
#[test_case(9, 60, 9; "all take part in the end")]
fn readers_of_a_zone(size: usize, age_s: u64, expected: usize) {
    let instance_list = instance_list(size);
    let age = Duration::from_secs(age_s);
    let reads = |number: &usize| {
        ReaderRanking::new(format!("i{number}"), "a".to_owned()).reads(&instance_list, age)
    };
    assert_eq!((0..size).filter(reads).count(), expected);
}

#[test]
fn an_instance_that_is_not_listed_reads_for_itself() {
    let rota = ReaderRanking::new("new".to_owned(), "a".to_owned());
    assert!(rota.reads(&instance_list(9), Duration::ZERO));
    assert!(rota.reads(&InstanceList::default(), Duration::ZERO));
}

/// Its rank does not matter: it has nothing to serve with.
#[test]
fn an_instance_without_a_configuration_reads() {
    let fleet = instance_list(9);
    let is_reader = |number: &usize| {
        let rota = ReaderRanking::new(format!("i{number}"), "a".to_owned());
        rota.reads(&fleet, Duration::ZERO)
    };
    let number = (0..9).find(|number| !is_reader(number)).unwrap();
    let mut control = Control::new(settings(&format!("i{number}")));
    let entries = (0..9).map(entry).collect();
    let now = Duration::from_secs(1);
    control.handle(
        now,
        0,
        Event::InstanceListOffered {
            version: 1,
            entries,
        },
    );
    let reads = Command::ReadPlatform { reads: true };
    assert!(control.handle(now, 0, Event::Tick).contains(&reads));
    let offered = Event::ConfigOffered {
        version: 1,
        document: Arc::new(Document::default()),
        source: "peer".to_owned(),
    };
    control.handle(now, 0, offered);
    let reads = Command::ReadPlatform { reads: false };
    assert!(control.handle(now, 0, Event::Tick).contains(&reads));
}

fn settings(instance: &str) -> ControlSettings {
    ControlSettings {
        instance: instance.to_owned(),
        incarnation: "1".to_owned(),
        zone: "a".to_owned(),
        policy: RoutingPolicy::Predictive,
        max_queued: 10,
        timeline_records: 1_000,
        ticket_lifetime: Duration::from_secs(10),
        max_tickets: 100,
        seed: 1,
    }
}

/// Peers that are told at once, over rounds, reach the whole zone: the spread
/// by fan-out alone, without the periodic exchanges.
#[test_case(9; "today")]
#[test_case(270; "the target's zone")]
fn a_change_spreads_by_fan_out(size: usize) {
    let entries: Vec<InstanceEntry> = (0..size).map(entry).collect();
    let mut controls: Vec<Control> = (0..size)
        .map(|number| {
            let seed = number as u64;
            Control::new(ControlSettings {
                seed,
                ..settings(&format!("i{number}"))
            })
        })
        .collect();
    let now = Duration::from_secs(1);
    for control in &mut controls {
        let entries = entries.clone();
        control.handle(
            now,
            0,
            Event::InstanceListOffered {
                version: 1,
                entries,
            },
        );
    }
    let document = Arc::new(Document::default());
    let offered = |source: &str| Event::ConfigOffered {
        version: 5,
        document: document.clone(),
        source: source.to_owned(),
    };
    let mut informed = BTreeSet::from([0]);
    let mut front = vec![0];
    let mut messages = 0;
    let mut rounds = 0;
    while !front.is_empty() {
        rounds += 1;
        let mut next = Vec::new();
        for number in front {
            for command in controls[number].handle(now, 0, offered("peer")) {
                if let Command::ExchangeWith { instance, .. } = command {
                    messages += 1;
                    let peer: usize = instance[1..].parse().unwrap();
                    if informed.insert(peer) {
                        next.push(peer);
                    }
                }
            }
        }
        front = next;
    }
    println!(
        "{size} instances: {} informed in {rounds} rounds by {messages} messages",
        informed.len()
    );
    assert!(
        informed.len() * 10 >= size * 9,
        "{} of {size}",
        informed.len()
    );
}

#[derive(Clone, Copy)]
enum Tampering {
    None,
    Body,
    Sender,
    Receiver,
    OtherKey,
    Replay,
}

#[test_case(Tampering::None, Ok(()); "genuine")]
#[test_case(Tampering::Body, Err(PeerRejection::Forged); "changed body")]
#[test_case(Tampering::Sender, Err(PeerRejection::Forged); "changed sender")]
#[test_case(Tampering::Receiver, Err(PeerRejection::WrongReceiver); "for another receiver")]
#[test_case(Tampering::OtherKey, Err(PeerRejection::Forged); "signed with another key")]
#[test_case(Tampering::Replay, Err(PeerRejection::Replayed); "replayed")]
fn a_peer_message(tampering: Tampering, expected: Result<(), PeerRejection>) {
    let keyring = Keyring::from_hex(&["01".repeat(32)]).unwrap();
    let other = Keyring::from_hex(&["02".repeat(32)]).unwrap();
    let (sender, life) = ("a1".to_owned(), "life".to_owned());
    let receiver = match tampering {
        Tampering::Receiver => "a3".to_owned(),
        _ => "a2".to_owned(),
    };
    let signing = match tampering {
        Tampering::OtherKey => &other,
        _ => &keyring,
    };
    let tag = PeerGuard::sign(signing, (&sender, &life), &receiver, 7, "body");
    let sender = match tampering {
        Tampering::Sender => "a9".to_owned(),
        _ => sender,
    };
    let body = match tampering {
        Tampering::Body => "other",
        _ => "body",
    };
    let mut guard = PeerGuard::new("a2".to_owned());
    if matches!(tampering, Tampering::Replay) {
        guard
            .accept(&keyring, (&sender, &life), &receiver, 7, body, &tag)
            .unwrap();
    }
    let verdict = guard.accept(&keyring, (&sender, &life), &receiver, 7, body, &tag);
    assert_eq!(verdict, expected);
}

#[test]
fn a_key_is_replaced_without_a_gap() {
    let (old, new) = ("01".repeat(32), "02".repeat(32));
    let before = Keyring::from_hex(std::slice::from_ref(&old)).unwrap();
    let during = Keyring::from_hex(&[new.clone(), old]).unwrap();
    let after = Keyring::from_hex(&[new]).unwrap();
    assert!(during.verify("p", b"m", &before.sign("p", b"m")));
    assert!(after.verify("p", b"m", &during.sign("p", b"m")));
    assert!(!after.verify("p", b"m", &before.sign("p", b"m")));
    assert!(!during.verify("q", b"m", &during.sign("p", b"m")));
}

#[test]
fn hybrid_time_follows_causes_and_ignores_a_wild_clock() {
    let mut clock = HybridClock::default();
    let sent = HybridTime {
        wall_ms: 5_000,
        count: 3,
    };
    clock.observe(1_000, sent);
    assert!(clock.tick(1_000) > sent);
    clock.observe(
        1_000,
        HybridTime {
            wall_ms: 10_000_000,
            count: 0,
        },
    );
    assert!(clock.tick(1_001).wall_ms < 10_000);
}
