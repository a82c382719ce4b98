//! Capacity and timing of the engine stand-in.

use std::time::Duration;

/// Settings of one engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Memory for running sessions, in tokens.
    pub memory_tokens: u64,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Maximum number of sessions decoded at once.
    pub max_batch: usize,
    /// Duration of one decoding step.
    pub step: Duration,
    /// Prompt tokens read per step.
    pub prefill_per_step: u32,
    /// Age of the load reports that are served.
    pub report_lag: Duration,
    /// Whether orders with a lower fence than one seen before are refused.
    pub checks_fences: bool,
    /// Time after which an unfinished session without a reader is dropped.
    pub orphan_grace: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            memory_tokens: 16_000,
            cache_tokens: 4_000,
            max_batch: 64,
            step: Duration::from_millis(10),
            prefill_per_step: 512,
            report_lag: Duration::from_millis(200),
            checks_fences: true,
            orphan_grace: Duration::from_secs(10),
        }
    }
}
