//! Which contents of requests are taken to end the backend servers that run them: the one
//! at fault soon, and none that was only beside it.
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

fn content(workspace: u64, content: u128) -> Fingerprint {
    Fingerprint { workspace, content }
}

/// The content at fault in most scenes.
fn at_fault() -> Fingerprint {
    content(1, 1)
}

fn ended(book: &mut Suspicions, content: Fingerprint, life: IncarnationId, at: Now) {
    book.server_ended(at, content, None, ServerCrash { life, at });
}

/// A server ends every 300 ms under a content.
fn ends(book: &mut Suspicions, content: Fingerprint, lives: std::ops::Range<IncarnationId>) {
    for life in lives {
        ended(book, content, life, START + ms(300 * life));
    }
}

fn is_free(book: &Suspicions, content: Fingerprint) -> bool {
    book.verdict(content) == Verdict::Allowed
}

/// Tells one book what another knows.
fn tell(now: Now, from: &mut Suspicions, to: &mut Suspicions) {
    for told in from.told(now) {
        to.hear(now, None, &told);
    }
}

#[test_case(0, true)]
#[test_case(1, true)]
#[test_case(2, true; "a session may be in two with its copy")]
#[test_case(3, false)]
#[test_case(30, false)]
fn so_many_ends_are_put_up_with(count: IncarnationId, is_sent: bool) {
    let mut book = Suspicions::default();
    ends(&mut book, at_fault(), 0..count);
    assert_eq!(is_free(&book, at_fault()), is_sent);
    assert!(is_free(&book, content(1, 2)), "another content");
    assert!(is_free(&book, content(2, 1)), "another workspace");
}

#[test]
fn one_life_ends_once() {
    let mut book = Suspicions::default();
    for step in 0..9 {
        ended(&mut book, at_fault(), 7, START + ms(step * 400));
    }
    assert!(is_free(&book, at_fault()));
}

/// Engines run many sessions: one was in three ends within two seconds, since it went on
/// at copies where the request at fault came next.
#[test]
fn what_was_beside_it_goes_on() {
    let mut book = Suspicions::default();
    let beside = content(2, 9);
    for life in 0..5 {
        ended(&mut book, at_fault(), life, START + ms(300 * life));
        if (1..4).contains(&life) {
            ended(&mut book, beside, life, START + ms(300 * life));
        }
    }
    assert!(is_free(&book, beside));
    assert!(!is_free(&book, at_fault()));
}

/// Requests that look alike are on many servers, which all end when a zone loses power.
#[test_case(Some(START - ms(500)), 0, true; "ran lately, all end at once")]
#[test_case(Some(START - ms(500)), 40, true; "ran lately, within a moment")]
#[test_case(Some(START - ms(500)), 300, false; "ran lately, one after the other")]
#[test_case(Some(START - ms(70_000)), 0, false; "ran long ago")]
#[test_case(None, 0, false; "never ran")]
fn alike_requests_on_many_servers(known_good_at: Option<Now>, apart_ms: u64, is_sent: bool) {
    let mut book = Suspicions::default();
    for life in 0..6 {
        let at = START + ms(life * apart_ms);
        book.server_ended(at, at_fault(), known_good_at, ServerCrash { life, at });
    }
    assert_eq!(is_free(&book, at_fault()), is_sent);
}

#[test]
fn what_runs_well_is_cleared_everywhere() {
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    ends(&mut here, at_fault(), 0..4);
    let later = START + ms(2_000);
    tell(later, &mut here, &mut there);
    assert!(!is_free(&there, at_fault()));
    here.ran_well(later + ms(100), at_fault());
    assert!(is_free(&here, at_fault()));
    // The other tells its older knowledge all the while.
    tell(later + ms(1_000), &mut there, &mut here);
    assert!(is_free(&here, at_fault()), "old ends come back");
    tell(later + ms(1_000), &mut here, &mut there);
    assert!(is_free(&there, at_fault()));
}

/// Ages of what was passed on once got younger with each hop.
#[test]
fn a_proof_that_is_passed_on_speaks_for_nothing_later() {
    let mut books = [Suspicions::default(), Suspicions::default()];
    ended(&mut books[0], at_fault(), 0, START);
    books[0].ran_well(START + ms(10), at_fault());
    for life in 1..4 {
        ended(&mut books[0], at_fault(), life, START + ms(300 * life));
    }
    let [here, there] = &mut books;
    for step in 4..2_000 {
        let now = START + ms(300 * step);
        // Each message is under way for 40 ms.
        for told in here.told(now) {
            there.hear(now + ms(40), None, &told);
        }
        for told in there.told(now + ms(50)) {
            here.hear(now + ms(90), None, &told);
        }
    }
    assert!(!is_free(here, at_fault()));
    assert!(!is_free(there, at_fault()));
}

