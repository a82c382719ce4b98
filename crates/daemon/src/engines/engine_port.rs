//! How an instance talks to engines.

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

/// Most bytes of an answer that is not a stream.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Longest wait for a load report or the answer to a cancel.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for the first bytes of a stream's headers.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an engine could not do something.
#[derive(Debug, Error)]
pub enum EngineError {
    /// The request failed.
    #[error("the engine failed: {0}")]
    Http(#[from] HttpClientError),
    /// No answer in time.
    #[error("the engine did not answer in time")]
    Silent,
    /// An event can't be read.
    #[error("the engine sent an event that can't be read: {0}")]
    Unreadable(String),
}

impl EngineError {
    /// What a refusal says of the engine.
    pub fn notice(&self) -> ServerNotice {
        match self {
            EngineError::Http(HttpClientError::Status {
                status, headers, ..
            }) => parse_server_notice(*status, headers),
            _ => ServerNotice::default(),
        }
    }

    /// Whether not a byte was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, EngineError::Http(HttpClientError::Connect { .. }))
    }
}

/// Events of one attempt.
pub type EngineStream = BoxStream<'static, Result<EngineEvent, EngineError>>;

/// An engine's answer.
pub type EngineReply<T> = Answered<T, EngineError>;

/// Generates, attaches, cancels and reports.
pub trait EnginePort: Send + Sync {
    /// Starts an attempt, or attaches to it when it is there.
    fn generate(
        &self,
        address: SocketAddr,
        request: GenerateRequest,
    ) -> BoxFuture<'_, EngineReply<EngineStream>>;

    /// Attaches to an attempt that is there, from its first token on.
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

    /// Asks for the load.
    fn load(&self, address: SocketAddr) -> BoxFuture<'_, EngineReply<LoadReport>>;
}

/// Engines over HTTP.
pub struct HttpEngines {
    client: HttpClient,
}

impl Default for HttpEngines {
    fn default() -> Self {
        HttpEngines {
            // A connection that is kept may fall silent, and a generation would wait on it.
            client: HttpClient::unpooled(MAX_ANSWER_BYTES),
        }
    }
}

impl HttpEngines {
    /// Sends a short request and reads the whole answer, whatever its status.
    async fn fetched(
        &self,
        request: Result<EngineRequest, HttpClientError>,
    ) -> Result<Reply, EngineError> {
        let answer = tokio::time::timeout(SHORT_TIMEOUT, self.client.fetch(request?));
        Ok(answer.await.map_err(|_| EngineError::Silent)??)
    }

    async fn stream(
        &self,
        request: Result<EngineRequest, HttpClientError>,
    ) -> EngineReply<EngineStream> {
        let mut notice = ServerNotice::default();
        let result = self.begun(request, &mut notice).await;
        heard(result, notice)
    }

    async fn begun(
        &self,
        request: Result<EngineRequest, HttpClientError>,
        notice: &mut ServerNotice,
    ) -> Result<EngineStream, EngineError> {
        let answer = tokio::time::timeout(START_TIMEOUT, self.client.events(request?));
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
            match self.fetched(request).await {
                Ok(reply) => Answered {
                    notice: parse_server_notice(reply.status, &reply.headers),
                    result: Ok(()),
                },
                Err(error) => heard(Err(error), ServerNotice::default()),
            }
        })
    }

    fn load(&self, address: SocketAddr) -> BoxFuture<'_, EngineReply<LoadReport>> {
        let request = HttpClient::get(&format!("http://{address}/load"));
        Box::pin(async move {
            match self.fetched(request).await {
                Ok(reply) => Answered {
                    notice: parse_server_notice(reply.status, &reply.headers),
                    result: report_of(&reply),
                },
                Err(error) => heard(Err(error), ServerNotice::default()),
            }
        })
    }
}

type EngineRequest = http::Request<http_body_util::Full<hyper::body::Bytes>>;

/// The words of a refusal are those of the engine, too.
fn heard<T>(result: Result<T, EngineError>, notice: ServerNotice) -> EngineReply<T> {
    let notice = match &result {
        Ok(_) => notice,
        Err(error) => error.notice(),
    };
    Answered { result, notice }
}

fn report_of(reply: &Reply) -> Result<LoadReport, EngineError> {
    if !reply.status.is_success() {
        return Err(EngineError::Unreadable(format!("status {}", reply.status)));
    }
    let report = serde_json::from_slice(&reply.body);
    report.map_err(|error| EngineError::Unreadable(error.to_string()))
}
