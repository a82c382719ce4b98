//! The times that the answers of a reader's watches confirm.

use std::time::Duration;

use iristhread_core::Now;
use iristhread_core::WatchCycle;

const fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// Guards against advertising stale state as new: a reader was suspended before it handled an
/// answer.
#[test]
fn an_answer_handled_late_confirms_the_time_it_was_given() {
    let mut cycle = WatchCycle::default();
    let quiet_for = Some(ms(1_000));
    assert_eq!(cycle.answered(ms(500), quiet_for, ms(9_000)), ms(1_500));
    assert_eq!(cycle.answered(ms(9_000), None, ms(19_000)), ms(9_000));
}

#[test]
fn an_answer_before_the_end_of_the_wait_confirms_the_start_of_the_call() {
    let mut cycle = WatchCycle::default();
    assert_eq!(cycle.answered(ms(500), Some(ms(1_000)), ms(700)), ms(500));
}

#[test]
fn the_confirmed_time_never_decreases() {
    let mut cycle = WatchCycle::default();
    cycle.answered(ms(2_000), None, ms(2_010));
    assert_eq!(
        cycle.answered(ms(1_000), Some(ms(500)), ms(2_020)),
        ms(2_000)
    );
}

/// Guards against confirmations that are two watches old, after a change just before the end of
/// a watch.
#[test]
fn a_watch_after_a_change_ends_when_the_previous_one_would_have() {
    let mut cycle = WatchCycle::default();
    assert_eq!(cycle.next_wait(ms(0)), ms(100), "nothing is confirmed yet");
    cycle.answered(ms(0), None, ms(900));
    assert_eq!(
        cycle.next_wait(ms(900)),
        ms(200),
        "with the gap between two watches"
    );
    cycle.answered(ms(900), Some(ms(200)), ms(1_100));
    assert_eq!(cycle.next_wait(ms(1_100)), ms(1_000));
    assert_eq!(cycle.next_wait(ms(9_000)), ms(100), "never too short");
}
