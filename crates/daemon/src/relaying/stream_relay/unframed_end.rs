//! The end of a stream whose answer has neither a length nor chunks: it looks the same whether the
//! stream is complete or its connection was closed early.

use super::Step;
use super::StreamRelay;
use super::failover::MOVE_TIMEOUT;
use crate::engines::engine_watch::has_ended_soon_after_answer;
use crate::engines::session_mover::MoveError;

/// Why a stream that ended with its connection is not complete.
const ENGINE_ENDED: &str = "the engine ended with the connection";
const MOVE_PENDING: &str = "the connection ended and its move has no result";
const MAY_BE_STOPPED: &str =
    "the connection ended, and an order without an answer may have stopped the run";

impl StreamRelay {
    /// Decides whether a stream that ended with its connection is complete: it is not if its engine
    /// has ended as well, has sent nothing, or may have stopped the session in order to move it.
    pub(super) async fn check_unframed_end(&mut self) -> Step {
        if self.events == 0 {
            return Step::Broken("the connection ended before the first event");
        }
        let Some(moving) = &mut self.moving else {
            return self.check_engine_after_end().await;
        };
        let Ok(moved) = tokio::time::timeout(MOVE_TIMEOUT, moving.finished()).await else {
            return Step::Broken(MOVE_PENDING);
        };
        match moved {
            Ok(_)
            | Err(MoveError::NoRoom {
                handle: Some(_), ..
            }) => Step::Moved(moved),
            Err(MoveError::NoAnswer(_)) => {
                self.moving = None;
                Step::Broken(MOVE_PENDING)
            }
            // The engine has not stopped the session.
            Err(_) => {
                self.moving = None;
                self.check_engine_after_end().await
            }
        }
    }

    async fn check_engine_after_end(&self) -> Step {
        if self.may_be_stopped {
            return Step::Broken(MAY_BE_STOPPED);
        }
        match has_ended_soon_after_answer(&self.exchange.app, &self.replica).await {
            true => Step::Broken(ENGINE_ENDED),
            false => Step::Completed,
        }
    }
}
