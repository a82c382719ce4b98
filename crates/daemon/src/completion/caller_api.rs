//! The HTTP API for callers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use iristhread_api::ChatRequest;
use iristhread_api::CompletionRequest;
use iristhread_api::DEADLINE_HEADER;
use iristhread_api::LAST_EVENT_ID_HEADER;
use iristhread_api::ModelCard;
use iristhread_api::ModelList;
use iristhread_api::OUTCOME_HEADER;
use iristhread_api::REQUEST_ID_HEADER;
use iristhread_core::Outcome;
use iristhread_core::WorkspaceId;
use serde::Serialize;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use viz::Body;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;

use crate::completion::api_error::ApiError;
use crate::completion::app::App;
use crate::completion::caller_sink::CallerSink;
use crate::completion::generation::Generation;
use crate::completion::request_guard;
use crate::completion::service_api;
use crate::completion::validated_completion::RequestContext;
use crate::completion::validated_completion::ValidatedCompletion;

/// Number of frames buffered for a slow caller.
const FRAME_BUFFER_LEN: usize = 64;

/// Returns the routes of the API for callers.
pub fn routes(app: &Arc<App>) -> Router {
    let completions = app.clone();
    let chat = app.clone();
    let models = app.clone();
    let services = app.clone();
    let ready = app.clone();
    Router::new()
        .post("/v1/completions", move |r: Request| {
            respond_with(complete(completions.clone(), r))
        })
        .post("/v1/chat/completions", move |r: Request| {
            respond_with(complete_chat(chat.clone(), r))
        })
        .get("/v1/models", move |r: Request| {
            respond_with(list_models(models.clone(), r))
        })
        .any("/v1/services/*", move |r: Request| {
            respond_with(service_api::call(services.clone(), r))
        })
        .get("/livez", |_: Request| async {
            Ok::<_, viz::Error>(text("live\n"))
        })
        .get("/readyz", move |_: Request| {
            let ready = ready.clone();
            async move { Ok::<_, viz::Error>(readiness(&ready)) }
        })
        .any("/*", |_: Request| {
            respond_with(async { Err(no_such_path()) })
        })
}

/// Returns the response of a handler, with an error turned into its response.
pub async fn respond_with(
    answer: impl Future<Output = Result<Response, ApiError>>,
) -> viz::Result<Response> {
    Ok(answer.await.unwrap_or_else(ApiError::into_response))
}

async fn complete(app: Arc<App>, mut request: Request) -> Result<Response, ApiError> {
    let workspace = request_guard::workspace(&app, &request)?;
    let body = request_guard::json::<CompletionRequest>(&app, &mut request).await?;
    generate(app, &request, workspace, body, false).await
}

async fn complete_chat(app: Arc<App>, mut request: Request) -> Result<Response, ApiError> {
    let workspace = request_guard::workspace(&app, &request)?;
    let body = request_guard::json::<ChatRequest>(&app, &mut request).await?;
    if body.messages.is_empty() {
        let message = "give at least one message";
        return Err(ApiError::invalid("no_messages", Some("messages"), message));
    }
    generate(app, &request, workspace, body.into_completion(), true).await
}

async fn generate(
    app: Arc<App>,
    request: &Request,
    workspace: WorkspaceId,
    body: CompletionRequest,
    is_chat: bool,
) -> Result<Response, ApiError> {
    let permit = acquire_permit(&app)?;
    let streams = body.stream;
    let timeout = request_timeout(request, app.settings.limits.start_timeout);
    let context = RequestContext {
        request: new_request_id(),
        workspace,
        is_chat,
        deadline: app.clock.now() + timeout,
        last_event_id: request.header(LAST_EVENT_ID_HEADER),
    };
    let document = app.view().document.clone();
    let keyring = &app.settings.keyring;
    let completion = ValidatedCompletion::check(context, body, &document, keyring)?;
    let id = completion.request.clone();
    let generation = Generation::begin(app.clone(), completion).await?;
    let mut response = if streams {
        stream_response(&app, generation, permit)
    } else {
        full_response(generation, permit).await?
    };
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    let ran = HeaderValue::from_static(Outcome::Ran.as_str());
    headers.insert(OUTCOME_HEADER, ran);
    Ok(response)
}

fn stream_response(app: &App, generation: Generation, permit: OwnedSemaphorePermit) -> Response {
    let (frames, received) = mpsc::channel::<Bytes>(FRAME_BUFFER_LEN);
    let sink = CallerSink::Events {
        frames,
        write_timeout: app.settings.limits.write_timeout,
    };
    tokio::spawn(async move {
        generation.run(sink).await;
        drop(permit);
    });
    let body = stream::unfold(received, |mut received| async move {
        let frame = received.recv().await?;
        Some((frame, received))
    });
    let mut response = Response::new(Body::from_stream(body.map(Ok::<_, std::io::Error>)));
    let headers = response.headers_mut();
    let events = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, events);
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

async fn full_response(
    generation: Generation,
    permit: OwnedSemaphorePermit,
) -> Result<Response, ApiError> {
    let (reply, answer) = oneshot::channel();
    tokio::spawn(async move {
        generation.run(CallerSink::Full(Some(reply))).await;
        drop(permit);
    });
    let gone = || ApiError::unknown(StatusCode::BAD_GATEWAY, "lost", "the generation was lost");
    let completion = answer.await.map_err(|_| gone())??;
    Ok(json(&completion))
}

async fn list_models(app: Arc<App>, request: Request) -> Result<Response, ApiError> {
    request_guard::workspace(&app, &request)?;
    let view = app.view();
    let card = |name: &String| ModelCard {
        id: name.clone(),
        object: "model".to_owned(),
    };
    let data = view.document.models.iter().map(|model| card(&model.name));
    Ok(json(&ModelList {
        object: "list".to_owned(),
        data: data.collect(),
    }))
}

fn readiness(app: &App) -> Response {
    if app.is_ready() {
        return text("ready\n");
    }
    let mut response = text("not ready: stopping, or no configuration is in force\n");
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Acquires the permit for one stream or call.
///
/// # Errors
///
/// 503 if `max_streams` streams and calls are running.
pub fn acquire_permit(app: &App) -> Result<OwnedSemaphorePermit, ApiError> {
    let permit = app.stream_permits.clone().try_acquire_owned();
    permit.map_err(|_| {
        let limit = app.settings.limits.max_streams;
        let message =
            format!("the instance serves {limit} streams and calls, its limit max_streams");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        ApiError::limit(status, "max_streams", message)
            .with_retry_after(Some(Duration::from_secs(1)))
    })
}

/// Returns the timeout that the caller sent in the deadline header, but at most `longest`.
pub fn request_timeout(request: &Request, longest: Duration) -> Duration {
    let requested_ms: Option<u64> = request.header(DEADLINE_HEADER);
    requested_ms.map_or(longest, |ms| Duration::from_millis(ms).min(longest))
}

/// Creates a request id; ids sort by their time of creation.
pub fn new_request_id() -> String {
    uuid::Uuid::now_v7().simple().to_string()
}

/// Returns a 200 response with a JSON body.
pub fn json<Answer: Serialize>(answer: &Answer) -> Response {
    let bytes = serde_json::to_vec(answer).unwrap_or_default();
    let mut response = Response::new(Body::Full(bytes.into()));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Returns the error for an unknown path.
pub fn no_such_path() -> ApiError {
    ApiError::not_found("no_such_path", None, "there is nothing at this path")
}

fn text(text: &'static str) -> Response {
    Response::new(Body::Full(text.into()))
}
