//! Admission of requests: which are placed now, which wait for room and which are refused.

use super::GatewayControl;
use crate::Now;
use crate::PlacementRequest;
use crate::Ranking;
use crate::Refusal;
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

impl GatewayControl {
    /// Decides whether a request is placed, waits for room or is refused.
    pub fn admit(&mut self, now: Now, ask: PlacementRequest) -> Admission {
        match self.place(now, ask) {
            Ok(ranking) => Admission::Placed(ranking),
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    /// Returns the decisions about waiting requests that can be made now: those that are placed and
    /// those that can no longer be served in time.
    pub fn admit_waiting(&mut self, _now: Now) -> Vec<(RequestId, Admission)> {
        Vec::new()
    }

    /// Removes a waiting request whose caller has left.
    pub fn withdraw_waiting(&mut self, _request: &str) {}

    /// Refuses all waiting requests, because the instance stops.
    pub fn refuse_waiting(&mut self, _now: Now) -> Vec<(RequestId, Refusal)> {
        Vec::new()
    }
}
