//! Bounds retries to a fraction of the new requests.

use std::collections::HashMap;

/// Retries that one new request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum balance of a key, which is also the initial balance of a new key.
const MAX_SAVED: f64 = 10.0;

/// A retry budget per key (workspace, service or backend server). By default each
/// new request adds a tenth of a retry, so retries amplify the load by a factor of
/// at most 1.1 in the long run.
#[derive(Debug)]
pub struct RetryBudget {
    per_request: f64,
    max_saved: f64,
    balances: HashMap<String, f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::with_parameters(RETRIES_PER_REQUEST, MAX_SAVED)
    }
}

impl RetryBudget {
    /// Creates a budget to which each new request adds `per_request` retries, up to
    /// a balance of `max_saved`.
    pub fn with_parameters(per_request: f64, max_saved: f64) -> Self {
        RetryBudget {
            per_request,
            max_saved,
            balances: HashMap::new(),
        }
    }

    /// Sets the number of retries that each new request adds.
    pub fn set_per_request(&mut self, per_request: f64) {
        self.per_request = per_request;
    }

    /// Sets the maximum balance and reduces balances that exceed it.
    pub fn set_max_saved(&mut self, max_saved: f64) {
        self.max_saved = max_saved;
        for balance in self.balances.values_mut() {
            *balance = balance.min(max_saved);
        }
    }

    /// Adds the retries of one new request to the balance of `key`.
    pub fn earn(&mut self, key: &str) {
        let (per_request, max_saved) = (self.per_request, self.max_saved);
        let balance = self.entry(key);
        *balance = (*balance + per_request).min(max_saved);
    }

    /// Spends one retry of each key and returns `true`; if a key has less than one left, spends
    /// none and returns `false`.
    pub fn spend(&mut self, keys: &[&str]) -> bool {
        let enough = keys.iter().all(|key| *self.entry(key) >= 1.0);
        if enough {
            for key in keys {
                *self.entry(key) -= 1.0;
            }
        }
        enough
    }

    /// Removes the keys for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.balances.retain(|key, _| keep(key));
    }

    fn entry(&mut self, key: &str) -> &mut f64 {
        self.balances
            .entry(key.to_owned())
            .or_insert(self.max_saved)
    }
}
