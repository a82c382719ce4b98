//! An engine's own report of its load, which arrives with a lag.

use serde::Deserialize;
use serde::Serialize;

/// Load of one engine at the time of the report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Counts the engine's reports; frozen reports repeat it.
    pub sequence: u64,
    /// Memory for generations, in tokens.
    pub memory_tokens: u64,
    /// Memory taken, in tokens.
    pub used_tokens: u64,
    /// Sessions being decoded.
    pub running: u32,
    /// Sessions waiting inside the engine.
    pub waiting: u32,
    /// Time of one decoding step, milliseconds.
    pub step_ms: f64,
    /// Sessions displaced since the engine started.
    pub preemptions: u64,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// Adapters that it holds.
    pub adapters: Vec<String>,
}
