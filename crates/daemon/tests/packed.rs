//! What peers hand on is compact.
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
fn a_packed_value_comes_back() {
    let told = Packed(list(20));
    let text = serde_json::to_string(&told).unwrap();
    let back: Packed<AdvertisedList> = serde_json::from_str(&text).unwrap();
    assert_eq!(back, told);
}

#[test]
fn a_packed_list_takes_less_than_half_of_its_json() {
    let told = list(3_000);
    let json = serde_json::to_string(&told).unwrap();
    // In a signed message the text is quoted once more.
    let quoted = serde_json::to_string(&json).unwrap();
    let packed = serde_json::to_string(&Packed(told)).unwrap();
    assert!(
        packed.len() * 2 < quoted.len(),
        "{} and {}",
        packed.len(),
        quoted.len()
    );
}

#[test]
fn text_that_is_not_packed_is_refused() {
    for text in ["\"%%%\"", "\"AAAA\"", "7"] {
        assert!(
            serde_json::from_str::<Packed<AdvertisedList>>(text).is_err(),
            "{text}"
        );
    }
}
