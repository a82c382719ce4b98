//! The waits of a change add up to less than what the users allow, by design.

use std::time::Duration;

use iristhread_core::ReadTiming;
use test_case::test_case;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Instances that an instance hears give the time between two heartbeats; the bounds are for
/// a change, and for an instance that is calm again.
#[test_case(false, 200, 2_000, 3_000; "up to sixteen instances")]
#[test_case(false, 372, 2_000, 3_000; "thirty two without relays")]
#[test_case(true, 264, 3_000, 4_000; "sixty six in three zones")]
#[test_case(true, 708, 4_000, 5_000; "three hundred in five zones")]
#[test_case(true, 1_000, 6_000, 6_000; "twenty seven hundred in ten zones")]
fn the_waits_of_a_change_stay_below_the_bound(
    has_relays: bool,
    beat_ms: u64,
    in_force_ms: u64,
    calm_ms: u64,
) {
    let beat = ms(beat_ms);
    let waits = ReadTiming { has_relays, beat };
    for sum in [waits.bound_without_update(), waits.bound_without_transfer()] {
        assert!(sum < ms(in_force_ms), "{sum:?}");
    }
    for sum in [waits.bound_after_stall(), waits.bound_after_outage()] {
        assert!(sum < ms(calm_ms), "{sum:?}");
    }
}
