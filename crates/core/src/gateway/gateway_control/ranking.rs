//! Which replicas may take a request, in what order.

use std::collections::BTreeSet;

use rand_core::Rng;

use super::GatewayControl;
use crate::LoadShare;
use crate::Now;
use crate::PlacementRequest;
use crate::Replica;
use crate::ReplicaScore;
use crate::ScoreContext;
use crate::ZoneId;
use crate::score;

/// Replicas offered to one request, the best first: enough that one of them is
/// there when two engines are gone and not yet known to be.
const RANKED: usize = 4;

impl GatewayControl {
    /// The best few. When the first is in another availability zone, the best of
    /// this one is the second: that zone may be cut off.
    pub(super) fn ranked(&self, scores: Vec<ReplicaScore>) -> Vec<Replica> {
        let scores = scores.into_iter();
        let mut replicas: Vec<Replica> = scores.map(|score| score.replica).collect();
        let is_near = |replica: &Replica| replica.availability_zone == self.terms.zone;
        let near = replicas.iter().position(is_near);
        if let Some(place) = near.filter(|place| *place > 1) {
            let replica = replicas.remove(place);
            replicas.insert(1, replica);
        }
        replicas.truncate(RANKED);
        replicas
    }

    /// The replicas that may take a request, the cheapest first, seen from the
    /// zone of this instance.
    pub(super) fn scores(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        besides: Option<&str>,
    ) -> Vec<ReplicaScore> {
        let zone = self.terms.zone.clone();
        self.scores_from_zone(now, ask, besides, &zone)
    }

    /// The same seen from a zone.
    pub(super) fn scores_from_zone(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        besides: Option<&str>,
        zone: &str,
    ) -> Vec<ReplicaScore> {
        let Some(table) = self.table.clone() else {
            return Vec::new();
        };
        let Some(service) = table.config().service(&ask.service) else {
            return Vec::new();
        };
        let engine = service.engine.as_ref();
        let own = self.shares();
        let mut scores = Vec::new();
        let replicas: Vec<Replica> = self
            .list
            .serving(now)
            .filter(|replica| replica.service == ask.service)
            .filter(|replica| Some(replica.id.as_str()) != besides)
            .filter(|replica| self.is_open(replica) && self.is_in_home_region(replica, ask))
            .filter(|replica| self.has_rested(now, replica))
            .filter(|replica| self.may_send_cold(now, replica, service.cold_per_s))
            .cloned()
            .collect();
        let pause_of = |id: &str| self.pauses.get(id).copied().unwrap_or_default();
        let reachable = |r: &Replica| !self.watch.is_unreachable(now, &r.id);
        let replicas: Vec<Replica> = match replicas.iter().any(reachable) {
            true => replicas.into_iter().filter(reachable).collect(),
            false => replicas,
        };
        let zones = replicas.iter().map(|r| r.availability_zone.clone());
        let zones: BTreeSet<ZoneId> = zones.collect();
        // When all are paused, trying one of them beats refusing; those that take no more under
        // their limits may turn out to be of no use.
        let mut unlimited = replicas.iter().filter(|r| !self.limits.has(r.life()));
        let all_paused = unlimited.all(|r| pause_of(&r.id).is_backing_off(now));
        for replica in replicas {
            let pause = self.pauses.get(&replica.id).copied().unwrap_or_default();
            if pause.is_backing_off(now) && !all_paused {
                continue;
            }
            let context = ScoreContext {
                now,
                zone,
                zones: &zones,
                engine,
                ask,
                cold_for: self.list.cold_for(now, &replica.id),
                noise: f64::from(self.random.next_u32()) / f64::from(u32::MAX),
                by_relays: self.peers.by_relays(),
            };
            let mut load: LoadShare = own.get(&replica.id).copied().unwrap_or_default();
            load.add(&self.peers.on(&replica.id));
            if load.requests >= service.max_connections {
                // Each request has a connection; the replica would reset it.
                continue;
            }
            scores.push(score(&replica, load, &pause, &context));
        }
        scores.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        scores
    }
}
