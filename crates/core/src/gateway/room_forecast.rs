//! Forecast of the time at which engines have room for a request that was refused for lack of
//! memory, from the requests of this instance that ended and that arrived.
//!
//! [`RankDemand`](crate::RankDemand) also has rates by rank, for requests that wait. Here, retries
//! are no arrivals, since their places are counted, and requests that an engine refused free no
//! memory.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Now;
use crate::PlacementRequest;
use crate::RequestRank;

/// Time over which rates are averaged: several sessions of one instance end within it, and a burst
/// of some seconds still shows.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Shortest time over which a rate is computed after the first observation.
const MIN_RATE_TIME: Duration = Duration::from_secs(1);

/// Minimum Retry-After: sooner, hardly any session has ended.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time until room is expected as long as no session has ended.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Fraction of its remaining time that a caller is told to wait at most: the rest is needed to
/// serve it.
const MAX_FRACTION_OF_TIME_LEFT: u32 = 3;

/// Width of the random spread, as a fraction of the Retry-After.
const SPREAD: f64 = 0.25;

/// Callers who can't be served within their objective any more are told times from this fraction of
/// the longest time on: a late answer is worth the same whenever it comes, and the requests of the
/// next seconds can still be served in time.
const LATE_FROM: f64 = 0.5;

/// Minimum fraction of the memory that becomes free which the forecast assumes for a rank, however
/// much more urgent ones ask for: without it, a burst of these would make the forecast endless.
const MIN_AVAILABLE: f64 = 0.1;

/// How long before its time, memory is kept free for a retry: long enough for sessions to end, and
/// as long as a heartbeat about the refusal may take.
const RESERVED_AHEAD: Duration = Duration::from_secs(1);

/// How long after its time a caller keeps its place: the time to connect.
const PLACE_MARGIN: Duration = Duration::from_millis(300);

/// Maximum number of callers of a service that keep a place, so that many refusals don't exhaust
/// the memory.
const MAX_PLACES: usize = 4_096;

/// Upper bound of a forecast, far beyond what any caller waits.
const MAX_FORECAST: Duration = Duration::from_secs(3_600);

/// Minimum decayed number of requests from which the size of others is estimated: one request
/// counts for about seven seconds.
const MIN_SAMPLES: f64 = 0.5;

/// Room that is expected for a refused request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExpectedRoom {
    /// Time until there is room; `None` while no session has ended.
    pub after: Option<Duration>,
    /// Tokens of the refused callers that are to come back before.
    pub waiting_tokens: u64,
}

/// Number and tokens of requests, each with a weight that decays over [`RATE_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct Decayed {
    at: Now,
    count: f64,
    tokens: f64,
}

impl Decayed {
    fn weight(&self, now: Now) -> f64 {
        let age = now.saturating_sub(self.at);
        (-age.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Now, tokens: u64) {
        let weight = self.weight(now);
        self.at = now;
        self.count = self.count * weight + 1.0;
        self.tokens = self.tokens * weight + tokens as f64;
    }
}

/// Requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// First tries, refused ones included.
    asked: Decayed,
    /// Refused requests, first tries and retries.
    refused: Decayed,
}

/// A caller that was told to come back.
#[derive(Clone, Copy, Debug)]
struct Place {
    rank: RequestRank,
    tokens: u64,
}

/// Time of return and content of a caller.
type PlaceKey = (Now, u128);

/// Rates and refused callers of one service.
#[derive(Clone, Debug, Default)]
struct ServiceRoom {
    /// Time of the first observation.
    since: Now,
    freed: Decayed,
    demands: BTreeMap<RequestRank, Demand>,
    places: BTreeMap<PlaceKey, Place>,
    /// Average time until the first event, once a session has begun.
    first_event: Option<Duration>,
}

impl ServiceRoom {
    /// Tokens per second behind a decayed sum.
    fn per_s(&self, now: Now, sum: &Decayed) -> f64 {
        let observed = now.saturating_sub(self.since).max(MIN_RATE_TIME);
        let window = RATE_WINDOW.as_secs_f64();
        let covered = 1.0 - (-observed.as_secs_f64() / window).exp();
        sum.tokens * sum.weight(now) / (window * covered)
    }

