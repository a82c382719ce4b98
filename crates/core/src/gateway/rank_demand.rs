//! The memory that requests of each rank need, as one instance sees them arrive and end.
//!
//! Retries count as arrivals, and all requests that end as freed. The rates of
//! [`RoomForecast`](crate::RoomForecast) leave out retries and requests that engines refused.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::EventRate;
use crate::Now;
use crate::PlacementRequest;
use crate::RequestRank;

/// Window of the rate that follows a burst.
const RECENT_WINDOW: Duration = Duration::from_secs(1);

/// Window of the usual rate, and of the mean memory in use: long enough that an instance of a
/// large fleet, which sees a request of a rank every few seconds, still counts some.
const USUAL_WINDOW: Duration = Duration::from_secs(8);

/// Number of requests that the usual rate counts for beside the recent one. The recent rate of
/// fewer requests is mostly chance.
const USUAL_WEIGHT_REQUESTS: f64 = 4.0;

/// Number of requests over which sizes and times are averaged.
const MEAN_REQUESTS: f64 = 20.0;

/// Standard deviations that the headroom covers: with two, about one request in forty finds more
/// in use.
const DEVIATIONS: f64 = 2.0;

/// Mean of about the last [`MEAN_REQUESTS`] values.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    count: f64,
    value: f64,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.count = (self.count + 1.0).min(MEAN_REQUESTS);
        self.value += (value - self.value) / self.count;
    }
}

/// Tokens in use now, and their mean over [`USUAL_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct MemoryInUse {
    tokens: f64,
    mean: f64,
    updated_at: Now,
}

impl MemoryInUse {
    fn mean(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        let kept = (-age.as_secs_f64() / USUAL_WINDOW.as_secs_f64()).exp();
        self.mean * kept + self.tokens * (1.0 - kept)
    }

    fn change(&mut self, now: Now, tokens: f64) {
        self.mean = self.mean(now);
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + tokens).max(0.0);
    }
}

/// Requests of one rank for one service.
#[derive(Clone, Debug)]
struct RankRequests {
    recent: EventRate,
    usual: EventRate,
    tokens: RunningMean,
    squared_tokens: RunningMean,
    held_seconds: RunningMean,
    first_event_seconds: RunningMean,
    ends: EventRate,
    in_use: MemoryInUse,
}

impl RankRequests {
    fn new(now: Now) -> Self {
        RankRequests {
            recent: EventRate::new(now, RECENT_WINDOW),
            usual: EventRate::new(now, USUAL_WINDOW),
            tokens: RunningMean::default(),
            squared_tokens: RunningMean::default(),
            held_seconds: RunningMean::default(),
            first_event_seconds: RunningMean::default(),
            ends: EventRate::new(now, USUAL_WINDOW),
            in_use: MemoryInUse::default(),
        }
    }

    /// Returns the requests per second: the recent rate, as far as it counts enough requests, and
    /// the usual one otherwise. For this, [`USUAL_WEIGHT_REQUESTS`] requests at the usual rate are
    /// added to those of the recent window.
    fn per_s(&self, now: Now) -> f64 {
        let usual = self.usual.per_s(now);
        if usual <= 0.0 {
            return 0.0;
        }
        let window = RECENT_WINDOW.as_secs_f64();
        let recent_requests = self.recent.per_s(now) * window;
        (recent_requests + USUAL_WEIGHT_REQUESTS) / (window + USUAL_WEIGHT_REQUESTS / usual)
    }

    fn need(&self, now: Now) -> MemoryNeed {
        // Little's law: arrivals per second times the time that each of them holds memory.
        let requests = self.per_s(now) * self.held_seconds.value;
        MemoryNeed {
            expected_tokens: requests * self.tokens.value,
            variance: requests * self.squared_tokens.value,
            used_tokens: self.in_use.mean(now),
        }
    }
}

/// Memory that the requests of some ranks are expected to need at one time, of those that one
/// instance sees.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryNeed {
    /// Expected tokens.
    pub expected_tokens: f64,
    /// Variance of the tokens, in tokens squared, if requests arrive independently.
    pub variance: f64,
    /// Tokens in use, as a mean of the last seconds.
    pub used_tokens: f64,
}

impl MemoryNeed {
    fn add(&mut self, other: MemoryNeed) {
        self.expected_tokens += other.expected_tokens;
        self.variance += other.variance;
        self.used_tokens += other.used_tokens;
    }

