//! Which word on a server's limit is in force: answers overtake each other, and peers tell
//! what they heard a while ago.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::AdvertisedLimit;
use iristhread_core::DeclaredLimit;
use iristhread_core::IncarnationId;
use iristhread_core::LimitChange;
use iristhread_core::Now;
use iristhread_core::RequestRate;
use iristhread_core::ServerLife;
use iristhread_core::ServerLimits;
use test_case::test_case;

const LIFE: IncarnationId = 7;

const fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn server() -> ServerLife {
    ServerLife {
        id: "a".to_owned(),
        life: LIFE,
    }
}

fn per_s(rate: f64) -> RequestRate {
    RequestRate::from_per_s(rate)
}

/// An answer at `at` to a request that was sent at `sent`.
fn answer(limits: &mut ServerLimits, sent: u64, at: u64, limit: &str) -> Option<LimitChange> {
    let named = match limit {
        "" => DeclaredLimit::Absent,
        text => DeclaredLimit::parse(text),
    };
    limits.heard(ms(at), &server(), named, ms(sent), 0.5)
}

fn limited_to(rate: f64) -> ServerLimits {
    let mut limits = ServerLimits::default();
    answer(&mut limits, 900, 1_000, &rate.to_string());
    limits
}

/// The first answer came at 1,000 ms and named 4 a second.
#[test_case(1_001, "", None; "an answer to a later request that names none ends it")]
#[test_case(999, "", Some(4.0); "an answer to an earlier request may be older")]
#[test_case(1_001, "8", Some(8.0); "a later one may allow more")]
#[test_case(999, "8", Some(4.0); "an earlier one may not")]
#[test_case(1_001, "2", Some(2.0); "a later one may allow less")]
#[test_case(999, "2", Some(2.0); "and so may an earlier one")]
#[test_case(1_001, "0", Some(0.0); "nothing at all is a limit")]
#[test_case(1_001, "many", Some(4.0); "what can't be read changes nothing")]
fn a_second_answer(sent: u64, limit: &str, expected: Option<f64>) {
    let mut limits = limited_to(4.0);
    answer(&mut limits, sent, 1_200, limit);
    assert_eq!(limits.limit_of(LIFE), expected.map(per_s));
}

#[test_case("", None; "none")]
#[test_case("many", None; "one that can't be read")]
#[test_case("-1", None; "a negative one")]
#[test_case("4", Some(4.0); "one")]
fn a_first_answer(limit: &str, expected: Option<f64>) {
    let mut limits = ServerLimits::default();
    answer(&mut limits, 900, 1_000, limit);
    assert_eq!(limits.limit_of(LIFE), expected.map(per_s));
}

/// Only changes are told and logged.
#[test]
fn the_same_limit_once_more_is_no_change() {
    let mut limits = ServerLimits::default();
    let change = answer(&mut limits, 900, 1_000, "4");
    assert_eq!(change, Some(LimitChange::Limited(per_s(4.0))));
    assert_eq!(answer(&mut limits, 1_100, 1_200, "4"), None);
    let change = answer(&mut limits, 1_300, 1_400, "");
    assert_eq!(change, Some(LimitChange::Withdrawn));
    assert_eq!(answer(&mut limits, 1_500, 1_600, ""), None);
}

fn told(limit: Option<f64>, age_ms: u64) -> AdvertisedLimit {
    AdvertisedLimit {
        server: server(),
        limit: limit.map(per_s),
        age_ms,
    }
}

/// A peer tells at 2,000 ms what it heard a while before.
#[test_case(Some(2.0), 500, Some(2.0); "what it heard later counts")]
#[test_case(Some(2.0), 1_500, Some(4.0); "what it heard earlier does not")]
#[test_case(None, 500, None; "that there is none any more")]
#[test_case(None, 1_500, Some(4.0); "that there was none before")]
fn a_peer_tells(limit: Option<f64>, age_ms: u64, expected: Option<f64>) {
    let mut limits = limited_to(4.0);
    limits.apply_advertised(ms(2_000), &told(limit, age_ms), 0.5);
    assert_eq!(limits.limit_of(LIFE), expected.map(per_s));
}

