//! One request of a caller, resolved, and the sending of it to one backend
//! server.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use hyper::body::Incoming;
use iristhread_api::HttpClientError;
use iristhread_core::Fingerprint;
use iristhread_core::Now;
use iristhread_core::ObservedNotice;
use iristhread_core::PlacementRequest;
use iristhread_core::Ranking;
use iristhread_core::RegionId;
use iristhread_core::Replica;
use iristhread_core::Route;
use iristhread_core::RunEnd;
use iristhread_core::SendResult;
use iristhread_core::SessionSignal;
use iristhread_core::engine_priority;
use slog::info;
use tokio::sync::mpsc;

use crate::engines::notices::SendKind;
use crate::engines::notices::SendRestriction;
use crate::gateway::GatewayApp;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_message::Placed;
use crate::gateway::gateway_message::Resend;
use crate::relaying::dialect::AnswerHead;
use crate::relaying::dialect::CallerHead;
use crate::relaying::dialect::ResumePoint;
use crate::relaying::dialect::SendOrder;
use crate::relaying::front_answer;
use crate::relaying::front_answer::FrontAnswer;
use crate::relaying::front_answer::end_to_end;
use crate::relaying::patience;

/// Advice while the process stops: the balancer knows another instance.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A try of a repeatable request is given up after this many times its
/// objective, so that a second one still has a use.
const TRY_OBJECTIVES: u32 = 2;

/// A request whose route, service and workspace are known.
pub struct Exchange {
    /// What all tasks share.
    pub app: Arc<GatewayApp>,
    /// What its head says.
    pub head: CallerHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What it consists of.
    pub fingerprint: Fingerprint,
    /// Its route.
    pub route: Route,
    /// The service that runs it.
    pub service: String,
    /// Whose it is.
    pub workspace: Option<String>,
    /// Whether callers have keys, which backend servers never see.
    pub hides_key: bool,
    /// Rank of the workspace, 0 is the most urgent.
    pub workspace_rank: u8,
    /// Regions whose backend servers alone may get it; `None` for all.
    pub homes: Option<BTreeSet<RegionId>>,
    /// Id of the last event that the caller holds of this stream, 0 for none.
    pub after_event: u64,
    /// When it arrived.
    pub arrived: Now,
    /// When its final answer is due.
    pub answer_by: Now,
}

/// An answer whose body is still to come.
pub struct BackendAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Incoming,
    /// What its head says.
    pub head: AnswerHead,
}

/// What became of one send.
pub enum Sent {
    /// An answer of this request.
    Answer(Box<BackendAnswer>),
    /// No connection: no byte was written.
    NotConnected(String),
    /// Nothing was tried: the availability zone of the backend server is evacuated.
    ZoneClosed,
    /// Nothing was tried: the backend server has said that it wants nothing of the kind.
    Withheld(SendRestriction),
    /// The connection broke, or what came is no answer of this request.
    Lost(String),
    /// No answer in time.
    TimedOut,
}

impl Sent {
    /// The form used in metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Sent::Answer(answer) if answer.head.is_not_run => "said_not_run",
            Sent::Answer(_) => "answered",
            Sent::NotConnected(_) => "not_connected",
            Sent::ZoneClosed => "zone_closed",
            Sent::Withheld(_) => "withheld",
            Sent::Lost(_) => "lost",
            Sent::TimedOut => "timed_out",
        }
    }
}

impl Exchange {
    /// Asks the decisions for a backend server.
    ///
    /// # Errors
    ///
    /// The answer for the caller; nothing was sent.
    pub async fn place(
        &self,
        signals: mpsc::UnboundedSender<SessionSignal>,
    ) -> Result<Ranking, Box<FrontAnswer>> {
        let began = self.app.clock.now();
        let placed = self.app.control.ask(|reply| GatewayMessage::Place {
            ask: self.ask(),
            signals,
            reply,
        });
        let placed = placed.await;
        self.app.metrics.placed(self.app.clock.now() - began);
        let refused = match placed {
            Some(Placed::Ranked(ranking)) => return Ok(ranking),
            Some(Placed::Refused(refusal)) => {
                front_answer::not_run(refusal.retry_after, &refusal.message)
            }
            None => front_answer::not_run(STOPPING_RETRY_AFTER, "the instance is stopping"),
        };
        Err(Box::new(refused))
    }

    /// What the request asks of the backend servers: events that the caller
    /// holds are read with the prompt, and made no more.
    fn ask(&self) -> PlacementRequest {
        let per_event = u64::from(self.app.tokens_per_event(&self.service));
        let held = self.after_event.saturating_mul(per_event);
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let held = held.min(self.head.max_tokens);
        let expected = self.head.expected_tokens;
        PlacementRequest {
            request: self.head.request.clone(),
            fingerprint: self.fingerprint,
            service: self.service.clone(),
            class: self.route.class,
            prompt_tokens: self.head.prompt_tokens.saturating_add(held),
            max_tokens: self.head.max_tokens - held,
            expected_tokens: expected.map(|tokens| tokens.saturating_sub(held)),
            homes: self.homes.clone(),
        }
    }

    /// Where the stream begins for its caller; `None` at its first event.
    pub fn beginning(&self) -> Option<ResumePoint> {
        let resumed = self.after_event > 0;
        resumed.then_some(ResumePoint {
            copy: None,
            after_event: self.after_event,
        })
    }

