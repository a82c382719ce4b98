//! Answers of the stand-ins.

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

/// Most bytes of a request that a stand-in reads.
const MAX_BODY_BYTES: usize = 8 << 20;

/// An answer of 200 with JSON.
pub fn json<Answer: Serialize>(body: &Answer) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::Full(bytes.into()));
    let json = viz::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(viz::header::CONTENT_TYPE, json);
    response
}

/// An answer that is only a status.
pub fn status(status: StatusCode) -> Response {
    status.into_response()
}

/// Reads the body of a request as text.
pub async fn text(request: &mut Request) -> Result<String, Response> {
    let too_large = |_| status(StatusCode::PAYLOAD_TOO_LARGE);
    let bytes = request.bytes_with(None, MAX_BODY_BYTES as u64).await;
    let bytes = bytes.map_err(too_large)?;
    String::from_utf8(bytes.to_vec()).map_err(|_| status(StatusCode::BAD_REQUEST))
}

/// Reads the body of a request as JSON.
pub async fn parse<Parsed: DeserializeOwned>(request: &mut Request) -> Result<Parsed, Response> {
    let text = text(request).await?;
    serde_json::from_str(&text).map_err(|_| status(StatusCode::UNPROCESSABLE_ENTITY))
}

/// What an answer says of its server.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerNotice<'a> {
    /// It leaves.
    pub leaving: bool,
    /// When to come back.
    pub retry_after: Option<&'a str>,
    /// The requests a second that it takes.
    pub limit: Option<&'a str>,
}

/// Puts into an answer what it says of its server.
pub fn set_notice(response: &mut Response, words: AnswerNotice<'_>) {
    let headers = response.headers_mut();
    if words.leaving {
        headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
    }
    let told = [
        (RETRY_AFTER.as_str(), words.retry_after),
        (LIMIT_HEADER, words.limit),
    ];
    for (name, text) in told {
        if let Some(value) = text.and_then(|text| HeaderValue::from_str(text).ok()) {
            headers.insert(name, value);
        }
    }
}
