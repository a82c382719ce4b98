//! The part of a backend server's limit that one instance uses.

use std::time::Duration;

use crate::EventRate;
use crate::Now;
use crate::RequestRate;

/// Rate at which all instances together try a server whose limit allows less: only its
/// answers tell that the limit has changed.
const PROBES_PER_S: f64 = 0.1;

/// Rise of its wishes that an instance tells at once: the others would go on with the shares
/// from before a burst.
const NEWS: f64 = 2.0;

/// Least time between two such tellings.
const LEAST_TELLING: Duration = Duration::from_millis(100);

/// Longest time until a grant that is foreseen.
const LONGEST: Duration = Duration::from_secs(3_600);

/// What a share goes by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitParameters {
    /// Time over which wishes are counted: a shorter one follows a burst sooner, a longer
    /// one gives steadier shares.
    pub window: Duration,
    /// Part of a limit that the instances hand out among themselves; the rest covers what
    /// they know late of each other.
    pub allocated_fraction: f64,
}

impl Default for LimitParameters {
    fn default() -> Self {
        LimitParameters {
            window: Duration::from_secs(1),
            allocated_fraction: 0.7,
        }
    }
}

/// The share of one instance in the limit of one backend server.
///
/// A wish is a request that would be sent if there were no limit. Each wish earns the part of
/// a send that the limit is of the wishes of all instances, and the wish that completes a
/// whole one is granted. So shares follow demand, and nothing is saved up by instances that
/// ask for nothing: hundreds of them could otherwise send their first at the same moment
/// (flow proportional share of B. Raghavan and others, Cloud Control with Distributed Rate
/// Limiting, SIGCOMM 2007, without its buckets).
#[derive(Clone, Debug)]
pub struct LimitShare {
    terms: LimitParameters,
    wishes: EventRate,
    /// Part of a send that is earned, below 1.
    earned: f64,
    told_at: Now,
    told: RequestRate,
}

impl LimitShare {
    /// A share of which `earned` (0 to 1) is earned, drawn by chance so that instances that
    /// begin at the same moment don't send at the same moment.
    pub fn new(now: Now, terms: LimitParameters, earned: f64) -> Self {
        LimitShare {
            terms,
            wishes: EventRate::new(now, terms.window),
            earned: earned.clamp(0.0, 1.0),
            told_at: now,
            told: RequestRate::ZERO,
        }
    }

    /// Notes a wish; returns whether it is granted. `others` is what the other instances
    /// wish for.
    pub fn request_grant(&mut self, now: Now, limit: RequestRate, others: RequestRate) -> bool {
        let part = self.part(now, limit, others);
        self.wishes.note(now);
        if part >= 1.0 {
            return true;
        }
        self.earned += part;
        if self.earned < 1.0 {
            return false;
        }
        self.earned -= 1.0;
        true
    }

    /// Part of its wishes that this instance is granted now, at most 1.
    pub fn part(&self, now: Now, limit: RequestRate, others: RequestRate) -> f64 {
        let wanted = self.wishes.per_s(now) + others.per_s();
        let allocated_fraction = (limit.per_s() * self.terms.allocated_fraction).max(PROBES_PER_S);
        match wanted > allocated_fraction {
            true => allocated_fraction / wanted,
            false => 1.0,
        }
    }

    /// Wishes of this instance.
    pub fn wanted(&self, now: Now) -> RequestRate {
        RequestRate::from_per_s(self.wishes.per_s(now))
    }

    /// The same, noted as told to the others.
    pub fn tell(&mut self, now: Now) -> RequestRate {
        self.told_at = now;
        self.told = self.wanted(now);
        self.told
    }

    /// Whether the others should be told at once.
    pub fn is_news(&self, now: Now) -> bool {
        let is_due = now.saturating_sub(self.told_at) >= LEAST_TELLING;
        is_due && self.wanted(now).per_s() > self.told.per_s() * NEWS
    }

    /// Time until so many further wishes are granted, if this instance goes on to wish for as
    /// much.
    pub fn time_until_grants(
        &self,
        now: Now,
        limit: RequestRate,
        others: RequestRate,
        grants: u32,
    ) -> Duration {
        let granted_per_s = self.part(now, limit, others) * self.wishes.per_s(now);
        let left = f64::from(grants.max(1)) - self.earned;
        let longest = LONGEST.as_secs_f64();
        match granted_per_s > 0.0 {
            true => Duration::from_secs_f64((left / granted_per_s).clamp(0.0, longest)),
            false => Duration::ZERO,
        }
    }
}
