//! Which observation of a server's limit applies: answers arrive out of order, and peers advertise
//! observations with a delay.
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

const INCARNATION: IncarnationId = 7;

const fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn server() -> ServerLife {
    ServerLife {
        id: "a".to_owned(),
        life: INCARNATION,
    }
}

fn per_s(rate: f64) -> RequestRate {
    RequestRate::from_per_s(rate)
}

/// Applies an answer that arrives at `at` to a request that was sent at `sent`.
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

/// The first answer arrived at 1,000 ms and declared 4 requests per second.
#[test_case(1_001, "", None; "an answer to a later request without a limit withdraws it")]
#[test_case(999, "", Some(4.0); "an answer to an earlier request may be older")]
#[test_case(1_001, "8", Some(8.0); "a later one may raise it")]
#[test_case(999, "8", Some(4.0); "an earlier one may not raise it")]
#[test_case(1_001, "2", Some(2.0); "a later one may lower it")]
#[test_case(999, "2", Some(2.0); "an earlier one may lower it")]
#[test_case(1_001, "0", Some(0.0); "zero is a limit")]
#[test_case(1_001, "many", Some(4.0); "an unparsable value changes nothing")]
fn a_second_answer(sent: u64, limit: &str, expected: Option<f64>) {
    let mut limits = limited_to(4.0);
    answer(&mut limits, sent, 1_200, limit);
    assert_eq!(limits.limit_of(INCARNATION), expected.map(per_s));
}

#[test_case("", None; "none")]
#[test_case("many", None; "an unparsable one")]
#[test_case("-1", None; "a negative one")]
#[test_case("4", Some(4.0); "one")]
fn a_first_answer(limit: &str, expected: Option<f64>) {
    let mut limits = ServerLimits::default();
    answer(&mut limits, 900, 1_000, limit);
    assert_eq!(limits.limit_of(INCARNATION), expected.map(per_s));
}

/// Only changes are advertised and logged.
#[test]
fn a_repeated_limit_is_no_change() {
    let mut limits = ServerLimits::default();
    let change = answer(&mut limits, 900, 1_000, "4");
    assert_eq!(change, Some(LimitChange::Limited(per_s(4.0))));
    assert_eq!(answer(&mut limits, 1_100, 1_200, "4"), None);
    let change = answer(&mut limits, 1_300, 1_400, "");
    assert_eq!(change, Some(LimitChange::Withdrawn));
    assert_eq!(answer(&mut limits, 1_500, 1_600, ""), None);
}

fn advertised(limit: Option<f64>, age_ms: u64) -> AdvertisedLimit {
    AdvertisedLimit {
        server: server(),
        limit: limit.map(per_s),
        age_ms,
    }
}

/// A peer advertises at 2,000 ms a limit that it observed `age_ms` earlier.
#[test_case(Some(2.0), 500, Some(2.0); "a later observation applies")]
#[test_case(Some(2.0), 1_500, Some(4.0); "an earlier one does not")]
#[test_case(None, 500, None; "a later withdrawal applies")]
#[test_case(None, 1_500, Some(4.0); "an earlier withdrawal does not")]
fn a_limit_advertised_by_a_peer(limit: Option<f64>, age_ms: u64, expected: Option<f64>) {
    let mut limits = limited_to(4.0);
    limits.apply_advertised(ms(2_000), &advertised(limit, age_ms), 0.5);
    assert_eq!(limits.limit_of(INCARNATION), expected.map(per_s));
}

/// Guards against two relays that refresh the age of one observation in turn: no withdrawal would
/// ever be later.
#[test]
fn relays_do_not_refresh_the_age_of_an_observation() {
    let (mut first, mut second) = (limited_to(4.0), ServerLimits::default());
    for round in 0..20 {
        let now = ms(1_500 + round * 500);
        for limit in first.told(now, true) {
            second.apply_advertised(now + ms(400), &limit, 0.5);
        }
        for limit in second.told(now + ms(400), true) {
            first.apply_advertised(now + ms(800), &limit, 0.5);
        }
    }
    let withdrawn = advertised(None, 0);
    for limits in [&mut first, &mut second] {
        limits.apply_advertised(ms(3_000), &withdrawn, 0.5);
        assert_eq!(limits.limit_of(INCARNATION), None);
    }
}

