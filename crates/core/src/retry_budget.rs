//! Bounds retries to a share of the fresh requests.

use std::collections::HashMap;

/// Retries earned by one fresh request.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that may be saved up, and that a new key starts with.
const MAX_SAVED: f64 = 10.0;

/// A budget per key (workspace or backend server): each fresh request earns a
/// tenth of a retry, so load is amplified by at most 1.1 in the long run.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: HashMap<String, f64>,
}

impl RetryBudget {
    /// Notes a fresh request.
    pub fn earn(&mut self, key: &str) {
        let saved = self.entry(key);
        *saved = (*saved + RETRIES_PER_REQUEST).min(MAX_SAVED);
    }

    /// Spends one retry of every key, or of none when one has none left.
    pub fn spend(&mut self, keys: &[&str]) -> bool {
        let enough = keys.iter().all(|key| *self.entry(key) >= 1.0);
        if enough {
            for key in keys {
                *self.entry(key) -= 1.0;
            }
        }
        enough
    }

    /// Forgets the keys that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.saved.retain(|key, _| keep(key));
    }

    fn entry(&mut self, key: &str) -> &mut f64 {
        self.saved.entry(key.to_owned()).or_insert(MAX_SAVED)
    }
}