    /// Tokens per second that become free and are not asked for by requests of a more urgent rank.
    fn available_per_s(&self, now: Now, rank: RequestRank) -> f64 {
        let freed = self.per_s(now, &self.freed);
        let urgent = self.demands.range(..rank).map(|(_, demand)| demand);
        let urgent: f64 = urgent.map(|demand| self.per_s(now, &demand.asked)).sum();
        (freed - urgent).max(freed * MIN_AVAILABLE)
    }

    /// Tokens of the callers of a rank or a more urgent one that come back between two times.
    fn tokens_between(&self, from: Now, to: Now, rank: RequestRank) -> u64 {
        let places = self.places.range((from, 0)..=(to, u128::MAX));
        let places = places.filter(|(_, place)| place.rank <= rank);
        places.map(|(_, place)| place.tokens).sum()
    }
}

/// Learns how fast the memory of engines becomes free and is asked for, and keeps the order of
/// refused callers, by service.
#[derive(Clone, Debug, Default)]
pub struct RoomForecast {
    services: BTreeMap<String, ServiceRoom>,
}

impl RoomForecast {
    /// Records a first try.
    pub fn asked(&mut self, now: Now, ask: &PlacementRequest) {
        let room = self.room_of(now, ask);
        let demand = room.demands.entry(ask.level.rank).or_default();
        demand.asked.add(now, tokens_of(ask));
    }

    /// Records the end of a session; `first_event` is the time that its first event took.
    pub fn freed(&mut self, now: Now, ask: &PlacementRequest, first_event: Option<Duration>) {
        let room = self.room_of(now, ask);
        room.freed.add(now, tokens_of(ask));
        if let Some(took) = first_event {
            let weight = 1.0 / room.freed.count.max(1.0);
            let before = room.first_event.unwrap_or(took);
            room.first_event = Some(before.mul_f64(1.0 - weight) + took.mul_f64(weight));
        }
    }

    /// Records that a request was refused and its caller told to come back after `retry_after`.
    pub fn refused(&mut self, now: Now, ask: &PlacementRequest, retry_after: Duration) {
        let tokens = tokens_of(ask);
        let rank = ask.level.rank;
        let room = self.room_of(now, ask);
        room.demands
            .entry(rank)
            .or_default()
            .refused
            .add(now, tokens);
        let key = (now + retry_after, ask.fingerprint.content);
        room.places.insert(key, Place { rank, tokens });
        if room.places.len() > MAX_PLACES {
            room.places.pop_first();
        }
    }

    /// Removes the place of a caller that has come back to this instance.
    pub fn returned(&mut self, ask: &PlacementRequest) {
        if let Some(room) = self.services.get_mut(&ask.service) {
            let content = ask.fingerprint.content;
            room.places.retain(|(_, placed), _| *placed != content);
        }
    }

    /// Returns when there is room for a request, after all callers of its rank or a more urgent one
    /// that were told to come back. `waiting_elsewhere` is the number of callers that other
    /// instances told to come back, `instances` the number of instances, this one included.
    pub fn expected(
        &self,
        now: Now,
        ask: &PlacementRequest,
        waiting_elsewhere: usize,
        instances: usize,
    ) -> ExpectedRoom {
        let Some(room) = self.services.get(&ask.service) else {
            return ExpectedRoom::default();
        };
        let rank = ask.level.rank;
        let waiting_tokens = room.tokens_between(now, Now::MAX, rank)
            + self.estimated_tokens(now, ask, waiting_elsewhere);
        let per_s = room.available_per_s(now, rank) * instances as f64;
        let needed = (waiting_tokens + tokens_of(ask)) as f64;
        let max_s = MAX_FORECAST.as_secs_f64();
        let after = (per_s > 0.0).then(|| Duration::from_secs_f64((needed / per_s).min(max_s)));
        ExpectedRoom {
            after,
            waiting_tokens,
        }
    }