#[test]
fn an_instance_that_starts_later_hears_of_it() {
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    ends(&mut here, at_fault(), 0..3);
    for step in 0..10 {
        here.told(START + ms(60_000 + step * 200));
    }
    for step in 10..20 {
        tell(START + ms(60_000 + step * 200), &mut here, &mut there);
    }
    assert!(!is_free(&there, at_fault()));
}

#[test]
fn ends_that_were_seen_on_both_sides_of_a_cut_count_together() {
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    ends(&mut here, at_fault(), 0..2);
    ends(&mut there, at_fault(), 2..4);
    let healed = START + ms(20_000);
    tell(healed, &mut here, &mut there);
    tell(healed, &mut there, &mut here);
    assert!(!is_free(&here, at_fault()) && !is_free(&there, at_fault()));
}

#[test]
fn a_workspace_that_floods_makes_only_its_own_be_forgotten() {
    let mut book = Suspicions::default();
    ends(&mut book, at_fault(), 0..2);
    let flooding = content(2, 0);
    ends(&mut book, flooding, 10..12);
    for number in 1..5_000 {
        let at = START + ms(2_000 + number);
        ended(&mut book, content(2, number.into()), 100 + number, at);
    }
    ended(&mut book, at_fault(), 2, START + ms(9_000));
    assert!(!is_free(&book, at_fault()));
    ended(&mut book, flooding, 12, START + ms(9_000));
    assert!(!is_free(&book, flooding), "slight suspicions go first");
    assert!(book.count() <= 65, "{} are kept", book.count());
}

#[test]
fn many_workspaces_that_flood_stay_bounded() {
    let mut book = Suspicions::default();
    for number in 0..20_000_u64 {
        let at = START + ms(number);
        ended(&mut book, content(number % 400, number.into()), number, at);
    }
    assert!(book.count() <= 4_096, "{} are kept", book.count());
    assert!(book.told(START + ms(20_000)).len() <= 12);
}

#[test]
fn a_quarantine_ends_and_grows_with_each_further_end() {
    let mut book = Suspicions::default();
    let mut until = Vec::new();
    for life in 0..20 {
        // The first three at one moment, which may have had another cause.
        let at = START + ms(1_000 * IncarnationId::saturating_sub(life, 2));
        ended(&mut book, at_fault(), life, at);
        if let Verdict::Quarantined { until: end, .. } = book.verdict(at_fault()) {
            until.push((end - at).as_secs());
        }
    }
    assert_eq!(until[..4], [5, 30, 180, 1_080]);
    assert_eq!(until.last(), Some(&3_600));
}

#[test]
fn suspicions_are_forgotten_in_time() {
    let mut book = Suspicions::default();
    ends(&mut book, at_fault(), 0..3);
    ends(&mut book, content(1, 2), 10..11);
    book.expire(START + ms(1_000_000));
    assert_eq!(book.count(), 1);
    book.expire(START + ms(10_000_000));
    assert_eq!(book.count(), 0);
}

proptest! {
    /// Whatever comes in whatever order, and however often: all that hear the same
    /// conclude the same.
    #[test]
    fn the_order_of_what_is_heard_does_not_matter(
        seen in prop::collection::vec((any::<bool>(), 0_u64..4, 0_u64..6), 0..24),
        rotation in 0_usize..24,
        repeats in 1_usize..3,
    ) {
        let tellers: Vec<Vec<AdvertisedSuspect>> = seen.iter().map(|(proves, number, life)| {
            let mut book = Suspicions::default();
            let what = content(1, u128::from(*number));
            let at = START + ms(500 * *life);
            ended(&mut book, what, *life, at);
            if *proves {
                book.ran_well(at + ms(250), what);
            }
            book.told(START + ms(3_000))
        }).collect();
        let mut one = Suspicions::default();
        let mut other = Suspicions::default();
        for told in tellers.iter().flatten() {
            one.hear(START + ms(3_000), None, told);
        }
        for _ in 0..repeats {
            let mut turned: Vec<&AdvertisedSuspect> = tellers.iter().flatten().collect();
            let places = rotation % turned.len().max(1);
            turned.rotate_left(places);
            for told in turned.into_iter().rev() {
                other.hear(START + ms(3_000), None, told);
            }
        }
        for number in 0..4 {
            let what = content(1, number);
            assert_eq!(one.verdict(what), other.verdict(what));
        }
    }
}
