//! `/v1/services/NAME/…`: calls to plain services.

use std::sync::Arc;

use http::HeaderValue;
use http::StatusCode;
use http::header;
use iristhread_api::OUTCOME_HEADER;
use iristhread_api::REQUEST_ID_HEADER;
use iristhread_api::TICKET_HEADER;
use iristhread_core::Event;
use iristhread_core::Outcome;
use iristhread_core::RequestId;
use iristhread_core::Ticket;
use iristhread_core::TimelineEvent;
use iristhread_core::WorkspaceId;
use viz::Body;
use viz::Request;
use viz::RequestExt;
use viz::Response;

use crate::completion::api_error::ApiError;
use crate::completion::app::App;
use crate::completion::call_answer::CallAnswer;
use crate::completion::caller_api::acquire_permit;
use crate::completion::caller_api::new_request_id;
use crate::completion::caller_api::request_timeout;
use crate::completion::control_message::ControlMessage;
use crate::completion::request_guard;
use crate::completion::service_call;
use crate::peers::peer_message::ForwardedCall;

const PREFIX: &str = "/v1/services/";

/// Handles one call.
///
/// # Errors
///
/// An [`ApiError`] if the call is refused before it is sent to a runner.
pub async fn call(app: Arc<App>, mut request: Request) -> Result<Response, ApiError> {
    let workspace = request_guard::workspace(&app, &request)?;
    let (service, path) = target(&request)?;
    let view = app.view();
    let declared = view.document.service(&service).ok_or_else(|| {
        let message = format!("the service {service:?} is not offered");
        ApiError::not_found("service_not_found", None, message)
    })?;
    let permit = acquire_permit(&app)?;
    let ticket_text: Option<String> = request.header(TICKET_HEADER);
    if !declared.repeatable && ticket_text.is_none() {
        return issue_ticket(&app, &workspace, &service).await;
    }
    let timeout = request_timeout(&request, app.settings.limits.call_timeout);
    let body = request_guard::body(&app, &mut request).await?;
    let call = ForwardedCall {
        request: new_request_id(),
        workspace,
        service,
        method: request.method().to_string(),
        path,
        content_type: request.header(header::CONTENT_TYPE),
        body: body.to_vec(),
        ticket: ticket_text.unwrap_or_default(),
        deadline_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
    };
    let opened = OpenCall::new(&app, &call).await?;
    let id = call.request.clone();
    let answer = run(&app, call, declared.repeatable).await;
    opened.end(&answer);
    drop(permit);
    Ok(respond(&id, answer))
}

async fn run(app: &Arc<App>, call: ForwardedCall, repeatable: bool) -> CallAnswer {
    if repeatable {
        return service_call::run_repeatable(app, &call).await;
    }
    let keyring = &app.settings.keyring;
    match Ticket::decode(&call.ticket, &call.workspace, &call.service, keyring) {
        Ok(ticket) => service_call::run_ticketed(app, call, ticket).await,
        Err(error) => CallAnswer::not_run(400, "invalid_ticket", error.to_string()),
    }
}

/// A call that counts against the limits of its workspace. Dropping this closes the call, also
/// when its caller disconnects early.
struct OpenCall<'a> {
    app: &'a App,
    request: RequestId,
    workspace: WorkspaceId,
}

impl<'a> OpenCall<'a> {
    async fn new(app: &'a App, call: &ForwardedCall) -> Result<Self, ApiError> {
        let ask = |reply| ControlMessage::OpenCall {
            request: call.request.clone(),
            workspace: call.workspace.clone(),
            fingerprint: call.fingerprint(),
            reply,
        };
        let opened = app.control.ask(ask).await;
        let stopping = || ApiError::unavailable("stopping", "the instance is stopping");
        let opened = opened.ok_or_else(stopping)?;
        opened.map_err(|refusal| ApiError::refused(&refusal))?;
        Ok(OpenCall {
            app,
            request: call.request.clone(),
            workspace: call.workspace.clone(),
        })
    }

    fn end(self, answer: &CallAnswer) {
        let status = || answer.status.to_string();
        let reason = answer.code.clone().unwrap_or_else(status);
        let outcome = answer.outcome;
        let delivered = 0;
        self.app.control.note(
            &self.request,
            TimelineEvent::Ended {
                outcome,
                delivered,
                reason,
            },
        );
        self.app.metrics.ended(&self.workspace, outcome);
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.app.control.tell(Event::Closed {
            request: self.request.clone(),
            workspace: self.workspace.clone(),
        });
    }
}

/// Answers 428 with a new ticket. The caller sends the same call with the ticket, and repeats it
/// with the same ticket as long as it has received no answer.
async fn issue_ticket(
    app: &App,
    workspace: &WorkspaceId,
    service: &str,
) -> Result<Response, ApiError> {
    let ask = |reply| ControlMessage::IssueTicket {
        number: new_request_id(),
        service: service.to_owned(),
        reply,
    };
    let stopping = || ApiError::unavailable("stopping", "the instance is stopping");
    let ticket = app.control.ask(ask).await.ok_or_else(stopping)?;
    let ticket = ticket.encode(workspace, &app.settings.keyring);
    let message = format!(
        "the service {service:?} may not be repeated: send the call with the header {TICKET_HEADER} of this answer"
    );
    let error = ApiError::limit(StatusCode::PRECONDITION_REQUIRED, "ticket_needed", message);
    let mut response = error.into_response();
    if let Ok(ticket) = HeaderValue::from_str(&ticket) {
        response.headers_mut().insert(TICKET_HEADER, ticket);
    }
    Ok(response)
}

fn target(request: &Request) -> Result<(String, String), ApiError> {
    let uri = request.uri();
    let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        let message = "name a service: /v1/services/NAME/…";
        return Err(ApiError::not_found("service_not_found", None, message));
    }
    let query = uri.query().map(|query| format!("?{query}"));
    Ok((
        service.to_owned(),
        format!("/{path}{}", query.unwrap_or_default()),
    ))
}

fn respond(request: &str, answer: CallAnswer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = match (&answer.code, &answer.message) {
        (Some(code), Some(message)) => error_response(status, code, message, &answer),
        _ => relay_answer(status, &answer),
    };
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(request) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    let outcome = HeaderValue::from_static(answer.outcome.as_str());
    headers.insert(OUTCOME_HEADER, outcome);
    response
}

fn error_response(status: StatusCode, code: &str, message: &str, answer: &CallAnswer) -> Response {
    let mut error = match answer.outcome {
        Outcome::NotRun | Outcome::Ran => ApiError::limit(status, code, message),
        Outcome::Unknown => ApiError::unknown(status, code, message),
    };
    error.detail.retry_after_s = answer.retry_after_s;
    error.into_response()
}

fn relay_answer(status: StatusCode, answer: &CallAnswer) -> Response {
    let mut response = Response::new(Body::Full(answer.body.clone().into()));
    *response.status_mut() = status;
    let content_type = answer.content_type.as_deref();
    if let Some(Ok(content_type)) = content_type.map(HeaderValue::from_str) {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    response
}
