//! Metrics of the memory that is held for requests and connections.

use iristhread_core::HeldMemory;
use iristhread_core::MemoryKind;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::Kind;

/// Metrics of the memory that is held for requests and connections.
#[derive(Debug, Default)]
pub struct MemoryMetrics {
    held_bytes: Family<Kind, Gauge>,
}

impl MemoryMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let held = self.held_bytes.clone();
        registry.register("held_bytes", "Bytes held in memory by kind", held);
    }

    /// Sets what is held of one kind.
    pub fn holds(&self, held: &HeldMemory, kind: MemoryKind) {
        let labels = Kind {
            kind: kind.as_str(),
        };
        let bytes = i64::try_from(held.of_kind(kind)).unwrap_or(i64::MAX);
        self.held_bytes.get_or_create(&labels).set(bytes);
    }
}
