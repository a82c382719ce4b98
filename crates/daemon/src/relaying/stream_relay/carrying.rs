//! Takes a stream to another engine: after a move, after a crash, or back to
//! where it was.

use std::time::Duration;

use iristhread_core::FailoverTarget;
use iristhread_core::Replica;
use slog::info;
use slog::warn;

use super::End;
use super::StreamRelay;
use super::next_frame;
use crate::engines::engine_watch::probe_broken_server;
use crate::engines::session_mover::MoveError;
use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::dialect::CopyName;

/// Longest wait for the answer of a move once the stream has stopped.
const MOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for the rest of a stream that its engine has stopped.
const REST_TIMEOUT: Duration = Duration::from_millis(300);

/// What became of a session that was sent to a copy of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Resumed {
    /// Its stream goes on.
    GoesOn,
    /// It provably does not run there.
    NotRun,
    /// It may run there without anybody listening.
    Lost,
}

/// Whether a session goes on at another engine.
enum Elsewhere {
    /// It does.
    GoesOn,
    /// It was tried, and its stream ends.
    Ended(End),
    /// There is no copy of it that could be used.
    Nowhere,
}

impl Elsewhere {
    fn of(end: Option<End>) -> Elsewhere {
        end.map_or(Elsewhere::GoesOn, Elsewhere::Ended)
    }
}

impl StreamRelay {
    /// The engine's stream ended too soon.
    pub(super) async fn broken(&mut self, cause: &'static str) -> Option<End> {
        info!(self.exchange.app.log, "stream broke off at its engine";
            "request" => &self.exchange.head.request,
            "content" => self.exchange.fingerprint.to_string(),
            "backend_server" => &self.replica.id,
            "cause" => cause,
            "last_event" => self.order.last(),
            "moving" => self.moving.is_some());
        self.probe_broken_server().await;
        match self.go_on_elsewhere().await {
            Elsewhere::GoesOn => None,
            Elsewhere::Ended(end) => Some(end),
            Elsewhere::Nowhere => {
                warn!(self.exchange.app.log, "stream lost: no copy of the session is known";
                    "request" => &self.exchange.head.request,
                    "last_event" => self.order.last());
                Some(End::Lost)
            }
        }
    }

    /// A stream that has just begun may have ended its engine: whether it goes on waits
    /// for that. Others are not held up.
    async fn probe_broken_server(&self) {
        let app = self.exchange.app.clone();
        let request = self.exchange.head.request.clone();
        let replica = self.replica.clone();
        let look = async move { probe_broken_server(&app, &request, &replica).await };
        match self.events_here {
            0 => look.await,
            _ => drop(tokio::spawn(look)),
        }
    }

    /// The engine is silent and takes no connection: it is gone, or behind a cut.
    /// A session that can't go on elsewhere may still run there; its stream goes
    /// on when the cut heals before the caller leaves.
    pub(super) async fn unreachable(&mut self) -> Option<End> {
        if !self.waits_for_engine {
            info!(self.exchange.app.log, "engine of a stream can't be reached";
                "request" => &self.exchange.head.request,
                "backend_server" => &self.replica.id,
                "last_event" => self.order.last(),
                "moving" => self.moving.is_some());
        }
        // The list tells later whether it has ended.
        self.exchange.app.control.tell(GatewayMessage::RunBroken {
            request: self.exchange.head.request.clone(),
            replica: self.replica.clone(),
        });
        match self.go_on_elsewhere().await {
            Elsewhere::GoesOn => None,
            Elsewhere::Ended(end) => Some(end),
            Elsewhere::Nowhere => {
                self.wait_for_engine();
                None
            }
        }
    }

    fn wait_for_engine(&mut self) {
        if !self.waits_for_engine {
            info!(self.exchange.app.log, "stream waits for its engine: no copy is known";
                "request" => &self.exchange.head.request,
                "backend_server" => &self.replica.id,
                "last_event" => self.order.last());
        }
        self.waits_for_engine = true;
    }

    /// Takes the session to where a copy of it is.
    async fn go_on_elsewhere(&mut self) -> Elsewhere {
        if let Some(end) = self.finish_move().await {
            return Elsewhere::of(end);
        }
        let request = self.exchange.head.request.clone();
        let control = &self.exchange.app.control;
        control.tell(GatewayMessage::Failed {
            replica: self.replica.server_life(),
        });
        let asked = control.ask(|reply| GatewayMessage::FailOver { request, reply });
        let Some(target) = asked.await.flatten() else {
            return self.run_again().await;
        };
        let keeper = target.replica.address;
        let copy = CopyName::Backup { keeper };
        match self.resume(target, Some(copy)).await {
            Resumed::GoesOn => Elsewhere::GoesOn,
            Resumed::Lost if !self.exchange.route.can_resume => Elsewhere::Ended(End::Lost),
            Resumed::Lost | Resumed::NotRun => {
                self.exchange
                    .app
                    .control
                    .tell(GatewayMessage::FailoverFailed {
                        request: self.exchange.head.request.clone(),
                        replica: self.replica.id.clone(),
                    });
                self.run_again().await
            }
        }
    }

