//! Counts the bytes that this process holds for others.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use iristhread_core::HeldMemory;
use iristhread_core::MemoryKind;
use iristhread_core::WorkspaceId;

use crate::gateway::gateway_metrics::GatewayMetrics;

/// The bytes that this process holds for others.
pub struct Memory {
    held: Mutex<HeldMemory>,
    metrics: Arc<GatewayMetrics>,
}

impl Memory {
    /// Creates an empty account.
    pub fn new(metrics: Arc<GatewayMetrics>) -> Arc<Self> {
        Arc::new(Memory {
            held: Mutex::default(),
            metrics,
        })
    }

    /// Returns the same bytes, which count as held until the last copy of them is dropped.
    pub fn counted(self: &Arc<Self>, kind: MemoryKind, workspace: &str, bytes: Bytes) -> Bytes {
        let size = bytes.len() as u64;
        self.change(kind, |held| held.add(kind, workspace, size));
        Bytes::from_owner(Counted {
            bytes,
            kind,
            workspace: workspace.to_owned(),
            memory: self.clone(),
        })
    }

    fn change(&self, kind: MemoryKind, change: impl FnOnce(&mut HeldMemory)) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut held);
        self.metrics.memory.holds(&held, kind);
    }
}

struct Counted {
    bytes: Bytes,
    kind: MemoryKind,
    workspace: WorkspaceId,
    memory: Arc<Memory>,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let size = self.bytes.len() as u64;
        let workspace = &self.workspace;
        self.memory
            .change(self.kind, |held| held.remove(self.kind, workspace, size));
    }
}
