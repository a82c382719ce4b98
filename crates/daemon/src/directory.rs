//! Interface to the platform's directory. The published configuration and the list of
//! backend servers can be read and watched.

use std::time::Duration;

use futures::future::BoxFuture;
use iristhread_core::BackendId;
use iristhread_core::EvacuationChange;
use iristhread_core::GatewayConfig;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::Revision;
use iristhread_core::ZoneId;
use thiserror::Error;

pub(crate) mod config_reader;
pub(crate) mod directory_state;
pub(crate) mod list_reader;
pub(crate) mod outage_tracker;
pub(crate) mod skipped_entries;

/// Reason why a call to the directory failed.
#[derive(Clone, Debug, Error)]
pub enum DirectoryError {
    /// The connection could not be opened, or it was lost.
    #[error("directory unreachable: {0}")]
    Unreachable(String),
    /// The directory did not answer before the timeout.
    #[error("directory did not answer before the timeout")]
    Silent,
    /// The directory answered with an error status: it limits calls, or serves none.
    #[error("directory refused the call with status {0}")]
    Busy(u16),
    /// The directory no longer keeps the changes after the requested revision.
    #[error("directory no longer keeps the changes after the requested revision")]
    HistoryGone,
    /// The pages of one read belong to different eras of the directory.
    #[error("directory was restored from a copy during the read")]
    EraChanged,
    /// The answer is malformed or inconsistent.
    #[error("invalid answer of the directory: {0}")]
    Unreadable(String),
}

/// A value read from the directory, with the revision that it belongs to.
#[derive(Clone, Debug)]
pub struct Read<T> {
    /// The value that was read.
    pub value: T,
    /// Revision of the directory at the time of the answer.
    pub revision: Revision,
    /// Entries that could not be parsed; the value does not contain them.
    pub skipped: Vec<SkippedEntry>,
}

/// A directory entry that can't be parsed. Other programs may write to the directory, too.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SkippedEntry {
    /// Key of the entry.
    pub key: String,
    /// Revision of the write, which distinguishes it from other writes to the same key.
    pub revision: u64,
    /// Description of the error in the entry.
    pub reason: String,
}

/// The full list of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Backend servers with a valid entry.
    pub replicas: Vec<Replica>,
    /// Ids of backend servers whose entry exists but is not valid.
    pub unusable: Vec<BackendId>,
}

/// Everything that the operators have published.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The latest configuration; `None` if none has been published.
    pub config: Option<GatewayConfig>,
    /// Availability zones under evacuation.
    pub evacuated: Vec<ZoneId>,
}

/// Changes that the operators have published since a revision.
#[derive(Clone, Debug, Default)]
pub struct PublishedChanges {
    /// Configurations, oldest first.
    pub configs: Vec<GatewayConfig>,
    /// Starts and ends of zone evacuations, in order.
    pub evacuations: Vec<EvacuationChange>,
}

/// Read-only access to the directory.
pub trait Directory: Send + Sync {
    /// Reads everything that the operators have published.
    fn published(&self) -> BoxFuture<'_, Result<Read<Published>, DirectoryError>>;

    /// Waits up to `wait` for changes published after a revision; returns no changes if there
    /// were none in this time.
    fn published_after(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read<PublishedChanges>, DirectoryError>>;

    /// Reads the full list of backend servers.
    fn replicas(&self) -> BoxFuture<'_, Result<Read<Listing>, DirectoryError>>;

    /// Waits up to `wait` for changes of the list after a revision.
    fn replicas_after(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read<Vec<ReplicaChange>>, DirectoryError>>;
}
