//! The content of a request under which backend servers have ended.

use std::time::Duration;

use crate::IncarnationId;
use crate::Now;

/// Time after its first event from which on a stream is taken to have run well where it
/// is: a request at fault ends its server soon after that has begun with it.
pub const KNOWN_GOOD_AFTER: Duration = Duration::from_secs(1);

/// Ends that are remembered of one content; the latest count.
const MOST_ENDS: usize = 32;

/// Ends within this time are one moment: many servers that are killed at once end within
/// milliseconds, and instances see it up to a heartbeat apart.
const MOMENT: Duration = Duration::from_millis(250);

/// How long a content that ran well is taken for one that many callers send: their
/// requests are on many servers at once, and all of these may end for another cause.
const PROOF_LASTS: Duration = Duration::from_secs(60);

/// The end of one life of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerCrash {
    /// The life.
    pub life: IncarnationId,
    /// When it was seen first.
    pub at: Now,
}

/// What is known of one content.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Oldest first.
    ends: Vec<ServerCrash>,
    /// When a request with it last ran well.
    known_good_at: Option<Now>,
    /// When something of this became known.
    changed_at: Now,
}

impl Suspect {
    /// Nothing speaks against it yet; it last ran well at a time.
    pub fn new(now: Now, known_good_at: Option<Now>) -> Self {
        Suspect {
            ends: Vec::new(),
            known_good_at,
            changed_at: now,
        }
    }

    /// Notes an end under it; returns whether that is news. What ran well after an end
    /// did not cause it.
    pub fn add_crash(&mut self, now: Now, end: ServerCrash) -> bool {
        if self.known_good_at.is_some_and(|proven| end.at <= proven) {
            return false;
        }
        if let Some(known) = self.ends.iter_mut().find(|known| known.life == end.life) {
            // The one who hears of it later takes it for younger.
            known.at = known.at.min(end.at);
            return false;
        }
        let place = self.ends.partition_point(|known| known.at <= end.at);
        self.ends.insert(place, end);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        self.changed_at = now;
        true
    }

    /// Notes that a request with it ran well; returns whether that speaks for it against
    /// ends that counted.
    pub fn prove(&mut self, now: Now, at: Now) -> bool {
        self.known_good_at = self.known_good_at.max(Some(at));
        let before = self.ends.len();
        self.ends.retain(|end| Some(end.at) > self.known_good_at);
        let is_news = self.ends.len() < before;
        if is_news {
            self.changed_at = now;
        }
        is_news
    }

    /// The ends that count, oldest first.
    pub fn ends(&self) -> &[ServerCrash] {
        &self.ends
    }

    /// When a request with it last ran well.
    pub fn known_good_at(&self) -> Option<Now> {
        self.known_good_at
    }

    /// When something of this became known.
    pub fn changed_at(&self) -> Now {
        self.changed_at
    }

    /// Whether a life ended under it.
    pub fn has_ended(&self, life: IncarnationId) -> bool {
        self.ends.iter().any(|end| end.life == life)
    }

    /// How much some of its ends weigh. Of a content that ran well lately, ends at the same
    /// moment count once.
    pub fn weight(&self, ends: &[ServerCrash]) -> usize {
        let Some(first) = ends.first() else {
            return 0;
        };
        let ran_lately = |proven: Now| first.at.saturating_sub(proven) < PROOF_LASTS;
        match self.known_good_at.is_some_and(ran_lately) {
            true => moments(ends),
            false => ends.len(),
        }
    }
}

/// How many moments some ends, oldest first, lie at.
pub(crate) fn moments(ends: &[ServerCrash]) -> usize {
    let mut count = 0;
    let mut begun: Option<Now> = None;
    for end in ends {
        if begun.is_none_or(|begun| end.at.saturating_sub(begun) > MOMENT) {
            count += 1;
            begun = Some(end.at);
        }
    }
    count
}
