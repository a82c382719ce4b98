//! The share of a backend server's rate limit that one instance may use.

use std::time::Duration;

use crate::EventRate;
use crate::Now;
use crate::RequestRate;

/// Rate at which all instances together send to a server whose limit is lower: only the
/// server's answers show that the limit has changed.
const MIN_ALLOCATED_PER_S: f64 = 0.1;

/// Factor by which the demand must rise to be advertised immediately: the other instances would
/// otherwise continue with the shares from before a burst.
const DEMAND_RISE_FACTOR: f64 = 2.0;

/// Minimum time between two such immediate advertisements.
const MIN_ADVERTISE_INTERVAL: Duration = Duration::from_millis(100);

/// Upper bound of a predicted time until a grant.
const MAX_GRANT_WAIT: Duration = Duration::from_secs(3_600);

/// Parameters of [`LimitShare`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitParameters {
    /// Time over which demand is averaged: a shorter window follows a burst sooner, a longer one
    /// gives steadier shares.
    pub window: Duration,
    /// Fraction of a limit that the instances allocate among themselves; the remainder covers
    /// the delay with which they learn each other's demand.
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
/// Demand is the rate of requests that would be sent if there were no limit. Each such request
/// adds credit: the limit divided by the demand of all instances. The request that completes a
/// whole unit of credit is granted. So shares follow demand, and idle instances accumulate no
/// credit: hundreds of them could otherwise send their first request at the same time (flow
/// proportional share of B. Raghavan and others, Cloud Control with Distributed Rate Limiting,
/// SIGCOMM 2007, without its buckets).
#[derive(Clone, Debug)]
pub struct LimitShare {
    parameters: LimitParameters,
    demand: EventRate,
    /// Credit towards the next grant, below 1.
    credit: f64,
    advertised_at: Now,
    advertised: RequestRate,
}

impl LimitShare {
    /// Creates a share with an initial credit of `credit` (0 to 1). Callers draw it at random, so
    /// that instances that start at the same time don't send at the same time.
    pub fn new(now: Now, parameters: LimitParameters, credit: f64) -> Self {
        LimitShare {
            parameters,
            demand: EventRate::new(now, parameters.window),
            credit: credit.clamp(0.0, 1.0),
            advertised_at: now,
            advertised: RequestRate::ZERO,
        }
    }

    /// Counts a request towards the demand; returns whether it is granted. `others` is the demand
    /// of the other instances.
    pub fn request_grant(&mut self, now: Now, limit: RequestRate, others: RequestRate) -> bool {
        let fraction = self.part(now, limit, others);
        self.demand.note(now);
        if fraction >= 1.0 {
            return true;
        }
        self.credit += fraction;
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Fraction of its demand that this instance is granted now, at most 1.
    pub fn part(&self, now: Now, limit: RequestRate, others: RequestRate) -> f64 {
        let total_demand = self.demand.per_s(now) + others.per_s();
        let allocated =
            (limit.per_s() * self.parameters.allocated_fraction).max(MIN_ALLOCATED_PER_S);
        match total_demand > allocated {
            true => allocated / total_demand,
            false => 1.0,
        }
    }

    /// Demand of this instance.
    pub fn wanted(&self, now: Now) -> RequestRate {
        RequestRate::from_per_s(self.demand.per_s(now))
    }

    /// Returns the demand of this instance and records it as advertised to the others.
    pub fn tell(&mut self, now: Now) -> RequestRate {
        self.advertised_at = now;
        self.advertised = self.wanted(now);
        self.advertised
    }

    /// Whether the demand has risen enough to be advertised immediately.
    pub fn is_news(&self, now: Now) -> bool {
        let is_due = now.saturating_sub(self.advertised_at) >= MIN_ADVERTISE_INTERVAL;
        is_due && self.wanted(now).per_s() > self.advertised.per_s() * DEMAND_RISE_FACTOR
    }

    /// Time until `grants` further requests are granted, if the demand of this instance stays the
    /// same.
    pub fn time_until_grants(
        &self,
        now: Now,
        limit: RequestRate,
        others: RequestRate,
        grants: u32,
    ) -> Duration {
        let granted_per_s = self.part(now, limit, others) * self.demand.per_s(now);
        let missing_credit = f64::from(grants.max(1)) - self.credit;
        let max_wait = MAX_GRANT_WAIT.as_secs_f64();
        match granted_per_s > 0.0 {
            true => Duration::from_secs_f64((missing_credit / granted_per_s).clamp(0.0, max_wait)),
            false => Duration::ZERO,
        }
    }
}
