//! The border to the platform's directory: the published configuration and the
//! list of backend servers, which can be read and watched.

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
pub(crate) mod directory_knowledge;
pub(crate) mod directory_trouble;
pub(crate) mod list_reader;
pub(crate) mod skipped_entries;

/// Why a read failed.
#[derive(Clone, Debug, Error)]
pub enum DirectoryError {
    /// No connection, or it broke.
    #[error("the directory can't be reached: {0}")]
    Unreachable(String),
    /// No answer in time.
    #[error("the directory did not answer in time")]
    Silent,
    /// It asks for fewer calls, or serves nobody.
    #[error("the directory refuses calls with status {0}")]
    Busy(u16),
    /// The changes after that revision are forgotten.
    #[error("the directory has forgotten the changes since then")]
    HistoryGone,
    /// The pages of one reading are of different eras of the directory.
    #[error("the directory came back from a copy in the middle of a reading")]
    EraChanged,
    /// The answer makes no sense.
    #[error("the answer of the directory can't be read: {0}")]
    Unreadable(String),
}

/// A value together with the revision of the directory.
#[derive(Clone, Debug)]
pub struct Read<T> {
    /// The value.
    pub value: T,
    /// The directory's revision when it answered.
    pub revision: Revision,
    /// Entries that could not be read and are left out.
    pub skipped: Vec<SkippedEntry>,
}

/// An entry that can't be read, perhaps by another writer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SkippedEntry {
    /// Its key.
    pub key: String,
    /// Count of its writing, to tell it from others of its key.
    pub revision: u64,
    /// What is wrong with it.
    pub reason: String,
}

/// The whole list of backend servers.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Those that can be used.
    pub replicas: Vec<Replica>,
    /// Ids whose entry is there and can't be used.
    pub unusable: Vec<BackendId>,
}

/// What the operators have published.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The newest configuration, `None` when there is none.
    pub config: Option<GatewayConfig>,
    /// Availability zones that are to be emptied.
    pub evacuated: Vec<ZoneId>,
}

/// What the operators have published since a revision.
#[derive(Clone, Debug, Default)]
pub struct PublishedChanges {
    /// Configurations, the oldest first.
    pub configs: Vec<GatewayConfig>,
    /// Zones that are to be emptied, and those that no longer are, in order.
    pub evacuations: Vec<EvacuationChange>,
}

/// Reads and watches; nothing can be written.
pub trait Directory: Send + Sync {
    /// What the operators have published.
    fn published(&self) -> BoxFuture<'_, Result<Read<Published>, DirectoryError>>;

    /// Waits for what is published after a revision; nothing when the time is over.
    fn published_after(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read<PublishedChanges>, DirectoryError>>;

    /// The whole list of backend servers.
    fn replicas(&self) -> BoxFuture<'_, Result<Read<Listing>, DirectoryError>>;

    /// Waits for changes of the list after a revision.
    fn replicas_after(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read<Vec<ReplicaChange>>, DirectoryError>>;
}
