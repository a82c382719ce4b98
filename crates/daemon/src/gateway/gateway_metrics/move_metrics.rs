//! Gauges of the memory that is kept free for sessions that must move.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Gauges of the memory kept free for moves, and of the sessions that need it.
#[derive(Debug, Default)]
pub struct MoveMetrics {
    headroom: Gauge<f64, AtomicU64>,
    seeking_sessions: Gauge,
}

impl MoveMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "move_headroom",
            "Share of memory kept for moves",
            self.headroom.clone(),
        );
        registry.register(
            "seeking_sessions",
            "Sessions that must move and have no target",
            self.seeking_sessions.clone(),
        );
    }

    /// Sets the highest share of memory of a service that is kept for moves, and the number of
    /// sessions of this instance that must move and have no target.
    pub fn set(&self, headroom: f64, seeking_sessions: usize) {
        self.headroom.set(headroom);
        self.seeking_sessions
            .set(i64::try_from(seeking_sessions).unwrap_or(i64::MAX));
    }
}
