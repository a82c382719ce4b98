//! Refusals for lack of memory: when their callers should come back, and the memory that is kept
//! free for them.

use std::time::Duration;

use super::FULL_RETRY_AFTER;
use super::GatewayControl;
use crate::AdvertisedRefusal;
use crate::ExpectedRoom;
use crate::Now;
use crate::OwnRun;
use crate::PlacementRequest;
use crate::Refusal;
use crate::RefusalKind;
use crate::RefusedContents;
use crate::RoomForecast;
use crate::RunEnd;
use crate::ToldRefusals;

/// Maximum fraction of the memory of a service that is kept free for retries: if more is due, first
/// tries compete with them, so that new callers are still served.
const MAX_RETRY_HEADROOM: f64 = 0.2;

/// What this instance knows of refused requests and of the room for their retries.
#[derive(Debug, Default)]
pub(super) struct Retries {
    room: RoomForecast,
    refused: RefusedContents,
}

impl GatewayControl {
    /// Returns whether a request with the same content was refused lately for lack of memory, by
    /// this or another instance.
    pub fn is_retry(&self, ask: &PlacementRequest) -> bool {
        self.parameters.forecast_retry_after && self.retries.refused.contains(ask.fingerprint)
    }

    /// Applies refused contents that a peer advertises; `is_remote` is whether the peer is in
    /// another zone.
    pub fn apply_peer_refusals(
        &mut self,
        now: Now,
        advertised: &[AdvertisedRefusal],
        is_remote: bool,
    ) {
        if self.parameters.forecast_retry_after {
            let refused = &mut self.retries.refused;
            refused.apply_advertised(now, advertised, is_remote);
        }
    }

    /// Returns the refused contents to advertise.
    pub fn advertised_refusals(&mut self, now: Now, is_relay: bool) -> ToldRefusals {
        self.retries.refused.told(now, is_relay)
    }

    /// Returns the refusal of a request because no engine has memory for it. With
    /// `forecast_retry_after` its caller gets a place in the order of retries.
    pub(super) fn full_refusal(&mut self, now: Now, ask: &PlacementRequest) -> Refusal {
        let message = format!("the engines of {} have no memory left", ask.service);
        let mut refusal = Refusal::new(RefusalKind::QueueFull, FULL_RETRY_AFTER, message);
        if self.parameters.forecast_retry_after {
            let (retry_after, room) = self.reserve_retry(now, ask);
            refusal.retry_after = retry_after;
            refusal.room = Some(room);
        }
        refusal
    }

    /// Returns the Retry-After of a request that engines refused; `otherwise` if one seems to have
    /// memory for it.
    pub(super) fn refused_retry_after(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        otherwise: Duration,
    ) -> Duration {
        if !self.parameters.forecast_retry_after {
            return otherwise;
        }
        let limit = self.parameters.memory_limit;
        let scores = self.scores(now, ask, None);
        match scores.is_empty() || scores.iter().any(|score| score.memory <= limit) {
            true => otherwise,
            false => self.reserve_retry(now, ask).0,
        }
    }

    /// Records a request that is about to be placed or refused.
    pub(super) fn note_retry_arrival(&mut self, now: Now, ask: &PlacementRequest) {
        if !self.parameters.forecast_retry_after {
            return;
        }
        match self.is_retry(ask) {
            true => self.retries.room.returned(ask),
            false => self.retries.room.asked(now, ask),
        }
    }

    /// Records that a request was placed. Its content counts as refused no more.
    pub(super) fn note_placed(&mut self, ask: &PlacementRequest) {
        self.retries.refused.served(ask.fingerprint);
    }

    /// Records that the memory of a session became free.
    pub(super) fn note_freed(&mut self, now: Now, run: &OwnRun, end: RunEnd) {
        if self.parameters.forecast_retry_after && end != RunEnd::Refused {
            let first_event = run.begun_at.map(|at| at.saturating_sub(run.sent_at));
            self.retries.room.freed(now, &run.ask, first_event);
        }
    }

    /// Removes refused callers that have not come back in time.
    pub(super) fn forget_retries(&mut self, now: Now) {
        self.retries.room.expire(now);
        self.retries.refused.expire(now);
    }

    /// Returns the fraction of the memory that a request leaves free for the retries of its rank
    /// and more urgent ones that are due soon; 0 for a retry.
    pub(super) fn retry_headroom(&self, now: Now, ask: &PlacementRequest) -> f64 {
        if !self.parameters.forecast_retry_after || self.is_retry(ask) {
            return 0.0;
        }
        let (from, to) = RoomForecast::due_period(now);
        let due_elsewhere = self.retries.refused.count_due_elsewhere(from, to);
        let due = self.retries.room.due_tokens(now, ask, due_elsewhere);
        match self.service_memory(now, &ask.service) {
            0 => 0.0,
            memory => (due as f64 / memory as f64).min(MAX_RETRY_HEADROOM),
        }
    }

    /// Determines when the caller of a refused request should come back, and keeps its place in
    /// the order of retries.
    fn reserve_retry(&mut self, now: Now, ask: &PlacementRequest) -> (Duration, ExpectedRoom) {
        let chance = self.chance();
        let instances = self.peers.count() + 1;
        let Retries { room, refused } = &mut self.retries;
        // Half, so that margins can be added without overflow.
        let any_time = Now::MAX / 2;
        let waiting_elsewhere = refused.count_due_elsewhere(now, any_time);
        let expected = room.expected(now, ask, waiting_elsewhere, instances);
        let retry_after = room.retry_after(now, ask, expected, chance);
        room.refused(now, ask, retry_after);
        refused.refused_here(now, ask.fingerprint, retry_after);
        (retry_after, expected)
    }
}
