//! Heartbeats and their datagrams: truncated, forged and foreign ones are rejected, and a relay
//! forwards signed heartbeats unchanged.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use iristhread_core::AdvertisedCrash;
use iristhread_core::AdvertisedPart;
use iristhread_core::AdvertisedQuarantine;
use iristhread_core::AdvertisedRefusal;
use iristhread_core::AdvertisedSuspect;
use iristhread_core::Fingerprint;
use iristhread_core::Keyring;
use iristhread_core::LoadShare;
use iristhread_core::ServerLife;
use iristhread_core::SuspectAppendix;
use iristhread_core::Totals;
use iristhread_core::ZoneDigest;
use iristhread_daemon::Datagram;
use iristhread_daemon::Heartbeat;
use iristhread_daemon::HeartbeatFault;
use iristhread_daemon::HeartbeatRelay;
use iristhread_daemon::SealedHeartbeat;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;

fn keyring(digit: char) -> Keyring {
    Keyring::from_hex(&[String::from(digit).repeat(64)]).unwrap()
}

fn server(id: &str) -> ServerLife {
    ServerLife {
        id: id.to_owned(),
        life: 7,
    }
}

fn heartbeat(sequence: u64, engines: u32) -> Heartbeat {
    let share = LoadShare {
        requests: 2,
        session_tokens: 7_000,
        ..LoadShare::default()
    };
    let shares: BTreeMap<String, LoadShare> = (0..engines)
        .map(|number| (format!("i-{number:08}"), share))
        .collect();
    Heartbeat {
        instance: "front-1".to_owned(),
        incarnation: "life".to_owned(),
        sequence,
        said_at_ms: 12_345,
        address: ([10, 0, 0, 1], 7_000).into(),
        zone: "z1".to_owned(),
        core_millis: 120,
        has_relays: true,
        config_version: 3,
        config_age_ms: Some(20),
        list_revision: 90.into(),
        list_age_ms: None,
        can_read: true,
        addresses: vec![([10, 0, 0, 2], 7_000).into()],
        shares: shares.clone(),
        digest: Some(ZoneDigest {
            instances: 59,
            shares,
        }),
        said_leaving: vec![server("i-9")],
        evacuations: iristhread_core::AdvertisedEvacuations::default(),
        limits: Vec::new(),
        unreachable: vec![server("i-8")],
        suspects: Vec::new(),
        news: Vec::new(),
        cut_off: Vec::new(),
        totals: None,
        refused: Vec::new(),
        suspect_appendix: SuspectAppendix::default(),
    }
}

fn encoded(heartbeats: Vec<SealedHeartbeat>) -> Vec<u8> {
    let datagram = Datagram {
        pass_on: true,
        heartbeats,
    };
    datagram.encode().unwrap()
}

#[test]
fn a_heartbeat_survives_encoding_and_decoding() {
    let sent = heartbeat(7, 3);
    let bytes = encoded(vec![sent.seal(&keyring('a')).unwrap()]);
    let datagram = Datagram::decode(&bytes).unwrap();
    assert!(datagram.pass_on);
    assert_eq!(datagram.heartbeats[0].open(&keyring('a')), Ok(sent));
}

#[test]
fn services_without_a_path_survive_encoding_and_cost_nothing_otherwise() {
    let calm = heartbeat(7, 3);
    let without_path = Heartbeat {
        cut_off: vec!["engines".to_owned()],
        ..calm.clone()
    };
    let sealed = without_path.seal(&keyring('a')).unwrap();
    assert_eq!(sealed.open(&keyring('a')), Ok(without_path.clone()));
    // The name, its length and the number of names: an earlier version ignores them.
    let calm = calm.seal(&keyring('a')).unwrap();
    assert_eq!(sealed.size_bytes(), calm.size_bytes() + 9);
}

/// Instances that don't know the totals must read the rest of the heartbeat.
#[test]
fn totals_survive_encoding_and_cost_nothing_otherwise() {
    let calm = heartbeat(7, 3);
    let with_totals = Heartbeat {
        totals: Some(Totals {
            seeking_tokens: [("engines".to_owned(), 9)].into(),
            ..Totals::default()
        }),
        ..calm.clone()
    };
    let sealed = with_totals.seal(&keyring('a')).unwrap();
    assert_eq!(sealed.open(&keyring('a')), Ok(with_totals));
    // No service without a path, two empty maps, and a map of one name and number.
    let calm = calm.seal(&keyring('a')).unwrap();
    assert_eq!(sealed.size_bytes(), calm.size_bytes() + 13);
}

/// An instance that knows the totals but not the refused contents must read the rest. One that
/// knows them must not take totals that precede them in the encoding for those of the sender.
#[test]
fn refused_contents_survive_encoding_and_cost_nothing_otherwise() {
    let calm = heartbeat(7, 3);
    let refused = vec![AdvertisedRefusal {
        content: 3,
        age_ms: 20,
        valid_ms: 100,
    }];
    let with_refusals = Heartbeat {
        refused: refused.clone(),
        ..calm.clone()
    };
    let sealed = with_refusals.seal(&keyring('a')).unwrap();
    assert_eq!(sealed.open(&keyring('a')), Ok(with_refusals));
    // No service without a path, three empty maps, the flag, and one refusal.
    let size = calm.seal(&keyring('a')).unwrap().size_bytes();
    assert_eq!(sealed.size_bytes(), size + 9);
    let with_all = Heartbeat {
        totals: Some(Totals::default()),
        cut_off: vec!["engines".to_owned()],
        refused,
        ..calm
    };
    let sealed = with_all.seal(&keyring('a')).unwrap();
    assert_eq!(sealed.open(&keyring('a')), Ok(with_all));
}