    /// Returns the Retry-After of a refused request. `chance` is a random number from 0 to 1 that
    /// spreads callers who are refused at the same time.
    pub fn retry_after(
        &self,
        now: Now,
        ask: &PlacementRequest,
        room: ExpectedRoom,
        chance: f64,
    ) -> Duration {
        let level = &ask.level;
        let longest = level.deadline.saturating_sub(now) / MAX_FRACTION_OF_TIME_LEFT;
        let first_event = self.services.get(&ask.service).and_then(|r| r.first_event);
        let ready_by = now + first_event.unwrap_or_default();
        let in_time = (level.arrived + level.objective).saturating_sub(ready_by);
        let expected = room.after.unwrap_or(UNKNOWN_RETRY_AFTER);
        let earliest = expected.max(MIN_RETRY_AFTER);
        let (from, to) = match earliest <= in_time {
            true => (earliest, (earliest + earliest.mul_f64(SPREAD)).min(in_time)),
            false => {
                let from = earliest.max(longest.mul_f64(LATE_FROM));
                (from.min(longest.mul_f64(1.0 - SPREAD)), longest)
            }
        };
        let told = from + to.saturating_sub(from).mul_f64(chance);
        told.max(MIN_RETRY_AFTER).min(longest)
    }

    /// Returns the first and the last time of return of the callers for whose retries memory is
    /// kept free now.
    pub fn due_period(now: Now) -> (Now, Now) {
        (now.saturating_sub(PLACE_MARGIN), now + RESERVED_AHEAD)
    }

    /// Returns the tokens that retries of the rank of a request, or a more urgent one, are about to
    /// ask for. `due_elsewhere` is the number of those that other instances refused.
    pub fn due_tokens(&self, now: Now, ask: &PlacementRequest, due_elsewhere: usize) -> u64 {
        let Some(room) = self.services.get(&ask.service) else {
            return 0;
        };
        let (from, to) = Self::due_period(now);
        let own = room.tokens_between(from, to, ask.level.rank);
        own + self.estimated_tokens(now, ask, due_elsewhere)
    }

    /// Removes the places of callers that have not come back in time.
    pub fn expire(&mut self, now: Now) {
        let end = now.saturating_sub(PLACE_MARGIN);
        for room in self.services.values_mut() {
            room.places = room.places.split_off(&(end, 0));
        }
    }

    /// Estimates the tokens of requests that other instances refused, as far as they are of the
    /// service and the rank of `ask` or a more urgent one: as among the requests refused here, or
    /// among all requests if none was refused here.
    fn estimated_tokens(&self, now: Now, ask: &PlacementRequest, count: usize) -> u64 {
        let refused = |demand: &Demand| demand.refused;
        let asked = |demand: &Demand| demand.asked;
        let mean = self.mean_tokens(now, ask, refused);
        let mean = mean.or_else(|| self.mean_tokens(now, ask, asked));
        (mean.unwrap_or(0.0) * count as f64) as u64
    }

    fn mean_tokens(
        &self,
        now: Now,
        ask: &PlacementRequest,
        part: impl Fn(&Demand) -> Decayed,
    ) -> Option<f64> {
        let demands = self
            .services
            .values()
            .flat_map(|room| room.demands.values());
        let counts = demands.map(|demand| part(demand).count * part(demand).weight(now));
        let count: f64 = counts.sum();
        let room = self.services.get(&ask.service)?;
        let relevant = room.demands.range(..=ask.level.rank);
        let tokens = relevant.map(|(_, demand)| part(demand).tokens * part(demand).weight(now));
        (count >= MIN_SAMPLES).then(|| tokens.sum::<f64>() / count)
    }

    fn room_of(&mut self, now: Now, ask: &PlacementRequest) -> &mut ServiceRoom {
        let slot = self.services.entry(ask.service.clone());
        slot.or_insert_with(|| ServiceRoom {
            since: now,
            ..ServiceRoom::default()
        })
    }
}

/// Returns the tokens that a request is expected to hold in memory, which are a whole number.
fn tokens_of(ask: &PlacementRequest) -> u64 {
    ask.memory_tokens() as u64
}
