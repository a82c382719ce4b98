//! Notices in the answers of backend servers, and how malformed values are parsed.

use std::time::Duration;

use iristhread_core::DeclaredLimit;
use iristhread_core::RequestRate;
use iristhread_core::RetryAfter;
use iristhread_core::ServerNotice;
use test_case::test_case;

const DAY: Duration = Duration::from_secs(86_400);

#[test_case("3", RetryAfter::In(Duration::from_secs(3)); "whole seconds")]
#[test_case(" 0.25 ", RetryAfter::In(Duration::from_millis(250)); "a fraction with spaces")]
#[test_case("0", RetryAfter::In(Duration::ZERO); "zero")]
#[test_case("1e300", RetryAfter::In(DAY); "a number above any duration")]
#[test_case("99999999999999999999", RetryAfter::In(DAY); "a number above any integer")]
#[test_case("inf", RetryAfter::Unreadable; "infinity")]
#[test_case("NaN", RetryAfter::Unreadable; "not a number")]
#[test_case("-1", RetryAfter::Unreadable; "a negative number")]
#[test_case("", RetryAfter::Unreadable; "nothing")]
#[test_case("soon", RetryAfter::Unreadable; "a word")]
#[test_case("3 s", RetryAfter::Unreadable; "a unit")]
#[test_case("Wed, 21 Oct 2026 07:28:00 GMT", RetryAfter::Unreadable; "a date")]
fn retry_after_is_parsed(text: &str, expected: RetryAfter) {
    assert_eq!(RetryAfter::parse(text), expected);
}

/// Only a rejection requests a backoff; one of zero length is none.
#[test_case(503, Some("2"), Some(Duration::from_secs(2)); "rejected")]
#[test_case(429, Some("2"), Some(Duration::from_secs(2)); "too many requests")]
#[test_case(200, Some("2"), None; "answered")]
#[test_case(500, Some("2"), None; "failed")]
#[test_case(421, Some("2"), None; "misdirected request")]
#[test_case(503, Some("0"), None; "zero length")]
#[test_case(503, Some("soon"), None; "unreadable")]
#[test_case(503, None, None; "no value")]
fn the_requested_backoff(status: u16, retry_after: Option<&str>, expected: Option<Duration>) {
    let notice = ServerNotice::of(status, false, retry_after, None);
    assert_eq!(notice.rest(), expected);
}

#[test]
fn draining_is_announced_with_any_status() {
    for status in [200, 404, 500, 503] {
        assert!(ServerNotice::of(status, true, None, None).is_leaving);
    }
    assert!(ServerNotice::of(200, false, None, None).is_empty());
}

/// A limit that can't be parsed is ignored.
#[test_case("4", Some(4.0); "whole requests")]
#[test_case(" 2.7 ", Some(2.7); "a fraction with spaces")]
#[test_case("0", Some(0.0); "nothing")]
#[test_case("0.0004", Some(0.0); "less than one request in 1,000 s")]
#[test_case("1e300", Some(1e6); "a number above the capacity of any server")]
#[test_case("-4", None; "a negative number")]
#[test_case("NaN", None; "not a number")]
#[test_case("inf", None; "infinity")]
#[test_case("", None; "empty")]
#[test_case("many", None; "a word")]
#[test_case("4/s", None; "a unit")]
fn a_declared_limit_is_parsed(text: &str, expected: Option<f64>) {
    let limit = DeclaredLimit::parse(text);
    assert_eq!(limit.rate(), expected.map(RequestRate::from_per_s));
    assert_eq!(limit == DeclaredLimit::Unreadable, expected.is_none());
}

#[test]
fn a_limit_is_declared_with_any_status() {
    for status in [200, 404, 500, 503] {
        let notice = ServerNotice::of(status, false, None, Some("4"));
        assert_eq!(notice.limit.rate(), Some(RequestRate::from_per_s(4.0)));
    }
}
