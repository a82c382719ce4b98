//! How long ago a peer said what is handled now.

use std::time::Duration;

use iristhread_core::DelayEstimate;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Clocks of processes that began at other times, the peer's earlier or later.
#[test_case(90_000; "a peer that began long before")]
#[test_case(50; "a peer that has just begun")]
fn what_lay_waiting_is_as_old_as_it_is(said_ms: u64) {
    let mut delay = DelayEstimate::new(ms(said_ms), ms(10_000));
    let whole_ms = |delay: Duration| delay.as_millis();
    assert_eq!(whole_ms(delay.delay(ms(said_ms + 200), ms(10_203))), 2);
    assert_eq!(whole_ms(delay.delay(ms(said_ms + 400), ms(10_400))), 0);
    // This process stood still for two seconds.
    assert_eq!(whole_ms(delay.delay(ms(said_ms + 600), ms(12_400))), 1_798);
    assert_eq!(whole_ms(delay.delay(ms(said_ms + 2_400), ms(12_400))), 0);
}

#[test]
fn clocks_that_drift_apart_make_nothing_old() {
    let mut delay = DelayEstimate::new(ms(0), ms(0));
    for beat in 1..50_000_u64 {
        let sent_at = ms(beat * 200);
        // A tenth of a millisecond in a second.
        let handled_at = sent_at + sent_at / 10_000;
        let found = delay.delay(sent_at, handled_at);
        assert!(found <= ms(1), "{found:?} after {sent_at:?}");
    }
}
