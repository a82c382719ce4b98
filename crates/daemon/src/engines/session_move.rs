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

/// Maximum duration of a copy after which the last copy may start: the session pauses for about as
/// long during the last copy, which keeps the pause of the stream within its allowed length.
const MAX_QUICK_COPY_TIME: Duration = Duration::from_millis(100);

/// A move under way.
pub struct SessionMove {
    target: Replica,
    task: JoinHandle<Result<String, MoveError>>,
    latest_copy: watch::Receiver<Option<String>>,
}

impl SessionMove {
    /// Starts to move a session. Copies are repeated while the session runs until one of them is
    /// quick, because each copy waits for other moves on the links of both engines. The session
    /// pauses only for the last copy. If no copy is quick before the engine ends, the session
    /// continues from its last copy, which lacks only the newest tokens.
    pub fn start(mover: Arc<dyn SessionMover>, order: MoveOrder, target: Replica) -> SessionMove {
        let (copy_sender, latest_copy) = watch::channel(None);
        let task = tokio::spawn(async move {
            loop {
                let copy_began = Instant::now();
                let handle = mover.copy(order.clone()).await.result?;
                copy_sender.send_replace(Some(handle));
                if copy_began.elapsed() <= MAX_QUICK_COPY_TIME {
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
            latest_copy,
        }
    }

    /// Returns the engine to which the session moves.
    pub fn target(&self) -> &Replica {
        &self.target
    }

    /// Waits for the end of the move; returns the name of the copy.
    ///
    /// # Errors
    ///
    /// [`MoveError`] of the copy that failed.
    pub async fn finished(&mut self) -> Result<String, MoveError> {
        match (&mut self.task).await {
            Ok(outcome) => outcome,
            Err(error) => Err(MoveError::NoAnswer(error.to_string())),
        }
    }

    /// Returns the name of the latest copy, which may lack the newest tokens.
    pub fn partial_copy(&self) -> Option<String> {
        self.latest_copy.borrow().clone()
    }
}

impl Drop for SessionMove {
    fn drop(&mut self) {
        self.task.abort();
    }
}
