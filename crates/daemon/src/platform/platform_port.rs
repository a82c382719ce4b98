//! Access to the platform, which is only read.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use iristhread_api::ConfigReply;
use iristhread_api::HttpClient;
use iristhread_api::HttpClientError;
use iristhread_api::InstancesReply;
use thiserror::Error;

/// Maximum size of an answer: the platform limits a value to one megabyte; the rest is room for the
/// message around it.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// Maximum time that a connection stays idle between two watches: an idle connection may stall
/// without being detected.
const MAX_IDLE: Duration = Duration::from_millis(300);

/// Time beyond the wait of a watch after which the platform is considered not to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Error of a read from the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The request failed.
    #[error("request to the platform failed: {0}")]
    Http(#[from] HttpClientError),
    /// There was no answer in time.
    #[error("the platform did not answer in time")]
    TimedOut,
}

/// Result of a watch; `None` if nothing changed while it waited.
pub type WatchResult<T> = Result<Option<T>, PlatformError>;

/// Read-only access to the platform.
pub trait PlatformPort: Send + Sync {
    /// Waits up to `wait` for a configuration with a version other than `after`.
    fn config(&self, after: u64, wait: Duration) -> BoxFuture<'_, WatchResult<ConfigReply>>;

    /// Waits up to `wait` for an instance list with a version other than `after`.
    fn instances(&self, after: u64, wait: Duration) -> BoxFuture<'_, WatchResult<InstancesReply>>;
}

/// The platform over HTTP.
pub struct HttpPlatform {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client for the platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        HttpPlatform {
            client: HttpClient::pooled_with_idle_timeout(MAX_VALUE_BYTES, MAX_IDLE),
            address,
        }
    }

    async fn watch<T: serde::de::DeserializeOwned>(
        &self,
        resource: &str,
        after: u64,
        wait: Duration,
    ) -> WatchResult<T> {
        let wait_ms = wait.as_millis();
        let uri = format!(
            "http://{}/{resource}?after={after}&wait_ms={wait_ms}",
            self.address
        );
        let answer = self.client.json(HttpClient::get(&uri)?);
        match tokio::time::timeout(wait + ANSWER_TIMEOUT, answer).await {
            Ok(answer) => Ok(answer?),
            Err(_) => Err(PlatformError::TimedOut),
        }
    }
}

impl PlatformPort for HttpPlatform {
    fn config(&self, after: u64, wait: Duration) -> BoxFuture<'_, WatchResult<ConfigReply>> {
        Box::pin(self.watch("config", after, wait))
    }

    fn instances(&self, after: u64, wait: Duration) -> BoxFuture<'_, WatchResult<InstancesReply>> {
        Box::pin(self.watch("instances", after, wait))
    }
}
