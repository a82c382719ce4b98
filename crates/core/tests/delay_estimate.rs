//! Tests of the delay estimate for messages of peers.

use std::time::Duration;

use iristhread_core::DelayEstimate;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The peer's clock may have started earlier or later than the local one.
#[test_case(90_000; "a peer that started long before")]
#[test_case(50; "a peer that has just started")]
fn queueing_time_counts_as_delay(said_ms: u64) {
    let mut delay = DelayEstimate::new(ms(said_ms), ms(10_000));
    let whole_ms = |delay: Duration| delay.as_millis();
    assert_eq!(whole_ms(delay.delay(ms(said_ms + 200), ms(10_203))), 2);
    assert_eq!(whole_ms(delay.delay(ms(said_ms + 400), ms(10_400))), 0);
    // This process was suspended for two seconds.
    assert_eq!(whole_ms(delay.delay(ms(said_ms + 600), ms(12_400))), 1_798);
    assert_eq!(whole_ms(delay.delay(ms(said_ms + 2_400), ms(12_400))), 0);
}

#[test]
fn clock_drift_causes_no_delay() {
    let mut delay = DelayEstimate::new(ms(0), ms(0));
    for heartbeat in 1..50_000_u64 {
        let sent_at = ms(heartbeat * 200);
        // Drift of 0.1 ms per second.
        let handled_at = sent_at + sent_at / 10_000;
        let found = delay.delay(sent_at, handled_at);
        assert!(found <= ms(1), "{found:?} after {sent_at:?}");
    }
}
