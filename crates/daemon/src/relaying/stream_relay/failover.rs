//! Moves a stream to another engine after a move or a crash of its engine, or returns it to its
//! source after a failed move.

use std::time::Duration;

use iristhread_core::BackendId;
use iristhread_core::FailoverTarget;
use iristhread_core::Replica;
use slog::info;
use slog::warn;

use super::End;
use super::StreamRelay;
use super::next_frame;
use crate::engines::engine_watch::probe_twice;
use crate::engines::engine_watch::report_broken_run;
use crate::engines::session_mover::MoveError;
use crate::gateway::gateway_message::FailedMove;
use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::wire_protocol::SessionCopy;

/// Maximum wait for the result of a move once the stream has stopped.
pub(super) const MOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum wait for the remaining bytes of a stream that its engine has stopped.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

/// The outcome of resuming a session at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ResumeOutcome {
    /// The stream continues.
    Continues,
    /// The session is known not to run at the engine.
    NotRun,
    /// The session may run at the engine without a connection to its relay.
    Lost,
}

/// What a session was lost by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LostBy {
    /// Its engine, which gets fewer requests for a while.
    Engine,
    /// The connection of this instance to its engine.
    Link,
}

/// The outcome of failing a session over to another engine.
enum FailoverOutcome {
    /// The stream continues at another engine.
    Continues,
    /// The failover was attempted, and the stream ends.
    Ended(End),
    /// No usable copy is known, and no new run was started.
    NoTarget,
}

impl FailoverOutcome {
    fn of(end: Option<End>) -> FailoverOutcome {
        end.map_or(FailoverOutcome::Continues, FailoverOutcome::Ended)
    }
}

impl StreamRelay {
    /// Handles a stream of the engine that ended prematurely.
    pub(super) async fn handle_broken_stream(&mut self, cause: &'static str) -> Option<End> {
        info!(self.exchange.app.log, "stream from the engine ended prematurely";
            "request" => &self.exchange.head.request,
            "content" => self.exchange.fingerprint.to_string(),
            "backend_server" => &self.replica.id,
            "cause" => cause,
            "last_event" => self.order.last(),
            "moving" => self.moving.is_some());
        self.check_broken_engine().await;
        match self.fail_over_or_restart(LostBy::Engine).await {
            FailoverOutcome::Continues => None,
            FailoverOutcome::Ended(end) => Some(end),
            FailoverOutcome::NoTarget => {
                warn!(self.exchange.app.log, "stream lost: no copy of the session is known";
                    "request" => &self.exchange.head.request,
                    "last_event" => self.order.last());
                Some(End::Lost)
            }
        }
    }

    /// Checks whether the engine has crashed. A stream without events from this engine may have
    /// crashed it, so its failover waits for the result. Other streams are not delayed.
    async fn check_broken_engine(&self) {
        let app = self.exchange.app.clone();
        let replica = self.replica.clone();
        report_broken_run(&app, &self.exchange.head.request, &replica);
        let check = async move { probe_twice(&app, &replica).await };
        match self.engine_events {
            0 => check.await,
            _ => drop(tokio::spawn(check)),
        }
    }

    /// Handles an engine that is silent and accepts no connection: it is gone, or partitioned from
    /// this process. A session that can't fail over may still run there; its stream continues if
    /// the partition heals before the caller disconnects.
    pub(super) async fn handle_unreachable(&mut self) -> Option<End> {
        if !self.is_waiting_for_engine {
            info!(self.exchange.app.log, "engine of the stream is unreachable";
                "request" => &self.exchange.head.request,
                "backend_server" => &self.replica.id,
                "last_event" => self.order.last(),
                "moving" => self.moving.is_some());
        }
        // The replica list shows later whether the engine has ended.
        let app = &self.exchange.app;
        report_broken_run(app, &self.exchange.head.request, &self.replica);
        match self.fail_over_or_restart(LostBy::Engine).await {
            FailoverOutcome::Continues => None,
            FailoverOutcome::Ended(end) => Some(end),
            FailoverOutcome::NoTarget => {
                self.wait_for_engine();
                None
            }
        }
    }

