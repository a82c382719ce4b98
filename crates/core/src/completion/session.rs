//! One generation as an entry instance delivers it.

use crate::Attempt;
use crate::BackendId;
use crate::Cursor;
use crate::GenerationId;
use crate::Now;
use crate::StallBound;
use crate::TextDigest;

/// What to do with a token that arrived from an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenVerdict {
    /// Next in order: deliver it.
    Deliver,
    /// Already delivered: drop it.
    Duplicate,
    /// Of an attempt that was given up, or of another generation: drop it.
    Foreign,
    /// Tokens before it are missing: give up the connection and resume.
    Gap,
    /// The text read again is not what the caller holds: end with an error.
    Diverged,
}

/// What to do with an engine's end mark.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndVerdict {
    /// Every token was delivered: the stream is whole.
    Whole,
    /// Of an attempt that was given up, or of another generation: ignore it.
    Foreign,
    /// The engine generated more than arrived: resume.
    Gap,
}

/// Decides about tokens by generation, attempt and position; the caller sees
/// each position once whatever the engines do.
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
    /// A fresh generation.
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

    /// A generation that a caller came back to. `received` are the tokens it
    /// sent along, if any; otherwise they are read from the engine again,
    /// which is why the session starts from nothing and withholds what the
    /// caller has.
    ///
    /// Returns `None` when `received` is not what was delivered.
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

    /// Begins an attempt; tokens of the one before are foreign from here on.
    pub fn begin_attempt(&mut self, attempt: Attempt, engine: BackendId, now: Now) {
        self.attempt = attempt;
        self.engine = engine;
        self.stall = StallBound::new(now);
    }

    /// Decides about a token; `position` counts from 0.
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

    /// Decides about an end mark after `total` tokens.
    pub fn end(&self, generation: &str, attempt: Attempt, total: u32) -> EndVerdict {
        if generation != self.generation || attempt != self.attempt {
            return EndVerdict::Foreign;
        }
        if total != self.known() || total < self.held_by_caller {
            return EndVerdict::Gap;
        }
        EndVerdict::Whole
    }

    /// Whether another engine can go on from here: the text that the caller
    /// holds is known.
    pub fn can_continue(&self) -> bool {
        self.known() >= self.held_by_caller
    }

    /// The cursor after the last token known.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            generation: self.generation.clone(),
            attempt: self.attempt,
            engine: self.engine.clone(),
            delivered: self.known(),
            digest: self.digest,
        }
    }

    /// Number of tokens known, from position 0.
    pub fn known(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }

    /// Number of tokens that the caller holds or was sent.
    pub fn delivered(&self) -> u32 {
        self.known().max(self.held_by_caller)
    }

    /// The tokens known.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// The generation.
    pub fn generation(&self) -> &GenerationId {
        &self.generation
    }

    /// The attempt under way, 0 before the first.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The backend server of the attempt under way.
    pub fn engine(&self) -> &BackendId {
        &self.engine
    }

    /// When the attempt counts as stalled unless it makes progress.
    pub fn stall_deadline(&self) -> Now {
        self.stall.deadline()
    }
}
