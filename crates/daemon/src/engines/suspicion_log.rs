//! Log lines of suspicions that requests crash the backend servers that run them.

use iristhread_core::Now;
use iristhread_core::SuspicionUpdate;
use slog::Logger;
use slog::info;
use slog::warn;

/// Logs one change of a suspicion.
pub fn log_suspicion(log: &Logger, now: Now, update: &SuspicionUpdate) {
    match update {
        SuspicionUpdate::Ended { fingerprint, ends } => {
            info!(log, "backend server crashed while running a request";
                "content" => fingerprint.to_string(), "ends" => ends);
        }
        SuspicionUpdate::Quarantined {
            fingerprint,
            ends,
            until,
        } => {
            let left = until.saturating_sub(now);
            warn!(log, "requests with this fingerprint are quarantined: they crash backend servers";
                "content" => fingerprint.to_string(), "ends" => ends,
                "quarantine_ms" => left.as_millis() as u64);
        }
        SuspicionUpdate::Cleared { fingerprint } => {
            info!(log, "request with a suspected fingerprint ran well; suspicion cleared";
                "content" => fingerprint.to_string());
        }
    }
}
