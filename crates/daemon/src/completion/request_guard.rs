//! Checks of headers, keys and bodies that every request passes first.

use http::StatusCode;
use http::header;
use iristhread_core::KeyOwner;
use iristhread_core::WorkspaceId;
use serde::de::DeserializeOwned;
use viz::Bytes;
use viz::Request;
use viz::RequestExt;
use viz::RequestLimitsExt;

use crate::completion::api_error::ApiError;
use crate::completion::app::App;

const BEARER: &str = "Bearer ";

/// Returns the workspace whose key the request carries.
///
/// # Errors
///
/// 401 for any other key or none, 431 for too large headers, 503 while no configuration is in
/// force.
pub fn workspace(app: &App, request: &Request) -> Result<WorkspaceId, ApiError> {
    check_headers(app, request)?;
    let view = app.view();
    if view.version == 0 {
        let message = "no configuration is in force on this instance yet";
        return Err(ApiError::unavailable("not_ready", message));
    }
    let key = bearer_key(request).ok_or_else(ApiError::unauthenticated)?;
    match view.keys.owner(&key) {
        Some(KeyOwner::Workspace(name)) => Ok(name.clone()),
        _ => Err(ApiError::unauthenticated()),
    }
}

/// Returns the operator whose key the request carries.
///
/// # Errors
///
/// 401 for any other key or none, 431 for too large headers.
pub fn operator(app: &App, request: &Request) -> Result<String, ApiError> {
    check_headers(app, request)?;
    let key = bearer_key(request).ok_or_else(ApiError::unauthenticated)?;
    match app.view().keys.owner(&key) {
        Some(KeyOwner::Operator(name)) => Ok(name.clone()),
        _ => Err(ApiError::unauthenticated()),
    }
}

/// Reads the body as JSON.
///
/// # Errors
///
/// As for [`body`], and 400 if the body is not valid JSON for the type `Parsed`.
pub async fn json<Parsed: DeserializeOwned>(
    app: &App,
    request: &mut Request,
) -> Result<Parsed, ApiError> {
    let bytes = body(app, request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| ApiError::invalid("invalid_body", None, format!("the body: {error}")))
}

/// Reads the body within the limits `max_body_bytes` and `body_timeout`.
///
/// # Errors
///
/// 413 if the body is too large, 408 if it takes too long, 400 if the connection ends before it is
/// complete.
pub async fn body(app: &App, request: &mut Request) -> Result<Bytes, ApiError> {
    let limits = &app.settings.limits;
    let max = limits.max_body_bytes;
    let too_large = || {
        let message = format!("the body is over {max} bytes, the limit max_body_bytes");
        ApiError::limit(StatusCode::PAYLOAD_TOO_LARGE, "max_body_bytes", message)
    };
    if request.content_length().is_some_and(|length| length > max) {
        return Err(too_large());
    }
    let read = tokio::time::timeout(limits.body_timeout, request.bytes_with(None, max)).await;
    let Ok(read) = read else {
        let time_ms = limits.body_timeout.as_millis();
        let message = format!("the body took over {time_ms} ms, the limit body_timeout_ms");
        let status = StatusCode::REQUEST_TIMEOUT;
        return Err(ApiError::limit(status, "body_timeout_ms", message));
    };
    read.map_err(|error| match error {
        viz::types::PayloadError::TooLarge => too_large(),
        other => ApiError::invalid("body_cut", None, format!("the body can't be read: {other}")),
    })
}

fn check_headers(app: &App, request: &Request) -> Result<(), ApiError> {
    let sizes = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let max = app.settings.limits.max_header_bytes;
    if sizes.sum::<usize>() <= max {
        return Ok(());
    }
    let message = format!("the headers are over {max} bytes, the limit max_header_bytes");
    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Err(ApiError::limit(status, "max_header_bytes", message))
}

fn bearer_key(request: &Request) -> Option<String> {
    let value: String = request.header(header::AUTHORIZATION)?;
    value.strip_prefix(BEARER).map(str::to_owned)
}
