//! Connections wait briefly, the newest is read first, and those that wait for long are closed.

use std::time::Duration;

use iristhread_core::ConnectionQueue;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn connections_are_read_in_order() {
    let mut queue = ConnectionQueue::new(10);
    queue.push(ms(0), "first");
    queue.push(ms(1), "second");
    assert_eq!(queue.next(ms(39)), Some("first"));
    assert_eq!(queue.next(ms(40)), Some("second"));
    assert_eq!(queue.next(ms(40)), None);
}

#[test]
fn the_newest_is_read_first_when_connections_wait_for_long() {
    let mut queue = ConnectionQueue::new(10);
    queue.push(ms(0), "first");
    queue.push(ms(39), "second");
    assert_eq!(queue.next(ms(40)), Some("second"));
}

#[test]
fn what_waited_too_long_is_closed() {
    let mut queue = ConnectionQueue::new(10);
    queue.push(ms(0), "old");
    queue.push(ms(40), "new");
    (0..5).for_each(|_| queue.pass_over());
    assert!(queue.take_expired(ms(79)).is_empty());
    assert_eq!(queue.take_expired(ms(80)), ["old"]);
    assert_eq!(queue.next(ms(80)), Some("new"));
}

/// A few turns that took long are no overload.
#[test]
fn a_few_late_turns_close_nothing() {
    let mut queue = ConnectionQueue::new(10);
    queue.push(ms(0), "waiting");
    (0..4).for_each(|_| queue.pass_over());
    assert!(queue.take_expired(ms(300)).is_empty());
    assert_eq!(queue.next(ms(300)), Some("waiting"));
}

#[test]
fn a_full_queue_closes_the_oldest() {
    let mut queue = ConnectionQueue::new(2);
    assert_eq!(queue.push(ms(0), "first"), None);
    assert_eq!(queue.push(ms(1), "second"), None);
    assert_eq!(queue.push(ms(2), "third"), Some("first"));
}
