//! The end of a stream whose answer has neither a length nor chunks: it looks the same whether the
//! stream is complete or its connection was closed early.

use super::Step;
use super::StreamRelay;
use crate::engines::engine_watch::has_ended_soon_after_answer;
use crate::engines::session_mover::MoveError;

/// Why a stream that ended with its connection is not complete.
const ENGINE_ENDED: &str = "the engine ended with the connection";

impl StreamRelay {
    /// Decides whether a stream that ended with its connection is complete: it is not if its engine
    /// has ended as well, has sent nothing, or has stopped the session in order to move it.
    pub(super) async fn check_unframed_end(&mut self) -> Step {
        if self.events == 0 {
            return Step::Broken("the connection ended before the first event");
        }
        if let Some(moving) = &mut self.moving {
            return match moving.finished().await {
                Err(MoveError::NoSession) => self.check_engine_after_end().await,
                moved => Step::Moved(moved),
            };
        }
        self.check_engine_after_end().await
    }

    async fn check_engine_after_end(&self) -> Step {
        match has_ended_soon_after_answer(&self.exchange.app, &self.replica).await {
            true => Step::Broken(ENGINE_ENDED),
            false => Step::Completed,
        }
    }
}
