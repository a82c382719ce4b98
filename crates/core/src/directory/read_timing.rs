//! The timeouts and delays that a change of the directory passes through until it is in force
//! at an instance without faults of its own, and their sums: upper bounds on the time to apply a
//! change, whichever faults the other instances have.

use std::time::Duration;

/// Longest wait of a watch. Within it and two heartbeats, the peers detect that a reader has
/// lost its connection without an error. The answer of a watch may also be lost.
pub const WATCH: Duration = Duration::from_secs(1);

/// Longest wait for an answer, on top of the wait of a watch: many times what a slow directory
/// takes.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between two checks of whether an instance should read.
pub const READ_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Delay before the first retry of a failed call; it doubles with each further failure.
pub const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest delay between retries. A directory that is available again is detected within it,
/// so that expired entries are back within two seconds.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Range of the random factor on a retry delay, which spreads the calls of the instances.
pub const RETRY_JITTER: std::ops::Range<f64> = 0.7..1.3;

/// Upper bound of the random delay before an instance that lacks a configuration queries a
/// peer. The delay keeps all instances from querying the first peer that has it; updates of
/// the list are usually in flight already.
pub const MAX_FETCH_DELAY: Duration = Duration::from_millis(300);

/// Timeout of a fetch from a peer.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a peer may have a newer configuration until the instance reads the directory
/// itself. A fetch from a peer takes less.
pub const MAX_CONFIG_LAG: Duration = Duration::from_millis(700);

/// [`MAX_CONFIG_LAG`] in a fleet with relays: relays read the configuration first, and a
/// large one then takes a second to be forwarded.
pub const MAX_CONFIG_LAG_WITH_RELAYS: Duration = Duration::from_millis(1_400);

/// Age of the last confirmation from which an instance reads the directory itself: a reader's
/// watch, and a heartbeat after one that was lost.
pub const MAX_STATE_AGE: Duration = Duration::from_millis(1_350);

/// [`MAX_STATE_AGE`] in a fleet with relays, on top of two heartbeats: an update takes up to
/// three hops.
pub const MAX_STATE_AGE_WITH_RELAYS: Duration = Duration::from_millis(1_300);

/// Difference between the read delays of two successive instances of a zone: the first has
/// advertised what it read by the time the second would read.
pub const READ_DELAY_STEP: Duration = Duration::from_millis(30);

/// Longest read delay.
pub const MAX_READ_DELAY: Duration = Duration::from_millis(150);

/// [`MAX_READ_DELAY`] in a fleet with relays, where even a healthy directory can't answer all
/// instances at once.
pub const MAX_READ_DELAY_WITH_RELAYS: Duration = Duration::from_millis(400);

/// Time in which a healthy directory answers a full read over a new connection and the
/// configuration is applied: a megabyte over a slow link.
pub const FULL_READ_TIME: Duration = Duration::from_millis(250);

/// The timing of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct ReadTiming {
    /// Whether the fleet has relays.
    pub has_relays: bool,
    /// Interval between two heartbeats.
    pub beat: Duration,
}

impl ReadTiming {
    /// Age of the last confirmation from which an instance reads the directory itself.
    pub fn max_state_age(&self) -> Duration {
        match self.has_relays {
            true => MAX_STATE_AGE_WITH_RELAYS + self.beat * 2,
            false => MAX_STATE_AGE,
        }
    }

    /// Longest read delay among the instances of a zone.
    pub fn max_read_delay(&self) -> Duration {
        match self.has_relays {
            true => MAX_READ_DELAY_WITH_RELAYS,
            false => MAX_READ_DELAY,
        }
    }

    /// Time for which an instance waits for peers that have a newer configuration.
    pub fn max_config_lag(&self) -> Duration {
        match self.has_relays {
            true => MAX_CONFIG_LAG_WITH_RELAYS,
            false => MAX_CONFIG_LAG,
        }
    }

    /// Bound on the time until a change is in force if no peer advertises it: the state was
    /// confirmed just before the change, reaches its maximum age, and the instance reads.
    pub fn bound_without_update(&self) -> Duration {
        self.max_state_age() + self.max_read_delay() + READ_CHECK_INTERVAL + FULL_READ_TIME
    }

    /// Bound on the time until a change is in force if peers advertise it and no fetch
    /// succeeds. The first heartbeat is lost.
    pub fn bound_without_transfer(&self) -> Duration {
        self.beat + self.max_config_lag() + READ_CHECK_INTERVAL + FULL_READ_TIME
    }

    /// Bound on the time from the stall of a watch until its instance has read everything again.
    pub fn bound_after_stall(&self) -> Duration {
        WATCH + ANSWER_TIMEOUT + FIRST_PAUSE.mul_f64(RETRY_JITTER.end) + FULL_READ_TIME
    }

    /// Bound on the time from the end of an outage between an instance and the directory until
    /// it has read everything: a call has just begun and fails, and the longest retry delay
    /// follows.
    pub fn bound_after_outage(&self) -> Duration {
        ANSWER_TIMEOUT + LONGEST_PAUSE.mul_f64(RETRY_JITTER.end) + FULL_READ_TIME
    }
}