/// Each would take it for younger than the other, and no withdrawal would ever be later.
#[test]
fn a_word_that_two_relays_tell_each_other_gets_no_younger() {
    let (mut first, mut second) = (limited_to(4.0), ServerLimits::default());
    for round in 0..20 {
        let now = ms(1_500 + round * 500);
        for told in first.told(now, true) {
            second.apply_advertised(now + ms(400), &told, 0.5);
        }
        for told in second.told(now + ms(400), true) {
            first.apply_advertised(now + ms(800), &told, 0.5);
        }
    }
    let withdrawn = told(None, 0);
    for limits in [&mut first, &mut second] {
        limits.apply_advertised(ms(3_000), &withdrawn, 0.5);
        assert_eq!(limits.limit_of(LIFE), None);
    }
}

/// What it heard of others only a relay passes on.
#[test]
fn an_instance_tells_what_it_was_told_itself() {
    let mut own = limited_to(4.0);
    assert_eq!(own.told(ms(1_500), false), [told(Some(4.0), 500)]);
    let mut heard = ServerLimits::default();
    heard.apply_advertised(ms(1_500), &told(Some(4.0), 500), 0.5);
    assert!(heard.told(ms(1_500), false).is_empty());
    assert_eq!(heard.told(ms(1_500), true).len(), 1);
}

/// Withdrawals are told for a while; limits by turns where there are many.
#[test]
fn what_is_told_is_bounded() {
    let mut limits = ServerLimits::default();
    for life in 0..100 {
        let server = ServerLife {
            id: format!("s{life}"),
            life,
        };
        limits.heard(ms(1_000), &server, DeclaredLimit::parse("4"), ms(900), 0.5);
    }
    let mut lives = std::collections::BTreeSet::new();
    for beat in 0..13 {
        let told = limits.told(ms(2_000 + beat), false);
        assert!(told.len() <= 8);
        lives.extend(told.into_iter().map(|told| told.server.life));
    }
    assert_eq!(lives.len(), 100, "all of them in turn");
    let mut withdrawn = limited_to(4.0);
    answer(&mut withdrawn, 1_100, 1_200, "");
    assert_eq!(withdrawn.told(ms(2_000), false).len(), 1);
    assert!(withdrawn.told(ms(60_000), false).is_empty());
}

#[test]
fn a_grant_is_for_one_send_to_one_life_and_for_a_second() {
    let mut limits = limited_to(4.0);
    limits.keep_grant(ms(1_000), "r1", LIFE);
    assert!(limits.consume_grant(ms(1_100), "r1", LIFE));
    assert!(!limits.consume_grant(ms(1_100), "r1", LIFE), "it is used");
    limits.keep_grant(ms(1_000), "r2", LIFE);
    assert!(!limits.consume_grant(ms(1_100), "r2", LIFE + 1));
    limits.keep_grant(ms(1_000), "r3", LIFE);
    assert!(
        !limits.consume_grant(ms(2_500), "r3", LIFE),
        "its process stood still"
    );
}

/// The limit of a life ends with it; while the list is lost it may be listed again.
#[test]
fn a_life_that_is_long_gone_is_forgotten() {
    let mut limits = limited_to(4.0);
    limits.expire(ms(30_000), |_| false);
    assert!(limits.has(LIFE));
    limits.expire(ms(100_000), |_| true);
    assert!(limits.has(LIFE), "it is listed");
    limits.expire(ms(100_000), |_| false);
    assert!(limits.is_empty());
}

/// Each caller that is refused is told a later time, up to a bound.
#[test]
fn callers_are_told_to_come_one_after_the_other() {
    let mut limits = limited_to(1.0);
    let others = RequestRate::ZERO;
    let mut told = Vec::new();
    for number in 0..60 {
        let now = ms(2_000 + number * 50);
        if !limits.request_grant(now, LIFE, others) {
            let left = limits.time_until_turn(now, LIFE, others).unwrap();
            limits.reserve_turn(now, LIFE, left);
            told.push((now + left, left));
        }
    }
    let same = told.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    assert_eq!(same.count(), 0, "{told:?}");
    let bound = Duration::from_secs(5);
    assert!(told.iter().all(|(_, left)| *left <= bound), "{told:?}");
}
