//! HTTP client for calls to engines, plain services, the platform and instances.

use std::error::Error as _;
use std::time::Duration;

use eventsource_stream::Event;
use eventsource_stream::Eventsource;
use futures::Stream;
use futures::StreamExt;
use futures::stream::BoxStream;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Maximum size in bytes of a response body that is not a stream.
pub type BodyLimit = usize;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request failed.
#[derive(Debug, Error)]
pub enum HttpClientError {
    /// The connection could not be opened: no byte of the request was written.
    #[error("can't connect to {uri}: {cause}")]
    Connect {
        /// URI of the request.
        uri: String,
        /// Error of the operating system or the HTTP library.
        cause: String,
    },
    /// This instance has no path to the server: no byte of the request was written, and nothing is
    /// known about the server.
    #[error("no path to {uri}: {cause}")]
    NoPath {
        /// URI of the request.
        uri: String,
        /// Why there is no path.
        cause: String,
    },
    /// The connection broke after the request may have been written.
    #[error("the connection to {uri} broke: {cause}")]
    Broken {
        /// URI of the request.
        uri: String,
        /// Error of the operating system or the HTTP library.
        cause: String,
    },
    /// The response body exceeds the limit of the client.
    #[error("the answer of {uri} has more than {limit_bytes} bytes")]
    TooLarge {
        /// URI of the request.
        uri: String,
        /// Limit in bytes.
        limit_bytes: usize,
    },
    /// The response body does not have the expected form.
    #[error("the answer of {uri} can't be read: {cause}")]
    Unreadable {
        /// URI of the request.
        uri: String,
        /// Description of the fault.
        cause: String,
    },
    /// The server returned an error status. The message omits the body: errors are logged, and
    /// the body may hold a prompt or generated text.
    #[error("{uri} answered {status}")]
    Status {
        /// URI of the request.
        uri: String,
        /// Status of the response.
        status: StatusCode,
        /// Headers of the response.
        headers: Box<http::HeaderMap>,
        /// Body of the response.
        body: String,
    },
    /// The request can't be built.
    #[error("the request to {uri} can't be built: {cause}")]
    Request {
        /// URI of the request.
        uri: String,
        /// Description of the fault.
        cause: String,
    },
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the body had neither a length nor chunks: it ended with its connection, and looks the
    /// same if its server ended in its middle.
    pub ended_with_connection: bool,
}

/// Whether a body has neither a length nor chunks, so that it ends with its connection.
pub fn ends_with_connection(headers: &http::HeaderMap, body: &Incoming) -> bool {
    let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let is_framed = framing.iter().any(|name| headers.contains_key(name));
    !is_framed && !body.is_end_stream()
}

/// Server-sent events of one response.
pub type EventStream = BoxStream<'static, Result<Event, HttpClientError>>;

/// Sends HTTP requests; cheap to clone.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    limit: BodyLimit,
}

impl HttpClient {
    /// Creates a client that reuses idle connections.
    pub fn pooled(limit: BodyLimit) -> Self {
        HttpClient {
            client: Client::builder(TokioExecutor::new()).build(connector(CONNECT_TIMEOUT)),
            limit,
        }
    }

    /// Creates a client that reuses connections only within `idle_timeout`. An idle connection
    /// may stall unnoticed, and the next request on it would get no response.
    pub fn pooled_with_idle_timeout(limit: BodyLimit, idle_timeout: Duration) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_idle_timeout(idle_timeout);
        HttpClient {
            client: builder.build(connector(CONNECT_TIMEOUT)),
            limit,
        }
    }

    /// Creates a client that opens a connection per request and never retries by itself, so that
    /// [`HttpClientError::Connect`] proves that no byte of the request was written.
    pub fn unpooled(limit: BodyLimit) -> Self {
        HttpClient {
            client: unpooled(connector(CONNECT_TIMEOUT)),
            limit,
        }
    }
}

