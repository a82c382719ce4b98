//! Detection of poison requests, which crash the backend servers that run them: a poison request is
//! quarantined soon, and requests that only ran next to it are not.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::AdvertisedSuspect;
use iristhread_core::Fingerprint;
use iristhread_core::IncarnationId;
use iristhread_core::Now;
use iristhread_core::ServerCrash;
use iristhread_core::Suspicions;
use iristhread_core::Verdict;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use test_case::test_case;

const START: Now = Duration::from_secs(100);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn fingerprint(workspace: u64, content: u128) -> Fingerprint {
    Fingerprint { workspace, content }
}

/// The fingerprint of the poison request in most tests.
fn poison() -> Fingerprint {
    fingerprint(1, 1)
}

fn crash(suspicions: &mut Suspicions, target: Fingerprint, life: IncarnationId, at: Now) {
    suspicions.server_ended(at, target, None, ServerCrash { life, at });
}

/// A server crashes every 300 ms while it runs a request with a fingerprint.
fn crash_each(
    suspicions: &mut Suspicions,
    target: Fingerprint,
    incarnations: std::ops::Range<IncarnationId>,
) {
    for life in incarnations {
        crash(suspicions, target, life, START + ms(300 * life));
    }
}

fn is_allowed(suspicions: &Suspicions, target: Fingerprint) -> bool {
    suspicions.verdict(target) == Verdict::Allowed
}

/// Applies what one instance advertises at another.
fn advertise(now: Now, from: &mut Suspicions, to: &mut Suspicions) {
    for advertised in from.told(now) {
        to.hear(now, None, &advertised);
    }
}

#[test_case(0, true)]
#[test_case(1, true)]
#[test_case(2, true; "a session may be in two with its backup engine")]
#[test_case(3, false)]
#[test_case(30, false)]
fn few_crashes_are_tolerated(count: IncarnationId, is_sent: bool) {
    let mut suspicions = Suspicions::default();
    crash_each(&mut suspicions, poison(), 0..count);
    assert_eq!(is_allowed(&suspicions, poison()), is_sent);
    assert!(
        is_allowed(&suspicions, fingerprint(1, 2)),
        "another request"
    );
    assert!(
        is_allowed(&suspicions, fingerprint(2, 1)),
        "another workspace"
    );
}

#[test]
fn an_incarnation_crashes_once() {
    let mut suspicions = Suspicions::default();
    for step in 0..9 {
        crash(&mut suspicions, poison(), 7, START + ms(step * 400));
    }
    assert!(is_allowed(&suspicions, poison()));
}

/// Guards against the quarantine of an innocent session: it was involved in three crashes within 2 s,
/// since it failed over to backup engines that received the poison request next.
#[test]
fn a_request_next_to_a_poison_request_is_not_quarantined() {
    let mut suspicions = Suspicions::default();
    let innocent = fingerprint(2, 9);
    for life in 0..5 {
        crash(&mut suspicions, poison(), life, START + ms(300 * life));
        if (1..4).contains(&life) {
            crash(&mut suspicions, innocent, life, START + ms(300 * life));
        }
    }
    assert!(is_allowed(&suspicions, innocent));
    assert!(!is_allowed(&suspicions, poison()));
}

/// Identical requests run on many servers, which all crash when a zone loses power.
#[test_case(Some(START - ms(500)), 0, true; "ran recently, all crash at once")]
#[test_case(Some(START - ms(500)), 40, true; "ran recently, within a crash burst")]
#[test_case(Some(START - ms(500)), 300, false; "ran recently, one after the other")]
#[test_case(Some(START - ms(70_000)), 0, false; "ran long ago")]
#[test_case(None, 0, false; "never ran")]
fn identical_requests_on_many_servers(known_good_at: Option<Now>, apart_ms: u64, is_sent: bool) {
    let mut suspicions = Suspicions::default();
    for life in 0..6 {
        let at = START + ms(life * apart_ms);
        suspicions.server_ended(at, poison(), known_good_at, ServerCrash { life, at });
    }
    assert_eq!(is_allowed(&suspicions, poison()), is_sent);
}

