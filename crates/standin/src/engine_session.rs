//! One generation inside the engine stand-in.

use std::time::Instant;

use iristhread_api::EndReason;
use iristhread_api::GenerateRequest;

use crate::answer::expected_length;
use crate::answer::expected_token;

/// State of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionState {
    /// Not in memory; waits for room.
    Waiting,
    /// The prompt is being read or tokens are being generated.
    Running,
    /// Complete, for this reason.
    Done(EndReason),
    /// Cancelled; its stream closes without an end event.
    Cancelled,
}

/// A session with all tokens generated so far, so that a reader can attach at any
/// time.
#[derive(Clone, Debug)]
pub struct EngineSession {
    pub request: GenerateRequest,
    pub tokens: Vec<String>,
    pub state: SessionState,
    pub prefill_left: u32,
    pub preemptions: u32,
    pub order: u64,
    pub reader: String,
    pub readers: u32,
    pub idle_since: Instant,
}

impl EngineSession {
    pub fn new(request: GenerateRequest, order: u64, now: Instant) -> Self {
        EngineSession {
            tokens: request.received.clone(),
            state: SessionState::Waiting,
            prefill_left: 0,
            preemptions: 0,
            order,
            reader: request.reader.clone(),
            readers: 0,
            idle_since: now,
            request,
        }
    }

    /// Memory that the session takes, in tokens: prompt and answer.
    pub fn size(&self) -> u64 {
        let prompt = self.request.prompt.split_whitespace().count();
        (prompt + self.tokens.len()) as u64
    }

    /// Number of tokens so far, including those received from earlier attempts.
    pub fn generated(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Runs one decoding step: reads a part of the prompt or adds a token.
    pub fn step(&mut self, prefill_per_step: u32) {
        if self.prefill_left > 0 {
            self.prefill_left = self.prefill_left.saturating_sub(prefill_per_step);
            return;
        }
        let target = expected_length(&self.request.prompt);
        let limit = self.request.max_tokens;
        if self.generated() < target.min(limit) {
            let token = expected_token(&self.request.prompt, self.generated());
            self.tokens.push(token);
        }
        if self.generated() >= target.min(limit) {
            let by_limit = target > limit;
            let reason = if by_limit {
                EndReason::Length
            } else {
                EndReason::Stop
            };
            self.state = SessionState::Done(reason);
        }
    }
}
