//! Logs directory entries that can't be parsed, once for each write.

use std::collections::BTreeMap;

use slog::Logger;
use slog::info;

use crate::directory::SkippedEntry;
use crate::gateway::gateway_metrics::GatewayMetrics;

/// Limit of remembered keys. Above it the first key in sort order is dropped, and its entry is
/// logged again.
const MAX_LOGGED_KEYS: usize = 1_024;

/// Entries that one reader has logged, as revisions by key.
#[derive(Debug, Default)]
pub struct SkippedEntries {
    logged: BTreeMap<String, u64>,
}

impl SkippedEntries {
    /// Logs and counts the entries that have not been logged before.
    pub fn note(&mut self, log: &Logger, metrics: &GatewayMetrics, entries: &[SkippedEntry]) {
        for entry in entries {
            let logged = self.logged.insert(entry.key.clone(), entry.revision);
            if logged == Some(entry.revision) {
                continue;
            }
            if self.logged.len() > MAX_LOGGED_KEYS {
                self.logged.pop_first();
            }
            metrics.entry_skipped();
            // Logged as info, not as a warning: other writers must not be able to flood the logs.
            info!(log, "entry of the directory can't be used";
                "key" => &entry.key, "revision" => entry.revision, "cause" => &entry.reason);
        }
    }
}