    /// Returns the tokens to keep free on one engine, beyond those in use. `scale` is the number of
    /// instances by the number of engines, since all instances see as many requests as this one.
    pub fn headroom_tokens(&self, scale: f64) -> f64 {
        let missing = (self.expected_tokens - self.used_tokens) * scale;
        let deviation = (self.variance * scale).sqrt();
        (missing + DEVIATIONS * deviation).max(0.0)
    }
}

/// Arrivals, sizes and times of the requests of this instance, by service and rank.
#[derive(Clone, Debug, Default)]
pub struct RankDemand {
    services: BTreeMap<String, BTreeMap<RequestRank, RankRequests>>,
}

impl RankDemand {
    /// Counts a request that asks for memory, whether it is placed or not.
    pub fn arrived(&mut self, now: Now, ask: &PlacementRequest) {
        let tokens = ask.memory_tokens();
        if tokens <= 0.0 {
            return;
        }
        if !self.services.contains_key(&ask.service) {
            self.services.insert(ask.service.clone(), BTreeMap::new());
        }
        let Some(ranks) = self.services.get_mut(&ask.service) else {
            return;
        };
        let requests = ranks
            .entry(ask.level.rank)
            .or_insert_with(|| RankRequests::new(now));
        requests.recent.note(now);
        requests.usual.note(now);
        requests.tokens.add(tokens);
        requests.squared_tokens.add(tokens * tokens);
    }

    /// Counts a request as holding memory from now on.
    pub fn placed(&mut self, now: Now, ask: &PlacementRequest) {
        if let Some(requests) = self.requests_of(ask) {
            requests.in_use.change(now, ask.memory_tokens());
        }
    }

    /// Counts a request that its engine refused: it held no memory.
    pub fn refused(&mut self, now: Now, ask: &PlacementRequest) {
        if let Some(requests) = self.requests_of(ask) {
            requests.in_use.change(now, -ask.memory_tokens());
        }
    }

    /// Counts a request as holding no memory any more. `held` is the time for which it did; `None`
    /// if that says nothing about others, because it failed.
    pub fn ended(&mut self, now: Now, ask: &PlacementRequest, held: Option<Duration>) {
        if let Some(requests) = self.requests_of(ask) {
            requests.in_use.change(now, -ask.memory_tokens());
            requests.ends.note(now);
            if let Some(held) = held {
                requests.held_seconds.add(held.as_secs_f64());
            }
        }
    }

    /// Counts the first event of a request, which took this long since it was sent.
    pub fn began(&mut self, ask: &PlacementRequest, took: Duration) {
        if let Some(requests) = self.requests_of(ask) {
            requests.first_event_seconds.add(took.as_secs_f64());
        }
    }

    /// Returns the mean time from the send of a request to its first event; zero if none is known.
    pub fn first_event(&self, service: &str, rank: RequestRank) -> Duration {
        let ranks = self.services.get(service);
        let requests = ranks.and_then(|ranks| ranks.get(&rank));
        let seconds = requests.map_or(0.0, |requests| requests.first_event_seconds.value);
        Duration::from_secs_f64(seconds)
    }

    /// Returns the tokens per second that become free for requests of `rank`: those of all requests
    /// that end, less those that more urgent ones ask for.
    pub fn freed_per_s(&self, now: Now, service: &str, rank: RequestRank) -> f64 {
        let Some(ranks) = self.services.get(service) else {
            return 0.0;
        };
        let ends = ranks.values();
        let freed = ends.map(|r| r.ends.per_s(now) * r.tokens.value);
        let urgent = ranks.range(..rank);
        let asked = urgent.map(|(_, r)| r.usual.per_s(now) * r.tokens.value);
        (freed.sum::<f64>() - asked.sum::<f64>()).max(0.0)
    }

    /// Returns the memory that requests of more urgent ranks than `rank` need.
    pub fn more_urgent(&self, now: Now, service: &str, rank: RequestRank) -> MemoryNeed {
        let mut sum = MemoryNeed::default();
        if let Some(ranks) = self.services.get(service) {
            let urgent = ranks.range(..rank).map(|(_, requests)| requests);
            urgent.for_each(|requests| sum.add(requests.need(now)));
        }
        sum
    }

    /// Returns whether no request of a less urgent rank than `rank` was seen.
    pub fn is_least_urgent(&self, service: &str, rank: RequestRank) -> bool {
        let ranks = self.services.get(service);
        let last = ranks.and_then(|ranks| ranks.last_key_value());
        last.is_none_or(|(last, _)| *last <= rank)
    }

    fn requests_of(&mut self, ask: &PlacementRequest) -> Option<&mut RankRequests> {
        self.services
            .get_mut(&ask.service)?
            .get_mut(&ask.level.rank)
    }
}
