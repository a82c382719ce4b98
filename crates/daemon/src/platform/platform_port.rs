//! How an instance reads the platform.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use iristhread_api::ConfigReply;
use iristhread_api::HttpClient;
use iristhread_api::HttpClientError;
use iristhread_api::InstancesReply;
use thiserror::Error;

/// Most bytes of a value: a megabyte by the platform's promise, with room for
/// the frame around it.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// Longest rest of a connection between two watches; one that rests may fall silent.
const LONGEST_REST: Duration = Duration::from_millis(300);

/// Time on top of a watch after which the platform counts as silent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a read failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The request failed.
    #[error("the platform can't be read: {0}")]
    Http(#[from] HttpClientError),
    /// No answer in time.
    #[error("the platform did not answer in time")]
    Silent,
}

/// Result of a watch; `None` when nothing changed while it waited.
pub type Watched<T> = Result<Option<T>, PlatformError>;

/// Reads and watches; nothing can be written.
pub trait PlatformPort: Send + Sync {
    /// Waits for a configuration other than `after`.
    fn config(&self, after: u64, wait: Duration) -> BoxFuture<'_, Watched<ConfigReply>>;

    /// Waits for an instance list other than `after`.
    fn instances(&self, after: u64, wait: Duration) -> BoxFuture<'_, Watched<InstancesReply>>;
}

/// The platform over HTTP.
pub struct HttpPlatform {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpPlatform {
    /// A platform at an address.
    pub fn new(address: SocketAddr) -> Self {
        HttpPlatform {
            client: HttpClient::pooled_with_idle_timeout(MAX_VALUE_BYTES, LONGEST_REST),
            address,
        }
    }

    async fn watch<T: serde::de::DeserializeOwned>(
        &self,
        what: &str,
        after: u64,
        wait: Duration,
    ) -> Watched<T> {
        let wait_ms = wait.as_millis();
        let uri = format!(
            "http://{}/{what}?after={after}&wait_ms={wait_ms}",
            self.address
        );
        let answer = self.client.json(HttpClient::get(&uri)?);
        match tokio::time::timeout(wait + ANSWER_TIMEOUT, answer).await {
            Ok(answer) => Ok(answer?),
            Err(_) => Err(PlatformError::Silent),
        }
    }
}

impl PlatformPort for HttpPlatform {
    fn config(&self, after: u64, wait: Duration) -> BoxFuture<'_, Watched<ConfigReply>> {
        Box::pin(self.watch("config", after, wait))
    }

    fn instances(&self, after: u64, wait: Duration) -> BoxFuture<'_, Watched<InstancesReply>> {
        Box::pin(self.watch("instances", after, wait))
    }
}
