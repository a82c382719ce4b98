//! Fair shares of the memory of a service by workspace.

use std::collections::BTreeMap;

use crate::WorkspaceId;
use crate::WorkspaceUse;

/// Max-min fair shares: each workspace may use as much as any other, and what some of them don't
/// ask for is shared by the rest.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceShares {
    /// Tokens that a workspace may use if it asks for them.
    share: f64,
    running: BTreeMap<WorkspaceId, f64>,
}

impl WorkspaceShares {
    /// Divides `memory_tokens` among the workspaces that use memory or wait for it.
    pub fn new(memory_tokens: f64, uses: &BTreeMap<WorkspaceId, WorkspaceUse>) -> Self {
        let wanted = uses
            .values()
            .map(|used| used.running_tokens + used.waiting_tokens);
        let mut wanted: Vec<u64> = wanted.collect();
        wanted.sort_unstable();
        let running = uses.iter();
        let running = running.map(|(name, used)| (name.clone(), used.running_tokens as f64));
        WorkspaceShares {
            share: max_min_share(memory_tokens, &wanted),
            running: running.collect(),
        }
    }

    /// Returns the part of its fair share that a workspace uses; above 1 it uses more.
    pub fn part_in_use(&self, workspace: &str) -> f64 {
        let running = self.running.get(workspace).copied().unwrap_or(0.0);
        running / self.share.max(1.0)
    }

    /// Counts further memory as in use by a workspace.
    pub fn use_more(&mut self, workspace: &str, tokens: f64) {
        *self.running.entry(workspace.to_owned()).or_default() += tokens;
    }
}

/// Returns the share up to which each of several demands, in ascending order, is met.
fn max_min_share(memory_tokens: f64, wanted: &[u64]) -> f64 {
    let mut left = memory_tokens;
    for (place, tokens) in wanted.iter().enumerate() {
        let equal = left / (wanted.len() - place) as f64;
        if *tokens as f64 >= equal {
            return equal;
        }
        left -= *tokens as f64;
    }
    // All demands are met; any of them may also use what is left.
    wanted.last().map_or(0.0, |most| *most as f64) + left.max(0.0)
}
