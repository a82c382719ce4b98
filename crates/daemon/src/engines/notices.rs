//! Records the server notices of answers, and checks the resulting restrictions before each
//! send.

use std::sync::Arc;

use futures::future::BoxFuture;
use iristhread_core::DeclaredBound;
use iristhread_core::DeclaredLimit;
use iristhread_core::Now;
use iristhread_core::ObservedNotice;
use iristhread_core::Replica;
use iristhread_core::RequestRate;
use iristhread_core::SendRestrictions;
use iristhread_core::ServerNotice;
use slog::Logger;
use slog::info;
use tokio::sync::watch;

use crate::engines::session_mover::EngineAnswer;
use crate::engines::session_mover::MoveError;
use crate::engines::session_mover::MoveOrder;
use crate::engines::session_mover::SessionMover;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::process::clock::Clock;
use crate::relaying::wire_protocol::ResumePoint;

/// Name of queries in logs.
const QUERY_NAME: &str = "report";

/// What is about to be sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendKind {
    /// A request that has not started at the server.
    New,
    /// A session whose memory is at the server.
    Session,
}

impl SendKind {
    /// Returns [`SendKind::Session`] for a stream that resumes from a copy.
    pub fn of(resume: Option<&ResumePoint>) -> SendKind {
        match resume.is_some_and(|point| point.copy.is_some()) {
            true => SendKind::Session,
            false => SendKind::New,
        }
    }
}

/// Why nothing may be sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendRestriction {
    /// The server is draining or no longer listed.
    Leaving,
    /// The server asked for a backoff until this time.
    Resting(Now),
    /// The server declared a limit, and this instance has used its share; or it is brittle and has
    /// no room.
    Limited,
}

impl SendRestriction {
    /// Returns the form used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SendRestriction::Leaving => "it leaves or is no longer listed",
            SendRestriction::Resting(_) => "it asked for rest",
            SendRestriction::Limited => "it declared a limit or is brittle, and takes no more now",
        }
    }
}

/// Records the server notices in the answers to all requests, orders and queries.
#[derive(Clone)]
pub struct Notices {
    /// Sends messages to the control thread.
    pub control: GatewayHandle,
    /// Send restrictions that the control thread derived from the notices.
    pub restrictions: watch::Receiver<Arc<SendRestrictions>>,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger of the instance.
    pub log: Logger,
}

impl Notices {
    /// Records the server notice of an answer. `request` names the answered request, order or
    /// query in the log.
    pub fn record(&self, replica: &Replica, observed: ObservedNotice, request: &str) {
        let notice = &observed.notice;
        let incarnation = replica.life();
        if observed.reports_limits
            && (notice.limit == DeclaredLimit::Absent || notice.brittle == DeclaredBound::Absent)
            && self.restrictions.borrow().limited.contains(&incarnation)
        {
            self.send_notice(replica, observed);
        }
        if notice.is_empty() {
            return;
        }
        self.count(notice);
        info!(self.log, "answer contains a server notice";
            "request" => request,
            "backend_server" => &replica.id,
            "leaving" => notice.is_leaving,
            "rest_ms" => notice.rest().map(|rest| rest.as_millis() as u64),
            "limit_per_s" => notice.limit.rate().map(RequestRate::per_s),
            "brittle_rejections_per_s" => notice.brittle.rejections_per_s(),
            "unreadable" => notice.is_unreadable());
        let is_known = self.restrictions.borrow().leaving.contains(&incarnation);
        let is_bound = notice.limit.rate().is_some() || notice.brittle.rejections_per_s().is_some();
        if notice.rest().is_some() || notice.is_leaving && !is_known || is_bound {
            self.send_notice(replica, observed);
        }
    }

    fn send_notice(&self, replica: &Replica, notice: ObservedNotice) {
        self.control.tell(GatewayMessage::NoticeReceived {
            replica: replica.server_life(),
            notice,
        });
    }

    /// Returns why something may not be sent to a backend server now, if so. Must be checked before
    /// each send: the list may have changed, or a server notice arrived, since the request was
    /// placed. A granted send to a server that declared a limit counts against the limit.
    pub async fn restriction(
        &self,
        replica: &Replica,
        kind: SendKind,
        request: &str,
    ) -> Option<SendRestriction> {
        let restriction = self.known_restriction(replica, kind);
        if restriction.is_some() || !self.restrictions.borrow().limited.contains(&replica.life()) {
            return restriction;
        }
        let may_send = self.control.ask(|reply| GatewayMessage::MaySend {
            replica: replica.server_life(),
            request: request.to_owned(),
            reply,
        });
        let may_send = may_send.await.unwrap_or_default();
        (!may_send).then_some(SendRestriction::Limited)
    }

    /// Same as [`Notices::restriction`] for a send that was granted: its connection took a while.
    pub fn known_restriction(&self, replica: &Replica, kind: SendKind) -> Option<SendRestriction> {
        let restrictions = self.restrictions.borrow();
        if let Some(until) = restrictions.backoff_until(self.clock.now(), replica.life()) {
            return Some(SendRestriction::Resting(until));
        }
        // A session whose memory is there may still be sent to a draining server: it could not
        // continue anywhere else.
        let is_leaving = kind == SendKind::New && !restrictions.accepts_new_work(replica);
        is_leaving.then_some(SendRestriction::Leaving)
    }

    fn count(&self, notice: &ServerNotice) {
        if notice.is_leaving {
            self.metrics.notice_observed("leaving");
        }
        if notice.rest().is_some() {
            self.metrics.notice_observed("rest");
        }
        if notice.limit.rate().is_some() {
            self.metrics.notice_observed("limit");
        }
        if notice.brittle.rejections_per_s().is_some() {
            self.metrics.notice_observed("brittle");
        }
        if notice.is_unreadable() {
            self.metrics.notice_observed("unreadable");
        }
    }
}

/// Sends orders and queries only to engines without a send restriction, and records the server
/// notices of their answers.
pub struct RestrictedMover {
    /// Sends the orders and queries.
    pub mover: Arc<dyn SessionMover>,
    /// Records the server notices of engines.
    pub notices: Notices,
}

impl RestrictedMover {
    async fn may_send(&self, engine: &Replica, request: &str) -> bool {
        let restriction = self
            .notices
            .restriction(engine, SendKind::Session, request)
            .await;
        restriction.is_none()
    }
}

impl SessionMover for RestrictedMover {
    fn copy(&self, order: MoveOrder) -> BoxFuture<'_, EngineAnswer<String>> {
        Box::pin(async move {
            let source = order.source.clone();
            let request = order.request.clone();
            if !self.may_send(&source, &request).await {
                return EngineAnswer::bare(Err(MoveError::Withheld));
            }
            let sent_at = self.notices.clock.now();
            let answer = self.mover.copy(order).await;
            // Answers to orders and queries may omit a limit that is still in force.
            let observed = answer.heard(sent_at, false);
            self.notices.record(&source, observed, &request);
            answer
        })
    }

    fn is_leaving(&self, engine: Replica) -> BoxFuture<'_, EngineAnswer<bool>> {
        Box::pin(async move {
            if !self.may_send(&engine, QUERY_NAME).await {
                return EngineAnswer::bare(Err(MoveError::Withheld));
            }
            let sent_at = self.notices.clock.now();
            let answer = self.mover.is_leaving(engine.clone()).await;
            let observed = answer.heard(sent_at, false);
            self.notices.record(&engine, observed, QUERY_NAME);
            answer
        })
    }
}
