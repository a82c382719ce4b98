//! Backend servers that fall over when they have to reject too many requests.
//!
//! A brittle server declares how many rejections a second it withstands, of all instances
//! together. No instance knows the others' latest sends, so the requests are bounded by a rate
//! that all instances share like a declared limit: part of what the server's slots process, half
//! of that after a rejection, and slowly more again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::IncarnationId;
use crate::Now;
use crate::RequestRate;
use crate::ServerLife;

/// Fraction of the declared bound that the rejections by chance use: requests arrive at random, so
/// that some find all slots taken, and more in some seconds than in others.
const USED_BOUND: f64 = 0.25;

/// Halvings of the range in which the highest rate is searched: a thousandth of it is left.
const SEARCH_STEPS: u32 = 10;

/// Factor by which a rejection reduces the rate.
const DECREASE: f64 = 0.5;

/// Fraction of the highest rate by which the rate grows at a time.
const GROWTH: f64 = 0.05;

/// Time between two increases, and after a rejection.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a change in which further rejections are of requests sent before it.
const CHANGE_TAKES_EFFECT_AFTER: Duration = Duration::from_millis(500);

/// Weight of the latest run in the mean time of a run.
const LATEST_RUN_WEIGHT: f64 = 0.05;

/// Mean time of a run of a service, as far as this instance has seen.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    seconds: f64,
}

/// State of one brittle server.
#[derive(Clone, Debug)]
struct BrittleServer {
    server: ServerLife,
    service: String,
    slots: u32,
    /// Rejections a second that it withstands.
    bound: u32,
    changed_at: Now,
}

impl BrittleServer {
    /// Returns the highest rate at the present run times; `None` if none is known yet.
    fn highest(&self, run_times: &BTreeMap<String, RunTime>) -> Option<RequestRate> {
        let run_time = run_times.get(&self.service)?;
        let per_s = highest_per_s(self.slots, run_time.seconds, self.bound);
        Some(RequestRate::from_per_s(per_s))
    }
}

/// The brittle backend servers, by incarnation, and the run times of services.
#[derive(Clone, Debug, Default)]
pub struct BrittleServers {
    by_life: BTreeMap<IncarnationId, BrittleServer>,
    run_times: BTreeMap<String, RunTime>,
}

impl BrittleServers {
    /// Counts an answered run of a service.
    pub fn ran(&mut self, service: &str, took: Duration) {
        let seconds = took.as_secs_f64();
        let mean = self
            .run_times
            .entry(service.to_owned())
            .or_insert(RunTime { seconds });
        mean.seconds += (seconds - mean.seconds) * LATEST_RUN_WEIGHT;
    }

    /// Records that a server says that it is brittle. Returns the rate at which all instances
    /// together may send to it if this is new, `None` if it is known or no run time is known yet.
    pub fn begins(
        &mut self,
        now: Now,
        server: &ServerLife,
        service: &str,
        slots: u32,
        bound: u32,
    ) -> Option<RequestRate> {
        if self.by_life.contains_key(&server.life) {
            return None;
        }
        let brittle = BrittleServer {
            server: server.clone(),
            service: service.to_owned(),
            slots: slots.max(1),
            bound,
            changed_at: now,
        };
        let highest = brittle.highest(&self.run_times)?;
        self.by_life.insert(server.life, brittle);
        Some(highest)
    }

    /// Records that a server no longer says that it is brittle.
    pub fn ended(&mut self, life: IncarnationId) {
        self.by_life.remove(&life);
    }

    /// Returns the rate after a server rejected a request for want of room; `None` if the server is
    /// not brittle, or if a change is too recent to have had an effect. `rate` is the present rate,
    /// `changed_at` when an instance last changed it, and `demand` what all instances send or would.
    pub fn rejected(
        &mut self,
        now: Now,
        life: IncarnationId,
        (rate, changed_at): (RequestRate, Now),
        demand: RequestRate,
    ) -> Option<RequestRate> {
        let known = self.by_life.get_mut(&life)?;
        let since_change = now.saturating_sub(changed_at.max(known.changed_at));
        if since_change < CHANGE_TAKES_EFFECT_AFTER {
            return None;
        }
        known.changed_at = now;
        let highest = known.highest(&self.run_times).unwrap_or(rate);
        // A rate far above the demand would have to be halved several times to have an effect.
        let sent = rate.min(highest).min(demand);
        Some(RequestRate::from_per_s(sent.per_s() * DECREASE))
    }

    /// Returns the increased rates of the servers that this instance is to probe. `rate_of` returns
    /// the present rate of a server and when an instance last changed it, `probes` whether this
    /// instance is the one of all that increases it.
    pub fn grown(
        &mut self,
        now: Now,
        rate_of: impl Fn(IncarnationId) -> Option<(RequestRate, Now)>,
        probes: impl Fn(&ServerLife) -> bool,
    ) -> Vec<(ServerLife, RequestRate)> {
        let mut grown = Vec::new();
        for (life, known) in &mut self.by_life {
            let Some((rate, changed_at)) = rate_of(*life) else {
                continue;
            };
            let changed_at = changed_at.max(known.changed_at);
            let is_due = now.saturating_sub(changed_at) >= GROWTH_INTERVAL;
            let highest = known.highest(&self.run_times).unwrap_or(rate);
            if !is_due || rate >= highest || !probes(&known.server) {
                continue;
            }
            known.changed_at = now;
            let step = highest.per_s() * GROWTH;
            let next = RequestRate::from_per_s(rate.per_s() + step).min(highest);
            grown.push((known.server.clone(), next));
        }
        grown
    }

    /// Returns whether a server is brittle.
    pub fn has(&self, life: IncarnationId) -> bool {
        self.by_life.contains_key(&life)
    }

    /// Returns the number of brittle servers.
    pub fn count(&self) -> usize {
        self.by_life.len()
    }

    /// Forgets servers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(IncarnationId) -> bool) {
        self.by_life.retain(|life, _| is_listed(*life));
    }
}

/// Returns the rate of random arrivals at which a server without a queue rejects a part of `bound`
/// requests a second.
fn highest_per_s(slots: u32, run_seconds: f64, bound: u32) -> f64 {
    let run_seconds = run_seconds.max(f64::MIN_POSITIVE);
    // With a bound of 0 the first rejection is one too many; no rate but 0 would rule it out.
    let allowed = f64::from(bound.max(1)) * USED_BOUND;
    let rejections = |load: f64| load / run_seconds * rejected_fraction(load, slots);
    let (mut low, mut high) = (0.0, f64::from(slots));
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        match rejections(middle) <= allowed {
            true => low = middle,
            false => high = middle,
        }
    }
    low / run_seconds
}

/// Returns the fraction of random arrivals that find all slots taken, by the Erlang B formula.
/// `load` is the mean number of slots that they would take.
fn rejected_fraction(load: f64, slots: u32) -> f64 {
    (1..=slots).fold(1.0, |fraction, taken| {
        let weight = load * fraction;
        weight / (f64::from(taken) + weight)
    })
}
