//! What readers of the platform's directory share: how long they wait, and how
//! they say that it is lost and regained.

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

/// Who had what was read.
pub const SOURCE: &str = "directory";

/// Calls that fail, one after the other.
pub struct Trouble {
    what: &'static str,
    pause: Duration,
    is_lost: bool,
}

impl Trouble {
    /// Calls about one thing, none of which has failed.
    pub fn new(what: &'static str) -> Self {
        Trouble {
            what,
            pause: FIRST_PAUSE,
            is_lost: false,
        }
    }

    /// Whether the last call failed.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Notes a failure that took so long, and waits; apart from other instances by chance.
    pub async fn failed(&mut self, log: &Logger, error: &DirectoryError, waited: Duration) {
        if !self.is_lost {
            warn!(log, "directory lost"; "of" => self.what, "cause" => error.to_string());
        }
        info!(log, "call to the directory failed"; "of" => self.what,
            "cause" => error.to_string(), "waited_ms" => waited.as_millis() as u64);
        self.is_lost = true;
        let factor = rand::rng().random_range(RETRY_JITTER);
        tokio::time::sleep(self.pause.mul_f64(factor)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    /// Notes that others read the directory: the next success here ends no outage.
    pub fn left_to_others(&mut self, log: &Logger) {
        if self.is_lost {
            info!(log, "directory lost here; others read it"; "of" => self.what);
        }
        *self = Trouble::new(self.what);
    }

    /// Notes success; returns whether an outage has ended.
    pub fn succeeded(&mut self, log: &Logger) -> bool {
        let was_lost = self.is_lost;
        if was_lost {
            info!(log, "directory regained"; "of" => self.what);
        }
        *self = Trouble::new(self.what);
        was_lost
    }
}

/// The form of an outcome used in metrics.
pub fn end_of<T>(read: &Result<T, DirectoryError>) -> &'static str {
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

/// Checks the answer of a watch: changes can't be told across eras, so that all is read
/// anew.
///
/// # Errors
///
/// [`DirectoryError::HistoryGone`] in a later era, else what [`not_older`] says.
pub fn same_era(answered: Revision, known: Revision) -> Result<(), DirectoryError> {
    if answered.era > known.era {
        return Err(DirectoryError::HistoryGone);
    }
    not_older(answered, known)
}

/// Checks an answer against what is known. One of an earlier era was under way when the
/// directory came back, or lacks the name of its era; it is asked again after a pause, as
/// after any answer that makes no sense, since it would be refused and asked for without end.
///
/// # Errors
///
/// [`DirectoryError::Unreadable`].
pub fn not_older(answered: Revision, known: Revision) -> Result<(), DirectoryError> {
    if answered.era >= known.era {
        return Ok(());
    }
    let message = format!("it is of revision {answered}, and {known} is known");
    Err(DirectoryError::Unreadable(message))
}