    /// A stream that may be resumed is run by another engine from the last event
    /// on, which reads the prompt anew, as often as its route and the retry budget
    /// allow.
    async fn run_again(&mut self) -> Elsewhere {
        while self.exchange.route.can_resume && self.begun < self.exchange.route.max_attempts {
            let request = self.exchange.head.request.clone();
            let control = &self.exchange.app.control;
            let asked = control.ask(|reply| GatewayMessage::RestartStream { request, reply });
            let Some(target) = asked.await.flatten() else {
                break;
            };
            // The engine before, if it lives, stops when its connection closes.
            self.body = None;
            self.begun += 1;
            if self.resume(target, None).await == Resumed::GoesOn {
                return Elsewhere::GoesOn;
            }
        }
        match self.body {
            Some(_) => Elsewhere::Nowhere,
            None => Elsewhere::Ended(End::Lost),
        }
    }

    /// The engine is gone, or has stopped the session for its last copy: the
    /// move may still succeed, or have left a copy that lacks little. Returns
    /// `None` when it has not.
    async fn finish_move(&mut self) -> Option<Option<End>> {
        let mut moving = self.moving.take()?;
        let outcome = tokio::time::timeout(MOVE_TIMEOUT, moving.finished()).await;
        let handle = match outcome {
            Ok(Ok(handle)) => handle,
            _ => moving.partial_copy()?,
        };
        Some(self.go_on_at(moving.target().clone(), handle).await)
    }

    pub(super) async fn moved(&mut self, outcome: Result<String, MoveError>) -> Option<End> {
        let app = self.exchange.app.clone();
        let replica = self.moving.take()?.target().clone();
        app.metrics.moved(match &outcome {
            Ok(_) => "moved",
            Err(error) => error.as_str(),
        });
        let handle = match outcome {
            Ok(handle) => handle,
            Err(error) => {
                info!(app.log, "session was not moved";
                    "request" => &self.exchange.head.request,
                    "backend_server" => &self.replica.id,
                    "cause" => error.to_string());
                self.move_failed(replica, &error);
                return self.back_to_source(error).await;
            }
        };
        self.drain_rest().await;
        self.go_on_at(replica, handle).await
    }

    /// Another target may have room. A session that its engine does not run just
    /// now, because others displaced it, can't be copied to any: it is tried again
    /// a little later.
    fn move_failed(&mut self, target: Replica, error: &MoveError) {
        let request = self.exchange.head.request.clone();
        let message = match error {
            MoveError::NoSession | MoveError::Busy | MoveError::Withheld => {
                GatewayMessage::MoveDelayed { request }
            }
            MoveError::NoRoom { .. } | MoveError::NoAnswer(_) => {
                self.tried.push(target.id);
                let tried = self.tried.clone();
                GatewayMessage::MoveFailed { request, tried }
            }
        };
        self.exchange.app.control.tell(message);
    }

    async fn go_on_at(&mut self, replica: Replica, handle: String) -> Option<End> {
        let app = self.exchange.app.clone();
        let source = self.replica.clone();
        let copy = CopyName::Moved {
            source: source.address,
            handle,
        };
        let request = self.exchange.head.request.clone();
        let asked = app.control.ask(|reply| GatewayMessage::FailOverTo {
            request,
            replica,
            reply,
        });
        let Some(target) = asked.await.flatten() else {
            return Some(End::Lost);
        };
        let target_id = target.replica.id.clone();
        match self.resume(target, Some(copy.clone())).await {
            Resumed::GoesOn => None,
            Resumed::Lost => Some(End::Lost),
            Resumed::NotRun => {
                self.tried.push(target_id);
                self.stay_at(source, copy).await
            }
        }
    }

    /// A session that stopped but could not be moved goes on where it was.
    async fn back_to_source(&mut self, error: MoveError) -> Option<End> {
        let MoveError::NoRoom {
            handle: Some(handle),
        } = error
        else {
            return None;
        };
        self.drain_rest().await;
        let source = self.replica.clone();
        let copy = CopyName::Moved {
            source: source.address,
            handle,
        };
        self.stay_at(source, copy).await
    }

    /// The source keeps the memory of a session that it stopped.
    async fn stay_at(&mut self, source: Replica, copy: CopyName) -> Option<End> {
        self.exchange.app.control.tell(GatewayMessage::Moved {
            request: self.exchange.head.request.clone(),
            replica: source.id.clone(),
        });
        let target = FailoverTarget {
            from: source.id.clone(),
            replica: source,
            backup: None,
        };
        match self.resume(target, Some(copy)).await {
            Resumed::GoesOn => {
                // It still has to leave.
                self.exchange.app.control.tell(GatewayMessage::MoveFailed {
                    request: self.exchange.head.request.clone(),
                    tried: self.tried.clone(),
                });
                None
            }
            Resumed::NotRun | Resumed::Lost => Some(End::Lost),
        }
    }

    /// Reads what the stopped engine had sent before the end of its stream.
    async fn drain_rest(&mut self) {
        let rest = async {
            while let Some(Ok(frame)) = next_frame(&mut self.body).await {
                self.take(frame).await;
            }
        };
        // What has not come by then is made again from the copy.
        if tokio::time::timeout(REST_TIMEOUT, rest).await.is_err() {
            info!(self.exchange.app.log, "the stopped stream did not end";
                "request" => &self.exchange.head.request);
        }
    }
}