#[test]
fn a_good_run_clears_a_suspect_at_all_instances() {
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    crash_each(&mut here, poison(), 0..4);
    let later = START + ms(2_000);
    advertise(later, &mut here, &mut there);
    assert!(!is_allowed(&there, poison()));
    here.ran_well(later + ms(100), poison());
    assert!(is_allowed(&here, poison()));
    // The other instance continues to advertise its outdated state.
    advertise(later + ms(1_000), &mut there, &mut here);
    assert!(is_allowed(&here, poison()), "outdated crashes are ignored");
    advertise(later + ms(1_000), &mut here, &mut there);
    assert!(is_allowed(&there, poison()));
}

/// Guards against a fault by which a forwarded good run appeared younger with each hop and cleared
/// later crashes.
#[test]
fn a_forwarded_good_run_clears_no_later_crashes() {
    let mut instances = [Suspicions::default(), Suspicions::default()];
    crash(&mut instances[0], poison(), 0, START);
    instances[0].ran_well(START + ms(10), poison());
    for life in 1..4 {
        crash(&mut instances[0], poison(), life, START + ms(300 * life));
    }
    let [here, there] = &mut instances;
    for step in 4..2_000 {
        let now = START + ms(300 * step);
        // The transit of each message takes 40 ms.
        for told in here.told(now) {
            there.hear(now + ms(40), None, &told);
        }
        for told in there.told(now + ms(50)) {
            here.hear(now + ms(90), None, &told);
        }
    }
    assert!(!is_allowed(here, poison()));
    assert!(!is_allowed(there, poison()));
}

#[test]
fn an_instance_that_starts_later_receives_the_suspects() {
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    crash_each(&mut here, poison(), 0..3);
    for step in 0..10 {
        here.told(START + ms(60_000 + step * 200));
    }
    for step in 10..20 {
        advertise(START + ms(60_000 + step * 200), &mut here, &mut there);
    }
    assert!(!is_allowed(&there, poison()));
}

#[test]
fn crashes_on_both_sides_of_a_partition_add_up() {
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    crash_each(&mut here, poison(), 0..2);
    crash_each(&mut there, poison(), 2..4);
    let healed = START + ms(20_000);
    advertise(healed, &mut here, &mut there);
    advertise(healed, &mut there, &mut here);
    assert!(!is_allowed(&here, poison()) && !is_allowed(&there, poison()));
}

#[test]
fn a_flooding_workspace_evicts_only_its_own_suspects() {
    let mut suspicions = Suspicions::default();
    crash_each(&mut suspicions, poison(), 0..2);
    let flooding = fingerprint(2, 0);
    crash_each(&mut suspicions, flooding, 10..12);
    for number in 1..5_000 {
        let at = START + ms(2_000 + number);
        crash(
            &mut suspicions,
            fingerprint(2, number.into()),
            100 + number,
            at,
        );
    }
    crash(&mut suspicions, poison(), 2, START + ms(9_000));
    assert!(!is_allowed(&suspicions, poison()));
    crash(&mut suspicions, flooding, 12, START + ms(9_000));
    assert!(
        !is_allowed(&suspicions, flooding),
        "weak suspects are evicted first"
    );
    assert!(
        suspicions.count() <= 65,
        "{} are stored",
        suspicions.count()
    );
}

#[test]
fn many_flooding_workspaces_stay_bounded() {
    let mut suspicions = Suspicions::default();
    for number in 0..20_000_u64 {
        let at = START + ms(number);
        crash(
            &mut suspicions,
            fingerprint(number % 400, number.into()),
            number,
            at,
        );
    }
    assert!(
        suspicions.count() <= 4_096,
        "{} are stored",
        suspicions.count()
    );
    assert!(suspicions.told(START + ms(20_000)).len() <= 12);
}

