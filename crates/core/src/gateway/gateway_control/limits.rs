//! Keeps what this instance sends to servers that named a limit to its share of it. Whatever
//! reaches them counts: first sends, further tries, sessions, orders and questions.

use std::time::Duration;

use super::GatewayControl;
use crate::AdvertisedLimit;
use crate::BackendId;
use crate::DeclaredLimit;
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

/// Shortest time to come back that is told: a turn may come sooner, and be another's.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl GatewayControl {
    /// Notes what an answer says of its server's limit.
    pub fn limit_noticed(
        &mut self,
        now: Now,
        server: &ServerLife,
        heard: &ObservedNotice,
    ) -> Option<LimitChange> {
        let limit = heard.notice.limit;
        if limit == DeclaredLimit::Absent && !heard.reports_limits {
            return None;
        }
        let earned = self.chance();
        self.limits.heard(now, server, limit, heard.sent_at, earned)
    }

    /// Notes what a peer tells of servers' limits; returns what has changed.
    pub fn apply_peer_limits(
        &mut self,
        now: Now,
        told: Vec<AdvertisedLimit>,
    ) -> Vec<(ServerLife, LimitChange)> {
        let mut changes = Vec::new();
        for told in told {
            let earned = self.chance();
            let change = self.limits.apply_advertised(now, &told, earned);
            changes.extend(change.map(|change| (told.server, change)));
        }
        changes
    }

    /// Whether something may be sent to a server now: an order, a question, or a request that
    /// was placed before.
    pub fn may_send(&mut self, now: Now, server: &ServerLife, request: &str) -> bool {
        self.limits.consume_grant(now, request, server.life) || self.request_grant(now, server)
    }

    /// What all other instances want of a limited server. Those that could not say yet, since
    /// the limit is new or they fell silent before, are taken to want as much as this one.
    pub fn wanted_by_others(&self, now: Now, server: &ServerLife) -> RequestRate {
        let told = self.peers.demand_for(&server.id);
        let Some(since) = self.limits.limited_since(server.life) else {
            return told;
        };
        let own = self.limits.wanted(now, server.life);
        told.plus(own.times(self.peers.count_silent_since(since)))
    }

    /// The limits.
    pub fn limits(&self) -> &ServerLimits {
        &self.limits
    }

    /// What to tell the others of limits.
    pub fn advertised_limits(&mut self, now: Now, is_relay: bool) -> Vec<AdvertisedLimit> {
        self.limits.told(now, is_relay)
    }

    /// What this instance has put on the replicas and wants of limited ones, as the others
    /// are told it.
    pub fn advertised_shares(&mut self, now: Now) -> LoadShares {
        let mut shares = self.shares();
        for (id, wanted) in self.limits.advertise_demand(now) {
            shares.entry(id).or_default().wanted = wanted;
        }
        shares
    }

    /// Whether the others should hear at once what this instance wants of limited servers.
    pub fn is_demand_update(&self, now: Now) -> bool {
        self.limits.is_news(now)
    }

    /// Leaves out limited replicas that are ranked before the first that may be sent a
    /// request now. Returns the others, and those left out.
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

    /// Moves limited replicas behind the others: what is placed there may have to wait.
    pub(super) fn sort_limited_last(&self, replicas: &mut [Replica]) {
        if !self.limits.is_empty() {
            replicas.sort_by_key(|replica| self.limits.has(replica.life()));
        }
    }

    /// Why nobody takes a request, when all who could are limited.
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
        if let Some((left, life)) = first {
            self.limits.reserve_turn(now, life, left);
        }
        let left = first.map_or(MIN_RETRY_AFTER, |(left, _)| left);
        Refusal::limited(&ask.service, left.max(MIN_RETRY_AFTER))
    }

    /// Time until this instance may send a limited replica one more request than others were
    /// told to wait for; `None` if it may now.
    pub(super) fn time_until_turn(&self, now: Now, replica: &Replica) -> Option<Duration> {
        let others = self.wanted_by_others(now, &replica.server_life());
        self.limits.time_until_turn(now, replica.life(), others)
    }

    /// Drops what is known of limits of lives that are long gone.
    pub(super) fn forget_limits(&mut self, now: Now) {
        if self.limits.is_empty() {
            return;
        }
        let listed = self.list.lives();
        self.limits.expire(now, |life| listed.contains(&life));
    }

    pub(super) fn request_grant(&mut self, now: Now, server: &ServerLife) -> bool {
        if !self.limits.has(server.life) {
            return true;
        }
        let others = self.wanted_by_others(now, server);
        self.limits.request_grant(now, server.life, others)
    }
}

/// Names of replicas, for logs.
pub(super) fn names(replicas: &[Replica]) -> Vec<BackendId> {
    replicas.iter().map(|replica| replica.id.clone()).collect()
}
