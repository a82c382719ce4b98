//! The input of a placement decision and its result.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::BackendId;
use crate::Fingerprint;
use crate::PromptParts;
use crate::RegionId;
use crate::Replica;
use crate::RequestClass;
use crate::RequestId;
use crate::ServiceLevel;
use crate::SuspectedRequest;

/// A request that needs a backend server.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The request.
    pub request: RequestId,
    /// Digest of the content of the request.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share; empty if the service is not an engine.
    pub parts: PromptParts,
    /// Service that runs it.
    pub service: String,
    /// What may be done after a failure.
    pub class: RequestClass,
    /// Length of the prompt in tokens; 0 if the service is not an engine.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens that the caller accepts.
    pub max_tokens: u32,
    /// The caller's estimate of the output length in tokens, if given.
    pub expected_tokens: Option<u32>,
    /// Regions to which the request is restricted; `None` allows all regions.
    pub homes: Option<BTreeSet<RegionId>>,
    /// Its priority, objectives and deadline.
    pub level: ServiceLevel,
}

impl PlacementRequest {
    /// Returns what the request is recognized by when servers crash under it.
    pub fn suspected(&self) -> SuspectedRequest<'_> {
        SuspectedRequest {
            fingerprint: self.fingerprint,
            parts: &self.parts,
        }
    }

    /// Returns the expected output length in tokens: the caller's estimate, which is correct at
    /// the median, or half of the maximum if the caller gave none.
    pub fn likely_tokens(&self) -> u32 {
        let estimate = self.expected_tokens.unwrap_or(self.max_tokens / 2);
        estimate.min(self.max_tokens)
    }

    /// Returns the tokens that it is expected to hold in memory on average, its prompt and half of
    /// its output; 0 if the service is not an engine.
    pub fn memory_tokens(&self) -> f64 {
        f64::from(self.prompt_tokens + self.likely_tokens() / 2)
    }
}

/// Result of a placement: the backend servers that may handle the request.
#[derive(Clone, Debug)]
pub struct Ranking {
    /// Backend servers in order of preference. The request is already counted as sent to the
    /// first one.
    pub replicas: Vec<Replica>,
    /// Engine that should hold a backup of the session.
    pub backup: Option<Replica>,
    /// State of the first backend server as known to this instance.
    pub server_view: Box<ServerView>,
    /// Backend servers that ranked higher but were skipped because of their request limits.
    pub passed_over: Vec<BackendId>,
}

/// State of a backend server, as known to this instance, when it was chosen.
#[derive(Clone, Copy, Debug)]
pub struct ServerView {
    /// Requests in flight from all instances.
    pub requests: u32,
    /// Fraction of its memory in use, with the new request; 0 for servers without memory tracking.
    pub memory: f64,
    /// Number of other instances whose load is included.
    pub instances: usize,
    /// Time that it needs as a multiple of the usual time under the same load.
    pub relative_time: f64,
    /// Forecast time from the send to the first event of a stream, or to the answer of a server
    /// that is not an engine; zero if it isn't known.
    pub first_event: Duration,
    /// Forecast time between two events of a stream; zero if it isn't known.
    pub event_gap: Duration,
}

/// A signal to a session in progress.
#[derive(Clone, Debug)]
pub enum SessionSignal {
    /// The engine is draining and no usable backup exists: move to this engine.
    MoveTo(Replica),
    /// The engine has restarted since the session was sent there and has lost its state.
    EngineRestarted,
    /// The request is quarantined because identical requests crashed backend servers, and it
    /// has not started: end it.
    Withdraw,
}

/// How the run of a request on a backend server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It was answered with success.
    Answered,
    /// It was answered, which shows nothing of its content: with an error of the service's own, or
    /// by an answer with which its server ended.
    Unproven,
    /// The server closed the connection, stalled or sent an invalid answer.
    Failed,
    /// The backend server refused for lack of room.
    Refused,
    /// The run ended without a server fault: the caller disconnected or the deadline passed.
    Withdrawn,
}

impl RunEnd {
    /// Whether there was an answer.
    pub fn is_answer(self) -> bool {
        matches!(self, RunEnd::Answered | RunEnd::Unproven)
    }
}

/// Target of the failover, restart or move of a session.
#[derive(Clone, Debug)]
pub struct FailoverTarget {
    /// The engine that continues the session.
    pub replica: Replica,
    /// Engine that should hold the backup from then on.
    pub backup: Option<Replica>,
    /// The engine that ran the session before.
    pub from: BackendId,
}
