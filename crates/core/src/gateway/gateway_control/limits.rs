//! Keeps the sends of this instance to limited servers within its share of the limit. Everything
//! that reaches a server counts: first sends, retries, sessions, orders and queries.

use std::time::Duration;

use super::GatewayControl;
use crate::AdvertisedLimit;
use crate::BackendId;
use crate::LimitChange;
use crate::LoadShares;
use crate::Now;
use crate::ObservedNotice;
use crate::PlacementRequest;
use crate::Refusal;
use crate::Replica;
use crate::ReplicaScore;
use crate::RequestRate;
use crate::ServerLife;
use crate::ServerLimits;

/// Minimum Retry-After: a slot may become free sooner, but another caller may take it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl GatewayControl {
    /// Applies the limit that a server names or implies in an answer; returns the change, if any.
    pub fn observe_limit(
        &mut self,
        now: Now,
        server: &ServerLife,
        heard: &ObservedNotice,
    ) -> Option<LimitChange> {
        let limit = self.implied_limit(now, server, heard)?;
        let earned = self.chance();
        self.limits.heard(now, server, limit, heard.sent_at, earned)
    }

    /// Applies the server limits that a peer advertises; returns the changes.
    pub fn apply_peer_limits(
        &mut self,
        now: Now,
        advertised: Vec<AdvertisedLimit>,
    ) -> Vec<(ServerLife, LimitChange)> {
        let mut changes = Vec::new();
        for advertised in advertised {
            let earned = self.chance();
            let change = self.limits.apply_advertised(now, &advertised, earned);
            changes.extend(change.map(|change| (advertised.server, change)));
        }
        changes
    }

    /// Returns whether an order, a query or an already placed request may be sent to a server
    /// now.
    pub fn may_send(&mut self, now: Now, server: &ServerLife, request: &str) -> bool {
        self.limits.consume_grant(now, request, server.life) || self.request_grant(now, server)
    }

    /// Returns the demand of all other instances for a limited server. Instances that have not
    /// advertised theirs since the limit was named, because it is new or they are silent, are
    /// assumed to have the same demand as this one.
    pub fn demand_of_others(&self, now: Now, server: &ServerLife) -> RequestRate {
        let advertised = self.peers.demand_for(&server.id);
        let Some(since) = self.limits.limited_since(server.life) else {
            return advertised;
        };
        let own = self.limits.wanted(now, server.life);
        advertised.plus(own.times(self.peers.count_silent_since(since)))
    }

    /// Returns the known limits of servers.
    pub fn limits(&self) -> &ServerLimits {
        &self.limits
    }

    /// Returns the limits to advertise.
    pub fn advertised_limits(&mut self, now: Now, is_relay: bool) -> Vec<AdvertisedLimit> {
        self.limits.told(now, is_relay)
    }

    /// Returns the load that this instance puts on the replicas and its demand for limited ones,
    /// as advertised to the other instances.
    pub fn advertised_shares(&mut self, now: Now) -> LoadShares {
        let mut shares = self.shares();
        for (id, wanted) in self.limits.advertise_demand(now) {
            shares.entry(id).or_default().wanted = wanted;
        }
        shares
    }

    /// Returns whether the demand of this instance for limited servers should be advertised at
    /// once.
    pub fn is_demand_update(&self, now: Now) -> bool {
        self.limits.is_news(now)
    }

    /// Skips limited replicas that are ranked before the first one that may be sent a request now.
    /// Returns the remaining and the skipped replicas.
    pub(super) fn skip_limited(
        &mut self,
        now: Now,
        ranked: Vec<ReplicaScore>,
    ) -> (Vec<ReplicaScore>, Vec<Replica>) {
        let mut ranked = ranked.into_iter();
        let mut passed_over = Vec::new();
        for score in ranked.by_ref() {
            if self.request_grant(now, &score.replica.server_life()) {
                let taken = std::iter::once(score).chain(ranked);
                return (taken.collect(), passed_over);
            }
            passed_over.push(score.replica);
        }
        (Vec::new(), passed_over)
    }

    /// Sorts limited replicas behind the others, since requests may have to wait there.
    pub(super) fn sort_limited_last(&self, replicas: &mut [Replica]) {
        if !self.limits.is_empty() {
            replicas.sort_by_key(|replica| self.limits.has(replica.life()));
        }
    }

    /// Returns the refusal of a request if all replicas that could take it are limited.
    pub(super) fn all_limited(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        all: &[Replica],
    ) -> Refusal {
        let turns = all.iter().filter_map(|replica| {
            let left = self.time_until_turn(now, replica)?;
            Some((left, replica.life()))
        });
        let first = turns.min_by_key(|(left, _)| *left);
        if let Some((left, incarnation)) = first {
            self.limits.reserve_turn(now, incarnation, left);
        }
        let left = first.map_or(MIN_RETRY_AFTER, |(left, _)| left);
        Refusal::limited(&ask.service, left.max(MIN_RETRY_AFTER))
    }

    /// Returns the time until this instance may send a limited replica one more request than the
    /// callers that already wait for it; `None` if it may send now.
    pub(super) fn time_until_turn(&self, now: Now, replica: &Replica) -> Option<Duration> {
        let others = self.demand_of_others(now, &replica.server_life());
        self.limits.time_until_turn(now, replica.life(), others)
    }

    /// Removes the limits of incarnations that have been gone for long.
    pub(super) fn forget_limits(&mut self, now: Now) {
        if self.limits.is_empty() {
            return;
        }
        let listed = self.list.lives();
        self.limits
            .expire(now, |incarnation| listed.contains(&incarnation));
    }

    /// Counts a request towards the demand for a server; returns whether it may be sent now.
    pub(super) fn request_grant(&mut self, now: Now, server: &ServerLife) -> bool {
        if !self.limits.has(server.life) {
            return true;
        }
        let others = self.demand_of_others(now, server);
        self.limits.request_grant(now, server.life, others)
    }
}

/// Returns the IDs of replicas, for logs.
pub(super) fn names(replicas: &[Replica]) -> Vec<BackendId> {
    replicas.iter().map(|replica| replica.id.clone()).collect()
}
