//! Client for callers: completions, chats and service calls.

use std::time::Duration;

use futures::StreamExt;
use http::Method;
use http::StatusCode;
use iristhread_api::Completion;
use iristhread_api::CompletionRequest;
use iristhread_api::DONE_MARK;
use iristhread_api::ErrorBody;
use iristhread_api::HttpClient;
use iristhread_api::HttpClientError;
use iristhread_api::LAST_EVENT_ID_HEADER;
use iristhread_api::OUTCOME_HEADER;
use iristhread_api::REQUEST_ID_HEADER;
use iristhread_api::Reply;
use iristhread_api::TICKET_HEADER;
use iristhread_core::Outcome;
use serde::Serialize;

use crate::cli_error::CliError;
use crate::target::Target;

const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Consecutive connections without a new token after which a stream is given up.
const MAX_ATTEMPTS_WITHOUT_PROGRESS: u32 = 8;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of attempts of a service call per instance, all with the same ticket.
const MAX_CALL_ATTEMPTS: usize = 3;

/// Result of a complete stream.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CompletionOutcome {
    /// Id of the request, for `iristhread explain`.
    pub request: String,
    /// Tokens in order.
    pub tokens: Vec<String>,
    /// Reason why the generation ended: `stop` or `length`.
    pub finish_reason: String,
    /// Number of connections that were opened for the stream.
    pub connections: u32,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Name of the service.
    pub service: String,
    /// Path below the service, without the leading slash.
    pub path: String,
    /// Body of the call.
    pub body: String,
}

/// Time without a token after which a stream continues at the next instance.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Client for the caller addresses of instances.
#[derive(Clone, Debug)]
pub struct Caller {
    target: Target,
    client: HttpClient,
    stall_timeout: Duration,
}

/// Result of one connection of a stream.
enum ReadResult {
    Done,
    Broken(String),
    Refused(CliError),
}

/// State of a stream over all of its connections.
#[derive(Default)]
struct StreamState {
    outcome: CompletionOutcome,
    cursor: Option<String>,
}

impl Caller {
    /// Creates a caller for the instances and the key of `target`.
    pub fn new(target: Target) -> Self {
        Caller {
            target,
            client: HttpClient::pooled(MAX_ANSWER_BYTES),
            stall_timeout: STALL_TIMEOUT,
        }
    }

    /// Sets the time without a token after which a stream continues at the next instance.
    #[must_use]
    pub fn with_stall_timeout(mut self, stall_timeout: Duration) -> Self {
        self.stall_timeout = stall_timeout;
        self
    }

    /// Streams a completion. If a connection breaks, continues at the next instance after the
    /// tokens received so far. `path` is the URL path of the interface, and `body` builds the
    /// request from those tokens.
    ///
    /// # Errors
    ///
    /// [`CliError`]; an incomplete stream is always an error.
    pub async fn stream<Body: Serialize>(
        &self,
        path: &str,
        body: impl Fn(Vec<String>) -> Body,
        mut on_token: impl FnMut(&str),
    ) -> Result<CompletionOutcome, CliError> {
        let mut state = StreamState::default();
        let mut attempts_without_progress = 0;
        let mut cause = String::new();
        for server in self.target.servers.iter().cycle() {
            let before = state.outcome.tokens.len();
            state.outcome.connections += 1;
            let tokens = state.outcome.tokens.clone();
            let uri = format!("{server}{path}");
            match self
                .read_connection(&uri, &body(tokens), &mut state, &mut on_token)
                .await
            {
                ReadResult::Done => return Ok(state.outcome),
                ReadResult::Refused(error) if state.outcome.tokens.is_empty() => return Err(error),
                ReadResult::Refused(error) => cause = error.to_string(),
                ReadResult::Broken(message) => cause = message,
            }
            attempts_without_progress = if state.outcome.tokens.len() > before {
                0
            } else {
                attempts_without_progress + 1
            };
            if attempts_without_progress >= MAX_ATTEMPTS_WITHOUT_PROGRESS {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let received = state.outcome.tokens.len();
        Err(CliError::Incomplete { received, cause })
    }

    async fn read_connection<Body: Serialize>(
        &self,
        uri: &str,
        body: &Body,
        state: &mut StreamState,
        on_token: &mut impl FnMut(&str),
    ) -> ReadResult {
        let key = Some(self.target.key.as_str());
        let request = HttpClient::request(Method::POST, uri, key, Some(body));
        let mut request = match request {
            Ok(request) => request,
            Err(error) => return ReadResult::Refused(error.into()),
        };
        if let Some(Ok(cursor)) = state.cursor.as_ref().map(|c| c.parse()) {
            request.headers_mut().insert(LAST_EVENT_ID_HEADER, cursor);
        }
        let answer = tokio::time::timeout(self.stall_timeout, self.client.events(request)).await;
        let (headers, mut events) = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(HttpClientError::Status { body, status, .. })) => {
                return ReadResult::Refused(parse_refusal(status, &body));
            }
            Ok(Err(error)) => return ReadResult::Broken(error.to_string()),
            Err(_) => return ReadResult::Broken("no answer in time".to_owned()),
        };
        if let Some(Ok(id)) = headers.get(REQUEST_ID_HEADER).map(|id| id.to_str()) {
            state.outcome.request = id.split('.').next().unwrap_or(id).to_owned();
        }
        loop {
            let event = match tokio::time::timeout(self.stall_timeout, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return ReadResult::Broken(error.to_string()),
                Ok(None) => break,
                Err(_) => return ReadResult::Broken("timed out waiting for a token".to_owned()),
            };
            if event.data == DONE_MARK {
                return ReadResult::Done;
            }
            if event.event == "error" {
                return ReadResult::Broken(parse_refusal(StatusCode::OK, &event.data).to_string());
            }
            state.take(&event.id, &event.data, on_token);
        }
        ReadResult::Broken("the connection closed before the end of the stream".to_owned())
    }

