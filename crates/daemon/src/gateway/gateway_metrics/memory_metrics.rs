//! Metrics of the memory that is held for requests and connections.

use iristhread_core::MemoryBudget;
use iristhread_core::MemoryKind;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::GatewayMetrics;
use super::Kind;
use crate::process::memory::MemoryObserver;

/// Metrics of the memory that is held for requests and connections.
#[derive(Debug, Default)]
pub struct MemoryMetrics {
    held_bytes: Family<Kind, Gauge>,
    capacity_bytes: Gauge,
    most_held_bytes: Gauge,
    refusals: Family<Kind, Counter>,
    given_up: Counter,
}

impl MemoryMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let held = self.held_bytes.clone();
        registry.register("held_bytes", "Bytes held in memory by kind", held);
        let capacity = self.capacity_bytes.clone();
        registry.register("held_bytes_limit", "Bytes that may be held", capacity);
        let most = self.most_held_bytes.clone();
        registry.register("most_held_bytes", "Most bytes held at once", most);
        let refusals = self.refusals.clone();
        registry.register("memory_refusals", "Claims of memory refused", refusals);
        let given_up = self.given_up.clone();
        registry.register("bodies_given_up", "Retained bodies given up", given_up);
    }
}

impl MemoryObserver for GatewayMetrics {
    fn changed(&self, budget: &MemoryBudget, kind: MemoryKind) {
        let metrics = &self.memory;
        let signed = |bytes: u64| i64::try_from(bytes).unwrap_or(i64::MAX);
        let held = budget.held();
        let labels = Kind {
            kind: kind.as_str(),
        };
        let of_kind = metrics.held_bytes.get_or_create(&labels);
        of_kind.set(signed(held.of_kind(kind)));
        metrics.capacity_bytes.set(signed(budget.capacity_bytes()));
        let most = signed(held.total_bytes()).max(metrics.most_held_bytes.get());
        metrics.most_held_bytes.set(most);
    }

    fn refused(&self, kind: MemoryKind) {
        let labels = Kind {
            kind: kind.as_str(),
        };
        self.memory.refusals.get_or_create(&labels).inc();
    }

    fn given_up(&self, count: usize) {
        self.memory.given_up.inc_by(count as u64);
    }
}
