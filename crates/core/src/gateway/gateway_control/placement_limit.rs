//! The part of the memory of engines that new requests may use.

use super::GatewayControl;
use crate::Now;
use crate::PlacementRequest;

impl GatewayControl {
    /// Returns the fraction of an engine's memory up to which a new request may use it:
    /// `memory_limit` less what is kept free for more urgent ranks, for retries and for moves.
    pub fn placement_limit(&mut self, now: Now, ask: &PlacementRequest) -> f64 {
        let limit = self.parameters.memory_limit;
        let kept = match self.is_retry(ask) {
            // Callers retry only once, so nothing is kept free of a retry but the room for moves.
            true => 0.0,
            false => self.rank_headroom(now, ask) + self.retry_headroom(now, ask),
        };
        let limit = match kept <= 0.0 || self.leaves_free(now, ask, kept) {
            true => limit,
            // A request that is larger than what is left may still use an engine without load.
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
        let free = self.serving_of(now, service).map(|replica| {
            let used = self.total_load(&own, &replica.id).memory_tokens();
            (self.parameters.memory_limit - used as f64 / capacity).max(0.0)
        });
        let free: Vec<f64> = free.collect();
        free.iter().sum::<f64>() / free.len().max(1) as f64
    }
}