    /// Calls a service. If the call must not be repeated, the instance issues a ticket first, and
    /// every further request sends that ticket.
    ///
    /// # Errors
    ///
    /// [`CliError`]; [`CliError::Refused`] states whether the call ran.
    pub async fn call(&self, call: &CallRequest) -> Result<Reply, CliError> {
        let mut ticket: Option<String> = None;
        let mut last_error = CliError::Unreachable("no server address given".to_owned());
        let servers = self.target.servers.iter().cycle();
        for server in servers.take(self.target.servers.len() * MAX_CALL_ATTEMPTS) {
            let reply = match self.send_call(server, call, ticket.as_deref()).await {
                Ok(reply) => reply,
                Err(error) => {
                    last_error = to_cli_error(error, ticket.is_some());
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            if reply.status == StatusCode::PRECONDITION_REQUIRED {
                ticket = header(&reply, TICKET_HEADER);
                match self.send_call(server, call, ticket.as_deref()).await {
                    Ok(reply) => return check_response(reply),
                    Err(error) => last_error = to_cli_error(error, true),
                }
                continue;
            }
            return check_response(reply);
        }
        Err(last_error)
    }

    async fn send_call(
        &self,
        server: &str,
        call: &CallRequest,
        ticket: Option<&str>,
    ) -> Result<Reply, HttpClientError> {
        let uri = format!("{server}/v1/services/{}/{}", call.service, call.path);
        let key = Some(self.target.key.as_str());
        let mut request = HttpClient::request(Method::POST, &uri, key, Some(&call.body))?;
        *request.body_mut() = call.body.clone().into_bytes().into();
        if let Some(Ok(ticket)) = ticket.map(str::parse) {
            request.headers_mut().insert(TICKET_HEADER, ticket);
        }
        self.client.fetch(request).await
    }

    /// Requests a completion that is not streamed.
    ///
    /// # Errors
    ///
    /// [`CliError`].
    pub async fn whole(&self, body: &CompletionRequest) -> Result<Completion, CliError> {
        let uri = format!("{}/v1/completions", self.target.servers[0]);
        let key = Some(self.target.key.as_str());
        let request = HttpClient::request(Method::POST, &uri, key, Some(body))?;
        let reply = check_response(self.client.fetch(request).await?)?;
        serde_json::from_slice(&reply.body)
            .map_err(|error| CliError::Unreachable(error.to_string()))
    }
}

impl StreamState {
    fn take(&mut self, id: &str, data: &str, on_token: &mut impl FnMut(&str)) {
        let Ok(part) = serde_json::from_str::<Completion>(data) else {
            return;
        };
        let Some(choice) = part.choices.into_iter().next() else {
            return;
        };
        if let Some(reason) = choice.finish_reason {
            self.outcome.finish_reason = reason;
            return;
        }
        let text = choice.text.or(choice.delta.map(|delta| delta.content));
        let text = text.unwrap_or_default();
        on_token(&text);
        self.outcome.tokens.push(text);
        self.cursor = Some(id.to_owned());
    }
}

fn to_cli_error(error: HttpClientError, had_ticket: bool) -> CliError {
    if had_ticket {
        let message = error.to_string();
        let outcome = Outcome::Unknown;
        return CliError::Refused { message, outcome };
    }
    error.into()
}

fn header(reply: &Reply, name: &str) -> Option<String> {
    let value = reply.headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn check_response(reply: Reply) -> Result<Reply, CliError> {
    let outcome = header(&reply, OUTCOME_HEADER);
    let ran = outcome.as_deref() == Some(Outcome::Ran.as_str());
    if ran && reply.status.is_success() {
        return Ok(reply);
    }
    Err(parse_refusal(
        reply.status,
        &String::from_utf8_lossy(&reply.body),
    ))
}

fn parse_refusal(status: StatusCode, body: &str) -> CliError {
    match serde_json::from_str::<ErrorBody>(body) {
        Ok(body) => CliError::Refused {
            message: match body.error.retry_after_s {
                Some(seconds) => format!("{}; retry in {seconds} s", body.error.message),
                None => body.error.message,
            },
            outcome: body.error.outcome,
        },
        Err(_) => CliError::Refused {
            message: format!("unexpected response with status {status}: {body}"),
            outcome: Outcome::Unknown,
        },
    }
}
