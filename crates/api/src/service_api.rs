//! Messages of the plain service stand-in: responses, execution counts and faults.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Response of one execution.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Number of the execution, unique within this runner.
    pub execution: u64,
    /// Idempotency key of the call.
    pub key: String,
    /// Body of the call, so that a caller can detect the response to another call.
    pub echo: String,
}

/// Execution counts by idempotency key and by body.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Executions {
    /// Executions per idempotency key.
    pub by_key: BTreeMap<String, u64>,
    /// Executions per body.
    pub by_body: BTreeMap<String, u64>,
}

/// Faults of the plain service stand-in, set by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of calls whose connection is closed before the execution.
    pub drop_before: u32,
    /// Number of calls that are executed and whose connection is then closed without a response.
    pub drop_after: u32,
    /// Exit the process during an execution.
    pub die: bool,
    /// Duration of an execution in milliseconds.
    pub delay_ms: u64,
    /// Refuse with 503 before executing.
    pub refuse: bool,
    /// `Retry-After` header of such a refusal.
    pub retry_after: Option<String>,
    /// State in all responses that the runner is draining.
    pub say_leaving: bool,
    /// Limit in requests per second that all responses declare.
    pub say_limit: Option<String>,
}
