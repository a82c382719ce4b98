//! Contents refused lately, as one instance knows them.

mod gateway_scene;

use std::time::Duration;

use gateway_scene::fingerprint;
use gateway_scene::ms;
use iristhread_core::AdvertisedRefusal;
use iristhread_core::RefusedContents;

const NOW: Duration = ms(10_000);

fn refusal(content: u64) -> AdvertisedRefusal {
    AdvertisedRefusal {
        content,
        age_ms: 100,
        valid_ms: 3_000,
    }
}

/// What an instance that refused `c` at `NOW` advertises, and that instance.
fn refuser() -> (RefusedContents, Vec<AdvertisedRefusal>) {
    let mut refuser = RefusedContents::default();
    refuser.refused_here(NOW, fingerprint("c"), ms(1_000));
    let told = refuser.told(NOW, false).own;
    (refuser, told)
}

/// Guards against contents that count as retries for ever.
#[test]
fn a_refusal_is_forgotten_after_the_time_to_come_back() {
    let (mut refuser, told) = refuser();
    let mut other = RefusedContents::default();
    other.apply_advertised(NOW, &told, false);
    for contents in [&mut refuser, &mut other] {
        contents.expire(NOW + ms(2_800));
        assert!(contents.contains(fingerprint("c")));
        assert!(!contents.contains(fingerprint("d")));
        contents.expire(NOW + ms(3_000));
        assert!(!contents.contains(fingerprint("c")));
        assert_eq!(contents.count(), 0);
    }
}

/// Guards against a late heartbeat that restores a content whose retry was served.
#[test]
fn a_served_content_stays_out() {
    let (_, told) = refuser();
    let mut other = RefusedContents::default();
    other.apply_advertised(NOW, &told, false);
    assert_eq!(other.count_due_elsewhere(NOW, NOW + ms(2_000)), 1);
    other.served(fingerprint("c"));
    other.apply_advertised(NOW + ms(200), &told, false);
    assert!(!other.contains(fingerprint("c")));
    assert_eq!(other.count_due_elsewhere(NOW, NOW + ms(2_000)), 0);
    // It was refused again, by another instance.
    other.apply_advertised(NOW + ms(1_500), &told, false);
    assert!(other.contains(fingerprint("c")));
}

/// Guards against heartbeats that repeat a refusal until it expires.
#[test]
fn a_refusal_is_advertised_three_times() {
    let (mut refuser, _) = refuser();
    assert_eq!(refuser.told(NOW + ms(200), false).own[0].age_ms, 200);
    assert_eq!(refuser.told(NOW + ms(400), false).own.len(), 1);
    assert!(refuser.told(NOW + ms(600), false).own.is_empty());
}

/// Guards against refusals that relays of two zones send each other in circles.
#[test]
fn a_relay_tells_other_zones_only_what_its_zone_refused() {
    let (_, told) = refuser();
    let mut relay = RefusedContents::default();
    relay.apply_advertised(NOW, &told, false);
    relay.apply_advertised(NOW, &[refusal(7)], true);
    let advertised = relay.told(NOW, true);
    assert!(advertised.own.is_empty());
    let contents: Vec<u64> = advertised.zone.iter().map(|r| r.content).collect();
    assert_eq!(contents, [told[0].content]);
    // An instance that is no relay tells neither.
    let mut other = RefusedContents::default();
    other.apply_advertised(NOW, &told, false);
    assert_eq!(other.told(NOW, false), Default::default());
}

/// Guards against memory that grows with forged or very many refusals.
#[test]
fn very_many_refusals_stay_bounded() {
    let mut contents = RefusedContents::default();
    let all: Vec<AdvertisedRefusal> = (0..100_000).map(refusal).collect();
    contents.apply_advertised(NOW, &all, false);
    assert_eq!(contents.count(), 64, "of one heartbeat");
    for part in all.chunks(64) {
        contents.apply_advertised(NOW, part, false);
    }
    assert_eq!(contents.count(), 4_096);
    assert_eq!(contents.told(NOW, true).zone.len(), 64);
    let forged = AdvertisedRefusal {
        content: 1,
        age_ms: u64::MAX,
        valid_ms: u64::MAX,
    };
    contents.apply_advertised(NOW, &[forged], false);
    contents.expire(NOW + ms(60_000));
    assert_eq!(contents.count(), 0);
}
