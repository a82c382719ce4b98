//! Metrics of the retry times that refused callers are told.

use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::Kind;

/// Bucket bounds of Retry-After, in seconds: from 0.1 s, which an instance that stops tells, to 20 s,
/// a third of a time-out of one minute.
const RETRY_BOUNDS_S: [f64; 9] = [0.1, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 13.0, 20.0];

/// Refusals by whether the request was a retry, and the Retry-After that callers were told.
#[derive(Debug)]
pub struct RetryMetrics {
    refused: Family<Kind, Counter>,
    retry_after: Histogram,
}

impl Default for RetryMetrics {
    fn default() -> Self {
        RetryMetrics {
            refused: Family::default(),
            retry_after: Histogram::new(RETRY_BOUNDS_S),
        }
    }
}

impl RetryMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let refused = self.refused.clone();
        registry.register("refused_tries", "Refusals by first try or retry", refused);
        let told = self.retry_after.clone();
        registry.register("retry_after_seconds", "Retry-After of refusals", told);
    }

    /// Counts a refusal before anything was sent.
    pub fn refused(&self, is_retry: bool) {
        let kind = match is_retry {
            true => "retry",
            false => "first",
        };
        self.refused.get_or_create(&Kind { kind }).inc();
    }

    /// Observes the Retry-After that a refused caller is told.
    pub fn told(&self, retry_after: Duration) {
        self.retry_after.observe(retry_after.as_secs_f64());
    }
}
