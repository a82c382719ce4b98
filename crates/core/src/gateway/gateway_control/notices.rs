//! What backend servers say of themselves in their answers: that they leave, or that they
//! want nothing from this instance for a time. It binds this instance towards that life of
//! the server. That it leaves is told the others, since it holds for all; a rest is not:
//! the server asked for it in view of this instance's requests, and answers the others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand_core::Rng;

use super::Evacuation;
use super::FULL_RETRY_AFTER;
use super::GatewayControl;
use crate::IncarnationId;
use crate::Now;
use crate::PlacementRequest;
use crate::Refusal;
use crate::Replica;
use crate::ServerBackoff;
use crate::ServerLife;
use crate::ServerNotice;

/// Longest time after a rest over which callers that were refused because of it are spread;
/// for shorter rests it is what is left of them. Told the same moment, they would all come
/// back in it.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(5);

/// What the tasks that send must know at once, also of requests that were placed before.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SendRestrictions {
    /// Lives that leave: nothing new is sent.
    pub leaving: BTreeSet<IncarnationId>,
    /// Until when lives rest: nothing at all is sent.
    pub resting: BTreeMap<IncarnationId, Now>,
    /// Lives that named limits: each send asks.
    pub limited: BTreeSet<IncarnationId>,
}

impl SendRestrictions {
    /// When the rest of a life is over, if it rests now.
    pub fn backoff_until(&self, now: Now, life: IncarnationId) -> Option<Now> {
        self.resting
            .get(&life)
            .copied()
            .filter(|until| now < *until)
    }
}

/// What this instance was asked for by answers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerBackoffs {
    by_life: BTreeMap<IncarnationId, ServerBackoff>,
    /// Rises when a server asks for rest.
    version: u64,
}

impl ServerBackoffs {
    pub(super) fn may_send(&self, now: Now, life: IncarnationId) -> bool {
        let rest = self.by_life.get(&life);
        rest.is_none_or(|rest| rest.may_send(now))
    }

    pub(super) fn rests(&self, now: Now, life: IncarnationId) -> bool {
        let rest = self.by_life.get(&life);
        rest.is_some_and(|rest| !rest.left(now).is_zero())
    }

    pub(super) fn sent(&mut self, now: Now, life: IncarnationId, request: &str) {
        if let Some(rest) = self.by_life.get_mut(&life) {
            rest.sent(now, request);
        }
    }

    pub(super) fn gone(&mut self, request: &str) {
        for rest in self.by_life.values_mut() {
            rest.gone(request);
        }
    }

    pub(super) fn served(&mut self, request: &str) {
        self.by_life.retain(|_, rest| !rest.is_ended_by(request));
    }
}

impl GatewayControl {
    /// Notes what an answer said of its backend server; returns what sessions must do.
    /// Late words of an earlier life say nothing of what is listed, and are kept in case
    /// the list is late, too.
    pub fn noticed(
        &mut self,
        now: Now,
        server: &ServerLife,
        notice: &ServerNotice,
    ) -> Option<Vec<Evacuation>> {
        if let Some(rest) = notice.rest() {
            let known = self.rests.by_life.entry(server.life).or_default();
            known.asked(now, rest);
            self.rests.version += 1;
        }
        match notice.is_leaving {
            true => self.leaves(now, server, true),
            false => None,
        }
    }

    /// Rises whenever there is more or less that may not be sent, but for rests that are over.
    pub fn restrictions_version(&self) -> u64 {
        self.rests.version + self.limits.version() + self.list.draining_version()
    }

    /// What may not be sent now.
    pub fn send_restrictions(&self, now: Now) -> SendRestrictions {
        let rests = self.rests.by_life.iter();
        let resting = rests.filter(|(_, rest)| !rest.left(now).is_zero());
        SendRestrictions {
            leaving: self.list.draining_incarnations(now),
            resting: resting.map(|(life, rest)| (*life, rest.until())).collect(),
            limited: self.limits.lives(),
        }
    }

    /// Backend servers that rest now.
    pub fn resting(&self, now: Now) -> usize {
        let rests = self.rests.by_life.values();
        rests.filter(|rest| !rest.left(now).is_zero()).count()
    }

    /// Whether a replica may be sent a request as far as its rest goes.
    pub(super) fn has_rested(&self, now: Now, replica: &Replica) -> bool {
        self.rests.may_send(now, replica.life())
    }

    /// When a caller should come back whose request found nobody, placed or sent: at once
    /// where a backend server takes requests, else when the first rest is over.
    pub fn caller_retry_after(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        otherwise: Duration,
    ) -> Duration {
        let left = self.shortest_wait(now, ask);
        left.map_or(otherwise, |left| self.spread(left))
    }

    /// Why nobody takes a request, if that is because all who could have asked for rest.
    pub(super) fn all_rest(&mut self, now: Now, ask: &PlacementRequest) -> Option<Refusal> {
        let left = self.shortest_wait(now, ask)?;
        let retry_after = self.spread(left);
        Some(Refusal::resting(&ask.service, retry_after))
    }

    /// The shortest time until a replica that could take a request has rested, or takes one
    /// more under the limit that it named; `None` when one takes requests now, or there is none.
    fn shortest_wait(&self, now: Now, ask: &PlacementRequest) -> Option<Duration> {
        let serving = self.list.serving(now).filter(|r| r.service == ask.service);
        let open = serving.filter(|r| self.is_open(r) && self.is_in_home_region(r, ask));
        let left = |replica: &Replica| {
            let rest = self.rests.by_life.get(&replica.life())?;
            match rest.left(now) {
                left if !left.is_zero() => Some(left),
                // Another request tries it.
                _ if !rest.may_send(now) => Some(FULL_RETRY_AFTER),
                _ => None,
            }
        };
        let left = |replica: &Replica| left(replica).or_else(|| self.time_until_turn(now, replica));
        let lefts: Option<Vec<Duration>> = open.map(left).collect();
        lefts?.into_iter().min()
    }

    fn spread(&mut self, left: Duration) -> Duration {
        left + left.min(MAX_RETRY_SPREAD).mul_f64(self.chance())
    }

    /// A number from 0 to 1.
    pub(super) fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Drops rests that are over of lives that are listed no more.
    pub(super) fn forget_backoffs(&mut self, now: Now) {
        if self.rests.by_life.is_empty() {
            return;
        }
        let listed = self.list.lives();
        let rests = &mut self.rests.by_life;
        rests.retain(|life, rest| listed.contains(life) || !rest.left(now).is_zero());
    }
}
