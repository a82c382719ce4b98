//! Load of backend servers and memory of the engines of a service, as all instances use them.

use super::GatewayControl;
use crate::EngineTraits;
use crate::LoadShare;
use crate::LoadShares;
use crate::Now;
use crate::Replica;

impl GatewayControl {
    /// Returns the load that all instances put on a replica; `own` are the shares of this instance.
    pub(super) fn total_load(&self, own: &LoadShares, id: &str) -> LoadShare {
        let mut load = own.get(id).copied().unwrap_or_default();
        load.add(&self.peers.on(id));
        load
    }

    /// Returns the replicas of a service that accept new work.
    pub(super) fn serving_of<'a>(
        &'a self,
        now: Now,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Replica> {
        let serving = self.list.serving(now);
        serving.filter(move |replica| replica.service == service)
    }

    /// Returns the number of replicas of a service that accept new work.
    pub(super) fn count_serving(&self, now: Now, service: &str) -> usize {
        self.serving_of(now, service).count()
    }

    /// Returns the traits of the engines of a service; `None` if it has none.
    pub(super) fn engine_traits(&self, service: &str) -> Option<&EngineTraits> {
        let table = self.table.as_ref()?;
        table.config().service(service)?.engine.as_ref()
    }

    /// Returns the memory of all serving engines of a service, in tokens; 0 if it has none.
    pub(super) fn service_memory(&self, now: Now, service: &str) -> u64 {
        self.engine_traits(service).map_or(0, |engine| {
            let engines = self.count_serving(now, service) as u64;
            engine.memory_tokens.saturating_mul(engines)
        })
    }
}
