//! Handles server notices: a backend server states in an answer that it is draining, or that it
//! backs off this instance for a time. A notice applies to one incarnation of the server.
//! Draining is advertised to the other instances, since it applies to all of them. A backoff is
//! not: the server requested it because of the requests of this instance, and informs the other
//! instances in its answers to them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
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

/// Maximum time after a backoff over which the retries of refused callers are spread; for shorter
/// backoffs it is the time left. Without the spread, all callers would retry at the same moment.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(5);

/// Send restrictions, checked by the tasks that send requests, also for requests that were placed
/// earlier.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SendRestrictions {
    /// Listed incarnations that accept new work, with their addresses: nothing new is sent to
    /// others.
    pub accepting: BTreeMap<IncarnationId, SocketAddr>,
    /// Incarnations that reported that they are draining.
    pub leaving: BTreeSet<IncarnationId>,
    /// Incarnations that are backing off, with the end of the backoff: nothing is sent.
    pub resting: BTreeMap<IncarnationId, Now>,
    /// Incarnations with a request limit: each send needs permission.
    pub limited: BTreeSet<IncarnationId>,
}

impl SendRestrictions {
    /// Whether new work may be sent to a replica that was taken from the list earlier: it is still
    /// listed at its address and not draining.
    pub fn accepts_new_work(&self, replica: &Replica) -> bool {
        self.accepting.get(&replica.life()) == Some(&replica.address)
    }

    /// Returns when the backoff of an incarnation ends, if it is backing off now.
    pub fn backoff_until(&self, now: Now, incarnation: IncarnationId) -> Option<Now> {
        self.resting
            .get(&incarnation)
            .copied()
            .filter(|until| now < *until)
    }
}

/// Backoffs that backend servers requested of this instance in their answers.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerBackoffs {
    by_incarnation: BTreeMap<IncarnationId, ServerBackoff>,
    /// Increases when a server requests a backoff.
    version: u64,
}

impl ServerBackoffs {
    pub(super) fn may_send(&self, now: Now, incarnation: IncarnationId) -> bool {
        let backoff = self.by_incarnation.get(&incarnation);
        backoff.is_none_or(|backoff| backoff.may_send(now))
    }

    pub(super) fn is_backing_off(&self, now: Now, incarnation: IncarnationId) -> bool {
        let backoff = self.by_incarnation.get(&incarnation);
        backoff.is_some_and(|backoff| !backoff.left(now).is_zero())
    }

    pub(super) fn sent(&mut self, now: Now, incarnation: IncarnationId, request: &str) {
        if let Some(backoff) = self.by_incarnation.get_mut(&incarnation) {
            backoff.sent(now, request);
        }
    }

    pub(super) fn gone(&mut self, request: &str) {
        for backoff in self.by_incarnation.values_mut() {
            backoff.gone(request);
        }
    }

    pub(super) fn served(&mut self, request: &str) {
        self.by_incarnation
            .retain(|_, backoff| !backoff.is_ended_by(request));
    }
}

impl GatewayControl {
    /// Applies a server notice from an answer; returns the session moves that follow from it. A
    /// late notice of an earlier incarnation does not affect the listed one. A notice of an
    /// incarnation that is not listed is kept, since the list may be late.
    pub fn observe_notice(
        &mut self,
        now: Now,
        server: &ServerLife,
        notice: &ServerNotice,
    ) -> Option<Vec<Evacuation>> {
        if let Some(backoff) = notice.rest() {
            let known = self.backoffs.by_incarnation.entry(server.life).or_default();
            known.asked(now, backoff);
            self.backoffs.version += 1;
        }
        match notice.is_leaving {
            true => self.report_draining(now, server, true),
            false => None,
        }
    }

    /// Increases whenever the send restrictions change, except when a backoff ends.
    pub fn restrictions_version(&self) -> u64 {
        self.backoffs.version + self.limits.version() + self.list.version()
    }

    /// Returns the current send restrictions.
    pub fn send_restrictions(&self, now: Now) -> SendRestrictions {
        let backoffs = self.backoffs.by_incarnation.iter();
        let resting = backoffs.filter(|(_, backoff)| !backoff.left(now).is_zero());
        SendRestrictions {
            accepting: self.list.accepting(),
            leaving: self.list.draining_incarnations(now),
            resting: resting
                .map(|(incarnation, backoff)| (*incarnation, backoff.until()))
                .collect(),
            limited: self.limits.lives(),
        }
    }

    /// Returns the number of backend servers that are backing off now.
    pub fn resting(&self, now: Now) -> usize {
        let backoffs = self.backoffs.by_incarnation.values();
        backoffs
            .filter(|backoff| !backoff.left(now).is_zero())
            .count()
    }

    /// Returns whether the backoff of a replica, if any, permits sending a request.
    pub(super) fn backoff_permits(&self, now: Now, replica: &Replica) -> bool {
        self.backoffs.may_send(now, replica.life())
    }

    /// Returns the Retry-After for a request that could not be placed or sent: the time until
    /// the first backoff ends if none takes requests now, else the forecast of room if the engines
    /// are full, else `otherwise`.
    pub fn caller_retry_after(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        otherwise: Duration,
    ) -> Duration {
        let left = self.shortest_wait(now, ask);
        match left {
            Some(left) => self.spread(left),
            None => self.refused_retry_after(now, ask, otherwise),
        }
    }

    /// Returns the refusal of a request if all replicas that could take it are backing off.
    pub(super) fn all_backing_off(&mut self, now: Now, ask: &PlacementRequest) -> Option<Refusal> {
        let left = self.shortest_wait(now, ask)?;
        let retry_after = self.spread(left);
        Some(Refusal::resting(&ask.service, retry_after))
    }

    /// Returns the shortest time until the backoff of an eligible replica ends, or until its
    /// request limit permits one more; `None` if a replica takes requests now or there is none.
    fn shortest_wait(&self, now: Now, ask: &PlacementRequest) -> Option<Duration> {
        let serving = self.list.serving(now).filter(|r| r.service == ask.service);
        let open = serving.filter(|r| self.is_open(r) && self.is_in_home_region(r, ask));
        let left = |replica: &Replica| {
            let backoff = self.backoffs.by_incarnation.get(&replica.life())?;
            match backoff.left(now) {
                left if !left.is_zero() => Some(left),
                // A trial request is in flight.
                _ if !backoff.may_send(now) => Some(FULL_RETRY_AFTER),
                _ => None,
            }
        };
        let left = |replica: &Replica| left(replica).or_else(|| self.time_until_turn(now, replica));
        let lefts: Option<Vec<Duration>> = open.map(left).collect();
        lefts?.into_iter().min()
    }

    /// Adds a random delay to the time left of a backoff.
    fn spread(&mut self, left: Duration) -> Duration {
        left + left.min(MAX_RETRY_SPREAD).mul_f64(self.chance())
    }

    /// Returns a random number from 0 to 1.
    pub(super) fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// Removes expired backoffs of incarnations that are no longer listed.
    pub(super) fn forget_backoffs(&mut self, now: Now) {
        if self.backoffs.by_incarnation.is_empty() {
            return;
        }
        let listed = self.list.lives();
        let backoffs = &mut self.backoffs.by_incarnation;
        backoffs.retain(|incarnation, backoff| {
            listed.contains(incarnation) || !backoff.left(now).is_zero()
        });
    }
}