impl HttpClient {
    /// Sends a request and returns the response before its body is read.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::Connect`], [`HttpClientError::NoPath`] or [`HttpClientError::Broken`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpClientError> {
        let uri = request.uri().to_string();
        self.client.request(request).await.map_err(|error| {
            let cause = error_chain(&error);
            match error.is_connect() {
                true => HttpClientError::Connect { uri, cause },
                false => HttpClientError::Broken { uri, cause },
            }
        })
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`HttpClientError`]; an error status counts as a response, not as an error.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<Reply, HttpClientError> {
        let uri = request.uri().to_string();
        let response = self.send(request).await?;
        read_reply(response, self.limit, uri).await
    }

    /// Sends a request and decodes the JSON response; returns `None` for 304 and 204.
    ///
    /// # Errors
    ///
    /// [`HttpClientError`], also for any status that is not a success.
    pub async fn json<Answer: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Option<Answer>, HttpClientError> {
        let uri = request.uri().to_string();
        let reply = self.fetch(request).await?;
        if matches!(
            reply.status,
            StatusCode::NOT_MODIFIED | StatusCode::NO_CONTENT
        ) {
            return Ok(None);
        }
        if !reply.status.is_success() {
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            return Err(HttpClientError::Status {
                uri,
                status: reply.status,
                headers: Box::new(reply.headers),
                body,
            });
        }
        let answer = serde_json::from_slice(&reply.body);
        answer
            .map(Some)
            .map_err(|error| HttpClientError::Unreadable {
                uri,
                cause: error.to_string(),
            })
    }

    /// Sends a request and returns the response headers with a stream of its server-sent events.
    ///
    /// # Errors
    ///
    /// [`HttpClientError`], also for any status that is not a success.
    pub async fn events(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(http::HeaderMap, EventStream), HttpClientError> {
        let uri = request.uri().to_string();
        let response = self.send(request).await?;
        let status = response.status();
        let headers = response.headers().clone();
        if !status.is_success() {
            let body = Limited::new(response.into_body(), self.limit)
                .collect()
                .await;
            let body = body.map(|body| body.to_bytes()).unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            return Err(HttpClientError::Status {
                uri,
                status,
                headers: Box::new(headers),
                body,
            });
        }
        Ok((headers, decode_events(response.into_body(), uri).boxed()))
    }
}

impl HttpClient {
    /// Builds a request with a JSON body, and with a bearer key if `key` is given.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::Request`] if the URI, the key or the body is invalid.
    pub fn request<Body: Serialize>(
        method: Method,
        uri: &str,
        key: Option<&str>,
        body: Option<&Body>,
    ) -> Result<Request<Full<Bytes>>, HttpClientError> {
        let invalid = |cause: String| HttpClientError::Request {
            uri: uri.to_owned(),
            cause,
        };
        let mut builder = Request::builder().method(method).uri(uri);
        if let Some(key) = key {
            builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let bytes = match body {
            Some(body) => {
                builder = builder.header(header::CONTENT_TYPE, "application/json");
                serde_json::to_vec(body).map_err(|error| invalid(error.to_string()))?
            }
            None => Vec::new(),
        };
        builder
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| invalid(error.to_string()))
    }

    /// Builds a `GET` request without a body.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::Request`] if the URI is invalid.
    pub fn get(uri: &str) -> Result<Request<Full<Bytes>>, HttpClientError> {
        Self::request::<()>(Method::GET, uri, None, None)
    }
}

/// Reads the complete body of a response.
///
/// # Errors
///
/// [`HttpClientError::TooLarge`] or [`HttpClientError::Broken`].
pub(crate) async fn read_reply(
    response: Response<Incoming>,
    limit: BodyLimit,
    uri: String,
) -> Result<Reply, HttpClientError> {
    let (parts, body) = response.into_parts();
    let ended_with_connection = ends_with_connection(&parts.headers, &body);
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|error| match error.is::<LengthLimitError>() {
        true => HttpClientError::TooLarge {
            uri,
            limit_bytes: limit,
        },
        false => HttpClientError::Broken {
            uri,
            cause: error.to_string(),
        },
    })?;
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
        ended_with_connection,
    })
}

fn unpooled(connector: HttpConnector) -> Client<HttpConnector, Full<Bytes>> {
    let mut builder = Client::builder(TokioExecutor::new());
    builder.pool_max_idle_per_host(0);
    builder.retry_canceled_requests(false);
    builder.build(connector)
}

fn connector(timeout: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(timeout));
    connector
}

fn decode_events(
    body: Incoming,
    uri: String,
) -> impl Stream<Item = Result<Event, HttpClientError>> + Send {
    let events = body.into_data_stream().eventsource();
    events.map(move |event| {
        event.map_err(|error| HttpClientError::Broken {
            uri: uri.clone(),
            cause: error.to_string(),
        })
    })
}

fn error_chain(error: &hyper_util::client::legacy::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
