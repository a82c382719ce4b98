//! Messages of the engine interface.
//!
//! `POST /generate` starts an attempt, or attaches to it if it exists;
//! `GET /generate/GENERATION/ATTEMPT?reader=R` attaches from position 0;
//! `DELETE` on the same path cancels the attempt unless a newer reader has attached;
//! `GET /load` returns a `LoadReport`; `POST /orders` accepts a [`FencedOrder`].

use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /generate`, which starts an attempt of a generation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Id of the generation; the same for all attempts.
    pub generation: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Model to generate with.
    pub model: String,
    /// Adapter to apply to the model, if any.
    pub adapter: Option<String>,
    /// Text to continue.
    pub prompt: String,
    /// Tokens of earlier attempts; the generation continues after them.
    pub received: Vec<String>,
    /// Maximum number of tokens over all attempts together.
    pub max_tokens: u32,
    /// Priority; a session with a higher value is preempted later.
    pub priority: u8,
    /// Id of the reader; only the newest reader may cancel the attempt.
    pub reader: String,
}

/// Reason why an engine ended a generation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The model ended it.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

impl EndReason {
    /// Returns the value of `finish_reason` that callers receive.
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
    /// A generated token.
    Token {
        /// Id of the generation.
        generation: String,
        /// Number of the attempt.
        attempt: u32,
        /// Position of the token in the generation, from 0.
        position: u32,
        /// Text of the token.
        text: String,
    },
    /// The session was preempted; the engine resumes it when memory is free.
    Preempted {
        /// Id of the generation.
        generation: String,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The generation is complete.
    End {
        /// Id of the generation.
        generation: String,
        /// Number of the attempt.
        attempt: u32,
        /// Number of tokens over all attempts together.
        total: u32,
        /// Reason for the end.
        reason: EndReason,
    },
}

/// Body of `POST /orders`: the complete target state of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fencing token; an engine that checks it refuses a value lower than one it has seen.
    pub fence: u64,
    /// Models that the engine is to serve.
    pub models: Vec<String>,
    /// Adapters that the engine is to hold.
    pub adapters: Vec<String>,
}

/// Faults of the engine stand-in, set by `POST /faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Exit the process when any session has this many tokens; 0 exits at once.
    pub die_at_token: Option<u32>,
    /// Exit the process when a session with this prompt runs.
    pub die_under_prompt: Option<String>,
    /// Stop generating tokens but keep connections open.
    pub stall: bool,
    /// Factor by which the duration of a step is multiplied.
    pub slow_factor: u32,
    /// Refuse new sessions with 503.
    pub refuse: bool,
    /// `Retry-After` header of such a refusal.
    pub retry_after: Option<String>,
    /// State in responses to new sessions that the engine is draining, but accept them.
    pub say_leaving: bool,
    /// Limit in requests per second that responses to new sessions declare.
    pub say_limit: Option<String>,
    /// Send each token twice.
    pub duplicate: bool,
    /// Interleave tokens of another generation.
    pub cross: bool,
    /// Close each connection after this many tokens.
    pub reset_after: Option<u32>,
    /// Close connections instead of sending the end event.
    pub omit_end: bool,
    /// Skip every token whose position is a multiple of this.
    pub skip_every: Option<u32>,
    /// Keep returning the last load report.
    pub freeze_reports: bool,
    /// State in load reports that the engine is draining.
    pub leaving: bool,
}
