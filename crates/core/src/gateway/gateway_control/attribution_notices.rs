//! What the attribution of crashes reports for the log: crashes that count against no request, and
//! sends of requests that are suspected to cause crashes.

use std::time::Duration;

use super::GatewayControl;
use super::crash_attribution::BrokenRun;
use crate::BackendId;
use crate::Explanation;
use crate::Fingerprint;
use crate::Now;
use crate::PlacementRequest;
use crate::RequestId;
use crate::SuspectStanding;

/// Maximum number of notices between two calls that take them; more are dropped.
const MAX_NOTICES: usize = 256;

/// One report for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttributionNotice {
    /// A crash, or a possible one, counts against no request.
    Unattributed(UnattributedRun),
    /// A suspected request is sent to a backend server.
    Sent(SuspectedSend),
}

/// A run whose server ended, or may have ended, without consequences for its request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnattributedRun {
    /// The request.
    pub request: RequestId,
    /// Fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// The backend server.
    pub backend_server: BackendId,
    /// Why it has no consequences.
    pub cause: UnattributedCause,
    /// Time since the connection of the run was lost or closed.
    pub age: Duration,
}

/// Why a crash counts against no request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnattributedCause {
    /// The run was left, and the server was draining: it ended as announced.
    ServerDrained,
    /// Nothing showed in time that the server had ended.
    NotConfirmed,
}

impl UnattributedCause {
    /// Text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            UnattributedCause::ServerDrained => "server_drained",
            UnattributedCause::NotConfirmed => "not_confirmed",
        }
    }
}

/// The send of a suspected request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectedSend {
    /// The request.
    pub request: RequestId,
    /// Fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// Number of crashes that count against the content.
    pub ends: usize,
    /// Why the request is sent in spite of them.
    pub reason: SendReason,
}

/// Why a suspected request is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendReason {
    /// The standing of its content.
    Standing(SuspectStanding),
    /// This instance probes the content after its quarantine.
    Probe,
    /// This instance is the one that sends such requests, one at a time.
    LastChance,
    /// The request itself has run well.
    Proven,
}

impl SendReason {
    /// Text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            SendReason::Standing(standing) => standing.as_str(),
            SendReason::Probe => "probe",
            SendReason::LastChance => "last_chance",
            SendReason::Proven => "proven",
        }
    }

    /// Returns the suspect that explains the crashes of the content, if that is the reason.
    pub fn explanation(self) -> Option<Explanation> {
        match self {
            SendReason::Standing(SuspectStanding::Explained(explanation)) => Some(explanation),
            _ => None,
        }
    }
}

impl GatewayControl {
    /// Takes the notices since the last call.
    pub fn attribution_notices(&mut self) -> Vec<AttributionNotice> {
        std::mem::take(&mut self.broken_runs.notices)
    }

    pub(super) fn note_unattributed(
        &mut self,
        now: Now,
        broken: BrokenRun,
        cause: UnattributedCause,
    ) {
        self.add_notice(AttributionNotice::Unattributed(UnattributedRun {
            request: broken.request,
            fingerprint: broken.fingerprint,
            backend_server: broken.replica,
            cause,
            age: now.saturating_sub(broken.at),
        }));
    }

    /// Notes that a request is sent, if its content is suspected. `reason` is `None` where the standing
    /// of the content is the reason.
    pub(super) fn note_suspected_send(
        &mut self,
        ask: &PlacementRequest,
        reason: Option<SendReason>,
    ) {
        let Some((ends, standing)) = self.suspicions.standing(ask.fingerprint) else {
            return;
        };
        self.add_notice(AttributionNotice::Sent(SuspectedSend {
            request: ask.request.clone(),
            fingerprint: ask.fingerprint,
            ends,
            reason: reason.unwrap_or(SendReason::Standing(standing)),
        }));
    }

    /// Notes that a running request is sent to another backend server, if its content is suspected.
    pub(super) fn note_suspected_resend(&mut self, request: &str) {
        let Some(run) = self.runs.get(request) else {
            return;
        };
        let reason = run.is_proven.then_some(SendReason::Proven);
        let ask = run.ask.clone();
        self.note_suspected_send(&ask, reason);
    }

    fn add_notice(&mut self, notice: AttributionNotice) {
        let notices = &mut self.broken_runs.notices;
        if notices.len() < MAX_NOTICES {
            notices.push(notice);
        }
    }
}
