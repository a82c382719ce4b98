//! Builds the HTTP answers for callers.

use std::time::Duration;

use bytes::Bytes;
use futures::Stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use thiserror::Error;

/// A stream that ends early must not look complete: this error makes the HTTP server abort the
/// connection.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream ended prematurely")]
pub struct StreamBroken;

/// Body type of all answers to callers.
pub type CallerBody = UnsyncBoxBody<Bytes, StreamBroken>;

/// Answer to a caller, buffered or streamed.
pub type CallerAnswer = Response<CallerBody>;

/// Returns a body that is complete already.
pub fn full_body(bytes: Bytes) -> CallerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body whose frames arrive over time.
pub fn stream_body<S>(pieces: S) -> CallerBody
where
    S: Stream<Item = Result<Frame<Bytes>, StreamBroken>> + Send + 'static,
{
    StreamBody::new(pieces).boxed_unsync()
}

/// Returns an answer that the gateway generates itself, with a plain-text message for the caller.
pub fn from_gateway(status: StatusCode, message: &str) -> CallerAnswer {
    let mut answer = Response::new(full_body(Bytes::from(format!("{message}\n"))));
    *answer.status_mut() = status;
    let text = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, text);
    answer
}

/// Returns a 503 with Retry-After: the request was not run and will not be run.
pub fn not_run(retry_after: Duration, message: &str) -> CallerAnswer {
    let mut answer = from_gateway(StatusCode::SERVICE_UNAVAILABLE, message);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Returns a backend server's answer for forwarding, without its connection headers.
pub fn forwarded(status: StatusCode, headers: &HeaderMap, body: CallerBody) -> CallerAnswer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = end_to_end_headers(headers);
    answer
}

/// Headers that apply to a single connection (RFC 9110, section 7.6.1), and the content length,
/// which the HTTP server writes itself.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Returns the end-to-end headers: all but the hop-by-hop headers, including those that the
/// `Connection` header names.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_connection = CONNECTION_HEADERS.contains(&name.as_str());
        if !is_connection && !named.iter().any(|named| named == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
