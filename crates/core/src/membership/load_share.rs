//! Load that instances have placed on backend servers, as they advertise it to each other.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendId;
use crate::RequestRate;

/// Load that one instance has placed on one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Requests in progress, sessions included.
    pub requests: u32,
    /// Prompt tokens of sessions that have not produced a token yet.
    pub unread_tokens: u64,
    /// Tokens in memory of running sessions, as expected half-way through each session.
    pub session_tokens: u64,
    /// Tokens of the backups held for sessions that run elsewhere.
    pub copy_tokens: u64,
    /// Demand: the rate of requests that would be sent if the backend server had not announced a
    /// limit. Zero unless it has announced one.
    pub wanted: RequestRate,
}

impl LoadShare {
    /// Adds another share.
    pub fn add(&mut self, other: &LoadShare) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
        self.session_tokens += other.session_tokens;
        self.copy_tokens += other.copy_tokens;
        self.wanted = self.wanted.plus(other.wanted);
    }

    /// Subtracts a share that was added before.
    pub fn remove(&mut self, other: &LoadShare) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(other.unread_tokens);
        self.session_tokens = self.session_tokens.saturating_sub(other.session_tokens);
        self.copy_tokens = self.copy_tokens.saturating_sub(other.copy_tokens);
        self.wanted = self.wanted.minus(other.wanted);
    }

    /// Returns the tokens that the share occupies in memory.
    pub fn memory_tokens(&self) -> u64 {
        self.session_tokens + self.copy_tokens
    }
}

/// Shares by backend server.
pub type LoadShares = BTreeMap<BackendId, LoadShare>;
