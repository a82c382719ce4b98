//! Admission of requests: which are placed now, which wait for room and which are refused.

use std::time::Duration;

use super::FULL_RETRY_AFTER;
use super::GatewayControl;
use crate::Now;
use crate::PlacementRequest;
use crate::Ranking;
use crate::Refusal;
use crate::RefusalKind;
use crate::RequestClass;
use crate::RequestId;

/// Decision about a request.
#[derive(Clone, Debug)]
pub enum Admission {
    /// It goes to the first replica of the ranking.
    Placed(Ranking),
    /// It waits for room, until the given time at most.
    Waiting {
        /// Time after which it could no longer be served in time.
        until: Now,
    },
    /// It is refused; nothing was sent.
    Refused(Refusal),
}

/// When a request that waits at this instance is expected to get room, and the figures behind it.
/// [`RoomForecast`](crate::RoomForecast) is for callers who were refused and come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitForecast {
    /// Tokens that requests before it wait for, at all instances.
    pub tokens_ahead: f64,
    /// Tokens per second that end at all instances and that more urgent requests don't need.
    pub freed_per_s: f64,
    /// Time until there is room for it; `None` if no end of a request is expected.
    pub wait: Option<Duration>,
    /// Time after which it could no longer be served in time.
    pub until: Now,
}

/// Why a request was not placed.
#[derive(Clone, Debug)]
pub(super) enum NotPlaced {
    /// No engine has memory for it now.
    NoMemory,
    /// No backend server takes it, with free memory or without.
    Refused(Refusal),
}

impl From<Refusal> for NotPlaced {
    fn from(refusal: Refusal) -> Self {
        NotPlaced::Refused(refusal)
    }
}

impl GatewayControl {
    /// Ranks the replicas for a new request and counts it as sent to the first. The request doesn't
    /// wait for room.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no replica can take the request; nothing was counted as sent.
    pub fn place(&mut self, now: Now, ask: PlacementRequest) -> Result<Ranking, Refusal> {
        self.note_arrival(now, &ask);
        self.place_arrived(now, ask.clone())
            .map_err(|cause| self.refusal(now, &ask, cause))
    }

    /// Decides whether a request is placed, waits for room or is refused.
    pub fn admit(&mut self, now: Now, ask: PlacementRequest) -> Admission {
        self.note_arrival(now, &ask);
        let may_wait = self.may_wait(&ask);
        if !(may_wait && self.is_preceded(now, &ask)) {
            let placed = match self.shares_room(&ask) {
                true => self.place_within_part(now, ask.clone()),
                false => self.place_arrived(now, ask.clone()),
            };
            match placed {
                Ok(ranking) => return Admission::Placed(ranking),
                Err(NotPlaced::NoMemory) if may_wait => {}
                Err(cause) => return Admission::Refused(self.refusal(now, &ask, cause)),
            }
        }
        self.wait_or_refuse(now, ask)
    }

    /// Returns the decisions about waiting requests that can be made now: those that are placed and
    /// those that are refused, because they can no longer be served in time or by any server.
    pub fn admit_waiting(&mut self, now: Now) -> Vec<(RequestId, Admission)> {
        let late = self.waiting.take(|waiting| now >= waiting.until);
        let late = late.into_iter().map(|waiting| {
            let mut refusal = self.full_refusal(now, &waiting.ask);
            refusal.kind = RefusalKind::Deadline;
            refusal.message = format!("no engine of {} had room in time", waiting.ask.service);
            (waiting.ask.request, Admission::Refused(refusal))
        });
        let mut decided: Vec<(RequestId, Admission)> = late.collect();
        if self.waiting.begin_attempt(now) {
            self.refuse_quarantined(now, &mut decided);
            for service in self.waiting.services() {
                self.place_waiting(now, &service, &mut decided);
            }
        }
        decided
    }

    /// Removes a waiting request whose caller has left.
    pub fn withdraw_waiting(&mut self, request: &str) {
        self.waiting.remove(request);
    }

    /// Refuses all waiting requests, because the instance stops.
    pub fn refuse_waiting(&mut self, _now: Now) -> Vec<(RequestId, Refusal)> {
        let refusal = Refusal::new(
            RefusalKind::QueueFull,
            FULL_RETRY_AFTER,
            "the instance stops; no engine had room yet",
        );
        let all = self.waiting.take(|_| true).into_iter();
        all.map(|waiting| (waiting.ask.request, refusal.clone()))
            .collect()
    }

    /// Returns the number of requests that wait for room.
    pub fn waiting(&self) -> usize {
        self.waiting.count()
    }

    /// Returns when room for a request that waits is expected.
    pub fn wait_forecast(&mut self, now: Now, ask: &PlacementRequest) -> WaitForecast {
        let tokens_ahead = self.tokens_ahead(now, ask);
        let instances = (self.peers.count() + 1) as f64;
        let own_per_s = self
            .rank_demand
            .freed_per_s(now, &ask.service, ask.level.rank);
        let freed_per_s = own_per_s * instances;
        let needed = tokens_ahead + ask.memory_tokens();
        // Fails if nothing becomes free: the quotient is infinite.
        let wait = Duration::try_from_secs_f64(needed / freed_per_s).ok();
        let level = &ask.level;
        let first_event = self.first_event_forecast(ask);
        WaitForecast {
            tokens_ahead,
            freed_per_s,
            wait,
            until: (level.arrived + level.objective).saturating_sub(first_event),
        }
    }

    /// Returns the refusal of a request that was not placed.
    fn refusal(&mut self, now: Now, ask: &PlacementRequest, cause: NotPlaced) -> Refusal {
        match cause {
            NotPlaced::NoMemory => self.full_refusal(now, ask),
            NotPlaced::Refused(refusal) => refusal,
        }
    }

    /// Counts a request that asks for memory, whether it is placed or not.
    fn note_arrival(&mut self, now: Now, ask: &PlacementRequest) {
        self.rank_demand.arrived(now, ask);
        self.note_retry_arrival(now, ask);
    }

    /// Returns whether a request is of a kind that may wait for room.
    pub(super) fn may_wait(&self, ask: &PlacementRequest) -> bool {
        let is_stream = ask.class == RequestClass::Stream && ask.memory_tokens() > 0.0;
        is_stream && self.parameters.max_waiting > 0
    }

    /// Lets a request wait if room is expected in time.
    fn wait_or_refuse(&mut self, now: Now, ask: PlacementRequest) -> Admission {
        let forecast = self.wait_forecast(now, &ask);
        let left = forecast.until.saturating_sub(now);
        let in_time = forecast.wait.is_some_and(|wait| wait < left);
        let is_retry = self.is_retry(&ask);
        let max_waiting = self.parameters.max_waiting;
        let until = forecast.until;
        match in_time && self.waiting.push(max_waiting, ask.clone(), until, is_retry) {
            true => Admission::Waiting { until },
            false => Admission::Refused(self.full_refusal(now, &ask)),
        }
    }

    /// Returns the time from the send of a request to its first event, as the mean of those that
    /// this instance saw; zero if it saw none.
    fn first_event_forecast(&self, ask: &PlacementRequest) -> Duration {
        let rank = ask.level.rank;
        self.rank_demand.first_event(&ask.service, rank)
    }
}
