//! Log lines of suspicions that requests crash the backend servers that run them.

use iristhread_core::AttributionNotice;
use iristhread_core::Now;
use iristhread_core::SuspectKind;
use iristhread_core::SuspectedSend;
use iristhread_core::SuspicionUpdate;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;

/// Logs one change of a suspicion. Lines about contents name them as `content`, those about parts of
/// prompts as `part`.
pub fn log_suspicion(log: &Logger, now: Now, update: &SuspicionUpdate) {
    match update {
        SuspicionUpdate::Ended {
            fingerprint,
            kind,
            ends,
        } => log_crash(log, &fingerprint.to_string(), *kind, *ends),
        SuspicionUpdate::Quarantined {
            fingerprint,
            kind,
            ends,
            until,
            known_good_at,
            beside,
        } => {
            let message = match kind {
                SuspectKind::Content => {
                    "requests with this fingerprint are quarantined: they crash backend servers"
                }
                SuspectKind::Part(_) | SuspectKind::PartInFleet(_) => {
                    "requests with this part of a prompt are quarantined: they crash backend servers"
                }
            };
            let left = until.saturating_sub(now);
            let good_ago = known_good_at.map(|at| now.saturating_sub(at).as_millis() as u64);
            warn!(log, "{}", message;
                key_of(*kind) => fingerprint.to_string(), "scope" => scope_of(*kind),
                "ends" => ends, "quarantine_ms" => left.as_millis() as u64,
                "last_good_ms_ago" => good_ago, "others_there" => beside);
        }
        SuspicionUpdate::Cleared { fingerprint, kind } => {
            info!(log, "request with a suspected fingerprint ran well; suspicion cleared";
                key_of(*kind) => fingerprint.to_string(), "scope" => scope_of(*kind));
        }
    }
}

/// Logs what the attribution of crashes reports.
pub fn log_attribution(log: &Logger, notice: &AttributionNotice) {
    match notice {
        AttributionNotice::Unattributed(run) => {
            info!(log, "possible crash of a backend server counts against no request";
                "request" => &run.request, "content" => run.fingerprint.to_string(),
                "backend_server" => &run.backend_server, "cause" => run.cause.as_str(),
                "age_ms" => run.age.as_millis() as u64);
        }
        AttributionNotice::Sent(sent) => log_suspected_send(log, sent),
    }
}

fn log_suspected_send(log: &Logger, sent: &SuspectedSend) {
    let (content, reason) = (sent.fingerprint.to_string(), sent.reason.as_str());
    match sent.reason.explanation() {
        Some(by) => info!(log, "sending a suspected request";
            "request" => &sent.request, "content" => content, "ends" => sent.ends,
            "reason" => reason, "explained_by" => by.fingerprint.to_string(),
            "explained_by_kind" => key_of(by.kind), "explained_by_ends" => by.ends,
            "explained_by_weight" => by.weight, "explained_by_held" => by.is_held),
        None => info!(log, "sending a suspected request";
            "request" => &sent.request, "content" => content, "ends" => sent.ends,
            "reason" => reason),
    }
}

/// A crash concerns one content, and each part of its prompt in the workspace and in the fleet: the
/// latter two say the same.
fn log_crash(log: &Logger, fingerprint: &str, kind: SuspectKind, ends: usize) {
    let message = "backend server crashed while running a request";
    match kind {
        SuspectKind::PartInFleet(_) => debug!(log, "{}", message;
            "part" => fingerprint, "scope" => scope_of(kind), "ends" => ends),
        SuspectKind::Part(_) | SuspectKind::Content => info!(log, "{}", message;
            key_of(kind) => fingerprint, "scope" => scope_of(kind), "ends" => ends),
    }
}

fn key_of(kind: SuspectKind) -> &'static str {
    match kind {
        SuspectKind::Content => "content",
        SuspectKind::Part(_) | SuspectKind::PartInFleet(_) => "part",
    }
}

fn scope_of(kind: SuspectKind) -> &'static str {
    match kind {
        SuspectKind::PartInFleet(_) => "all_workspaces",
        SuspectKind::Part(_) | SuspectKind::Content => "workspace",
    }
}
