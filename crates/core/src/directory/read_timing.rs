//! The waits through which a change of the directory goes until it is in force at an instance
//! that nothing has struck, and what they add up to at most, whatever strikes the others.

use std::time::Duration;

/// Longest time that a watch waits: the others notice within it, and two heartbeats, when a
/// reader is cut off without a word; and the answer of a watch may be lost.
pub const WATCH: Duration = Duration::from_secs(1);

/// Longest wait for an answer on top of what a watch waits: many times what a slow directory
/// takes.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two looks at whether an instance should read.
pub const LOOK_AGAIN: Duration = Duration::from_millis(150);

/// First pause after a failed call; doubles with each further one.
pub const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause: a directory that is back is noticed within it, and lapsed
/// entries are back within two seconds.
pub const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Factors between which a pause is drawn, so that instances call apart.
pub const RETRY_JITTER: std::ops::Range<f64> = 0.7..1.3;

/// Longest wait of an instance that lacks a configuration before it asks a peer, drawn by
/// chance, so that not all ask the first that has it; the list's news are usually under way.
pub const MAX_FETCH_DELAY: Duration = Duration::from_millis(300);

/// Longest wait for a peer's answer.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a peer may have a newer configuration until an instance reads by itself:
/// a fetch takes less.
pub const MAX_CONFIG_LAG: Duration = Duration::from_millis(700);

/// The same in a fleet with relays, which read it first; large configurations then
/// take a second to be handed on.
pub const MAX_CONFIG_LAG_WITH_RELAYS: Duration = Duration::from_millis(1_400);

/// Age of what is known from which an instance reads by itself: a reader's watch, and a
/// heartbeat after one that was lost.
pub const MAX_STATE_AGE: Duration = Duration::from_millis(1_350);

/// The same in a fleet with relays, on top of two heartbeats: news come by up to three ways.
pub const MAX_STATE_AGE_WITH_RELAYS: Duration = Duration::from_millis(1_300);

/// By how much the next instance of a zone waits longer until it reads by itself: the one
/// before has told by then what it read.
pub const READ_DELAY_STEP: Duration = Duration::from_millis(30);

/// Longest such wait.
pub const MAX_READ_DELAY: Duration = Duration::from_millis(150);

/// The same in a fleet with relays, where a directory that is well can't answer all at once.
pub const MAX_READ_DELAY_WITH_RELAYS: Duration = Duration::from_millis(400);

/// Time in which a directory that is well answers a whole reading by a new connection, and
/// the configuration is taken: a megabyte over a small link.
pub const FULL_READ_TIME: Duration = Duration::from_millis(250);

/// What the waits add up to in one fleet.
#[derive(Clone, Copy, Debug)]
pub struct ReadTiming {
    /// Whether it has relays.
    pub has_relays: bool,
    /// Time between two heartbeats.
    pub beat: Duration,
}

impl ReadTiming {
    /// Age from which an instance reads by itself.
    pub fn max_state_age(&self) -> Duration {
        match self.has_relays {
            true => MAX_STATE_AGE_WITH_RELAYS + self.beat * 2,
            false => MAX_STATE_AGE,
        }
    }

    /// How much later the last of a zone does so than the first.
    pub fn max_read_delay(&self) -> Duration {
        match self.has_relays {
            true => MAX_READ_DELAY_WITH_RELAYS,
            false => MAX_READ_DELAY,
        }
    }

    /// Time for which an instance waits for peers that are ahead.
    pub fn max_config_lag(&self) -> Duration {
        match self.has_relays {
            true => MAX_CONFIG_LAG_WITH_RELAYS,
            false => MAX_CONFIG_LAG,
        }
    }

    /// From a change until it is in force where nobody tells of it: what was confirmed just
    /// before gets old, and the instance reads by itself.
    pub fn bound_without_update(&self) -> Duration {
        self.max_state_age() + self.max_read_delay() + LOOK_AGAIN + FULL_READ_TIME
    }

    /// The same where peers tell of it and none hands it over; the first heartbeat is lost.
    pub fn bound_without_transfer(&self) -> Duration {
        self.beat + self.max_config_lag() + LOOK_AGAIN + FULL_READ_TIME
    }

    /// From the moment at which a watch falls silent until its instance has read all anew.
    pub fn bound_after_stall(&self) -> Duration {
        WATCH + ANSWER_TIMEOUT + FIRST_PAUSE.mul_f64(RETRY_JITTER.end) + FULL_READ_TIME
    }

    /// From the end of trouble between an instance and the directory until it has read all: it
    /// has just called in vain, and then waits for the longest pause.
    pub fn bound_after_outage(&self) -> Duration {
        ANSWER_TIMEOUT + LONGEST_PAUSE.mul_f64(RETRY_JITTER.end) + FULL_READ_TIME
    }
}
