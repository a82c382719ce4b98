//! Sends a session to an engine that has a copy of it, or that runs it again.

use std::time::Duration;

use hyper::body::Incoming;
use iristhread_core::FailoverTarget;
use iristhread_core::Now;
use slog::info;
use slog::warn;

use super::StreamRelay;
use super::carrying::Resumed;
use crate::engines::engine_watch::probe_broken_server;
use crate::engines::notices::SendRestriction;
use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::dialect::CopyName;
use crate::relaying::dialect::ResumePoint;
use crate::relaying::event_splitter::EventSplitter;
use crate::relaying::exchange::Sent;

/// Longest wait for the head of a resumed stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a session asks again whether an engine under a limit takes it.
const LIMIT_RETRY: Duration = Duration::from_millis(250);

impl StreamRelay {
    /// Sends the session to an engine, which has a copy of it or runs it again.
    pub(super) async fn resume(
        &mut self,
        target: FailoverTarget,
        copy: Option<CopyName>,
    ) -> Resumed {
        let app = self.exchange.app.clone();
        let kind = match &copy {
            Some(CopyName::Moved { .. }) => "move",
            Some(CopyName::Backup { .. }) => "copy",
            None => "again",
        };
        let by = (app.clock.now() + RESUME_TIMEOUT).min(self.exchange.answer_by);
        let point = ResumePoint {
            copy,
            after_event: self.order.last(),
        };
        let sent = self.send_when_taken(&target, point, by).await;
        let pause = app.clock.now() - self.last_event_at;
        let (cause, resumed) = match sent {
            Sent::Answer(answer) if answer.status.is_success() => {
                app.metrics.failover_ended(kind, "went_on", pause);
                self.go_on(target, answer.body, pause);
                return Resumed::GoesOn;
            }
            Sent::Answer(answer) if answer.head.is_not_run => {
                (format!("status {}", answer.status), Resumed::NotRun)
            }
            Sent::Answer(answer) => (format!("status {}", answer.status), Resumed::Lost),
            Sent::NotConnected(cause) => {
                app.control.tell(GatewayMessage::Failed {
                    replica: target.replica.server_life(),
                });
                (cause, Resumed::NotRun)
            }
            Sent::ZoneClosed => ("its zone is evacuated".to_owned(), Resumed::NotRun),
            Sent::Withheld(stop) => (stop.as_str().to_owned(), Resumed::NotRun),
            Sent::Lost(cause) => {
                probe_broken_server(&app, &self.exchange.head.request, &target.replica).await;
                (cause, Resumed::Lost)
            }
            Sent::TimedOut => ("no answer in time".to_owned(), Resumed::Lost),
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

    /// The one engine that has a copy may have asked for rest, or take no more now: the
    /// session waits for a short time, since it has nowhere else to go.
    async fn send_when_taken(&self, target: &FailoverTarget, point: ResumePoint, by: Now) -> Sent {
        let clock = self.exchange.app.clock;
        loop {
            let backup = target.backup.as_ref();
            let point = point.clone();
            let has_copy = point.copy.is_some();
            let sent = self.exchange.send(&target.replica, backup, Some(point), by);
            let sent = sent.await;
            let again_at = match &sent {
                Sent::Withheld(SendRestriction::Resting(until)) => *until,
                Sent::Withheld(SendRestriction::Limited) => clock.now() + LIMIT_RETRY,
                _ => return sent,
            };
            if !has_copy || again_at >= by {
                return sent;
            }
            tokio::time::sleep_until(clock.instant(again_at)).await;
        }
    }

    fn go_on(&mut self, target: FailoverTarget, body: Incoming, pause: Duration) {
        let app = self.exchange.app.clone();
        info!(app.log, "stream goes on at another engine";
            "request" => &self.exchange.head.request,
            "from" => &target.from,
            "backend_server" => &target.replica.id,
            "backup" => target.backup.as_ref().map(|b| b.id.clone()),
            "last_event" => self.order.last(),
            "paused_ms" => pause.as_millis() as u64);
        let target_is_new = self.replica.id != target.replica.id;
        self.replica = target.replica;
        self.body = Some(body);
        self.splitter = EventSplitter::default();
        self.order.resume();
        self.heard_at = app.clock.now();
        self.events_here = 0;
        self.engine_begun_anew = false;
        self.carried += 1;
        if target_is_new {
            self.tried.clear();
        }
    }
}
