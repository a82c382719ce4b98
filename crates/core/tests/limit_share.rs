//! The share of one instance in a limit that a backend server declares for all instances.
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

/// Number of grants from second 3 to 13, at a demand of ten requests per second.
fn granted(limit: f64, others: f64, credit: f64) -> usize {
    let mut share = LimitShare::new(ms(0), LimitParameters::default(), credit);
    let grants = (0..130).map(|number| {
        let now = ms(number * 100);
        let is_granted = share.request_grant(now, per_s(limit), per_s(others));
        now >= ms(3_000) && is_granted
    });
    grants.filter(|is_granted| *is_granted).count()
}

/// Seven tenths of a limit are allocated.
#[test_case(20.0, 0.0, 100..=100; "demand below the limit")]
#[test_case(5.0, 0.0, 33..=37; "the only instance")]
#[test_case(5.0, 30.0, 8..=10; "a quarter of the total demand")]
#[test_case(0.0, 0.0, 0..=2; "a limit of zero is probed occasionally")]
#[test_case(0.3, 0.0, 2..=3; "less than one request per second")]
fn a_share_follows_demand(limit: f64, others: f64, expected: std::ops::RangeInclusive<usize>) {
    for credit in [0.0, 0.5, 0.99] {
        let granted = granted(limit, others, credit);
        assert!(expected.contains(&granted), "{granted} with {credit}");
    }
}

/// 300 instances that were idle for a long time each send one request: token buckets that filled
/// in the meantime would admit all of them.
#[test]
fn idle_instances_accumulate_no_credit() {
    let limit = per_s(4.0);
    let shares = (0..300).map(|number| {
        let credit = f64::from(number) / 300.0;
        LimitShare::new(ms(0), LimitParameters::default(), credit)
    });
    // Each instance sends one request per minute and advertises its demand.
    let others = per_s(5.0);
    let at = ms(600_000);
    let granted =
        shares.filter_map(|mut share| share.request_grant(at, limit, others).then_some(()));
    let granted = granted.count();
    assert!(granted <= 200, "{granted}");
    // The allocated part of the limit is 2.8 of a demand of 5 per second.
    assert!(granted >= 140, "{granted}");
}

/// A new instance derives a rate from its first requests.
#[test]
fn a_new_rate_is_neither_zero_nor_excessive() {
    let mut rate = EventRate::new(ms(0), ms(1_000));
    for number in 0..5 {
        rate.note(ms(number * 100));
    }
    let per_s = rate.per_s(ms(450));
    assert!((5.0..15.0).contains(&per_s), "{per_s}");
    assert!(rate.per_s(ms(20_000)) < 0.001);
}

/// The other instances use outdated shares until they receive the increased demand.
#[test]
fn only_a_rise_of_the_demand_is_advertised_immediately() {
    let mut share = LimitShare::new(ms(0), LimitParameters::default(), 0.0);
    let mut advertisements = 0;
    for number in 0..100 {
        let now = ms(number * 100);
        share.request_grant(now, per_s(4.0), per_s(10.0));
        if share.is_news(now) {
            advertisements += 1;
            share.tell(now);
        }
    }
    assert!(advertisements <= 4, "{advertisements}");
    for number in 0..30 {
        share.request_grant(ms(10_000 + number * 10), per_s(4.0), per_s(10.0));
    }
    assert!(share.is_news(ms(10_300)));
}