#[test]
fn a_quarantine_ends_and_grows_with_each_further_crash() {
    let mut suspicions = Suspicions::default();
    let mut until = Vec::new();
    for life in 0..20 {
        // The first three are one crash burst, which may have had another cause.
        let at = START + ms(1_000 * IncarnationId::saturating_sub(life, 2));
        crash(&mut suspicions, poison(), life, at);
        if let Verdict::Quarantined { until: end, .. } = suspicions.verdict(poison()) {
            until.push((end - at).as_secs());
        }
    }
    assert_eq!(until[..4], [5, 30, 180, 1_080]);
    assert_eq!(until.last(), Some(&3_600));
}

#[test]
fn suspects_expire() {
    let mut suspicions = Suspicions::default();
    crash_each(&mut suspicions, poison(), 0..3);
    crash_each(&mut suspicions, fingerprint(1, 2), 10..11);
    suspicions.expire(START + ms(1_000_000));
    assert_eq!(suspicions.count(), 1);
    suspicions.expire(START + ms(10_000_000));
    assert_eq!(suspicions.count(), 0);
}

/// Guards against a content that several instances send at one moment, again and again, since its ends
/// count once a burst.
#[test_case(2, false)]
#[test_case(3, true)]
#[test_case(9, true)]
fn what_ran_well_lately_is_sent_one_at_a_time_after_three_crashes(count: u64, is_single: bool) {
    let mut suspicions = Suspicions::default();
    for life in 0..count {
        let crash = ServerCrash { life, at: START };
        suspicions.server_ended(START, poison(), Some(START - ms(500)), crash);
    }
    assert!(is_allowed(&suspicions, poison()));
    assert_eq!(suspicions.last_chance(poison()).is_some(), is_single);
    suspicions.ran_well(START + ms(100), poison());
    assert_eq!(suspicions.last_chance(poison()), None);
}

/// Guards against ends that no other instance received, since a crowd of suspects left them no room in
/// heartbeats for as long as they were new.
#[test]
fn an_end_beside_a_crowd_of_suspects_is_advertised() {
    const CROWD: u128 = 60;
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    crash(&mut here, poison(), 0, START);
    for number in 0..CROWD {
        for life in 1..3 {
            crash(&mut here, fingerprint(2, number), life, START + ms(life));
        }
    }
    for step in 1..20 {
        advertise(START + ms(200 * step), &mut here, &mut there);
    }
    assert_eq!(there.standing(poison()).map(|(ends, _)| ends), Some(1));
}

proptest! {
    /// Instances that receive the same advertisements reach the same verdicts, in whatever order
    /// and however often these arrive.
    #[test]
    fn the_order_of_advertisements_does_not_matter(
        seen in prop::collection::vec((any::<bool>(), 0_u64..4, 0_u64..6), 0..24),
        rotation in 0_usize..24,
        repeats in 1_usize..3,
    ) {
        let advertisements: Vec<Vec<AdvertisedSuspect>> = seen.iter().map(|(proves, number, life)| {
            let mut suspicions = Suspicions::default();
            let target = fingerprint(1, u128::from(*number));
            let at = START + ms(500 * *life);
            crash(&mut suspicions, target, *life, at);
            if *proves {
                suspicions.ran_well(at + ms(250), target);
            }
            suspicions.told(START + ms(3_000))
        }).collect();
        let mut one = Suspicions::default();
        let mut other = Suspicions::default();
        for told in advertisements.iter().flatten() {
            one.hear(START + ms(3_000), None, told);
        }
        for _ in 0..repeats {
            let mut rotated: Vec<&AdvertisedSuspect> = advertisements.iter().flatten().collect();
            let places = rotation % rotated.len().max(1);
            rotated.rotate_left(places);
            for told in rotated.into_iter().rev() {
                other.hear(START + ms(3_000), None, told);
            }
        }
        for number in 0..4 {
            let target = fingerprint(1, number);
            assert_eq!(one.verdict(target), other.verdict(target));
        }
    }
}
