//! The bytes that a process holds for others, by kind and by workspace.

use std::collections::BTreeMap;

use crate::WorkspaceId;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemoryKind {
    /// Bodies of callers' requests.
    RequestBody,
    /// Bodies of buffered answers, until their callers have read them.
    Answer,
    /// Events of streams, until their callers have read them.
    Events,
    /// Buffers of callers' connections.
    Connection,
    /// Heads of requests that are larger than the buffer of their connection.
    Head,
    /// Buffers of connections that are carried for peers.
    Carried,
}

impl MemoryKind {
    /// All kinds.
    pub const ALL: [MemoryKind; 6] = [
        MemoryKind::RequestBody,
        MemoryKind::Answer,
        MemoryKind::Events,
        MemoryKind::Connection,
        MemoryKind::Head,
        MemoryKind::Carried,
    ];

    /// Label value used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MemoryKind::RequestBody => "request_body",
            MemoryKind::Answer => "answer",
            MemoryKind::Events => "events",
            MemoryKind::Connection => "connection",
            MemoryKind::Head => "head",
            MemoryKind::Carried => "carried",
        }
    }
}

/// Sums of the bytes that are held.
#[derive(Clone, Debug, Default)]
pub struct HeldMemory {
    total_bytes: u64,
    by_kind: BTreeMap<MemoryKind, u64>,
    by_workspace: BTreeMap<WorkspaceId, u64>,
}

impl HeldMemory {
    /// Counts bytes as held for a workspace.
    pub fn add(&mut self, kind: MemoryKind, workspace: &str, bytes: u64) {
        self.total_bytes += bytes;
        *self.by_kind.entry(kind).or_default() += bytes;
        match self.by_workspace.get_mut(workspace) {
            Some(held) => *held += bytes,
            None => {
                self.by_workspace.insert(workspace.to_owned(), bytes);
            }
        }
    }

    /// Counts bytes as no longer held.
    pub fn remove(&mut self, kind: MemoryKind, workspace: &str, bytes: u64) {
        self.total_bytes = self.total_bytes.saturating_sub(bytes);
        if let Some(held) = self.by_kind.get_mut(&kind) {
            *held = held.saturating_sub(bytes);
        }
        let Some(held) = self.by_workspace.get_mut(workspace) else {
            return;
        };
        *held = held.saturating_sub(bytes);
        if *held == 0 {
            self.by_workspace.remove(workspace);
        }
    }

    /// Returns the bytes that are held in sum.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Returns the bytes that are held of one kind.
    pub fn of_kind(&self, kind: MemoryKind) -> u64 {
        self.by_kind.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the bytes that are held for one workspace.
    pub fn of_workspace(&self, workspace: &str) -> u64 {
        self.by_workspace.get(workspace).copied().unwrap_or(0)
    }
}