fn suspect(
    quarantine: Option<AdvertisedQuarantine>,
    part: Option<AdvertisedPart>,
) -> AdvertisedSuspect {
    AdvertisedSuspect {
        fingerprint: Fingerprint::default(),
        ends: vec![AdvertisedCrash { life: 4, age_ms: 9 }],
        proof_age_ms: None,
        quarantine,
        part,
    }
}

fn with_suspects(suspects: Vec<AdvertisedSuspect>) -> Heartbeat {
    let (suspects, suspect_appendix) = SuspectAppendix::divide(suspects);
    Heartbeat {
        suspects,
        suspect_appendix,
        ..heartbeat(7, 3)
    }
}

/// An instance that knows neither quarantines nor parts of prompts must read the contents and the
/// rest.
#[test]
fn parts_and_quarantines_survive_encoding_and_cost_nothing_otherwise() {
    let calm = with_suspects(vec![suspect(None, None), suspect(None, None)]);
    assert!(calm.suspect_appendix.is_empty());
    let size = calm.seal(&keyring('a')).unwrap().size_bytes();
    let quarantine = AdvertisedQuarantine { bursts: 2, life: 4 };
    let part = AdvertisedPart {
        is_in_fleet: false,
        position: 1,
        sources: vec![7],
    };
    let all = vec![
        suspect(None, None),
        suspect(Some(quarantine), None),
        suspect(Some(quarantine), Some(part)),
    ];
    let told = with_suspects(all.clone());
    let sealed = told.seal(&keyring('a')).unwrap();
    let heard = sealed.open(&keyring('a')).unwrap();
    assert_eq!(heard.suspect_appendix.join(heard.suspects), all);
    // No service without a path, three empty maps, the flag and no refusal; one part of ten
    // bytes and two quarantines of three.
    assert_eq!(sealed.size_bytes(), size + 6 + 1 + 10 + 1 + 2 * 3);
}

#[test]
fn a_heartbeat_of_another_fleet_is_rejected() {
    let sealed = heartbeat(7, 3).seal(&keyring('a')).unwrap();
    assert_eq!(sealed.open(&keyring('b')), Err(HeartbeatFault::Forged));
}

/// The signature covers every byte of a heartbeat, and a datagram truncated at any byte can't be
/// decoded.
#[test]
fn a_changed_or_truncated_datagram_gives_no_heartbeat() {
    let bytes = encoded(vec![heartbeat(7, 3).seal(&keyring('a')).unwrap()]);
    for index in 0..bytes.len() {
        assert!(
            Datagram::decode(&bytes[..index]).is_err(),
            "truncated at {index}"
        );
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        let opened = Datagram::decode(&changed).map(|datagram| {
            let heartbeats = datagram.heartbeats.iter();
            heartbeats
                .filter_map(|h| h.open(&keyring('a')).ok())
                .count()
        });
        // The first byte is the flag `pass_on`, which no signature covers.
        assert!(index == 0 || matches!(opened, Ok(0) | Err(_)), "at {index}");
    }
}

proptest! {
    /// Arbitrary bytes never cause a panic.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(datagram) = Datagram::decode(&bytes) {
            for heartbeat in datagram.heartbeats {
                assert!(heartbeat.open(&keyring('a')).is_err());
            }
        }
    }
}

#[tokio::test]
async fn a_relay_forwards_each_heartbeat_once_and_in_order() {
    let relay = HeartbeatRelay::default();
    for sequence in 0..200 {
        relay.push(heartbeat(sequence, 8).seal(&keyring('a')).unwrap());
    }
    relay.arrival().await;
    let datagrams = relay.take();
    assert!(datagrams.len() > 1);
    assert!(datagrams.iter().all(|datagram| datagram.len() <= 12_100));
    let heartbeats = datagrams.iter().flat_map(|bytes| {
        let datagram = Datagram::decode(bytes).unwrap();
        assert!(
            !datagram.pass_on,
            "heartbeats would be forwarded in circles"
        );
        datagram.heartbeats
    });
    let sequences = heartbeats.map(|h| h.open(&keyring('a')).unwrap().sequence);
    assert!(sequences.eq(0..200));
    assert!(relay.take().is_empty());
}

#[test]
fn a_full_relay_queue_keeps_the_latest_heartbeats() {
    let relay = HeartbeatRelay::default();
    for sequence in 0..2_100 {
        relay.push(heartbeat(sequence, 0).seal(&keyring('a')).unwrap());
    }
    let datagrams = relay.take();
    let first = Datagram::decode(&datagrams[0])
        .unwrap()
        .heartbeats
        .remove(0);
    assert_eq!(first.open(&keyring('a')).unwrap().sequence, 100);
}
