//! What answers say of their backend servers, and how odd times to come back are read.

use std::time::Duration;

use iristhread_core::RetryAfter;
use iristhread_core::ServerNotice;
use test_case::test_case;

const DAY: Duration = Duration::from_secs(86_400);

#[test_case("3", RetryAfter::In(Duration::from_secs(3)); "whole seconds")]
#[test_case(" 0.25 ", RetryAfter::In(Duration::from_millis(250)); "a fraction with blanks")]
#[test_case("0", RetryAfter::In(Duration::ZERO); "zero")]
#[test_case("1e300", RetryAfter::In(DAY); "a number past any duration")]
#[test_case("99999999999999999999", RetryAfter::In(DAY); "a number past any integer")]
#[test_case("inf", RetryAfter::Unreadable; "infinity")]
#[test_case("NaN", RetryAfter::Unreadable; "no number")]
#[test_case("-1", RetryAfter::Unreadable; "a negative number")]
#[test_case("", RetryAfter::Unreadable; "nothing")]
#[test_case("soon", RetryAfter::Unreadable; "a word")]
#[test_case("3 s", RetryAfter::Unreadable; "a unit")]
#[test_case("Wed, 21 Oct 2026 07:28:00 GMT", RetryAfter::Unreadable; "a date")]
fn a_time_to_come_back(text: &str, expected: RetryAfter) {
    assert_eq!(RetryAfter::parse(text), expected);
}

/// Only a refusal asks for rest; of no length it asks for nothing.
#[test_case(503, Some("2"), Some(Duration::from_secs(2)); "turned away")]
#[test_case(429, Some("2"), Some(Duration::from_secs(2)); "too many requests")]
#[test_case(200, Some("2"), None; "answered")]
#[test_case(500, Some("2"), None; "failed")]
#[test_case(421, Some("2"), None; "another server")]
#[test_case(503, Some("0"), None; "no length")]
#[test_case(503, Some("soon"), None; "unreadable")]
#[test_case(503, None, None; "no time")]
fn a_rest(status: u16, retry_after: Option<&str>, expected: Option<Duration>) {
    let notice = ServerNotice::of(status, false, retry_after);
    assert_eq!(notice.rest(), expected);
}

#[test]
fn a_server_that_leaves_says_so_with_any_status() {
    for status in [200, 404, 500, 503] {
        assert!(ServerNotice::of(status, true, None).is_leaving);
    }
    assert!(ServerNotice::of(200, false, None).is_empty());
}
