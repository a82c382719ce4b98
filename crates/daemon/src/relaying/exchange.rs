//! One resolved request of a caller, and the send of it to one backend server.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use iristhread_api::HttpClientError;
use iristhread_core::Fingerprint;
use iristhread_core::Now;
use iristhread_core::ObservedNotice;
use iristhread_core::PlacementRequest;
use iristhread_core::PromptParts;
use iristhread_core::Ranking;
use iristhread_core::RegionId;
use iristhread_core::Replica;
use iristhread_core::RequestRank;
use iristhread_core::Route;
use iristhread_core::SendResult;
use iristhread_core::ServiceLevel;
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
use crate::gateway::gateway_thread::waiting::STOPPING_RETRY_AFTER;
use crate::process::read_permit::ReadPermit;
use crate::relaying::answer_timeout;
use crate::relaying::caller_answer;
use crate::relaying::caller_answer::CallerAnswer;
use crate::relaying::caller_answer::end_to_end_headers;
use crate::relaying::run_guard::RunGuard;
use crate::relaying::send_outcome::BackendAnswer;
use crate::relaying::send_outcome::SendOutcome;
use crate::relaying::wire_protocol::AnswerHead;
use crate::relaying::wire_protocol::CallerHead;
use crate::relaying::wire_protocol::ResumePoint;
use crate::relaying::wire_protocol::SendParameters;

/// An attempt of a repeatable request is abandoned after this many times its latency objective,
/// so that a second attempt is still useful.
const ATTEMPT_OBJECTIVES: u32 = 2;

/// A request whose route, service and workspace are known.
pub struct Exchange {
    /// State shared by all tasks of the gateway.
    pub app: Arc<GatewayApp>,
    /// Values from the request headers.
    pub head: CallerHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Request headers as received.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Digest of the request, by which crashes under equal requests are recognised.
    pub fingerprint: Fingerprint,
    /// The parts of the prompt that other requests may share.
    pub parts: PromptParts,
    /// Route of the request.
    pub route: Route,
    /// The service that runs it.
    pub service: String,
    /// Name of the caller's workspace, if any.
    pub workspace: Option<String>,
    /// Whether callers have API keys, which are never sent to backend servers.
    pub hides_key: bool,
    /// Priority rank of the workspace; 0 is the highest priority.
    pub workspace_rank: u8,
    /// The only regions whose backend servers may receive the request; `None` for all regions.
    pub homes: Option<BTreeSet<RegionId>>,
    /// Id of the last event of this stream that the caller has received, 0 for none.
    pub after_event: u64,
    /// Time at which the request arrived.
    pub arrived: Now,
    /// Deadline of the final answer.
    pub answer_deadline: Now,
    /// Held until the request is first sent on.
    pub read_permit: Mutex<Option<ReadPermit>>,
}

impl Exchange {
    /// Requests a ranking of backend servers from the gateway thread. The request may wait for room
    /// first; that time belongs to its objective and its deadline.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if the request was refused; nothing was sent.
    pub async fn place(
        &self,
        signals: mpsc::UnboundedSender<SessionSignal>,
    ) -> Result<(Ranking, RunGuard), Box<CallerAnswer>> {
        let began = self.app.clock.now();
        // Without it, the load of the request would stay if the caller disconnects at the moment of
        // the placement.
        let mut guard = RunGuard::new(self.app.clone(), self.head.request.clone());
        let placed = self.app.control.ask(|reply| GatewayMessage::Place {
            ask: self.placement_request(),
            signals,
            reply,
        });
        let placed = placed.await;
        self.app.metrics.placed(self.app.clock.now() - began);
        let refused = match placed {
            Some(Placed::Ranked(ranking)) => return Ok((ranking, guard)),
            Some(Placed::Refused(refusal)) => {
                caller_answer::not_run(refusal.retry_after, &refusal.message)
            }
            None => caller_answer::not_run(STOPPING_RETRY_AFTER, "the instance is stopping"),
        };
        guard.disarm();
        Err(Box::new(refused))
    }

