//! Bounds retries to a share of the fresh requests.

use std::collections::HashMap;

/// Retries earned by one fresh request.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Retries that may be saved up, and that a new key starts with.
const MAX_SAVED: f64 = 10.0;

/// A budget per key (workspace, service or backend server). By default each
/// fresh request earns a tenth of a retry, so load is amplified by at most 1.1
/// in the long run.
#[derive(Debug)]
pub struct RetryBudget {
    per_request: f64,
    max_saved: f64,
    saved: HashMap<String, f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::with_parameters(RETRIES_PER_REQUEST, MAX_SAVED)
    }
}

impl RetryBudget {
    /// A budget in which each fresh request earns `per_request` retries and at
    /// most `max_saved` are saved up.
    pub fn with_parameters(per_request: f64, max_saved: f64) -> Self {
        RetryBudget {
            per_request,
            max_saved,
            saved: HashMap::new(),
        }
    }

    /// Changes how many retries each fresh request earns.
    pub fn set_per_request(&mut self, per_request: f64) {
        self.per_request = per_request;
    }

    /// Changes how many retries may be saved up.
    pub fn set_max_saved(&mut self, max_saved: f64) {
        self.max_saved = max_saved;
        for saved in self.saved.values_mut() {
            *saved = saved.min(max_saved);
        }
    }

    /// Notes a fresh request.
    pub fn earn(&mut self, key: &str) {
        let (per_request, max_saved) = (self.per_request, self.max_saved);
        let saved = self.entry(key);
        *saved = (*saved + per_request).min(max_saved);
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
        self.saved.entry(key.to_owned()).or_insert(self.max_saved)
    }
}
