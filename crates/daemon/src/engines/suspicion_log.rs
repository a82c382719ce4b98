//! Log lines of the suspicions that requests end the backend servers that run them.

use iristhread_core::Now;
use iristhread_core::SuspicionUpdate;
use slog::Logger;
use slog::info;
use slog::warn;

/// Writes the line of one belief that has changed.
pub fn log_suspicion(log: &Logger, now: Now, news: &SuspicionUpdate) {
    match news {
        SuspicionUpdate::Ended { fingerprint, ends } => {
            info!(log, "backend server ended under a request";
                "content" => fingerprint.to_string(), "ends" => ends);
        }
        SuspicionUpdate::Quarantined {
            fingerprint,
            ends,
            until,
        } => {
            let left = until.saturating_sub(now);
            warn!(log, "requests like one are quarantined: backend servers end under them";
                "content" => fingerprint.to_string(), "ends" => ends,
                "quarantine_ms" => left.as_millis() as u64);
        }
        SuspicionUpdate::Cleared { fingerprint } => {
            info!(log, "request like one that was suspected ran well";
                "content" => fingerprint.to_string());
        }
    }
}