    /// Builds the placement request. Events that the caller has already received count as prompt
    /// tokens and no longer as output tokens, since they are prefilled and not generated again.
    fn placement_request(&self) -> PlacementRequest {
        let per_event = u64::from(self.app.tokens_per_event(&self.service));
        let held = self.after_event.saturating_mul(per_event);
        let held = u32::try_from(held).unwrap_or(u32::MAX);
        let held = held.min(self.head.max_tokens);
        let expected = self.head.expected_tokens;
        PlacementRequest {
            request: self.head.request.clone(),
            fingerprint: self.fingerprint,
            parts: self.parts.clone(),
            service: self.service.clone(),
            class: self.route.class,
            prompt_tokens: self.head.prompt_tokens.saturating_add(held),
            max_tokens: self.head.max_tokens - held,
            expected_tokens: expected.map(|tokens| tokens.saturating_sub(held)),
            homes: self.homes.clone(),
            level: ServiceLevel {
                route: self.route.name.clone(),
                workspace: self.workspace.clone(),
                rank: RequestRank {
                    workspace: self.workspace_rank,
                    route: self.route.rank,
                },
                objective: self.route.objective,
                pause_objective: self.route.pause_objective,
                arrived: self.arrived,
                deadline: self.answer_deadline,
            },
        }
    }

    /// The point at which the stream starts for its caller; `None` for its first event.
    pub fn start_point(&self) -> Option<ResumePoint> {
        let resumed = self.after_event > 0;
        resumed.then_some(ResumePoint {
            copy: None,
            after_event: self.after_event,
        })
    }

