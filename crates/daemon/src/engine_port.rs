//! How an instance talks to engines.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use http::Method;
use iristhread_api::EngineEvent;
use iristhread_api::GenerateRequest;
use iristhread_api::HttpClient;
use iristhread_api::HttpClientError;
use iristhread_core::LoadReport;
use thiserror::Error;

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
    /// Whether not a byte was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, EngineError::Http(HttpClientError::Connect { .. }))
    }
}

/// Events of one attempt.
pub type EngineStream = BoxStream<'static, Result<EngineEvent, EngineError>>;

/// Generates, attaches, cancels and reports.
pub trait EnginePort: Send + Sync {
    /// Starts an attempt, or attaches to it when it is there.
    fn generate(
        &self,
        address: SocketAddr,
        request: GenerateRequest,
    ) -> BoxFuture<'_, Result<EngineStream, EngineError>>;

    /// Attaches to an attempt that is there, from its first token on.
    fn attach(
        &self,
        address: SocketAddr,
        generation: &str,
        attempt: u32,
        reader: &str,
    ) -> BoxFuture<'_, Result<EngineStream, EngineError>>;

    /// Cancels an attempt unless a newer reader has attached.
    fn cancel(
        &self,
        address: SocketAddr,
        generation: &str,
        attempt: u32,
        reader: &str,
    ) -> BoxFuture<'_, Result<(), EngineError>>;

    /// Asks for the load.
    fn load(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, EngineError>>;
}

/// Engines over HTTP.
pub struct HttpEngines {
    client: HttpClient,
}

impl Default for HttpEngines {
    fn default() -> Self {
        HttpEngines {
            client: HttpClient::pooled(MAX_ANSWER_BYTES),
        }
    }
}

impl HttpEngines {
    async fn stream(
        &self,
        request: http::Request<http_body_util::Full<hyper::body::Bytes>>,
    ) -> Result<EngineStream, EngineError> {
        let answer = tokio::time::timeout(START_TIMEOUT, self.client.events(request));
        let (_, events) = answer.await.map_err(|_| EngineError::Silent)??;
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
    ) -> BoxFuture<'_, Result<EngineStream, EngineError>> {
        Box::pin(async move {
            let uri = format!("http://{address}/generate");
            let request = HttpClient::request(Method::POST, &uri, None, Some(&request))?;
            self.stream(request).await
        })
    }

    fn attach(
        &self,
        address: SocketAddr,
        generation: &str,
        attempt: u32,
        reader: &str,
    ) -> BoxFuture<'_, Result<EngineStream, EngineError>> {
        let uri = format!("http://{address}/generate/{generation}/{attempt}?reader={reader}");
        Box::pin(async move { self.stream(HttpClient::get(&uri)?).await })
    }

    fn cancel(
        &self,
        address: SocketAddr,
        generation: &str,
        attempt: u32,
        reader: &str,
    ) -> BoxFuture<'_, Result<(), EngineError>> {
        let uri = format!("http://{address}/generate/{generation}/{attempt}?reader={reader}");
        Box::pin(async move {
            let request = HttpClient::request::<()>(Method::DELETE, &uri, None, None)?;
            let answer = tokio::time::timeout(SHORT_TIMEOUT, self.client.fetch(request));
            answer.await.map_err(|_| EngineError::Silent)??;
            Ok(())
        })
    }

    fn load(&self, address: SocketAddr) -> BoxFuture<'_, Result<LoadReport, EngineError>> {
        Box::pin(async move {
            let uri = format!("http://{address}/load");
            let answer = self.client.json(HttpClient::get(&uri)?);
            let report = tokio::time::timeout(SHORT_TIMEOUT, answer).await;
            let report = report.map_err(|_| EngineError::Silent)??;
            report.ok_or_else(|| EngineError::Unreadable("no report".to_owned()))
        })
    }
}
