//! What the plain service stand-in answers and counts.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Answer of one execution.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Unique number of the execution in this runner.
    pub execution: u64,
    /// Idempotency key that came with the call.
    pub key: String,
    /// Body of the call, so that a foreign answer can be told.
    pub echo: String,
}

/// Executions by idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Executions {
    /// How often each key was executed.
    pub by_key: BTreeMap<String, u64>,
    /// How often each body was executed.
    pub by_body: BTreeMap<String, u64>,
}

/// Faults of the plain service stand-in, set by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Close the connection before executing, this many times.
    pub drop_before: u32,
    /// Execute, then close the connection without an answer, this many times.
    pub drop_after: u32,
    /// Exit while executing.
    pub die: bool,
    /// Time that an execution takes, milliseconds.
    pub delay_ms: u64,
    /// Refuse with 503 before executing.
    pub refuse: bool,
    /// The time to come back that such a refusal names.
    pub retry_after: Option<String>,
    /// Say in all answers that the runner is leaving.
    pub say_leaving: bool,
    /// The requests a second that all answers name as the limit.
    pub say_limit: Option<String>,
}
