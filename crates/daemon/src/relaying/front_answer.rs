//! The answers that the gateway itself gives to callers.

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

/// A stream that ends early must not look whole: this error makes the server
/// break the connection off.
#[derive(Clone, Copy, Debug, Error)]
#[error("the stream broke off before its end")]
pub struct StreamBroken;

/// Body of every answer to a caller.
pub type FrontBody = UnsyncBoxBody<Bytes, StreamBroken>;

/// Answer to a caller.
pub type FrontAnswer = Response<FrontBody>;

/// A whole body.
pub fn whole(bytes: Bytes) -> FrontBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that arrives piece by piece.
pub fn streamed<S>(pieces: S) -> FrontBody
where
    S: Stream<Item = Result<Frame<Bytes>, StreamBroken>> + Send + 'static,
{
    StreamBody::new(pieces).boxed_unsync()
}

/// An answer of the gateway's own, with a sentence for the caller.
pub fn own(status: StatusCode, message: &str) -> FrontAnswer {
    let mut answer = Response::new(whole(Bytes::from(format!("{message}\n"))));
    *answer.status_mut() = status;
    let text = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, text);
    answer
}

/// 503: the request was not run and will not be; come back after a while.
pub fn not_run(retry_after: Duration, message: &str) -> FrontAnswer {
    let mut answer = own(StatusCode::SERVICE_UNAVAILABLE, message);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// A backend server's answer, passed on.
pub fn passed_on(status: StatusCode, headers: &HeaderMap, body: FrontBody) -> FrontAnswer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = end_to_end(headers);
    answer
}

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and the
/// length, which the server writes itself.
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

/// The headers that go beyond one connection.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
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
