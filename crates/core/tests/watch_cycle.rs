//! What the answers of a reader's watches prove.

use std::time::Duration;

use iristhread_core::Now;
use iristhread_core::WatchCycle;

const fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

/// A reader that stood still before it handled an answer told old knowledge as new.
#[test]
fn an_answer_that_is_handled_late_confirms_nothing_later() {
    let mut cycle = WatchCycle::default();
    let quiet_for = Some(ms(1_000));
    assert_eq!(cycle.answered(ms(500), quiet_for, ms(9_000)), ms(1_500));
    assert_eq!(cycle.answered(ms(9_000), None, ms(19_000)), ms(9_000));
}

#[test]
fn an_answer_that_comes_before_the_wait_is_over_confirms_its_call() {
    let mut cycle = WatchCycle::default();
    assert_eq!(cycle.answered(ms(500), Some(ms(1_000)), ms(700)), ms(500));
}

#[test]
fn what_is_confirmed_never_gets_older() {
    let mut cycle = WatchCycle::default();
    cycle.answered(ms(2_000), None, ms(2_010));
    assert_eq!(
        cycle.answered(ms(1_000), Some(ms(500)), ms(2_020)),
        ms(2_000)
    );
}

/// Changes just before the end of a watch would else let knowledge grow two watches old.
#[test]
fn a_watch_after_changes_ends_when_the_one_before_would_have() {
    let mut cycle = WatchCycle::default();
    assert_eq!(cycle.next_wait(ms(0)), ms(100), "nothing is confirmed yet");
    cycle.answered(ms(0), None, ms(900));
    assert_eq!(
        cycle.next_wait(ms(900)),
        ms(200),
        "with the pause between two"
    );
    cycle.answered(ms(900), Some(ms(200)), ms(1_100));
    assert_eq!(cycle.next_wait(ms(1_100)), ms(1_000));
    assert_eq!(cycle.next_wait(ms(9_000)), ms(100), "never too short");
}
