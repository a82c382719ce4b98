//! A caller receives each position once, in order, and from one generation only.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::Cursor;
use iristhread_core::EndVerdict;
use iristhread_core::Keyring;
use iristhread_core::Session;
use iristhread_core::StallBound;
use iristhread_core::TextDigest;
use iristhread_core::TokenVerdict;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::prelude::prop_oneof;
use proptest::prelude::proptest;
use test_case::test_case;

const START: Duration = Duration::ZERO;

fn token(position: u32) -> String {
    format!("t{position} ")
}

fn session_after(tokens: u32) -> Session {
    let mut session = Session::new("g".to_owned(), START);
    session.begin_attempt(1, "e1".to_owned(), START);
    for position in 0..tokens {
        let verdict = session.token("g", 1, position, &token(position), START);
        assert_eq!(verdict, TokenVerdict::Deliver);
    }
    session
}

#[test_case("g", 1, 3, TokenVerdict::Deliver; "next")]
#[test_case("g", 1, 2, TokenVerdict::Duplicate; "delivered before")]
#[test_case("g", 1, 4, TokenVerdict::Gap; "one is missing")]
#[test_case("g", 0, 3, TokenVerdict::Foreign; "older attempt")]
#[test_case("g", 2, 3, TokenVerdict::Foreign; "attempt not begun")]
#[test_case("h", 1, 3, TokenVerdict::Foreign; "other generation")]
fn verdict_on_a_token_after_three(
    generation: &str,
    attempt: u32,
    position: u32,
    expected: TokenVerdict,
) {
    let mut session = session_after(3);
    let verdict = session.token(generation, attempt, position, "x", START);
    assert_eq!(verdict, expected);
}

#[test_case("g", 1, 3, EndVerdict::Complete; "all delivered")]
#[test_case("g", 1, 4, EndVerdict::Gap; "a token is missing")]
#[test_case("g", 0, 3, EndVerdict::Foreign; "older attempt")]
#[test_case("h", 1, 3, EndVerdict::Foreign; "other generation")]
fn verdict_on_an_end_mark_after_three(
    generation: &str,
    attempt: u32,
    total: u32,
    expected: EndVerdict,
) {
    assert_eq!(session_after(3).end(generation, attempt, total), expected);
}

#[test]
fn a_reconnecting_caller_receives_only_the_missing_tokens() {
    let cursor = session_after(3).cursor();
    let mut session = Session::resumed(&cursor, Vec::new(), START).unwrap();
    assert!(!session.can_continue());
    let verdicts: Vec<_> = (0..5)
        .map(|p| session.token("g", 1, p, &token(p), START))
        .collect();
    use TokenVerdict::Deliver;
    use TokenVerdict::Duplicate;
    assert_eq!(
        verdicts,
        [Duplicate, Duplicate, Duplicate, Deliver, Deliver]
    );
    assert!(session.can_continue());
}

#[test]
fn a_text_that_differs_when_read_again_is_detected() {
    let cursor = session_after(3).cursor();
    let mut session = Session::resumed(&cursor, Vec::new(), START).unwrap();
    session.token("g", 1, 0, "other", START);
    session.token("g", 1, 1, &token(1), START);
    assert_eq!(
        session.token("g", 1, 2, &token(2), START),
        TokenVerdict::Diverged
    );
}

#[test_case(vec![token(0), token(1), token(2)], true; "the delivered tokens")]
#[test_case(vec![token(0), token(1)], false; "one too few")]
#[test_case(vec![token(0), token(1), token(3)], false; "a different token")]
fn received_tokens_are_checked(received: Vec<String>, accepted: bool) {
    let cursor = session_after(3).cursor();
    assert_eq!(
        Session::resumed(&cursor, received, START).is_some(),
        accepted
    );
}

/// Messages that engines can send in any order.
#[derive(Clone, Debug)]
enum Arrival {
    Token { attempt: u32, position: u32 },
    Foreign { position: u32 },
    NextAttempt,
}

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let arrival = prop_oneof![
        8 => (0_u32..4, 0_u32..12).prop_map(|(attempt, position)| Arrival::Token { attempt, position }),
        1 => (0_u32..12).prop_map(|position| Arrival::Foreign { position }),
        1 => Just(Arrival::NextAttempt),
    ];
    prop::collection::vec(arrival, 0..120)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Delayed, duplicated, reordered and skipped tokens of any attempt.
    #[test]
    fn positions_are_delivered_consecutively_from_0(arrivals in arrivals()) {
        let mut session = Session::new("g".to_owned(), START);
        let mut delivered = Vec::new();
        for arrival in arrivals {
            let (generation, attempt, position) = match arrival {
                Arrival::Token { attempt, position } => ("g", attempt, position),
                Arrival::Foreign { position } => ("h", session.attempt(), position),
                Arrival::NextAttempt => {
                    let attempt = session.attempt() + 1;
                    session.begin_attempt(attempt, format!("e{attempt}"), START);
                    continue;
                }
            };
            let text = token(position);
            if session.token(generation, attempt, position, &text, START) == TokenVerdict::Deliver {
                prop_assert_eq!(attempt, session.attempt());
                delivered.push(text);
            }
        }
        let expected: Vec<String> = (0..session.known()).map(token).collect();
        prop_assert_eq!(&delivered, &expected);
        prop_assert_eq!(session.cursor().digest, TextDigest::of(&expected));
    }

    /// A change of any single character invalidates a cursor.
    #[test]
    fn a_modified_cursor_is_rejected(index in 0_usize..60, to in "[a-z0-9~]") {
        let keyring = Keyring::from_hex(&["07".repeat(32)]).unwrap();
        let text = session_after(3).cursor().encode("owner", &keyring);
        let index = index % text.len();
        let mut changed = text.clone();
        changed.replace_range(index..=index, &to);
        let decoded = Cursor::decode(&changed, "owner", &keyring);
        prop_assert_eq!(decoded.is_ok(), changed == text);
        prop_assert!(Cursor::decode(&text, "another owner", &keyring).is_err());
    }
}

#[test_case(&[10, 10, 10, 10], 500; "steady and fast: the minimum bound")]
#[test_case(&[60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60, 60], 1_100; "steady: 20 times the mean gap")]
#[test_case(&[900, 100, 900, 100, 900, 100], 5_000; "unsteady: the maximum bound")]
fn the_stall_bound_follows_the_pace(gaps_ms: &[u64], about_ms: u64) {
    let mut now = START;
    let mut bound = StallBound::new(now);
    bound.progress(now);
    for gap_ms in gaps_ms {
        now += Duration::from_millis(*gap_ms);
        bound.progress(now);
    }
    let bound_ms = bound.bound().as_millis() as u64;
    assert!(bound_ms.abs_diff(about_ms) <= about_ms / 5, "{bound_ms} ms");
}