    /// Whether another send is allowed. It consumes the retry budget of the service, unless no
    /// byte of the previous send was written.
    pub async fn may_retry(&self, replica: &str, before: SendResult) -> bool {
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
            Some(Resend::Quarantined) => "backend servers crash under requests like it",
            None => "the instance is stopping",
        };
        info!(self.app.log, "request is not retried";
            "request" => &self.head.request, "cause" => cause,
            "content" => self.fingerprint.to_string(),
            "service" => &self.service);
        false
    }

    /// Returns the deadline of one attempt: earlier than that of the answer if another attempt
    /// may follow.
    pub fn attempt_deadline(&self, is_repeatable: bool) -> Now {
        let until = self.app.clock.now() + self.route.objective * ATTEMPT_OBJECTIVES;
        match is_repeatable && self.route.max_attempts > 1 {
            true => until.min(self.answer_deadline),
            false => self.answer_deadline,
        }
    }

    /// Time left until the deadline of the final answer.
    pub fn time_left(&self) -> Duration {
        self.answer_deadline.saturating_sub(self.app.clock.now())
    }

    /// Sends the request to a replica on a new connection, so that no data of another request
    /// can arrive on it.
    pub async fn send(
        &self,
        replica: &Replica,
        backup: Option<&Replica>,
        resume: Option<ResumePoint>,
        by: Now,
    ) -> SendOutcome {
        if self.app.is_closed(&replica.availability_zone) {
            return SendOutcome::ZoneEvacuated;
        }
        // The request may have been placed before the server notice arrived, or this process may
        // have been suspended since the placement.
        let kind = SendKind::of(resume.as_ref());
        let stop = self
            .app
            .notices
            .restriction(replica, kind, &self.head.request);
        if let Some(stop) = stop.await {
            self.log_withheld(replica, stop);
            return SendOutcome::Withheld(stop);
        }
        // The process may have been suspended since the request was placed.
        if self.time_left().is_zero() {
            return SendOutcome::DeadlinePassed;
        }
        let parameters = SendParameters {
            request: self.head.request.clone(),
            replica: replica.id.clone(),
            time_left: self.time_left(),
            workspace: self.workspace.clone(),
            hides_key: self.hides_key,
            priority: Some(engine_priority(self.workspace_rank)),
            backup: backup.map(|replica| replica.address),
            resume,
        };
        let request = match self.build_request(replica, &parameters) {
            Ok(request) => request,
            Err(error) => return SendOutcome::NotConnected(error.to_string()),
        };
        self.free_read_permit();
        let sent_at = self.app.clock.now();
        let by = self.app.clock.instant(by);
        let outcome = match answer_timeout::until(by, self.app.client.send(request)).await {
            None => SendOutcome::TimedOut,
            Some(Err(HttpClientError::Connect { cause, .. })) => SendOutcome::NotConnected(cause),
            Some(Err(HttpClientError::NoPath { cause, .. })) => SendOutcome::NoPath(cause),
            Some(Err(error)) => SendOutcome::Lost(error.to_string()),
            Some(Ok(response)) => self.validate_answer(replica, response, sent_at),
        };
        self.log_failed_send(replica, &outcome, sent_at);
        outcome
    }

    fn free_read_permit(&self) {
        let permit = self.read_permit.lock();
        drop(permit.unwrap_or_else(PoisonError::into_inner).take());
    }

    /// Logs a send without an answer: why it failed, how long it took, and whether the server may
    /// have received bytes of the request.
    fn log_failed_send(&self, replica: &Replica, outcome: &SendOutcome, sent_at: Now) {
        let (cause, may_have_arrived) = match outcome {
            SendOutcome::NotConnected(cause) | SendOutcome::NoPath(cause) => {
                (cause.as_str(), false)
            }
            SendOutcome::Lost(cause) => (cause.as_str(), true),
            SendOutcome::TimedOut => ("no answer in time", true),
            SendOutcome::Answer(_)
            | SendOutcome::ZoneEvacuated
            | SendOutcome::Withheld(_)
            | SendOutcome::DeadlinePassed => return,
        };
        info!(self.app.log, "send to a backend server failed";
            "request" => &self.head.request,
            "content" => self.fingerprint.to_string(),
            "backend_server" => &replica.id,
            "service" => &self.service,
            "cause" => cause,
            "may_have_arrived" => may_have_arrived,
            "took_ms" => (self.app.clock.now() - sent_at).as_millis() as u64);
    }

    fn build_request(
        &self,
        replica: &Replica,
        parameters: &SendParameters,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{}{path}", replica.address);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(Full::new(self.body.clone()))?;
        let headers = end_to_end_headers(&self.headers);
        *request.headers_mut() = self.app.wire_protocol.write_headers(&headers, parameters);
        Ok(request)
    }

    fn log_withheld(&self, replica: &Replica, stop: SendRestriction) {
        info!(self.app.log, "not sent: a server notice restricts sends to the backend server";
            "request" => &self.head.request,
            "backend_server" => &replica.id,
            "cause" => stop.as_str());
    }

    /// Returns the Retry-After for a request that no backend server accepted: `otherwise` while
    /// at least one of the backend servers accepts requests.
    pub async fn caller_retry_after(&self, otherwise: Duration) -> Duration {
        let ask = self.placement_request();
        let control = &self.app.control;
        let asked = control.ask(|reply| GatewayMessage::CallerRetryAfter {
            ask,
            otherwise,
            reply,
        });
        asked.await.unwrap_or(otherwise)
    }

    fn validate_answer(
        &self,
        replica: &Replica,
        response: http::Response<hyper::body::Incoming>,
        sent_at: Now,
    ) -> SendOutcome {
        let (parts, body) = response.into_parts();
        let head = self
            .app
            .wire_protocol
            .read_answer_head(parts.status, &parts.headers);
        let is_ours = match &head.request {
            Some(request) => *request == self.head.request,
            None => head.is_not_run,
        };
        // The notice applies even if the answer is not for this request: the connection is
        // dedicated, so the notice comes from this server.
        let observed = ObservedNotice {
            notice: head.notice,
            sent_at,
            reports_limits: is_ours && head.is_stamped && parts.status.is_success(),
        };
        let notices = &self.app.notices;
        notices.record(replica, observed, &self.head.request);
        if is_ours && head.is_not_run && is_rejection_for_room(parts.status, &head) {
            self.app.control.tell(GatewayMessage::RejectedForRoom {
                replica: replica.server_life(),
            });
        }
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            self.app.control.tell(GatewayMessage::AddressReused {
                replica: replica.server_life(),
            });
        }
        if !is_ours {
            return SendOutcome::Lost("the answer has the id of another request".to_owned());
        }
        if parts.status.is_success() && !head.is_stamped {
            return SendOutcome::Lost("the answer has no stamp of a backend server".to_owned());
        }
        SendOutcome::Answer(Box::new(BackendAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
            head,
        }))
    }
}

/// Whether a server that did not run a request lacked room for it, rather than asking for a backoff.
fn is_rejection_for_room(status: StatusCode, head: &AnswerHead) -> bool {
    let is_busy = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    is_busy && head.notice.rest().is_none()
}
