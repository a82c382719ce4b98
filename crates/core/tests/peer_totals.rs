//! Sums of the totals that instances advertise.

use std::time::Duration;

use iristhread_core::AdvertisedTotals;
use iristhread_core::PeerTotals;
use iristhread_core::SpeedSample;
use iristhread_core::Totals;
use iristhread_core::WorkspaceUse;

const ZERO: Duration = Duration::ZERO;

fn totals(tokens: u64) -> Totals {
    let used = WorkspaceUse {
        running_tokens: tokens,
        waiting_tokens: 1,
    };
    let sample = SpeedSample {
        measured_ms: 20,
        expected_ms: 10,
    };
    Totals {
        speeds: [(7, sample)].into(),
        workspaces: [(("engines".to_owned(), "one".to_owned()), used)].into(),
        seeking_tokens: [("engines".to_owned(), tokens)].into(),
    }
}

fn advertised(instance: &str, zone: &str, tokens: u64, is_zone_sum: bool) -> AdvertisedTotals {
    AdvertisedTotals {
        instance: instance.to_owned(),
        zone: zone.to_owned(),
        totals: totals(tokens),
        is_zone_sum,
    }
}

fn seeking(peers: &mut PeerTotals) -> u64 {
    let tokens = peers.sums().seeking_tokens.get("engines");
    tokens.copied().unwrap_or_default()
}

/// Counting an instance both by itself and within the sums of its zone would double its figures.
#[test]
fn the_sums_of_a_zone_replace_its_instances() {
    let mut peers = PeerTotals::new("z1".to_owned());
    peers.apply(ZERO, advertised("i2", "z1", 10, false));
    peers.apply(ZERO, advertised("i3", "z2", 20, false));
    assert_eq!(seeking(&mut peers), 30);
    peers.apply(ZERO, advertised("i4", "z2", 500, true));
    assert_eq!(seeking(&mut peers), 510);
    assert_eq!(peers.sums().speeds[&7].measured_ms, 40);
}

/// The sums of the local zone contain this instance, which adds its own figures.
#[test]
fn the_sums_of_the_local_zone_are_not_counted() {
    let mut peers = PeerTotals::new("z1".to_owned());
    peers.apply(ZERO, advertised("i2", "z1", 10, false));
    peers.apply(ZERO, advertised("i2", "z1", 500, true));
    assert_eq!(seeking(&mut peers), 10);
    assert_eq!(peers.zone_sums(&totals(5)).seeking_tokens["engines"], 15);
}

/// The figures of an instance that has ended would keep memory from others for ever.
#[test]
fn the_totals_of_a_silent_instance_or_zone_expire() {
    let mut peers = PeerTotals::new("z1".to_owned());
    peers.apply(ZERO, advertised("i2", "z1", 10, false));
    peers.apply(Duration::from_secs(2), advertised("i3", "z2", 20, true));
    peers.expire(Duration::from_secs(4));
    assert_eq!(seeking(&mut peers), 20);
    peers.expire(Duration::from_secs(6));
    assert_eq!(seeking(&mut peers), 0);
}

/// Each placement triggers a heartbeat; with the totals in each, their bytes would multiply.
#[test]
fn totals_are_advertised_at_most_twice_a_second_and_once_when_they_become_empty() {
    let mut peers = PeerTotals::new("z1".to_owned());
    let empty = Totals::default();
    let ms = Duration::from_millis;
    assert!(!peers.is_advertisement_due(ZERO, &empty));
    assert!(peers.is_advertisement_due(ZERO, &totals(1)));
    assert!(!peers.is_advertisement_due(ms(400), &totals(2)));
    assert!(peers.is_advertisement_due(ms(600), &empty));
    assert!(!peers.is_advertisement_due(ms(1_200), &empty));
}
