//! Hears what answers say of their backend servers, and keeps what is about to be sent to
//! it.

use std::sync::Arc;

use futures::future::BoxFuture;
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

/// Names questions in logs.
const REPORT: &str = "report";

/// What is to be sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendKind {
    /// A request that has not begun there.
    New,
    /// A session whose memory is there.
    Session,
}

impl SendKind {
    /// What goes on from a copy is a session.
    pub fn of(resume: Option<&ResumePoint>) -> SendKind {
        match resume.is_some_and(|point| point.copy.is_some()) {
            true => SendKind::Session,
            false => SendKind::New,
        }
    }
}

/// Why nothing is sent to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendStop {
    /// It said that it leaves.
    Leaving,
    /// It asked for rest, until then.
    Resting(Now),
    /// It named a limit, and this instance has used its share.
    Limited,
}

impl SendStop {
    /// The form used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SendStop::Leaving => "it said that it leaves",
            SendStop::Resting(_) => "it asked for rest",
            SendStop::Limited => "it named a limit, and the share of this instance is used",
        }
    }
}

/// The words of backend servers, from the answers of all requests, orders and questions.
#[derive(Clone)]
pub struct Notices {
    /// Decisions.
    pub control: GatewayHandle,
    /// What the decisions made of them.
    pub stops: watch::Receiver<Arc<SendRestrictions>>,
    /// Clocks.
    pub clock: Clock,
    /// Figures for operators.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger.
    pub log: Logger,
}

impl Notices {
    /// Notes what an answer said of its backend server. `asked` names the request, order or
    /// question that was answered.
    pub fn heard(&self, replica: &Replica, heard: ObservedNotice, asked: &str) {
        let notice = &heard.notice;
        let life = replica.life();
        if heard.reports_limits
            && notice.limit == DeclaredLimit::Absent
            && self.stops.borrow().limited.contains(&life)
        {
            self.tell(replica, heard);
        }
        if notice.is_empty() {
            return;
        }
        self.count(notice);
        info!(self.log, "answer tells of its backend server";
            "request" => asked,
            "backend_server" => &replica.id,
            "leaving" => notice.is_leaving,
            "rest_ms" => notice.rest().map(|rest| rest.as_millis() as u64),
            "limit_per_s" => notice.limit.rate().map(RequestRate::per_s),
            "unreadable" => notice.is_unreadable());
        let is_known = self.stops.borrow().leaving.contains(&life);
        let is_limit = notice.limit.rate().is_some();
        if notice.rest().is_some() || notice.is_leaving && !is_known || is_limit {
            self.tell(replica, heard);
        }
    }

    fn tell(&self, replica: &Replica, heard: ObservedNotice) {
        self.control.tell(GatewayMessage::NoticeReceived {
            replica: replica.server_life(),
            heard,
        });
    }

    /// Why something may not be sent to a backend server now, if so. Asked before each send:
    /// it may have said something since the request was placed. What may be sent to a server
    /// that named a limit counts as sent.
    pub async fn stop(&self, replica: &Replica, kind: SendKind, asked: &str) -> Option<SendStop> {
        let stop = self.known_stop(replica, kind);
        if stop.is_some() || !self.stops.borrow().limited.contains(&replica.life()) {
            return stop;
        }
        let may_send = self.control.ask(|reply| GatewayMessage::MaySend {
            replica: replica.server_life(),
            request: asked.to_owned(),
            reply,
        });
        let may_send = may_send.await.unwrap_or_default();
        (!may_send).then_some(SendStop::Limited)
    }

    fn known_stop(&self, replica: &Replica, kind: SendKind) -> Option<SendStop> {
        let stops = self.stops.borrow();
        if stops.leaving.is_empty() && stops.resting.is_empty() {
            return None;
        }
        let life = replica.life();
        if let Some(until) = stops.backoff_until(self.clock.now(), life) {
            return Some(SendStop::Resting(until));
        }
        // A session that can go on nowhere else is not lost for a server's leaving.
        let leaves = kind == SendKind::New && stops.leaving.contains(&life);
        leaves.then_some(SendStop::Leaving)
    }

    fn count(&self, notice: &ServerNotice) {
        if notice.is_leaving {
            self.metrics.noticed("leaving");
        }
        if notice.rest().is_some() {
            self.metrics.noticed("rest");
        }
        if notice.limit.rate().is_some() {
            self.metrics.noticed("limit");
        }
        if notice.is_unreadable() {
            self.metrics.noticed("unreadable");
        }
    }
}

/// Gives orders only to engines that want them, and hears what their answers say.
pub struct HeedfulMover {
    /// Gives the orders.
    pub mover: Arc<dyn SessionMover>,
    /// The words of engines.
    pub notices: Notices,
}

impl HeedfulMover {
    async fn wants(&self, engine: &Replica, asked: &str) -> bool {
        let stop = self.notices.stop(engine, SendKind::Session, asked).await;
        stop.is_none()
    }
}

impl SessionMover for HeedfulMover {
    fn copy(&self, order: MoveOrder) -> BoxFuture<'_, EngineAnswer<String>> {
        Box::pin(async move {
            let source = order.source.clone();
            let request = order.request.clone();
            if !self.wants(&source, &request).await {
                return EngineAnswer::bare(Err(MoveError::Withheld));
            }
            let sent_at = self.notices.clock.now();
            let answer = self.mover.copy(order).await;
            // Answers to orders and questions may leave a limit out.
            let heard = answer.heard(sent_at, false);
            self.notices.heard(&source, heard, &request);
            answer
        })
    }

    fn is_leaving(&self, engine: Replica) -> BoxFuture<'_, EngineAnswer<bool>> {
        Box::pin(async move {
            if !self.wants(&engine, REPORT).await {
                return EngineAnswer::bare(Err(MoveError::Withheld));
            }
            let sent_at = self.notices.clock.now();
            let answer = self.mover.is_leaving(engine.clone()).await;
            let heard = answer.heard(sent_at, false);
            self.notices.heard(&engine, heard, REPORT);
            answer
        })
    }
}
