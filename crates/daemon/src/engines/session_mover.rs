//! Interface to the engines for moving a running session.

use std::net::SocketAddr;

use futures::future::BoxFuture;
use iristhread_core::Replica;
use iristhread_core::RequestId;
use thiserror::Error;

use crate::process::answered::Answered;

/// An order to copy the memory of a running session to another engine.
#[derive(Clone, Debug)]
pub struct MoveOrder {
    /// The engine that runs the session.
    pub source: Replica,
    /// The session.
    pub request: RequestId,
    /// The engine that gets the copy.
    pub target: SocketAddr,
    /// Whether the session stops at the source before the copy, so that the copy is complete.
    pub stop_first: bool,
}

/// Why no copy was made.
#[derive(Clone, Debug, Error)]
pub enum MoveError {
    /// The engine does not run the session.
    #[error("the engine does not run the session")]
    NoSession,
    /// Another move of the session is in progress.
    #[error("another move of the session is in progress")]
    Busy,
    /// The target has no room or can't be reached. A session that was stopped can continue at the
    /// source under the handle.
    #[error("the target has no room or can't be reached")]
    NoRoom {
        /// Names the session's memory at the source, if the session was stopped there.
        handle: Option<String>,
    },
    /// Nothing was sent: the engine is backing off, or this instance's share of its limit is used.
    #[error("the engine is backing off, or its limit allows no more requests now")]
    Withheld,
    /// The order got no answer; the session may have been stopped.
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

/// An engine's answer to a move order or a query.
pub type EngineAnswer<T> = Answered<T, MoveError>;

/// Sends engines orders and queries about running sessions.
pub trait SessionMover: Send + Sync {
    /// Copies the memory of a running session; returns the name of the copy.
    fn copy(&self, order: MoveOrder) -> BoxFuture<'_, EngineAnswer<String>>;

    /// Queries whether an engine is draining. Each query has a cost.
    fn is_leaving(&self, engine: Replica) -> BoxFuture<'_, EngineAnswer<bool>>;
}
