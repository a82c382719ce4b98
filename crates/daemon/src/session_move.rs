//! Moves one running session to another engine while its stream goes on, or
//! keeps a standby copy of it there.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::Replica;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::session_mover::MoveError;
use crate::session_mover::MoveOrder;
use crate::session_mover::SessionMover;

/// A copy that takes at most this long is a good last one: the session stands
/// still for about as long, which stays within the pause that is in time.
const QUICK_COPY: Duration = Duration::from_millis(100);

/// Time between two refreshes of a standby copy: a session that goes on from it
/// reads about a hundred tokens anew, and the engine that keeps it drops a copy
/// only after some seconds.
const REFRESH: Duration = Duration::from_secs(1);

/// A move under way, or a standby copy that may become one.
pub struct SessionMove {
    mover: Arc<dyn SessionMover>,
    order: MoveOrder,
    target: Replica,
    task: JoinHandle<Result<String, MoveError>>,
    copied: watch::Receiver<Option<String>>,
    hurry: Arc<Notify>,
    is_standby: bool,
}

impl SessionMove {
    /// Starts to move a session. Copies are repeated beside the running session
    /// until one is quick, since each call waits behind the other moves on the
    /// links of both engines; only for the last one the session stands still.
    /// When none is quick, the engine ends first, and the session goes on from
    /// its last copy, which lacks little.
    pub fn start(mover: Arc<dyn SessionMover>, order: MoveOrder, target: Replica) -> SessionMove {
        SessionMove::spawn(mover, order, target, false)
    }

    /// Keeps a copy of a session that stays where it is, and refreshes it until
    /// the session ends or has to move.
    pub fn stand_by(
        mover: Arc<dyn SessionMover>,
        order: MoveOrder,
        target: Replica,
    ) -> SessionMove {
        SessionMove::spawn(mover, order, target, true)
    }

    fn spawn(
        mover: Arc<dyn SessionMover>,
        order: MoveOrder,
        target: Replica,
        is_standby: bool,
    ) -> SessionMove {
        let (copied_in, copied) = watch::channel(None);
        let hurry = Arc::new(Notify::new());
        let copying = Copying {
            mover: mover.clone(),
            order: order.clone(),
            copied: copied_in,
        };
        let hurried = hurry.clone();
        let task = tokio::spawn(async move {
            if is_standby {
                copying.refresh_until(&hurried).await?;
            }
            copying.finish().await
        });
        SessionMove {
            mover,
            order,
            target,
            task,
            copied,
            hurry,
            is_standby,
        }
    }

    /// Whether the session stays where it is for now.
    pub fn is_standby(&self) -> bool {
        self.is_standby
    }

    /// Turns a standby copy into a move.
    pub fn begin_move(&mut self) {
        self.is_standby = false;
        self.hurry.notify_one();
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

impl SessionMove {
    /// Gives up the copy, whose memory is then free at once.
    pub fn abandon(self) {
        let Some(handle) = self.partial_copy() else {
            return;
        };
        let (mover, source) = (self.mover.clone(), self.order.source);
        tokio::spawn(async move { mover.release(source, handle).await });
    }
}

impl Drop for SessionMove {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The calls of one move.
struct Copying {
    mover: Arc<dyn SessionMover>,
    order: MoveOrder,
    copied: watch::Sender<Option<String>>,
}

impl Copying {
    /// Keeps a standby copy fresh until the session has to move.
    async fn refresh_until(&self, hurry: &Notify) -> Result<(), MoveError> {
        loop {
            self.copy().await?;
            tokio::select! {
                () = tokio::time::sleep(REFRESH) => {}
                () = hurry.notified() => return Ok(()),
            }
        }
    }

    /// Copies until a copy is quick, and then the rest.
    async fn finish(&self) -> Result<String, MoveError> {
        loop {
            let copy_began = Instant::now();
            self.copy().await?;
            if copy_began.elapsed() <= QUICK_COPY {
                break;
            }
        }
        let last = MoveOrder {
            stop_first: true,
            ..self.order.clone()
        };
        self.mover.copy(last).await
    }

    async fn copy(&self) -> Result<(), MoveError> {
        let handle = self.mover.copy(self.order.clone()).await?;
        self.copied.send_replace(Some(handle));
        Ok(())
    }
}
