//! What one request asks of the backend servers of a service, and the answer.

use std::collections::BTreeSet;

use crate::BackendId;
use crate::Fingerprint;
use crate::RegionId;
use crate::Replica;
use crate::RequestClass;
use crate::RequestId;

/// A request that wants a backend server.
#[derive(Clone, Debug)]
pub struct PlacementRequest {
    /// The request.
    pub request: RequestId,
    /// What it consists of.
    pub fingerprint: Fingerprint,
    /// Service that runs it.
    pub service: String,
    /// What may be done after a failure.
    pub class: RequestClass,
    /// Tokens of the prompt; 0 where the service is no engine.
    pub prompt_tokens: u32,
    /// Most tokens that the caller takes.
    pub max_tokens: u32,
    /// The caller's guess of the tokens that come out, if it gave one.
    pub expected_tokens: Option<u32>,
    /// Regions whose backend servers alone may get it; `None` for all.
    pub homes: Option<BTreeSet<RegionId>>,
}

impl PlacementRequest {
    /// Tokens that are likely to come out: the caller's guess is right at the
    /// median; without one, half of the most.
    pub fn likely_tokens(&self) -> u32 {
        let guess = self.expected_tokens.unwrap_or(self.max_tokens / 2);
        guess.min(self.max_tokens)
    }
}

/// Where a request may go.
#[derive(Clone, Debug)]
pub struct Ranking {
    /// Backend servers, the best first. The request already counts as sent to
    /// the first.
    pub replicas: Vec<Replica>,
    /// Engine that should keep a copy of the session.
    pub backup: Option<Replica>,
    /// What was believed of the first.
    pub belief: ServerView,
    /// Backend servers that were better but take no more now: they named limits.
    pub passed_over: Vec<BackendId>,
}

/// What was believed of a backend server when it was chosen.
#[derive(Clone, Copy, Debug)]
pub struct ServerView {
    /// Requests that all instances had there.
    pub requests: u32,
    /// Share of its memory that is taken with the new one, 0 where there is none.
    pub memory: f64,
    /// Other instances whose shares are counted.
    pub instances: usize,
}

/// What the decisions tell a session that is under way.
#[derive(Clone, Debug)]
pub enum SessionSignal {
    /// Its engine is leaving and no usable copy exists: move to this engine.
    MoveTo(Replica),
    /// Its engine has started anew since it was sent there, and knows nothing of it.
    EngineRestarted,
    /// Backend servers end under requests like it, and it has not begun: end it.
    Withdraw,
}

/// How a request left its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It was answered; an answer that reports an error of the service's own
    /// counts as well.
    Answered,
    /// The backend server broke off, was silent or sent what is no answer.
    Failed,
    /// The backend server refused for lack of room.
    Refused,
    /// Neither side is to blame: the caller left or time was up.
    Withdrawn,
}

/// A session as it moves from one engine to another.
#[derive(Clone, Debug)]
pub struct FailoverTarget {
    /// The engine to go on at.
    pub replica: Replica,
    /// Engine that should keep a copy from then on.
    pub backup: Option<Replica>,
    /// The engine that ran it so far.
    pub from: BackendId,
}
