//! Memory of engines that is kept free for requests of a more urgent rank.

use super::GatewayControl;
use crate::EngineTraits;
use crate::LoadShare;
use crate::Now;
use crate::PlacementRequest;

/// Largest fraction of an engine's memory that is kept free: at least as much is left to each rank,
/// so that none starves.
const MAX_HEADROOM: f64 = 0.5;

impl GatewayControl {
    /// Returns the fraction of an engine's memory up to which a new request may use it.
    pub fn placement_limit(&mut self, now: Now, ask: &PlacementRequest) -> f64 {
        let limit = self.parameters.memory_limit;
        let kept = match self.is_retry(ask) {
            // A caller that is refused twice is lost.
            true => 0.0,
            false => self.rank_headroom(now, ask) + self.retry_headroom(now, ask),
        };
        let limit = match kept <= 0.0 || self.leaves_free(now, ask, kept) {
            true => limit,
            // A request that is larger than the rest may still use an engine that has no load.
            false => (limit - kept).max(self.memory_share(ask)).min(limit),
        };
        limit - self.memory_headroom(now, &ask.service)
    }

    /// Returns the fraction of an engine's memory that a request needs.
    fn memory_share(&self, ask: &PlacementRequest) -> f64 {
        self.engine_traits(&ask.service).map_or(0.0, |engine| {
            ask.memory_tokens() / engine.memory_tokens.max(1) as f64
        })
    }

    /// Returns the fraction of an engine's memory that is kept free of a request, for requests of
    /// more urgent ranks that are expected.
    pub fn rank_headroom(&self, now: Now, ask: &PlacementRequest) -> f64 {
        if !self.parameters.rank_reserve {
            return 0.0;
        }
        let Some(engine) = self.engine_traits(&ask.service) else {
            return 0.0;
        };
        let engines = self.count_serving(now, &ask.service).max(1);
        let instances = self.peers.count() + 1;
        let need = self
            .rank_demand
            .more_urgent(now, &ask.service, ask.level.rank);
        let tokens = need.headroom_tokens(instances as f64 / engines as f64);
        let usable = self.parameters.memory_limit.min(1.0);
        (tokens / engine.memory_tokens.max(1) as f64).min(MAX_HEADROOM * usable)
    }

    /// Returns whether the engines of a service still have a fraction of their memory free on
    /// average if a request is placed. Others then find that room, though on another engine.
    fn leaves_free(&self, now: Now, ask: &PlacementRequest, fraction: f64) -> bool {
        let engines = self.count_serving(now, &ask.service).max(1) as f64;
        let free = self.mean_free_memory(now, &ask.service);
        free - self.memory_share(ask) / engines >= fraction
    }

    /// Returns the mean fraction of the memory of a service's engines that new requests may still
    /// use.
    fn mean_free_memory(&self, now: Now, service: &str) -> f64 {
        let Some(engine) = self.engine_traits(service) else {
            return 0.0;
        };
        let capacity = engine.memory_tokens.max(1) as f64;
        let own = self.shares();
        let serving = self.list.serving(now).filter(|r| r.service == service);
        let free = serving.map(|replica| {
            let own_tokens = own.get(&replica.id).map_or(0, LoadShare::memory_tokens);
            let used = own_tokens + self.peers.on(&replica.id).memory_tokens();
            (self.parameters.memory_limit - used as f64 / capacity).max(0.0)
        });
        let free: Vec<f64> = free.collect();
        free.iter().sum::<f64>() / free.len().max(1) as f64
    }

    /// Returns the number of servers of a service that accept new work.
    pub(super) fn count_serving(&self, now: Now, service: &str) -> usize {
        let serving = self.list.serving(now);
        serving.filter(|replica| replica.service == service).count()
    }

    /// Returns the traits of the engines of a service; `None` if it has none.
    pub(super) fn engine_traits(&self, service: &str) -> Option<&EngineTraits> {
        let table = self.table.as_ref()?;
        table.config().service(service)?.engine.as_ref()
    }
}