    /// Handles a silent connection to an engine that lives: this instance is cut off from it. The
    /// session continues from its backup, or moves to another engine by orders that take a detour.
    pub(super) async fn handle_cut_off(&mut self) -> Option<End> {
        if self.moving.is_some() {
            return None;
        }
        info!(self.exchange.app.log, "connection to the engine of the stream is cut off";
            "request" => &self.exchange.head.request,
            "backend_server" => &self.replica.id,
            "last_event" => self.order.last());
        match self.fail_over_or_restart(LostBy::Link).await {
            FailoverOutcome::Continues => None,
            FailoverOutcome::Ended(end) => Some(end),
            FailoverOutcome::NoTarget => {
                self.wait_for_engine();
                let tried = vec![self.replica.id.clone()];
                self.tell_failed_move(tried, None);
                None
            }
        }
    }

    fn wait_for_engine(&mut self) {
        if !self.is_waiting_for_engine {
            info!(self.exchange.app.log, "stream waits for its engine: no copy is known";
                "request" => &self.exchange.head.request,
                "backend_server" => &self.replica.id,
                "last_event" => self.order.last());
        }
        self.is_waiting_for_engine = true;
    }

    /// Fails the session over to an engine with a copy of it, or restarts it without one.
    async fn fail_over_or_restart(&mut self, lost_by: LostBy) -> FailoverOutcome {
        if let Some(end) = self.finish_pending_move().await {
            return FailoverOutcome::of(end);
        }
        if lost_by == LostBy::Engine {
            let replica = self.replica.server_life();
            let control = &self.exchange.app.control;
            control.tell(GatewayMessage::Failed { replica });
        }
        if !self.exchange.body.keep() {
            self.log_given_up_body();
            return FailoverOutcome::NoTarget;
        }
        let outcome = self.fail_over_with_body().await;
        self.exchange.body.retain();
        outcome
    }

    async fn fail_over_with_body(&mut self) -> FailoverOutcome {
        let request = self.exchange.head.request.clone();
        let control = &self.exchange.app.control;
        let asked = control.ask(|reply| GatewayMessage::FailOver { request, reply });
        let Some(target) = asked.await.flatten() else {
            return self.restart_elsewhere().await;
        };
        let backup_engine = target.replica.address;
        let copy = SessionCopy::Backup { backup_engine };
        match self.resume(target, Some(copy)).await {
            ResumeOutcome::Continues => FailoverOutcome::Continues,
            ResumeOutcome::Lost if !self.exchange.route.can_resume => {
                FailoverOutcome::Ended(End::Lost)
            }
            ResumeOutcome::Lost | ResumeOutcome::NotRun => {
                self.exchange
                    .app
                    .control
                    .tell(GatewayMessage::FailoverFailed {
                        request: self.exchange.head.request.clone(),
                        replica: self.replica.id.clone(),
                    });
                self.restart_elsewhere().await
            }
        }
    }

    /// Restarts a resumable stream at another engine after its last event. The engine prefills the
    /// prompt again. Repeats as often as the route and the retry budget allow.
    async fn restart_elsewhere(&mut self) -> FailoverOutcome {
        while self.exchange.route.can_resume && self.fresh_runs < self.exchange.route.max_attempts {
            let request = self.exchange.head.request.clone();
            let control = &self.exchange.app.control;
            let asked = control.ask(|reply| GatewayMessage::RestartStream { request, reply });
            let Some(target) = asked.await.flatten() else {
                break;
            };
            // Closing the connection stops the run at the previous engine if that is still alive.
            self.body = None;
            self.fresh_runs += 1;
            if self.resume(target, None).await == ResumeOutcome::Continues {
                return FailoverOutcome::Continues;
            }
        }
        match self.body {
            Some(_) => FailoverOutcome::NoTarget,
            None => FailoverOutcome::Ended(End::Lost),
        }
    }

    /// Resumes the session at the target of a pending move. The engine is gone, or has stopped the
    /// session for the last part of the copy: the move may still succeed, or may have left a copy
    /// that lacks little. Returns `None` if there is no such move or copy.
    async fn finish_pending_move(&mut self) -> Option<Option<End>> {
        let mut moving = self.moving.take()?;
        let outcome = tokio::time::timeout(MOVE_TIMEOUT, moving.finished()).await;
        let handle = match outcome {
            Ok(Ok(handle)) => handle,
            _ => moving.partial_copy()?,
        };
        Some(
            self.resume_moved_session(moving.target().clone(), handle)
                .await,
        )
    }

