//! Resumes a session at an engine, from a copy of it or by a new run.

use std::time::Duration;

use iristhread_core::FailoverTarget;
use iristhread_core::Now;
use slog::info;
use slog::warn;

use super::StreamRelay;
use super::failover::ResumeOutcome;
use crate::engines::engine_watch::probe_broken_server;
use crate::engines::notices::SendRestriction;
use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::event_splitter::EventSplitter;
use crate::relaying::send_outcome::BackendAnswer;
use crate::relaying::send_outcome::SendOutcome;
use crate::relaying::wire_protocol::ResumePoint;
use crate::relaying::wire_protocol::SessionCopy;

/// Maximum wait for the response headers of a resumed stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a session checks again whether an engine with a limit accepts it.
const LIMIT_RETRY: Duration = Duration::from_millis(250);

impl StreamRelay {
    /// Resumes the session at an engine, from `copy` or, without one, by a new run.
    pub(super) async fn resume(
        &mut self,
        target: FailoverTarget,
        copy: Option<SessionCopy>,
    ) -> ResumeOutcome {
        let app = self.exchange.app.clone();
        let kind = match &copy {
            Some(SessionCopy::Moved { .. }) => "move",
            Some(SessionCopy::Backup { .. }) => "copy",
            None => "again",
        };
        let by = (app.clock.now() + RESUME_TIMEOUT).min(self.exchange.answer_deadline);
        let point = ResumePoint {
            copy,
            after_event: self.order.last(),
        };
        let sent = self.send_with_backoff(&target, point, by).await;
        let pause = app.clock.now() - self.last_event_at;
        let (cause, resumed) = match sent {
            SendOutcome::Answer(answer) if answer.status.is_success() => {
                app.metrics.failover_ended(kind, "went_on", pause);
                self.continue_from(target, *answer, pause);
                return ResumeOutcome::Continues;
            }
            SendOutcome::Answer(answer) if answer.head.is_not_run => {
                (format!("status {}", answer.status), ResumeOutcome::NotRun)
            }
            SendOutcome::Answer(answer) => {
                (format!("status {}", answer.status), ResumeOutcome::Lost)
            }
            SendOutcome::NotConnected(cause) => {
                app.control.tell(GatewayMessage::Failed {
                    replica: target.replica.server_life(),
                });
                (cause, ResumeOutcome::NotRun)
            }
            SendOutcome::NoPath(cause) => (cause, ResumeOutcome::NotRun),
            SendOutcome::ZoneEvacuated => (
                "the availability zone of the engine is evacuated".to_owned(),
                ResumeOutcome::NotRun,
            ),
            SendOutcome::Withheld(stop) => (stop.as_str().to_owned(), ResumeOutcome::NotRun),
            SendOutcome::DeadlinePassed => {
                ("the deadline has passed".to_owned(), ResumeOutcome::NotRun)
            }
            SendOutcome::BodyGivenUp => (
                "its body was given up for other requests".to_owned(),
                ResumeOutcome::NotRun,
            ),
            SendOutcome::Lost(cause) => {
                probe_broken_server(&app, &self.exchange.head.request, &target.replica).await;
                (cause, ResumeOutcome::Lost)
            }
            SendOutcome::TimedOut => ("no answer in time".to_owned(), ResumeOutcome::Lost),
        };
        app.metrics.failover_ended(kind, "refused", pause);
        warn!(app.log, "session can't go on at an engine";
            "request" => &self.exchange.head.request,
            "backend_server" => &target.replica.id,
            "copy" => kind,
            "cause" => cause,
            "last_event" => self.order.last());
        resumed
    }

    /// Sends the session to an engine. If the engine holds a copy and is backing off or at its
    /// limit, waits until it accepts the session, but not beyond the deadline: it is the only
    /// engine with a copy, so the session can continue nowhere else.
    async fn send_with_backoff(
        &self,
        target: &FailoverTarget,
        point: ResumePoint,
        by: Now,
    ) -> SendOutcome {
        let clock = self.exchange.app.clock;
        loop {
            let backup = target.backup.as_ref();
            let point = point.clone();
            let has_copy = point.copy.is_some();
            let sent = self.exchange.send(&target.replica, backup, Some(point), by);
            let sent = sent.await;
            let retry_at = match &sent {
                SendOutcome::Withheld(SendRestriction::Resting(until)) => *until,
                SendOutcome::Withheld(SendRestriction::Limited) => clock.now() + LIMIT_RETRY,
                _ => return sent,
            };
            if !has_copy || retry_at >= by {
                return sent;
            }
            tokio::time::sleep_until(clock.instant(retry_at)).await;
        }
    }

    fn continue_from(&mut self, target: FailoverTarget, answer: BackendAnswer, pause: Duration) {
        let app = self.exchange.app.clone();
        info!(app.log, "stream resumed at an engine";
            "request" => &self.exchange.head.request,
            "from" => &target.from,
            "backend_server" => &target.replica.id,
            "backup" => target.backup.as_ref().map(|b| b.id.clone()),
            "last_event" => self.order.last(),
            "paused_ms" => pause.as_millis() as u64);
        let target_is_new = self.replica.id != target.replica.id;
        self.replica = target.replica;
        self.ends_with_connection = answer.ends_with_connection();
        self.body = Some(answer.body);
        self.splitter = EventSplitter::default();
        self.order.resume();
        self.silent_since = app.clock.now();
        self.engine_events = 0;
        self.engine_restarted = false;
        self.may_be_stopped = false;
        self.resumptions += 1;
        self.exchange.body.retain();
        if target_is_new {
            self.tried.clear();
        }
    }
}
