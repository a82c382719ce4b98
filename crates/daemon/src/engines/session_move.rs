//! Moves one running session to another engine while its stream goes on.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::Replica;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::engines::session_mover::MoveError;
use crate::engines::session_mover::MoveOrder;
use crate::engines::session_mover::SessionMover;

/// A copy that takes at most this long is a good last one: the session stands
/// still for about as long, which stays within the pause that is in time.
const QUICK_COPY: Duration = Duration::from_millis(100);

/// A move under way.
pub struct SessionMove {
    target: Replica,
    task: JoinHandle<Result<String, MoveError>>,
    copied: watch::Receiver<Option<String>>,
}

impl SessionMove {
    /// Starts to move a session. Copies are repeated beside the running session
    /// until one is quick, since each call waits behind the other moves on the
    /// links of both engines; only for the last one the session stands still.
    /// When none is quick, the engine ends first, and the session goes on from
    /// its last copy, which lacks little.
    pub fn start(mover: Arc<dyn SessionMover>, order: MoveOrder, target: Replica) -> SessionMove {
        let (copied_in, copied) = watch::channel(None);
        let task = tokio::spawn(async move {
            loop {
                let copy_began = Instant::now();
                let handle = mover.copy(order.clone()).await.result?;
                copied_in.send_replace(Some(handle));
                if copy_began.elapsed() <= QUICK_COPY {
                    break;
                }
            }
            let last = MoveOrder {
                stop_first: true,
                ..order
            };
            mover.copy(last).await.result
        });
        SessionMove {
            target,
            task,
            copied,
        }
    }

    /// Where the session moves.
    pub fn target(&self) -> &Replica {
        &self.target
    }

    /// Waits for the end of the move; returns the name of the copy.
    ///
    /// # Errors
    ///
    /// [`MoveError`] of the call that failed.
    pub async fn finished(&mut self) -> Result<String, MoveError> {
        match (&mut self.task).await {
            Ok(outcome) => outcome,
            Err(error) => Err(MoveError::NoAnswer(error.to_string())),
        }
    }

    /// The name of a copy that may lack the newest tokens.
    pub fn partial_copy(&self) -> Option<String> {
        self.copied.borrow().clone()
    }
}

impl Drop for SessionMove {
    fn drop(&mut self) {
        self.task.abort();
    }
}
