//! Metrics of the admission of requests.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_core::WorkspaceId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::BOUNDS_S;
use super::Kind;

/// Label set of a metric of one workspace.
#[derive(Clone, Debug, Eq, EncodeLabelSet, Hash, PartialEq)]
struct OfWorkspace {
    workspace: WorkspaceId,
}

/// Metrics of requests that wait for room, and of the memory that workspaces use.
#[derive(Debug)]
pub struct AdmissionMetrics {
    waiting: Gauge,
    waits: Family<Kind, Histogram>,
    workspace_memory: Family<OfWorkspace, Gauge>,
    shown_workspaces: Mutex<BTreeSet<WorkspaceId>>,
}

impl Default for AdmissionMetrics {
    fn default() -> Self {
        AdmissionMetrics {
            waiting: Gauge::default(),
            waits: Family::new_with_constructor(|| Histogram::new(BOUNDS_S)),
            workspace_memory: Family::default(),
            shown_workspaces: Mutex::default(),
        }
    }
}

impl AdmissionMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let waiting = self.waiting.clone();
        registry.register("waiting", "Requests that wait for room", waiting);
        let waits = self.waits.clone();
        registry.register("waited_seconds", "Time waited for room", waits);
        let memory = self.workspace_memory.clone();
        registry.register("workspace_tokens", "Engine memory of workspaces", memory);
    }

    /// Sets the number of requests that wait for room.
    pub fn waiting(&self, count: usize) {
        self.waiting.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Observes the time for which a request waited; `kind` is how its wait ended.
    pub fn wait_ended(&self, kind: &'static str, waited: Duration) {
        let wait = self.waits.get_or_create(&Kind { kind });
        wait.observe(waited.as_secs_f64());
    }

    /// Sets the memory in tokens that workspaces use, and removes the workspaces that are not given.
    pub fn workspace_memory(&self, memory: Vec<(WorkspaceId, u64)>) {
        let shown = self.shown_workspaces.lock();
        let mut shown = shown.unwrap_or_else(PoisonError::into_inner);
        let before = std::mem::take(&mut *shown);
        for (workspace, tokens) in memory {
            let label = OfWorkspace { workspace };
            let gauge = self.workspace_memory.get_or_create(&label);
            gauge.set(i64::try_from(tokens).unwrap_or(i64::MAX));
            shown.insert(label.workspace);
        }
        for workspace in before.difference(&shown) {
            let workspace = workspace.clone();
            self.workspace_memory.remove(&OfWorkspace { workspace });
        }
    }
}
