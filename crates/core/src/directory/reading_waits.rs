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
pub const PAUSE_FACTORS: std::ops::Range<f64> = 0.7..1.3;

/// Longest wait of an instance that lacks a configuration before it asks a peer, drawn by
/// chance, so that not all ask the first that has it; the list's news are usually under way.
pub const BEFORE_FETCH: Duration = Duration::from_millis(300);

/// Longest wait for a peer's answer.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a peer may have a newer configuration until an instance reads by itself:
/// a fetch takes less.
pub const BEHIND_AT_MOST: Duration = Duration::from_millis(700);

/// The same in a fleet with relays, which read it first; large configurations then
/// take a second to be handed on.
pub const BEHIND_AT_MOST_WITH_RELAYS: Duration = Duration::from_millis(1_400);

/// Age of what is known from which an instance reads by itself: a reader's watch, and a
/// heartbeat after one that was lost.
pub const OLD_AFTER: Duration = Duration::from_millis(1_350);

/// The same in a fleet with relays, on top of two heartbeats: news come by up to three ways.
pub const OLD_AFTER_WITH_RELAYS: Duration = Duration::from_millis(1_300);

/// By how much the next instance of a zone waits longer until it reads by itself: the one
/// before has told by then what it read.
pub const SLOT: Duration = Duration::from_millis(30);

/// Longest such wait.
pub const LAST_SLOT: Duration = Duration::from_millis(150);

/// The same in a fleet with relays, where a directory that is well can't answer all at once.
pub const LAST_SLOT_WITH_RELAYS: Duration = Duration::from_millis(400);

/// Time in which a directory that is well answers a whole reading by a new connection, and
/// the configuration is taken: a megabyte over a small link.
pub const CALM_READING: Duration = Duration::from_millis(250);

/// What the waits add up to in one fleet.
#[derive(Clone, Copy, Debug)]
pub struct ReadingWaits {
    /// Whether it has relays.
    pub has_relays: bool,
    /// Time between two heartbeats.
    pub beat: Duration,
}

impl ReadingWaits {
    /// Age from which an instance reads by itself.
    pub fn old_after(&self) -> Duration {
        match self.has_relays {
            true => OLD_AFTER_WITH_RELAYS + self.beat * 2,
            false => OLD_AFTER,
        }
    }

    /// How much later the last of a zone does so than the first.
    pub fn last_slot(&self) -> Duration {
        match self.has_relays {
            true => LAST_SLOT_WITH_RELAYS,
            false => LAST_SLOT,
        }
    }

    /// Time for which an instance waits for peers that are ahead.
    pub fn behind_at_most(&self) -> Duration {
        match self.has_relays {
            true => BEHIND_AT_MOST_WITH_RELAYS,
            false => BEHIND_AT_MOST,
        }
    }

    /// From a change until it is in force where nobody tells of it: what was confirmed just
    /// before gets old, and the instance reads by itself.
    pub fn told_by_nobody(&self) -> Duration {
        self.old_after() + self.last_slot() + LOOK_AGAIN + CALM_READING
    }

    /// The same where peers tell of it and none hands it over; the first heartbeat is lost.
    pub fn handed_over_by_nobody(&self) -> Duration {
        self.beat + self.behind_at_most() + LOOK_AGAIN + CALM_READING
    }

    /// From the moment at which a watch falls silent until its instance has read all anew.
    pub fn after_a_silence(&self) -> Duration {
        WATCH + ANSWER_TIMEOUT + FIRST_PAUSE.mul_f64(PAUSE_FACTORS.end) + CALM_READING
    }

    /// From the end of trouble between an instance and the directory until it has read all: it
    /// has just called in vain, and then waits for the longest pause.
    pub fn after_trouble(&self) -> Duration {
        ANSWER_TIMEOUT + LONGEST_PAUSE.mul_f64(PAUSE_FACTORS.end) + CALM_READING
    }
}
