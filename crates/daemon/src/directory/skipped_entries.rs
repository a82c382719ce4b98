//! Entries of the directory that can't be read: told once for each writing.

use std::collections::BTreeMap;

use slog::Logger;
use slog::info;

use crate::directory::SkippedEntry;
use crate::gateway::gateway_metrics::GatewayMetrics;

/// Keys remembered; beyond, the oldest in their order are told again.
const MOST_KEYS: usize = 1_024;

/// What one reader has told already.
#[derive(Debug, Default)]
pub struct SkippedEntries {
    told: BTreeMap<String, u64>,
}

impl SkippedEntries {
    /// Logs and counts the entries that are news.
    pub fn note(&mut self, log: &Logger, metrics: &GatewayMetrics, entries: &[SkippedEntry]) {
        for entry in entries {
            let told = self.told.insert(entry.key.clone(), entry.revision);
            if told == Some(entry.revision) {
                continue;
            }
            if self.told.len() > MOST_KEYS {
                self.told.pop_first();
            }
            metrics.entry_skipped();
            // Not a warning: whoever else writes there must not flood the logs.
            info!(log, "entry of the directory can't be used";
                "key" => &entry.key, "revision" => entry.revision, "cause" => &entry.reason);
        }
    }
}
