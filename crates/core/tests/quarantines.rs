//! Quarantines of poison requests: what may end them, and that all instances agree on their end.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::Fingerprint;
use iristhread_core::IncarnationId;
use iristhread_core::Now;
use iristhread_core::PromptPart;
use iristhread_core::PromptParts;
use iristhread_core::ServerCrash;
use iristhread_core::SuspectedRequest;
use iristhread_core::Suspicions;
use iristhread_core::Verdict;
use test_case::test_case;

const START: Now = Duration::from_secs(100);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn content(number: u128) -> Fingerprint {
    Fingerprint {
        workspace: 1,
        content: number,
    }
}

/// Servers crash one after the other, 300 ms apart, while they run requests with a content.
fn crash(suspicions: &mut Suspicions, number: u128, lives: impl IntoIterator<Item = u64>) {
    for life in lives {
        crash_at(suspicions, number, life, START + ms(300 * life));
    }
}

fn crash_at(suspicions: &mut Suspicions, number: u128, life: IncarnationId, at: Now) {
    suspicions.server_ended(at, content(number), None, ServerCrash { life, at });
}

fn end_of(suspicions: &Suspicions, number: u128) -> Option<Now> {
    match suspicions.verdict(content(number)) {
        Verdict::Quarantined { until, .. } => Some(until),
        Verdict::Allowed => None,
    }
}

/// Guards against quarantines that ended at all instances at once, since a further crash of another
/// poison request explained the crash that both had in common.
#[test_case(2; "one crash in common")]
#[test_case(1; "two crashes in common")]
fn a_quarantine_stays_when_another_suspect_gets_worse(first_of_other: u64) {
    let mut suspicions = Suspicions::default();
    crash(&mut suspicions, 1, 0..3);
    crash(&mut suspicions, 2, first_of_other..first_of_other + 3);
    let before = end_of(&suspicions, 1);
    assert!(before.is_some() && end_of(&suspicions, 2).is_some());
    crash(&mut suspicions, 2, [20, 21]);
    assert_eq!(end_of(&suspicions, 1), before);
}

/// A request that was at no crash without the other one is released.
#[test]
fn a_quarantine_ends_when_another_suspect_explains_all_of_it() {
    let mut suspicions = Suspicions::default();
    crash(&mut suspicions, 1, 0..3);
    crash(&mut suspicions, 2, 0..3);
    assert!(end_of(&suspicions, 1).is_some());
    crash(&mut suspicions, 2, [20]);
    assert_eq!(end_of(&suspicions, 1), None);
    assert!(end_of(&suspicions, 2).is_some());
}

/// Guards against instances that started later and sent a request much sooner than the others, as
/// they hear only the latest crashes, and may lack the run by which the others judge them.
#[test_case(None; "no run went well")]
#[test_case(Some(START - ms(10_000)); "a run went well before")]
fn a_quarantine_ends_at_the_same_time_at_an_instance_that_has_just_started(good_at: Option<Now>) {
    let mut here = Suspicions::default();
    let early = [0, 1_000, 2_000].map(ms);
    let late = [0, 10, 20, 30, 40, 50, 60].map(|late| ms(9_000 + late));
    for (life, after) in early.into_iter().chain(late).enumerate() {
        let (life, at) = (life as u64, START + after);
        here.server_ended(at, content(1), good_at, ServerCrash { life, at });
    }
    let now = START + ms(11_000);
    let mut there = Suspicions::default();
    for told in here.told(now) {
        there.hear(now, None, &told);
    }
    assert!(end_of(&here, 1).is_some());
    assert_eq!(end_of(&there, 1), end_of(&here, 1));
    // Neither lengthens the other's as they go on telling each other.
    let before = end_of(&here, 1);
    for step in 1..100 {
        let now = now + ms(200 * step);
        for told in there.told(now) {
            here.hear(now + ms(5), None, &told);
        }
        for told in here.told(now + ms(5)) {
            there.hear(now + ms(10), None, &told);
        }
    }
    assert_eq!(end_of(&here, 1), before);
    assert_eq!(end_of(&there, 1), before);
}

/// A quarantine that another instance tells ends by the same good run as one's own.
#[test]
fn a_good_run_ends_a_quarantine_that_was_heard() {
    let (mut here, mut there) = (Suspicions::default(), Suspicions::default());
    crash(&mut here, 1, 0..4);
    let now = START + ms(2_000);
    for told in here.told(now) {
        there.hear(now, None, &told);
    }
    assert!(end_of(&there, 1).is_some());
    there.ran_well(now + ms(500), content(1));
    for told in there.told(now + ms(1_000)) {
        here.hear(now + ms(1_000), None, &told);
    }
    // What the first instance still tells is older than that run.
    for told in here.told(now + ms(1_100)) {
        there.hear(now + ms(1_100), None, &told);
    }
    assert_eq!(end_of(&here, 1), None);
    assert_eq!(end_of(&there, 1), None);
}

/// Servers crash one after the other under requests with a content, a shared part and a part of
/// their own. `good_at` is when a request with the content last ran well.
fn crash_prompts(
    suspicions: &mut Suspicions,
    good_at: Option<Now>,
    prompts: &[(u128, &str)],
) -> PromptPart {
    for (life, (number, own)) in (0..).zip(prompts) {
        let at = START + ms(300 * life);
        let parts = PromptParts::of(Some("one"), ["shared"], Some(own));
        let request = SuspectedRequest {
            fingerprint: content(*number),
            parts: &parts,
        };
        let good_at = |fingerprint| good_at.filter(|_| fingerprint == content(*number));
        suspicions.server_crashed_under(at, request, good_at, ServerCrash { life, at });
    }
    PromptPart::of(Some("one"), "shared")
}

/// Guards against a bad part that was not found, since the requests with it differed only in their
/// prompts, which no body holds.
#[test]
fn requests_with_one_body_and_other_prompts_share_a_bad_part() {
    let mut suspicions = Suspicions::default();
    let good_at = Some(START - ms(500));
    let prompts = [(1, "a"), (1, "b"), (1, "c")];
    let part = crash_prompts(&mut suspicions, good_at, &prompts);
    assert_ne!(suspicions.verdict(part.in_workspace), Verdict::Allowed);
    assert_eq!(end_of(&suspicions, 1), None);
}

/// A request that comes again is suspected itself, and not a part that others share with it.
#[test_case(&[(1, "a"), (1, "a"), (1, "a")])]
#[test_case(&[(1, "a"), (1, "a"), (1, "a"), (1, "a"), (1, "a")])]
#[test_case(&[(1, "a"), (1, "b"), (1, "c")]; "with another part of its own each time")]
fn the_parts_of_a_request_that_comes_again_are_not_suspected(prompts: &[(u128, &str)]) {
    let mut suspicions = Suspicions::default();
    let part = crash_prompts(&mut suspicions, None, prompts);
    assert!(end_of(&suspicions, 1).is_some());
    assert_eq!(suspicions.verdict(part.in_workspace), Verdict::Allowed);
    assert_eq!(suspicions.verdict(part.in_fleet), Verdict::Allowed);
}
