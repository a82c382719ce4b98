//! Gauges of the speed of backend servers.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of the speed of backend servers. They have no label for the server, since each server
/// would add time series at the metrics collector.
#[derive(Debug, Default)]
pub struct SpeedMetrics {
    fastest: Gauge<f64, AtomicU64>,
    slowest: Gauge<f64, AtomicU64>,
    slow: Gauge,
}

impl SpeedMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        let fastest = self.fastest.clone();
        registry.register("fastest_relative_time", "Of the fastest server", fastest);
        let slowest = self.slowest.clone();
        registry.register("slowest_relative_time", "Of the slowest server", slowest);
        let slow = self.slow.clone();
        registry.register("slow_servers", "Servers that count as slow", slow);
    }

    /// Sets the gauges from the relative times of the servers that were timed and the number of
    /// those that count as slow. Without any, the relative times are 1.
    pub fn set(&self, relative_times: impl Iterator<Item = f64>, slow: usize) {
        let extremes = relative_times.fold(None, |extremes: Option<(f64, f64)>, time| {
            let (fastest, slowest) = extremes.unwrap_or((time, time));
            Some((fastest.min(time), slowest.max(time)))
        });
        let (fastest, slowest) = extremes.unwrap_or((1.0, 1.0));
        self.fastest.set(fastest);
        self.slowest.set(slowest);
        self.slow.set(i64::try_from(slow).unwrap_or(i64::MAX));
    }
}
