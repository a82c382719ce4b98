//! Answers of the stand-ins.

use iristhread_api::LEAVING_HEADER;
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

/// Says in an answer that its server leaves, or when to come back.
pub fn say(response: &mut Response, leaving: bool, retry_after: Option<&str>) {
    let headers = response.headers_mut();
    if leaving {
        headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
    }
    let retry_after = retry_after.and_then(|text| HeaderValue::from_str(text).ok());
    if let Some(retry_after) = retry_after {
        headers.insert(RETRY_AFTER, retry_after);
    }
}
