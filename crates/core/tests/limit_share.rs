//! The share of one instance in a limit that its server names for all of them together.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::EventRate;
use iristhread_core::LimitParameters;
use iristhread_core::LimitShare;
use iristhread_core::Now;
use iristhread_core::RequestRate;
use test_case::test_case;

const fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn per_s(rate: f64) -> RequestRate {
    RequestRate::from_per_s(rate)
}

/// Grants of a share that wishes ten times a second, from second 3 to 13.
fn granted(limit: f64, others: f64, earned: f64) -> usize {
    let mut share = LimitShare::new(ms(0), LimitParameters::default(), earned);
    let grants = (0..130).map(|number| {
        let now = ms(number * 100);
        let is_granted = share.request_grant(now, per_s(limit), per_s(others));
        now >= ms(3_000) && is_granted
    });
    grants.filter(|is_granted| *is_granted).count()
}

/// Seven tenths of a limit are handed out.
#[test_case(20.0, 0.0, 100..=100; "all of it is wanted, and less")]
#[test_case(5.0, 0.0, 33..=37; "alone")]
#[test_case(5.0, 30.0, 8..=10; "a quarter of all wishes")]
#[test_case(0.0, 0.0, 0..=2; "a limit of nothing is tried now and then")]
#[test_case(0.3, 0.0, 2..=3; "less than one a second")]
fn a_share_follows_demand(limit: f64, others: f64, expected: std::ops::RangeInclusive<usize>) {
    for earned in [0.0, 0.5, 0.99] {
        let granted = granted(limit, others, earned);
        assert!(expected.contains(&granted), "{granted} with {earned}");
    }
}

/// 300 instances that have asked for nothing for a long time each send their first: a token
/// bucket that has filled meanwhile would let all of them.
#[test]
fn nothing_is_saved_up_by_those_who_ask_for_nothing() {
    let limit = per_s(4.0);
    let shares = (0..300).map(|number| {
        let earned = f64::from(number) / 300.0;
        LimitShare::new(ms(0), LimitParameters::default(), earned)
    });
    // Each wishes once a minute, and tells the others.
    let others = per_s(5.0);
    let at = ms(600_000);
    let granted =
        shares.filter_map(|mut share| share.request_grant(at, limit, others).then_some(()));
    let granted = granted.count();
    assert!(granted <= 200, "{granted}");
    // The part of a wish that the limit is: 2.8 of 5.
    assert!(granted >= 140, "{granted}");
}

/// An instance that has just begun takes its first wishes for a rate.
#[test]
fn a_young_rate_is_neither_nothing_nor_a_flood() {
    let mut rate = EventRate::new(ms(0), ms(1_000));
    for number in 0..5 {
        rate.note(ms(number * 100));
    }
    let per_s = rate.per_s(ms(450));
    assert!((5.0..15.0).contains(&per_s), "{per_s}");
    assert!(rate.per_s(ms(20_000)) < 0.001);
}

/// The others go on with old shares until they hear of a burst.
#[test]
fn a_rise_of_wishes_is_news_and_steady_ones_are_not() {
    let mut share = LimitShare::new(ms(0), LimitParameters::default(), 0.0);
    let mut news = 0;
    for number in 0..100 {
        let now = ms(number * 100);
        share.request_grant(now, per_s(4.0), per_s(10.0));
        if share.is_news(now) {
            news += 1;
            share.tell(now);
        }
    }
    assert!(news <= 4, "{news}");
    for number in 0..30 {
        share.request_grant(ms(10_000 + number * 10), per_s(4.0), per_s(10.0));
    }
    assert!(share.is_news(ms(10_300)));
}
