//! Code shared by the readers of the platform's directory: tracking of outages with retry
//! pauses, outcome labels, and checks of the revision of an answer.

use std::time::Duration;

use iristhread_core::Revision;
use iristhread_core::read_timing::FIRST_PAUSE;
use iristhread_core::read_timing::LONGEST_PAUSE;
use iristhread_core::read_timing::RETRY_JITTER;
use rand::RngExt;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::directory::DirectoryError;

/// Name of the directory as the source of an update, in logs.
pub const SOURCE: &str = "directory";

/// Tracks consecutive failures of the calls about one object.
pub struct OutageTracker {
    object: &'static str,
    pause: Duration,
    is_unavailable: bool,
}

impl OutageTracker {
    /// Creates a tracker without failures. `object` names the data that is read, in logs.
    pub fn new(object: &'static str) -> Self {
        OutageTracker {
            object,
            pause: FIRST_PAUSE,
            is_unavailable: false,
        }
    }

    /// Returns whether the last call failed.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Records a failed call that took `waited`, then sleeps before the next try. The pause is
    /// randomized, so that instances don't retry at the same time.
    pub async fn failed(&mut self, log: &Logger, error: &DirectoryError, waited: Duration) {
        if !self.is_unavailable {
            warn!(log, "directory lost"; "of" => self.object, "cause" => error.to_string());
        }
        info!(log, "call to the directory failed"; "of" => self.object,
            "cause" => error.to_string(), "waited_ms" => waited.as_millis() as u64);
        self.is_unavailable = true;
        let factor = rand::rng().random_range(RETRY_JITTER);
        tokio::time::sleep(self.pause.mul_f64(factor)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Resets the tracker because other instances read the directory: the next success here does
    /// not end an outage.
    pub fn leave_to_other_readers(&mut self, log: &Logger) {
        if self.is_unavailable {
            info!(log, "directory lost here; other instances read it"; "of" => self.object);
        }
        *self = OutageTracker::new(self.object);
    }

    /// Records a successful call; returns whether it ended an outage.
    pub fn succeeded(&mut self, log: &Logger) -> bool {
        let was_unavailable = self.is_unavailable;
        if was_unavailable {
            info!(log, "directory regained"; "of" => self.object);
        }
        *self = OutageTracker::new(self.object);
        was_unavailable
    }
}

/// Label of the outcome of a call, for metrics.
pub fn outcome_label<T>(read: &Result<T, DirectoryError>) -> &'static str {
    match read {
        Ok(_) => "answered",
        Err(DirectoryError::Unreachable(_)) => "unreachable",
        Err(DirectoryError::Silent) => "silent",
        Err(DirectoryError::Busy(_)) => "refused",
        Err(DirectoryError::HistoryGone) => "history_gone",
        Err(DirectoryError::EraChanged) => "era_changed",
        Err(DirectoryError::Unreadable(_)) => "unreadable",
    }
}

/// Checks the revision of the answer to a watch. Changes can't be expressed across eras, so a
/// new era requires a full read.
///
/// # Errors
///
/// [`DirectoryError::HistoryGone`] if the answer is of a later era, otherwise as [`not_older`].
pub fn same_era(answered: Revision, known: Revision) -> Result<(), DirectoryError> {
    if answered.era > known.era {
        return Err(DirectoryError::HistoryGone);
    }
    not_older(answered, known)
}

/// Checks that an answer is not of an earlier era than the known revision. Such an answer was
/// in flight when the directory was restored, or it lacks the name of its era. It counts as
/// invalid, so that the call is repeated only after a pause: the control thread would reject the
/// answer, and immediate retries would go on without end.
///
/// # Errors
///
/// [`DirectoryError::Unreadable`] if the answer is of an earlier era.
pub fn not_older(answered: Revision, known: Revision) -> Result<(), DirectoryError> {
    if answered.era >= known.era {
        return Ok(());
    }
    let message =
        format!("revision {answered} is of an earlier era than the known revision {known}");
    Err(DirectoryError::Unreadable(message))
}
