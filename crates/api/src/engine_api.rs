//! The engines' interface.
//!
//! `POST /generate` starts an attempt (or attaches to it when it is there),
//! `GET /generate/GENERATION/ATTEMPT?reader=R` attaches from position 0,
//! `DELETE` of the same cancels it unless a newer reader has attached,
//! `GET /load` answers a `LoadReport`, `POST /orders` takes a [`FencedOrder`].

use serde::Deserialize;
use serde::Serialize;

/// Starts an attempt of a generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The generation; the same over all attempts.
    pub generation: String,
    /// Counts attempts from 1.
    pub attempt: u32,
    /// Model.
    pub model: String,
    /// Adapter, if any.
    pub adapter: Option<String>,
    /// Prompt.
    pub prompt: String,
    /// Tokens of earlier attempts; generation goes on after them.
    pub received: Vec<String>,
    /// Most tokens in all attempts together.
    pub max_tokens: u32,
    /// Higher gives way later.
    pub priority: u8,
    /// Names who reads; the newest reader alone may cancel.
    pub reader: String,
}

/// Why an engine ended a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model ended it.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

impl EndReason {
    /// The form of `finish_reason` towards callers.
    pub fn as_str(self) -> &'static str {
        match self {
            EndReason::Stop => "stop",
            EndReason::Length => "length",
        }
    }
}

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EngineEvent {
    /// A token.
    Token {
        /// Generation that it belongs to.
        generation: String,
        /// Attempt that it belongs to.
        attempt: u32,
        /// Place in the answer, from 0.
        position: u32,
        /// Its text.
        text: String,
    },
    /// The session was displaced; it goes on by itself when memory is free.
    Preempted {
        /// Generation that it belongs to.
        generation: String,
        /// Attempt that it belongs to.
        attempt: u32,
    },
    /// The generation is complete.
    End {
        /// Generation that it belongs to.
        generation: String,
        /// Attempt that it belongs to.
        attempt: u32,
        /// Tokens in all attempts together.
        total: u32,
        /// Why it ended.
        reason: EndReason,
    },
}

/// An order that states the whole target of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// An engine that checks refuses a fence lower than one it has seen.
    pub fence: u64,
    /// Models to serve.
    pub models: Vec<String>,
    /// Adapters to hold.
    pub adapters: Vec<String>,
}

/// Faults of the engine stand-in, set by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Exit when any session has this many tokens; 0 exits at once.
    pub die_at_token: Option<u32>,
    /// Exit once a session with this prompt runs.
    pub die_under_prompt: Option<String>,
    /// Generate nothing while connections stay open.
    pub stall: bool,
    /// Factor on the time of a step.
    pub slow_factor: u32,
    /// Refuse new sessions with 503.
    pub refuse: bool,
    /// The time to come back that such a refusal names.
    pub retry_after: Option<String>,
    /// Say in the answers to new sessions that the engine is leaving; take them.
    pub say_leaving: bool,
    /// The requests a second that the answers to new sessions name as the limit.
    pub say_limit: Option<String>,
    /// Send each token twice.
    pub duplicate: bool,
    /// Send tokens of a foreign generation in between.
    pub cross: bool,
    /// Close each connection after this many tokens.
    pub reset_after: Option<u32>,
    /// Close connections instead of sending the end mark.
    pub omit_end: bool,
    /// Skip every token whose position is a multiple of this.
    pub skip_every: Option<u32>,
    /// Repeat the last load report for ever.
    pub freeze_reports: bool,
    /// Say in load reports that the engine is leaving.
    pub leaving: bool,
}
