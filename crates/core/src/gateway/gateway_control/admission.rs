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

/// When room for a request is expected, and the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomForecast {
    /// Tokens that requests before it wait for, at all instances.
    pub tokens_ahead: f64,
    /// Tokens per second that end at all instances and that more urgent requests don't need.
    pub freed_per_s: f64,
    /// Time until there is room for it; `None` if no end of a request is expected.
    pub wait: Option<Duration>,
    /// Time after which it could no longer be served in time.
    pub until: Now,
}

impl GatewayControl {
    /// Decides whether a request is placed, waits for room or is refused.
    pub fn admit(&mut self, now: Now, ask: PlacementRequest) -> Admission {
        self.rank_demand.arrived(now, &ask);
        if !(self.may_wait(&ask) && self.is_preceded(now, &ask)) {
            let placed = match self.shares_room(&ask) {
                true => self.place_within_part(now, ask.clone()),
                false => self.place_arrived(now, ask.clone()),
            };
            match placed {
                Ok(ranking) => return Admission::Placed(ranking),
                Err(refusal) if refusal.kind != RefusalKind::QueueFull || !self.may_wait(&ask) => {
                    return Admission::Refused(refusal);
                }
                Err(_) => {}
            }
        }
        self.wait_or_refuse(now, ask)
    }

    /// Returns the decisions about waiting requests that can be made now: those that are placed and
    /// those that can no longer be served in time.
    pub fn admit_waiting(&mut self, now: Now) -> Vec<(RequestId, Admission)> {
        let late = self.waiting.take(|waiting| now >= waiting.until);
        let late = late.into_iter().map(|waiting| {
            let message = format!("no engine of {} had room in time", waiting.ask.service);
            let refusal = Refusal::new(RefusalKind::Deadline, FULL_RETRY_AFTER, message);
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

    /// Returns when room for a request is expected.
    pub fn room_forecast(&mut self, now: Now, ask: &PlacementRequest) -> RoomForecast {
        let tokens_ahead = self.tokens_ahead(now, ask);
        let instances = (self.peers.count() + 1) as f64;
        let own_per_s = self
            .rank_demand
            .freed_per_s(now, &ask.service, ask.level.rank);
        let freed_per_s = own_per_s * instances;
        let needed = tokens_ahead + ask.memory_tokens();
        let wait = Duration::try_from_secs_f64(needed / freed_per_s).ok();
        let level = &ask.level;
        let first_event = self.first_event_forecast(ask);
        RoomForecast {
            tokens_ahead,
            freed_per_s,
            wait,
            until: (level.arrived + level.objective).saturating_sub(first_event),
        }
    }

    /// Returns the refusal of a request for which no engine has room.
    pub(super) fn full_refusal(&self, ask: &PlacementRequest) -> Refusal {
        Refusal::new(
            RefusalKind::QueueFull,
            FULL_RETRY_AFTER,
            format!("the engines of {} have no memory left", ask.service),
        )
    }

    /// Returns whether the content of a request was refused before. No instance tells the others
    /// what it refused yet.
    pub(super) fn is_retry(&self, _ask: &PlacementRequest) -> bool {
        false
    }

    /// Returns whether a request is of a kind that may wait for room.
    pub(super) fn may_wait(&self, ask: &PlacementRequest) -> bool {
        let is_stream = ask.class == RequestClass::Stream && ask.memory_tokens() > 0.0;
        is_stream && self.parameters.max_waiting > 0
    }

    /// Lets a request wait if room is expected in time.
    fn wait_or_refuse(&mut self, now: Now, ask: PlacementRequest) -> Admission {
        let forecast = self.room_forecast(now, &ask);
        let left = forecast.until.saturating_sub(now);
        let in_time = forecast.wait.is_some_and(|wait| wait < left);
        let refusal = self.full_refusal(&ask);
        let is_retry = self.is_retry(&ask);
        let max_waiting = self.parameters.max_waiting;
        let until = forecast.until;
        match in_time && self.waiting.push(max_waiting, ask, until, is_retry) {
            true => Admission::Waiting { until },
            false => Admission::Refused(refusal),
        }
    }

    /// Returns the time from the send of a request to its first event, as the mean of those that
    /// this instance saw; zero if it saw none.
    fn first_event_forecast(&self, ask: &PlacementRequest) -> Duration {
        let rank = ask.level.rank;
        self.rank_demand.first_event(&ask.service, rank)
    }
}
