//! Ranks the replicas that may take a request.

use std::collections::BTreeSet;

use rand_core::Rng;

use super::GatewayControl;
use crate::Now;
use crate::PlacementRequest;
use crate::Replica;
use crate::ReplicaScore;
use crate::ScoreContext;
use crate::ZoneId;
use crate::score;

/// Maximum number of replicas offered to a request: enough that one is available when two engines
/// are gone without this being known yet.
const MAX_RANKED: usize = 4;

impl GatewayControl {
    /// Returns the best `MAX_RANKED` replicas. If the first one is in a remote zone, the best of
    /// the local zone is placed second, since the remote zone may be cut off.
    pub(super) fn ranked(&self, scores: Vec<ReplicaScore>) -> Vec<Replica> {
        let scores = scores.into_iter();
        let mut replicas: Vec<Replica> = scores.map(|score| score.replica).collect();
        let is_local = |replica: &Replica| replica.availability_zone == self.parameters.zone;
        let local = replicas.iter().position(is_local);
        if let Some(index) = local.filter(|index| *index > 1) {
            let replica = replicas.remove(index);
            replicas.insert(1, replica);
        }
        replicas.truncate(MAX_RANKED);
        replicas
    }

    /// Returns the replicas that may take a request, in order of cost as seen from the local zone.
    /// `excluded` excludes one replica.
    pub(super) fn scores(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        excluded: Option<&str>,
    ) -> Vec<ReplicaScore> {
        let zone = self.parameters.zone.clone();
        self.scores_from_zone(now, ask, excluded, &zone)
    }

    /// Returns the same as `scores`, with costs as seen from `zone`.
    pub(super) fn scores_from_zone(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        excluded: Option<&str>,
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
            .filter(|replica| Some(replica.id.as_str()) != excluded)
            .filter(|replica| self.is_open(replica) && self.is_in_home_region(replica, ask))
            .filter(|replica| self.backoff_permits(now, replica))
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
        // If all replicas are in failure backoff, trying one is better than refusing the request.
        // Limited replicas are not considered here, since they may take no request now.
        let mut unlimited = replicas.iter().filter(|r| !self.limits.has(r.life()));
        let all_paused = unlimited.all(|r| pause_of(&r.id).is_backing_off(now));
        for replica in replicas {
            let pause = self.pauses.get(&replica.id).copied().unwrap_or_default();
            if pause.is_backing_off(now) && !all_paused {
                continue;
            }
            let load = self.total_load(&own, &replica.id);
            let context = ScoreContext {
                now,
                zone,
                zones: &zones,
                engine,
                ask,
                cold_for: self.list.cold_for(now, &replica.id),
                noise: f64::from(self.random.next_u32()) / f64::from(u32::MAX),
                by_relays: self.peers.uses_relays(),
                speed: self.speed_of(&replica, &load),
            };
            if load.requests >= service.max_connections {
                // Each request uses a connection, and the replica would reset an additional one.
                continue;
            }
            scores.push(score(&replica, load, &pause, &context));
        }
        scores.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        scores
    }
}
