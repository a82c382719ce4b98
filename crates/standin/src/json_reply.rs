//! Helpers to read requests and to build answers of the stand-ins.

use iristhread_api::LEAVING_HEADER;
use iristhread_api::LIMIT_HEADER;
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::Body;
use viz::IntoResponse;
use viz::Request;
use viz::RequestLimitsExt;
use viz::Response;
use viz::StatusCode;
use viz::header::HeaderValue;
use viz::header::RETRY_AFTER;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// An answer with status 200 and a JSON body.
pub fn json<Answer: Serialize>(body: &Answer) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::Full(bytes.into()));
    let json = viz::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, json);
    response
}

/// An answer with a status and no body.
pub fn status(status: StatusCode) -> Response {
    status.into_response()
}

/// Reads the body of a request as text. The error is the answer to send: 413 if the body is too
/// large or can't be read, 400 if it is not UTF-8.
pub async fn text(request: &mut Request) -> Result<String, Response> {
    let too_large = |_| status(StatusCode::PAYLOAD_TOO_LARGE);
    let bytes = request.bytes_with(None, MAX_BODY_BYTES as u64).await;
    let bytes = bytes.map_err(too_large)?;
    String::from_utf8(bytes.to_vec()).map_err(|_| status(StatusCode::BAD_REQUEST))
}

/// Reads the body of a request as JSON. The error is the answer to send, as for [`text`], or 422
/// if the JSON does not fit.
pub async fn parse<Parsed: DeserializeOwned>(request: &mut Request) -> Result<Parsed, Response> {
    let text = text(request).await?;
    serde_json::from_str(&text).map_err(|_| status(StatusCode::UNPROCESSABLE_ENTITY))
}

/// Server notice in an answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerNotice<'a> {
    /// Whether the server is draining.
    pub leaving: bool,
    /// Value of `Retry-After`.
    pub retry_after: Option<&'a str>,
    /// Limit that the server declares, in requests per second.
    pub limit: Option<&'a str>,
}

/// Adds the headers of a server notice to an answer.
pub fn set_notice(response: &mut Response, notice: AnswerNotice<'_>) {
    let headers = response.headers_mut();
    if notice.leaving {
        headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
    }
    let optional = [
        (RETRY_AFTER.as_str(), notice.retry_after),
        (LIMIT_HEADER, notice.limit),
    ];
    for (name, text) in optional {
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(text).ok()) {
            headers.insert(name, value);
        }
    }
}
