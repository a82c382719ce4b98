//! One HTTP client for engines, services, platform and the command-line tool.

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
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Most bytes read of one answer that is not a stream.
pub type BodyLimit = usize;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request failed.
#[derive(Debug, Error)]
pub enum HttpClientError {
    /// No connection: no byte of the request was written.
    #[error("can't connect to {uri}: {cause}")]
    Connect {
        /// Target.
        uri: String,
        /// What the system said.
        cause: String,
    },
    /// The connection broke after the request may have been written.
    #[error("the connection to {uri} broke: {cause}")]
    Broken {
        /// Target.
        uri: String,
        /// What the system said.
        cause: String,
    },
    /// The answer is larger than what is read.
    #[error("the answer of {uri} has more than {limit_bytes} bytes")]
    TooLarge {
        /// Target.
        uri: String,
        /// What is read at most.
        limit_bytes: usize,
    },
    /// The answer is not what the interface promises.
    #[error("the answer of {uri} can't be read: {cause}")]
    Unreadable {
        /// Target.
        uri: String,
        /// What is wrong.
        cause: String,
    },
    /// The server refused. The body is not shown: errors are logged, and it may
    /// hold a prompt or an answer.
    #[error("{uri} answered {status}")]
    Status {
        /// Target.
        uri: String,
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: Box<http::HeaderMap>,
        /// Its body.
        body: String,
    },
    /// The request can't be built.
    #[error("the request to {uri} can't be built: {cause}")]
    Request {
        /// Target.
        uri: String,
        /// What is wrong.
        cause: String,
    },
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Server-sent events of one answer.
pub type EventStream = BoxStream<'static, Result<Event, HttpClientError>>;

/// Sends requests; cheap to clone.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    limit: BodyLimit,
}

impl HttpClient {
    /// A client that keeps connections for the next request.
    pub fn pooled(limit: BodyLimit) -> Self {
        HttpClient {
            client: Client::builder(TokioExecutor::new()).build(connector(CONNECT_TIMEOUT)),
            limit,
        }
    }

    /// The same, for connections that have rested no longer than `rest`: one that rests may
    /// fall silent unnoticed, and the next request would wait on it in vain.
    pub fn resting(limit: BodyLimit, rest: Duration) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_idle_timeout(rest);
        HttpClient {
            client: builder.build(connector(CONNECT_TIMEOUT)),
            limit,
        }
    }

    /// A client that opens a connection per request and never sends one again
    /// by itself, so that [`HttpClientError::Connect`] proves that no byte of
    /// the request was written.
    pub fn unpooled(limit: BodyLimit) -> Self {
        Self::impatient(limit, CONNECT_TIMEOUT)
    }

    /// The same with another longest wait for a connection.
    pub fn impatient(limit: BodyLimit, connect_timeout: Duration) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_max_idle_per_host(0);
        builder.retry_canceled_requests(false);
        HttpClient {
            client: builder.build(connector(connect_timeout)),
            limit,
        }
    }

    /// Sends a request and returns the answer with its body still to come.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::Connect`] or [`HttpClientError::Broken`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpClientError> {
        let uri = request.uri().to_string();
        self.client.request(request).await.map_err(|error| {
            let cause = describe(&error);
            if error.is_connect() {
                HttpClientError::Connect { uri, cause }
            } else {
                HttpClientError::Broken { uri, cause }
            }
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// [`HttpClientError`]; a refusal by status is no error here.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<Reply, HttpClientError> {
        let uri = request.uri().to_string();
        let (parts, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, self.limit)
            .collect()
            .await
            .map_err(|error| match error.is::<LengthLimitError>() {
                true => HttpClientError::TooLarge {
                    uri,
                    limit_bytes: self.limit,
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
        })
    }

    /// Sends JSON and reads JSON; `None` for 304 and 204.
    ///
    /// # Errors
    ///
    /// [`HttpClientError`], a status of 400 and more included.
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

    /// Sends a request and reads its server-sent events; the headers of the
    /// answer come along.
    ///
    /// # Errors
    ///
    /// [`HttpClientError`], a status of 400 and more included.
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
        Ok((headers, events_of(response.into_body(), uri).boxed()))
    }
}

impl HttpClient {
    /// A request with a JSON body; a bearer key is added when given.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::Request`] when the address or the body is unusable.
    pub fn request<Body: Serialize>(
        method: Method,
        uri: &str,
        key: Option<&str>,
        body: Option<&Body>,
    ) -> Result<Request<Full<Bytes>>, HttpClientError> {
        let unusable = |cause: String| HttpClientError::Request {
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
                serde_json::to_vec(body).map_err(|error| unusable(error.to_string()))?
            }
            None => Vec::new(),
        };
        builder
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| unusable(error.to_string()))
    }

    /// A `GET` without a body.
    ///
    /// # Errors
    ///
    /// [`HttpClientError::Request`] when the address is unusable.
    pub fn get(uri: &str) -> Result<Request<Full<Bytes>>, HttpClientError> {
        Self::request::<()>(Method::GET, uri, None, None)
    }
}

fn connector(timeout: Duration) -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(timeout));
    connector
}

fn events_of(
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

fn describe(error: &hyper_util::client::legacy::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
