//! Interface to the engines, and its implementation over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use http::Method;
use http::StatusCode;
use iristhread_api::EngineEvent;
use iristhread_api::GenerateRequest;
use iristhread_api::HttpClient;
use iristhread_api::HttpClientError;
use iristhread_api::Reply;
use iristhread_api::parse_server_notice;
use iristhread_core::LoadReport;
use iristhread_core::ServerNotice;
use thiserror::Error;

use crate::process::answered::Answered;

/// Maximum size in bytes of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Timeout of a load report or a cancellation.
const SHORT_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the headers of a stream.
const STREAM_START_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a request to an engine failed.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The HTTP request failed.
    #[error("request to the engine failed: {0}")]
    Http(#[from] HttpClientError),
    /// The engine did not answer within the timeout.
    #[error("the engine did not answer within the timeout")]
    Silent,
    /// An event or a report can't be parsed.
    #[error("the engine sent an unreadable event or report: {0}")]
    Unreadable(String),
}

impl EngineError {
    /// Returns the server notice of a refusal.
    pub fn notice(&self) -> ServerNotice {
        match self {
            EngineError::Http(HttpClientError::Status {
                status, headers, ..
            }) => parse_server_notice(*status, headers),
            _ => ServerNotice::default(),
        }
    }

    /// Whether nothing of the request was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, EngineError::Http(HttpClientError::Connect { .. }))
    }
}

/// Event stream of one attempt.
pub type EngineStream = BoxStream<'static, Result<EngineEvent, EngineError>>;

/// An engine's answer with its server notice.
pub type EngineReply<T> = Answered<T, EngineError>;

/// Requests to engines: generate, attach, cancel and report the load.
pub trait EnginePort: Send + Sync {
    /// Starts an attempt, or attaches to it if the engine runs it already.
    fn generate(
        &self,
        address: SocketAddr,
        request: GenerateRequest,
    ) -> BoxFuture<'_, EngineReply<EngineStream>>;

    /// Attaches to a running attempt and reads its events from the first token.
    fn attach(
        &self,
        address: SocketAddr,
        generation: &str,
        attempt: u32,
        reader: &str,
    ) -> BoxFuture<'_, EngineReply<EngineStream>>;

    /// Cancels an attempt unless a newer reader has attached.
    fn cancel(
        &self,
        address: SocketAddr,
        generation: &str,
        attempt: u32,
        reader: &str,
    ) -> BoxFuture<'_, EngineReply<()>>;

    /// Fetches the engine's load report.
    fn load(&self, address: SocketAddr) -> BoxFuture<'_, EngineReply<LoadReport>>;
}

/// [`EnginePort`] over HTTP.
pub struct HttpEngines {
    client: HttpClient,
}

impl Default for HttpEngines {
    fn default() -> Self {
        HttpEngines {
            // An idle pooled connection may have stalled, and a generation would wait on it.
            client: HttpClient::unpooled(MAX_ANSWER_BYTES),
        }
    }
}

impl HttpEngines {
    /// Sends a short request and reads the whole answer, whatever its status.
    async fn fetch(
        &self,
        request: Result<EngineRequest, HttpClientError>,
    ) -> Result<Reply, EngineError> {
        let answer = tokio::time::timeout(SHORT_REQUEST_TIMEOUT, self.client.fetch(request?));
        Ok(answer.await.map_err(|_| EngineError::Silent)??)
    }

    async fn stream(
        &self,
        request: Result<EngineRequest, HttpClientError>,
    ) -> EngineReply<EngineStream> {
        let mut notice = ServerNotice::default();
        let result = self.open_stream(request, &mut notice).await;
        with_notice(result, notice)
    }

    async fn open_stream(
        &self,
        request: Result<EngineRequest, HttpClientError>,
        notice: &mut ServerNotice,
    ) -> Result<EngineStream, EngineError> {
        let answer = tokio::time::timeout(STREAM_START_TIMEOUT, self.client.events(request?));
        let (headers, events) = answer.await.map_err(|_| EngineError::Silent)??;
        *notice = parse_server_notice(StatusCode::OK, &headers);
        let parsed = events.map(|event| {
            let event = event?;
            serde_json::from_str(&event.data)
                .map_err(|error| EngineError::Unreadable(error.to_string()))
        });
        Ok(parsed.boxed())
    }
}

impl EnginePort for HttpEngines {
    fn generate(
        &self,
        address: SocketAddr,
        request: GenerateRequest,
    ) -> BoxFuture<'_, EngineReply<EngineStream>> {
        Box::pin(async move {
            let uri = format!("http://{address}/generate");
            let request = HttpClient::request(Method::POST, &uri, None, Some(&request));
            self.stream(request).await
        })
    }

    fn attach(
        &self,
        address: SocketAddr,
        generation: &str,
        attempt: u32,
        reader: &str,
    ) -> BoxFuture<'_, EngineReply<EngineStream>> {
        let uri = format!("http://{address}/generate/{generation}/{attempt}?reader={reader}");
        Box::pin(async move { self.stream(HttpClient::get(&uri)).await })
    }

    fn cancel(
        &self,
        address: SocketAddr,
        generation: &str,
        attempt: u32,
        reader: &str,
    ) -> BoxFuture<'_, EngineReply<()>> {
        let uri = format!("http://{address}/generate/{generation}/{attempt}?reader={reader}");
        let request = HttpClient::request::<()>(Method::DELETE, &uri, None, None);
        Box::pin(async move {
            match self.fetch(request).await {
                Ok(reply) => Answered {
                    notice: parse_server_notice(reply.status, &reply.headers),
                    result: Ok(()),
                },
                Err(error) => with_notice(Err(error), ServerNotice::default()),
            }
        })
    }

    fn load(&self, address: SocketAddr) -> BoxFuture<'_, EngineReply<LoadReport>> {
        let request = HttpClient::get(&format!("http://{address}/load"));
        Box::pin(async move {
            match self.fetch(request).await {
                Ok(reply) => Answered {
                    notice: parse_server_notice(reply.status, &reply.headers),
                    result: parse_report(&reply),
                },
                Err(error) => with_notice(Err(error), ServerNotice::default()),
            }
        })
    }
}

type EngineRequest = http::Request<http_body_util::Full<hyper::body::Bytes>>;

/// Adds the server notice to a result; a refusal has its own notice.
fn with_notice<T>(result: Result<T, EngineError>, notice: ServerNotice) -> EngineReply<T> {
    let notice = match &result {
        Ok(_) => notice,
        Err(error) => error.notice(),
    };
    Answered { result, notice }
}

fn parse_report(reply: &Reply) -> Result<LoadReport, EngineError> {
    if !reply.status.is_success() {
        return Err(EngineError::Unreadable(format!("status {}", reply.status)));
    }
    let report = serde_json::from_slice(&reply.body);
    report.map_err(|error| EngineError::Unreadable(error.to_string()))
}
