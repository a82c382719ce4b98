//! One send of a request to one backend server.

use std::sync::PoisonError;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use iristhread_api::HttpClientError;
use iristhread_core::Now;
use iristhread_core::ObservedNotice;
use iristhread_core::Replica;
use iristhread_core::engine_priority;
use slog::info;

use super::Exchange;
use crate::engines::notices::SendKind;
use crate::engines::notices::SendRestriction;
use crate::gateway::gateway_message::GatewayMessage;
use crate::relaying::answer_timeout;
use crate::relaying::caller_answer::end_to_end_headers;
use crate::relaying::send_outcome::BackendAnswer;
use crate::relaying::send_outcome::SendOutcome;
use crate::relaying::wire_protocol::AnswerHead;
use crate::relaying::wire_protocol::ResumePoint;
use crate::relaying::wire_protocol::SendParameters;

impl Exchange {
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
        // The server may have begun to leave, or this process may have been suspended, since the
        // placement.
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
        self.free_read_permit();
        let sent_at = self.app.clock.now();
        let by = self.app.clock.instant(by);
        let sent = self.connect_and_send(replica, backup, resume);
        let outcome = match answer_timeout::until(by, sent).await {
            None => {
                self.app.control.tell(GatewayMessage::AttemptLeft {
                    request: self.head.request.clone(),
                    replica: replica.clone(),
                });
                SendOutcome::TimedOut
            }
            Some(Err(failed)) => failed,
            Some(Ok(response)) => self.validate_answer(replica, response, sent_at),
        };
        self.log_failed_send(replica, &outcome, sent_at);
        outcome
    }

    /// Connecting may take a while, so what forbids the send is checked again before the first byte,
    /// and the server is told the time that is left by then.
    async fn connect_and_send(
        &self,
        replica: &Replica,
        backup: Option<&Replica>,
        resume: Option<ResumePoint>,
    ) -> Result<Response<Incoming>, SendOutcome> {
        let kind = SendKind::of(resume.as_ref());
        let requester = self.app.client.connect(replica.address).await;
        let requester = requester.map_err(failed_send)?;
        if self.app.is_closed(&replica.availability_zone) {
            return Err(SendOutcome::ZoneEvacuated);
        }
        if let Some(stop) = self.app.notices.known_restriction(replica, kind) {
            self.log_withheld(replica, stop);
            return Err(SendOutcome::Withheld(stop));
        }
        if self.time_left().is_zero() {
            return Err(SendOutcome::DeadlinePassed);
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
        let body = self.body.bytes().ok_or(SendOutcome::BodyGivenUp)?;
        let request = self.build_request(replica, &parameters, body);
        let request = request.map_err(|error| SendOutcome::NotConnected(error.to_string()))?;
        requester.send(request).await.map_err(failed_send)
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
            | SendOutcome::DeadlinePassed
            | SendOutcome::BodyGivenUp => return,
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
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = format!("http://{}{path}", replica.address);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(uri)
            .body(Full::new(body))?;
        let headers = end_to_end_headers(&self.headers);
        *request.headers_mut() = self.app.wire_protocol.write_headers(&headers, parameters);
        Ok(request)
    }

    fn log_withheld(&self, replica: &Replica, stop: SendRestriction) {
        info!(self.app.log, "not sent: sends to the backend server are restricted";
            "request" => &self.head.request,
            "backend_server" => &replica.id,
            "cause" => stop.as_str());
    }

    fn validate_answer(
        &self,
        replica: &Replica,
        response: Response<Incoming>,
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

/// Returns the outcome of a send without an answer.
fn failed_send(error: HttpClientError) -> SendOutcome {
    match error {
        HttpClientError::Connect { cause, .. } => SendOutcome::NotConnected(cause),
        HttpClientError::NoPath { cause, .. } => SendOutcome::NoPath(cause),
        error => SendOutcome::Lost(error.to_string()),
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
