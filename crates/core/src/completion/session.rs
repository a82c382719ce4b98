//! Delivery of one generation to its caller.

use crate::Attempt;
use crate::BackendId;
use crate::Cursor;
use crate::GenerationId;
use crate::Now;
use crate::StallBound;
use crate::TextDigest;

/// Decision about a token received from an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenVerdict {
    /// The token is next in order: deliver it.
    Deliver,
    /// The token was delivered already: drop it.
    Duplicate,
    /// The token belongs to another attempt or another generation: drop it.
    Foreign,
    /// Tokens before it are missing: close the connection and resume.
    Gap,
    /// The text read again differs from the text that the caller holds: end with an error.
    Diverged,
}

/// Decision about the end mark of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// Every token was delivered: the stream is complete.
    Complete,
    /// The mark belongs to another attempt or another generation: ignore it.
    Foreign,
    /// Tokens are missing: resume.
    Gap,
}

/// Checks tokens by generation, attempt and position, so that the caller receives each position
/// exactly once, regardless of what the engines send.
#[derive(Clone, Debug)]
pub struct Session {
    generation: GenerationId,
    attempt: Attempt,
    engine: BackendId,
    tokens: Vec<String>,
    held_by_caller: u32,
    held_digest: TextDigest,
    digest: TextDigest,
    stall: StallBound,
}

impl Session {
    /// Creates the session of a new generation.
    pub fn new(generation: GenerationId, now: Now) -> Self {
        Session {
            generation,
            attempt: 0,
            engine: BackendId::new(),
            tokens: Vec::new(),
            held_by_caller: 0,
            held_digest: TextDigest::default(),
            digest: TextDigest::default(),
            stall: StallBound::new(now),
        }
    }

    /// Creates the session of a generation to which a caller reconnects. `received` contains the
    /// tokens that the caller sent along. If it is empty, the tokens are read from the engine
    /// again: the session then starts without tokens and does not deliver those that the caller
    /// already holds.
    ///
    /// Returns `None` if `received` differs from the delivered tokens.
    pub fn resumed(cursor: &Cursor, received: Vec<String>, now: Now) -> Option<Self> {
        let mut session = Session::new(cursor.generation.clone(), now);
        session.attempt = cursor.attempt;
        session.engine = cursor.engine.clone();
        session.held_by_caller = cursor.delivered;
        session.held_digest = cursor.digest;
        if received.is_empty() {
            return Some(session);
        }
        let digest = TextDigest::of(&received);
        if digest != cursor.digest || received.len() != cursor.delivered as usize {
            return None;
        }
        session.tokens = received;
        session.digest = digest;
        Some(session)
    }

    /// Begins an attempt. Tokens of the previous one are [`TokenVerdict::Foreign`] from then on.
    pub fn begin_attempt(&mut self, attempt: Attempt, engine: BackendId, now: Now) {
        self.attempt = attempt;
        self.engine = engine;
        self.stall = StallBound::new(now);
    }

    /// Decides about a token; `position` is counted from 0.
    pub fn token(
        &mut self,
        generation: &str,
        attempt: Attempt,
        position: u32,
        token: &str,
        now: Now,
    ) -> TokenVerdict {
        if generation != self.generation || attempt != self.attempt {
            return TokenVerdict::Foreign;
        }
        let next = self.known();
        if position < next {
            return TokenVerdict::Duplicate;
        }
        if position > next {
            return TokenVerdict::Gap;
        }
        self.stall.progress(now);
        self.tokens.push(token.to_owned());
        self.digest = self.digest.with(token);
        if self.known() > self.held_by_caller {
            return TokenVerdict::Deliver;
        }
        if self.known() == self.held_by_caller && self.digest != self.held_digest {
            return TokenVerdict::Diverged;
        }
        TokenVerdict::Duplicate
    }

    /// Decides about the end mark of an engine that has generated `total` tokens.
    pub fn end(&self, generation: &str, attempt: Attempt, total: u32) -> EndVerdict {
        if generation != self.generation || attempt != self.attempt {
            return EndVerdict::Foreign;
        }
        if total != self.known() || total < self.held_by_caller {
            return EndVerdict::Gap;
        }
        EndVerdict::Complete
    }

    /// Whether another engine can continue the generation, which requires all of the text that the
    /// caller holds.
    pub fn can_continue(&self) -> bool {
        self.known() >= self.held_by_caller
    }

    /// Returns the cursor after the last known token.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            generation: self.generation.clone(),
            attempt: self.attempt,
            engine: self.engine.clone(),
            delivered: self.known(),
            digest: self.digest,
        }
    }

    /// Returns the number of known tokens, counted from position 0.
    pub fn known(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tokens that the caller holds or was sent.
    pub fn delivered(&self) -> u32 {
        self.known().max(self.held_by_caller)
    }

    /// Returns the known tokens.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Returns the id of the generation.
    pub fn generation(&self) -> &GenerationId {
        &self.generation
    }

    /// Returns the number of the current attempt; 0 before the first.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the backend server of the current attempt.
    pub fn engine(&self) -> &BackendId {
        &self.engine
    }

    /// Returns the time at which the attempt counts as stalled unless it makes progress.
    pub fn stall_deadline(&self) -> Now {
        self.stall.deadline()
    }
}
