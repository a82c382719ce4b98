//! Order of the events of a stream that one engine after another generates.

use iristhread_core::EventOrder;
use iristhread_core::EventVerdict;
use iristhread_core::EventVerdict::Deliver;
use iristhread_core::EventVerdict::Missing;
use iristhread_core::EventVerdict::Repeated;
use test_case::test_case;

/// IDs from the first engine, IDs from the engine that continues, and the expected verdicts on the
/// latter.
#[test_case(&[1, 2, 3], &[4, 5], &[Deliver, Deliver]; "continues with the next id")]
#[test_case(&[1, 2, 3], &[2, 3, 4], &[Repeated, Repeated, Deliver]; "repeats some events")]
#[test_case(&[1, 2, 3], &[5], &[Missing]; "skips one event")]
#[test_case(&[1, 2, 3], &[3, 5], &[Repeated, Missing]; "repeats one and skips one event")]
#[test_case(&[10, 20, 30], &[40], &[Deliver]; "ids grow by ten")]
#[test_case(&[10, 20, 30], &[50], &[Missing]; "skips one id in steps of ten")]
#[test_case(&[1, 4, 5], &[9], &[Deliver]; "ids grow unevenly")]
#[test_case(&[1], &[2], &[Deliver]; "after one event")]
#[test_case(&[], &[1, 2], &[Deliver, Deliver]; "before the first event")]
fn a_continued_stream(first: &[u64], then: &[u64], expected: &[EventVerdict]) {
    let mut order = EventOrder::default();
    for id in first {
        assert_eq!(order.next(Some(*id)), Deliver);
    }
    order.resume();
    let verdicts: Vec<EventVerdict> = then.iter().map(|id| order.next(Some(*id))).collect();
    assert_eq!(verdicts, expected);
}

#[test]
fn ids_of_a_single_engine_may_grow_unevenly() {
    let mut order = EventOrder::default();
    for id in [1, 2, 7, 8] {
        assert_eq!(order.next(Some(id)), Deliver);
    }
    assert_eq!(order.next(Some(8)), Repeated);
    assert_eq!(order.next(None), Deliver);
    assert_eq!(order.last(), 8);
}

/// Last event that the caller holds, IDs from the engine, and the expected verdicts.
#[test_case(25, &[26, 27], &[Deliver, Deliver]; "the engine continues")]
#[test_case(25, &[1, 2, 25, 26], &[Repeated, Repeated, Repeated, Deliver]; "the engine starts over")]
#[test_case(0, &[1, 2], &[Deliver, Deliver]; "the caller holds nothing")]
fn a_caller_that_reconnects(held: u64, ids: &[u64], expected: &[EventVerdict]) {
    let mut order = EventOrder::after(held);
    assert_eq!(order.last(), held);
    let verdicts: Vec<EventVerdict> = ids.iter().map(|id| order.next(Some(*id))).collect();
    assert_eq!(verdicts, expected);
}
