//! The delay of an instance's own path is distinguished from slow or silent servers.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use iristhread_core::Now;
use iristhread_core::PathDelay;
use test_case::test_case;

/// Delay from which on a path is slow.
const SLOW: Duration = Duration::from_millis(50);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Lets some servers of one zone answer one after the other, each after its time.
fn answer(path: &mut PathDelay, now: &mut Now, answers: &[(&str, u64)]) {
    for (server, took_ms) in answers {
        let began = *now;
        *now += ms(*took_ms);
        path.answered(*now, began, server, "z1");
    }
}

/// A path whose attempts took 5 ms.
fn fast_path() -> (PathDelay, Now) {
    let (mut path, mut now) = (PathDelay::default(), ms(1_000));
    answer(&mut path, &mut now, &[("a", 5), ("b", 5), ("c", 5)]);
    (path, now)
}

#[test]
fn a_delay_at_all_servers_is_the_path_s_own() {
    let (mut path, mut now) = fast_path();
    assert!(path.current(now) < SLOW);
    answer(
        &mut path,
        &mut now,
        &[("a", 90), ("b", 80), ("c", 95), ("a", 99)],
    );
    assert_eq!(path.current(now), ms(90));
    assert!(path.current(now) >= SLOW);
}

#[test]
fn a_slow_server_is_no_slow_path() {
    let (mut path, mut now) = fast_path();
    answer(
        &mut path,
        &mut now,
        &[("a", 90), ("a", 90), ("a", 90), ("a", 90)],
    );
    assert!(path.current(now) < SLOW);
    answer(&mut path, &mut now, &[("b", 5)]);
    assert!(path.current(now) < SLOW);
}

#[test]
fn a_distant_zone_is_no_slow_path() {
    let (mut path, mut now) = (PathDelay::default(), ms(1_000));
    answer(
        &mut path,
        &mut now,
        &[("a", 90), ("b", 91), ("c", 92), ("d", 90)],
    );
    assert!(path.current(now) < SLOW);
}

#[test]
fn attempts_that_nobody_answers_count_by_their_age() {
    let (mut path, now) = fast_path();
    let attempts = [0; 3].map(|_| path.began(now));
    assert!(path.current(now + ms(49)) < SLOW);
    assert!(path.current(now + ms(50)) >= SLOW);
    path.ended(attempts[0]);
    assert!(path.current(now + ms(50)) < SLOW);
}

#[test]
fn an_old_delay_is_forgotten() {
    let (mut path, mut now) = fast_path();
    answer(
        &mut path,
        &mut now,
        &[("a", 90), ("b", 90), ("a", 90), ("b", 90)],
    );
    assert!(path.current(now + ms(101)) < SLOW);
}

/// A cut of a fast path is known after the first timeout; a full link may stall for longer.
#[test_case(5, 0, false; "fast path")]
#[test_case(150, 1_999, true; "slow path, silent for less than 2 s")]
#[test_case(150, 2_000, false; "slow path, silent for longer")]
fn silence_is_explained_only_by_a_slow_path(took_ms: u64, silent_ms: u64, is_explained: bool) {
    let (mut path, mut now) = fast_path();
    let answers = ["a", "b", "a", "b"].map(|server| (server, took_ms));
    answer(&mut path, &mut now, &answers);
    assert_eq!(path.explains_silence(now + ms(silent_ms)), is_explained);
}

#[test]
fn attempts_on_a_slow_path_get_more_time() {
    let (mut path, mut now) = fast_path();
    assert_eq!(path.connect_timeout(now), ms(200));
    answer(
        &mut path,
        &mut now,
        &[("a", 105), ("b", 105), ("a", 105), ("b", 105)],
    );
    assert_eq!(path.connect_timeout(now), ms(400));
    assert_eq!(path.connect_timeout(now + ms(1_001)), ms(200));
}

/// Attempts at a server that has fallen silent took the places of requests to the others.
#[test]
fn a_silent_server_takes_no_room() {
    let (mut path, now) = fast_path();
    for _ in 0..100 {
        path.began(now);
    }
    let mut later = now + ms(60);
    assert!(!path.has_room(now + ms(40)));
    answer(&mut path, &mut later, &[("b", 5)]);
    assert!(path.has_room(later));
}