    pub(super) async fn handle_move_result(
        &mut self,
        outcome: Result<String, MoveError>,
    ) -> Option<End> {
        let app = self.exchange.app.clone();
        let moving = self.moving.take()?;
        let replica = moving.target().clone();
        if matches!(outcome, Err(MoveError::NoAnswer(_))) {
            // The order that stops a session follows its first copy.
            self.may_be_stopped |= moving.partial_copy().is_some();
        }
        app.metrics.moved(match &outcome {
            Ok(_) => "moved",
            Err(error) => error.as_str(),
        });
        let handle = match outcome {
            Ok(handle) => handle,
            Err(error) => {
                info!(app.log, "session move failed";
                    "request" => &self.exchange.head.request,
                    "backend_server" => &self.replica.id,
                    "cause" => error.to_string());
                self.report_failed_move(replica, &error);
                let end = self.return_to_source(error).await;
                self.exchange.body.retain();
                return end;
            }
        };
        // Nothing arrives on a connection that has been silent for long.
        if !self.is_waiting_for_engine {
            self.drain_stopped_stream().await;
        }
        self.resume_moved_session(replica, handle).await
    }

    /// Reports a failed move. Another target may have room. A session that its engine does not run
    /// at the moment, because it was preempted, can't be copied to any target: the move is retried
    /// a little later.
    fn report_failed_move(&mut self, target: Replica, error: &MoveError) {
        let without_room = match error {
            MoveError::NoSession | MoveError::Busy | MoveError::Withheld => {
                let request = self.exchange.head.request.clone();
                let message = GatewayMessage::MoveDelayed { request };
                return self.exchange.app.control.tell(message);
            }
            MoveError::NoRoom { .. } => Some(target.id.clone()),
            MoveError::NoAnswer(_) => None,
        };
        self.tried.push(target.id);
        self.tell_failed_move(self.tried.clone(), without_room);
    }

    /// Logs that a session can't leave its engine.
    pub(super) fn log_given_up_body(&self) {
        info!(self.exchange.app.log, "session stays: its body was given up for other requests";
            "request" => &self.exchange.head.request,
            "backend_server" => &self.replica.id,
            "last_event" => self.order.last());
    }

    fn tell_failed_move(&self, tried: Vec<BackendId>, without_room: Option<BackendId>) {
        let failed = FailedMove {
            request: self.exchange.head.request.clone(),
            tried,
            without_room,
        };
        let message = GatewayMessage::MoveFailed(failed);
        self.exchange.app.control.tell(message);
    }

    async fn resume_moved_session(&mut self, replica: Replica, handle: String) -> Option<End> {
        let app = self.exchange.app.clone();
        let source = self.replica.clone();
        let copy = SessionCopy::Moved {
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
            ResumeOutcome::Continues => None,
            ResumeOutcome::Lost => Some(End::Lost),
            ResumeOutcome::NotRun => {
                self.tried.push(target_id);
                self.resume_at_source(source, copy).await
            }
        }
    }

    /// Resumes a session at its source if it was stopped but could not be moved.
    async fn return_to_source(&mut self, error: MoveError) -> Option<End> {
        let MoveError::NoRoom {
            handle: Some(handle),
        } = error
        else {
            return None;
        };
        self.drain_stopped_stream().await;
        let source = self.replica.clone();
        let copy = SessionCopy::Moved {
            source: source.address,
            handle,
        };
        self.resume_at_source(source, copy).await
    }

    /// Resumes a session at its source, which keeps the memory of a session that it stopped.
    async fn resume_at_source(&mut self, source: Replica, copy: SessionCopy) -> Option<End> {
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
            ResumeOutcome::Continues => {
                // The session still has to leave this engine.
                self.tell_failed_move(self.tried.clone(), None);
                None
            }
            ResumeOutcome::NotRun | ResumeOutcome::Lost => Some(End::Lost),
        }
    }

    /// Relays the data that the engine sent before it stopped the stream.
    async fn drain_stopped_stream(&mut self) {
        let remaining = async {
            while let Some(Ok(frame)) = next_frame(&mut self.body).await {
                self.take(frame).await;
            }
        };
        // Events that have not arrived by then are generated again from the copy.
        if tokio::time::timeout(DRAIN_TIMEOUT, remaining)
            .await
            .is_err()
        {
            info!(self.exchange.app.log, "stopped stream did not end in time";
                "request" => &self.exchange.head.request);
        }
    }
}
