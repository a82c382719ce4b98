//! The border to the engines' orders that move a running session.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use iristhread_core::Replica;
use iristhread_core::RequestId;
use thiserror::Error;

use crate::process::answered::Answered;

/// An order to copy the memory of a running session to another engine.
#[derive(Clone, Debug)]
pub struct MoveOrder {
    /// The engine that runs it.
    pub source: Replica,
    /// The session.
    pub request: RequestId,
    /// The engine that gets the copy.
    pub target: SocketAddr,
    /// Whether the session stops at the source first, so that the copy is
    /// whole.
    pub stop_first: bool,
}

/// Why no copy was made.
#[derive(Clone, Debug, Error)]
pub enum MoveError {
    /// The engine does not run the session.
    #[error("the engine does not run the session")]
    NoSession,
    /// Another move of it is under way.
    #[error("another move of the session is under way")]
    Busy,
    /// There is no room, or no way there. A session that stopped can go on at
    /// the source under the handle.
    #[error("the target has no room or can't be reached")]
    NoRoom {
        /// Names the memory at the source, when the session stopped there.
        handle: Option<String>,
    },
    /// Nothing was ordered: the engine has asked for rest, or takes no more now.
    #[error("the engine has asked for rest or takes no more now")]
    Withheld,
    /// The order got no answer; the session may have stopped.
    #[error("the engine gave no answer: {0}")]
    NoAnswer(String),
}

impl MoveError {
    /// The form used in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            MoveError::NoSession => "no_session",
            MoveError::Busy => "busy",
            MoveError::NoRoom { .. } => "no_room",
            MoveError::Withheld => "withheld",
            MoveError::NoAnswer(_) => "no_answer",
        }
    }
}

/// An engine's answer to an order or a question.
pub type EngineAnswer<T> = Answered<T, MoveError>;

/// Gives engines orders about running sessions.
pub trait SessionMover: Send + Sync {
    /// Copies the memory of a running session; the answer is the name of the copy.
    fn copy(&self, order: MoveOrder) -> BoxFuture<'_, EngineAnswer<String>>;

    /// Asks an engine whether it is about to leave. Each question has a price.
    fn is_leaving(&self, engine: Replica) -> BoxFuture<'_, EngineAnswer<bool>>;
}
