//! An engine's report of its own load, which arrives with a delay.

use serde::Deserialize;
use serde::Serialize;

/// Load of one engine at the time of the report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Sequence number of the report; an engine whose reports are frozen repeats it.
    pub sequence: u64,
    /// Memory available for generation, in tokens.
    pub memory_tokens: u64,
    /// Memory in use, in tokens.
    pub used_tokens: u64,
    /// Number of sessions being decoded.
    pub running: u32,
    /// Number of sessions queued inside the engine.
    pub waiting: u32,
    /// Duration of one decoding step in milliseconds.
    pub step_ms: f64,
    /// Number of sessions preempted since the engine started.
    pub preemptions: u64,
    /// Whether the engine is draining.
    pub leaving: bool,
    /// Adapters that the engine has loaded.
    pub adapters: Vec<String>,
}
