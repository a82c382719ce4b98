//! The sums of the read timing stay below the allowed time for applying a change.

use std::time::Duration;

use iristhread_core::ReadTiming;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The heartbeat interval follows from the number of instances from which an instance receives
/// heartbeats. The first bound is for applying a change, the second for an instance that
/// recovers from a fault.
#[test_case(false, 200, 2_000, 3_000; "up to sixteen instances")]
#[test_case(false, 372, 2_000, 3_000; "thirty two without relays")]
#[test_case(true, 264, 3_000, 4_000; "sixty six in three zones")]
#[test_case(true, 708, 4_000, 5_000; "three hundred in five zones")]
#[test_case(true, 1_000, 6_000, 6_000; "twenty seven hundred in ten zones")]
fn the_time_to_apply_a_change_stays_below_the_bound(
    has_relays: bool,
    beat_ms: u64,
    in_force_ms: u64,
    calm_ms: u64,
) {
    let beat = ms(beat_ms);
    let timing = ReadTiming { has_relays, beat };
    for sum in [
        timing.bound_without_update(),
        timing.bound_without_transfer(),
    ] {
        assert!(sum < ms(in_force_ms), "{sum:?}");
    }
    for sum in [timing.bound_after_stall(), timing.bound_after_outage()] {
        assert!(sum < ms(calm_ms), "{sum:?}");
    }
}