    /// Whether a further send is allowed: it spends the budget of the service,
    /// unless no byte of the one before was written.
    pub async fn may_send_again(&self, replica: &str, before: SendResult) -> bool {
        let control = &self.app.control;
        control.tell(GatewayMessage::Moved {
            request: self.head.request.clone(),
            replica: replica.to_owned(),
        });
        let asked = control.ask(|reply| GatewayMessage::Resend {
            request: self.head.request.clone(),
            service: self.service.clone(),
            spends_budget: before != SendResult::NotConnected,
            reply,
        });
        let cause = match asked.await {
            Some(Resend::Granted) => return true,
            Some(Resend::BudgetSpent) => "the retry budget is spent",
            Some(Resend::Quarantined) => "backend servers end under requests like it",
            None => "the instance is stopping",
        };
        info!(self.app.log, "no further try";
            "request" => &self.head.request, "cause" => cause,
            "content" => self.fingerprint.to_string(),
            "service" => &self.service);
        false
    }

    /// When a try that may be followed by another is given up.
    pub fn try_until(&self, is_repeatable: bool) -> Now {
        let until = self.app.clock.now() + self.route.objective * TRY_OBJECTIVES;
        match is_repeatable && self.route.max_attempts > 1 {
            true => until.min(self.answer_by),
            false => self.answer_by,
        }
    }

    /// Time left for the final answer.
    pub fn time_left(&self) -> Duration {
        self.answer_by.saturating_sub(self.app.clock.now())
    }

    /// Sends the request to a replica on a connection of its own, so that
    /// nothing that belongs to another request can arrive on it.
    pub async fn send(
        &self,
        replica: &Replica,
        backup: Option<&Replica>,
        resume: Option<ResumePoint>,
        by: Now,
    ) -> Sent {
        if self.app.is_closed(&replica.availability_zone) {
            return Sent::ZoneClosed;
        }
        // A request placed before the server spoke, or sent on by a process that stood still.
        let kind = SendKind::of(resume.as_ref());
        let stop = self
            .app
            .notices
            .restriction(replica, kind, &self.head.request);
        if let Some(stop) = stop.await {
            self.log_withheld(replica, stop);
            return Sent::Withheld(stop);
        }
        let order = SendOrder {
            request: self.head.request.clone(),
            replica: replica.id.clone(),
            time_left: self.time_left(),
            workspace: self.workspace.clone(),
            hides_key: self.hides_key,
            urgency: Some(engine_priority(self.workspace_rank)),
            backup: backup.map(|replica| replica.address),
            resume,
        };
        let request = match self.request_to(replica, &order) {
            Ok(request) => request,
            Err(error) => return Sent::NotConnected(error.to_string()),
        };
        let sent_at = self.app.clock.now();
        let by = self.app.clock.instant(by);
        match patience::until(by, self.app.client.send(request)).await {
            None => Sent::TimedOut,
            Some(Err(HttpClientError::Connect { cause, .. })) => Sent::NotConnected(cause),
            Some(Err(error)) => Sent::Lost(error.to_string()),
            Some(Ok(response)) => self.checked(replica, response, sent_at),
        }
    }

    fn request_to(
        &self,
        replica: &Replica,
        order: &SendOrder,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{}{path}", replica.address);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(Full::new(self.body.clone()))?;
        let headers = end_to_end(&self.headers);
        *request.headers_mut() = self.app.dialect.write_order(&headers, order);
        Ok(request)
    }

    fn log_withheld(&self, replica: &Replica, stop: SendRestriction) {
        info!(self.app.log, "not sent: the backend server wants nothing of the kind";
            "request" => &self.head.request,
            "backend_server" => &replica.id,
            "cause" => stop.as_str());
    }

    /// When the caller of a request that nobody took should come back: `otherwise` while
    /// one of the backend servers takes requests.
    pub async fn caller_retry_after(&self, otherwise: Duration) -> Duration {
        let ask = self.ask();
        let control = &self.app.control;
        let asked = control.ask(|reply| GatewayMessage::CallerRetryAfter {
            ask,
            otherwise,
            reply,
        });
        asked.await.unwrap_or(otherwise)
    }

    fn checked(&self, replica: &Replica, response: http::Response<Incoming>, sent_at: Now) -> Sent {
        let (parts, body) = response.into_parts();
        let head = self.app.dialect.read_answer(parts.status, &parts.headers);
        let is_ours = match &head.request {
            Some(request) => *request == self.head.request,
            None => head.is_not_run,
        };
        // Also when the answer is no answer of this request: the connection is its own.
        let heard = ObservedNotice {
            notice: head.notice,
            sent_at,
            reports_limits: is_ours && head.is_stamped && parts.status.is_success(),
        };
        let notices = &self.app.notices;
        notices.record(replica, heard, &self.head.request);
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            self.app.control.tell(GatewayMessage::AddressReused {
                replica: replica.server_life(),
            });
        }
        if !is_ours {
            return Sent::Lost("the answer bears another request's id".to_owned());
        }
        if parts.status.is_success() && !head.is_stamped {
            return Sent::Lost("the answer bears no mark of a backend server".to_owned());
        }
        Sent::Answer(Box::new(BackendAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
            head,
        }))
    }
}

impl BackendAnswer {
    /// Whether its status promises that the request was not run although the
    /// backend server did not say so: such an answer can't be passed on.
    pub fn is_false_promise(&self) -> bool {
        let promises = matches!(self.status.as_u16(), 408 | 421 | 429 | 503);
        promises && !self.head.is_not_run
    }
}

/// Tells the decisions of the end of a request, also when its task is dropped
/// because the caller left.
pub struct RunGuard {
    app: Arc<GatewayApp>,
    request: String,
    end: RunEnd,
}

impl RunGuard {
    /// Guards a request that was placed.
    pub fn new(app: Arc<GatewayApp>, request: String) -> Self {
        RunGuard {
            app,
            request,
            end: RunEnd::Withdrawn,
        }
    }

    /// Notes how it ends.
    pub fn ends(&mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.app.control.tell(GatewayMessage::Ended {
            request: self.request.clone(),
            end: self.end,
        });
    }
}