/// Only a relay forwards the limits that it received from peers.
#[test]
fn an_instance_advertises_its_own_observations() {
    let mut own = limited_to(4.0);
    assert_eq!(own.told(ms(1_500), false), [advertised(Some(4.0), 500)]);
    let mut received = ServerLimits::default();
    received.apply_advertised(ms(1_500), &advertised(Some(4.0), 500), 0.5);
    assert!(received.told(ms(1_500), false).is_empty());
    assert_eq!(received.told(ms(1_500), true).len(), 1);
}

/// Withdrawals are advertised for a limited time; many limits are advertised in rotation.
#[test]
fn advertised_limits_are_bounded() {
    let mut limits = ServerLimits::default();
    for life in 0..100 {
        let server = ServerLife {
            id: format!("s{life}"),
            life,
        };
        limits.heard(ms(1_000), &server, DeclaredLimit::parse("4"), ms(900), 0.5);
    }
    let mut incarnations = std::collections::BTreeSet::new();
    for heartbeat in 0..13 {
        let advertised = limits.told(ms(2_000 + heartbeat), false);
        assert!(advertised.len() <= 8);
        incarnations.extend(advertised.into_iter().map(|limit| limit.server.life));
    }
    assert_eq!(
        incarnations.len(),
        100,
        "all limits are advertised in rotation"
    );
    let mut withdrawn = limited_to(4.0);
    answer(&mut withdrawn, 1_100, 1_200, "");
    assert_eq!(withdrawn.told(ms(2_000), false).len(), 1);
    assert!(withdrawn.told(ms(60_000), false).is_empty());
}

#[test]
fn a_grant_covers_one_send_to_one_incarnation_within_a_second() {
    let mut limits = limited_to(4.0);
    limits.keep_grant(ms(1_000), "r1", INCARNATION);
    assert!(limits.consume_grant(ms(1_100), "r1", INCARNATION));
    assert!(
        !limits.consume_grant(ms(1_100), "r1", INCARNATION),
        "the grant is used up"
    );
    limits.keep_grant(ms(1_000), "r2", INCARNATION);
    assert!(!limits.consume_grant(ms(1_100), "r2", INCARNATION + 1));
    limits.keep_grant(ms(1_000), "r3", INCARNATION);
    assert!(
        !limits.consume_grant(ms(2_500), "r3", INCARNATION),
        "the grant has expired"
    );
}

/// The limit of an incarnation is removed after it; during an outage of the list the incarnation
/// may be listed again.
#[test]
fn an_incarnation_that_is_long_gone_is_removed() {
    let mut limits = limited_to(4.0);
    limits.expire(ms(30_000), |_| false);
    assert!(limits.has(INCARNATION));
    limits.expire(ms(100_000), |_| true);
    assert!(limits.has(INCARNATION), "the incarnation is listed");
    limits.expire(ms(100_000), |_| false);
    assert!(limits.is_empty());
}

/// Each refused caller is told a later time, up to a bound.
#[test]
fn refused_callers_receive_successive_turns() {
    let mut limits = limited_to(1.0);
    let others = RequestRate::ZERO;
    let mut turns = Vec::new();
    for number in 0..60 {
        let now = ms(2_000 + number * 50);
        if !limits.request_grant(now, INCARNATION, others) {
            let left = limits.time_until_turn(now, INCARNATION, others).unwrap();
            limits.reserve_turn(now, INCARNATION, left);
            turns.push((now + left, left));
        }
    }
    let same = turns.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    assert_eq!(same.count(), 0, "{turns:?}");
    let bound = Duration::from_secs(5);
    assert!(turns.iter().all(|(_, left)| *left <= bound), "{turns:?}");
}
