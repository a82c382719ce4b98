//! Engine memory in use by workspace, for metrics.

use std::collections::BTreeMap;

use super::GatewayControl;
use crate::WorkspaceId;

impl GatewayControl {
    /// Returns the memory in tokens that the requests of this instance use at engines, with half of
    /// their expected further output, for the `max` workspaces that use the most.
    pub fn workspace_memory(&self, max: usize) -> Vec<(WorkspaceId, u64)> {
        let mut sums: BTreeMap<&WorkspaceId, u64> = BTreeMap::new();
        for run in self.runs.values() {
            if let Some(workspace) = &run.ask.level.workspace {
                *sums.entry(workspace).or_default() += run.memory_tokens();
            }
        }
        let mut largest: Vec<(&WorkspaceId, u64)> = sums.into_iter().collect();
        largest.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
        largest.truncate(max);
        let largest = largest.into_iter();
        largest
            .map(|(name, tokens)| (name.clone(), tokens))
            .collect()
    }
}
