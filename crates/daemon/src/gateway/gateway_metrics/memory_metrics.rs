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

    /// Sets what is held of one kind, and the capacity.
    pub fn changed(&self, budget: &MemoryBudget, kind: MemoryKind) {
        let signed = |bytes: u64| i64::try_from(bytes).unwrap_or(i64::MAX);
        let held = budget.held();
        let of_kind = self.held_bytes.get_or_create(&label(kind));
        of_kind.set(signed(held.of_kind(kind)));
        self.capacity_bytes.set(signed(budget.capacity_bytes()));
        let most = signed(held.total_bytes()).max(self.most_held_bytes.get());
        self.most_held_bytes.set(most);
    }

    /// Counts a claim that was refused.
    pub fn refused(&self, kind: MemoryKind) {
        self.refusals.get_or_create(&label(kind)).inc();
    }
}

fn label(kind: MemoryKind) -> Kind {
    Kind {
        kind: kind.as_str(),
    }
}

impl MemoryObserver for GatewayMetrics {
    fn changed(&self, budget: &MemoryBudget, kind: MemoryKind) {
        self.memory.changed(budget, kind);
    }

    fn refused(&self, kind: MemoryKind) {
        self.memory.refused(kind);
    }

    fn given_up(&self, count: usize) {
        self.memory.given_up.inc_by(count as u64);
    }
}
