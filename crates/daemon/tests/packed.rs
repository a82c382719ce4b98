//! The compact encoding of state that peers send to each other.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::AdvertisedList;
use iristhread_core::Replica;
use iristhread_daemon::Packed;

fn list(count: usize) -> AdvertisedList {
    let replica = |number: usize| Replica {
        id: format!("i-{number:010x}"),
        born_ms: None,
        service: "engines".to_owned(),
        address: ([10, 1, (number >> 8) as u8, number as u8], 8_080).into(),
        availability_zone: "zone-one".to_owned(),
        slots: 24,
        leaving: number.is_multiple_of(2),
        warm_up: Duration::from_millis(number as u64),
    };
    AdvertisedList {
        above: 7.into(),
        revision: 9.into(),
        replicas: (0..count).map(replica).collect(),
        removed: vec!["gone".to_owned()],
        unusable: vec!["e-x".to_owned()],
        outage_ended_ms: Some(3),
    }
}

#[test]
fn a_packed_value_survives_encoding_and_decoding() {
    let sent = Packed(list(20));
    let text = serde_json::to_string(&sent).unwrap();
    let received: Packed<AdvertisedList> = serde_json::from_str(&text).unwrap();
    assert_eq!(received, sent);
}

#[test]
fn a_packed_list_takes_less_than_half_of_its_json() {
    let sent = list(3_000);
    let json = serde_json::to_string(&sent).unwrap();
    // The body of a signed message is a string, so its JSON is escaped once more.
    let quoted = serde_json::to_string(&json).unwrap();
    let packed = serde_json::to_string(&Packed(sent)).unwrap();
    assert!(
        packed.len() * 2 < quoted.len(),
        "{} and {}",
        packed.len(),
        quoted.len()
    );
}

#[test]
fn text_that_is_not_packed_is_rejected() {
    for text in ["\"%%%\"", "\"AAAA\"", "7"] {
        assert!(
            serde_json::from_str::<Packed<AdvertisedList>>(text).is_err(),
            "{text}"
        );
    }
}
