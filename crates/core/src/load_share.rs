//! What instances have put on backend servers, as they tell each other.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendId;
use crate::Incarnation;
use crate::InstanceId;
use crate::Now;

/// How long the shares of a silent instance still count: its sessions end or
/// are broken off within a few seconds after its end.
const SHARES_LIFETIME: Duration = Duration::from_secs(3);

/// What one instance has put on one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Requests under way, sessions included.
    pub requests: u32,
    /// Prompt tokens of sessions that have not begun to answer.
    pub unread_tokens: u64,
    /// Tokens in memory of running sessions, as expected half-way through.
    pub session_tokens: u64,
    /// Tokens of copies of sessions that run elsewhere.
    pub copy_tokens: u64,
}

impl LoadShare {
    /// Adds another share.
    pub fn add(&mut self, other: &LoadShare) {
        self.requests += other.requests;
        self.unread_tokens += other.unread_tokens;
        self.session_tokens += other.session_tokens;
        self.copy_tokens += other.copy_tokens;
    }

    /// Tokens that the share takes in memory.
    pub fn memory_tokens(&self) -> u64 {
        self.session_tokens + self.copy_tokens
    }
}

/// Shares by backend server.
pub type LoadShares = BTreeMap<BackendId, LoadShare>;

#[derive(Debug)]
struct PeerShares {
    incarnation: Incarnation,
    sequence: u64,
    heard_at: Now,
    shares: LoadShares,
}

/// The latest shares of every other instance.
#[derive(Debug, Default)]
pub struct PeerLoads {
    peers: HashMap<InstanceId, PeerShares>,
}

impl PeerLoads {
    /// Takes the shares of an instance; an older message of the same life
    /// changes nothing.
    pub fn hear(
        &mut self,
        now: Now,
        instance: InstanceId,
        incarnation: Incarnation,
        sequence: u64,
        shares: LoadShares,
    ) {
        let known = self.peers.get(&instance);
        let is_old =
            known.is_some_and(|peer| peer.incarnation == incarnation && peer.sequence >= sequence);
        if is_old {
            return;
        }
        let peer = PeerShares {
            incarnation,
            sequence,
            heard_at: now,
            shares,
        };
        self.peers.insert(instance, peer);
    }

    /// Forgets instances that have been silent for long; returns them.
    pub fn expire(&mut self, now: Now) -> Vec<InstanceId> {
        let is_silent = |peer: &PeerShares| now.saturating_sub(peer.heard_at) > SHARES_LIFETIME;
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let names: Vec<InstanceId> = silent.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.peers.remove(name);
        }
        names
    }

    /// What all others have put on a backend server.
    pub fn on(&self, replica: &str) -> LoadShare {
        let mut sum = LoadShare::default();
        let shares = self.peers.values();
        for share in shares.filter_map(|peer| peer.shares.get(replica)) {
            sum.add(share);
        }
        sum
    }

    /// Names of the other instances heard lately.
    pub fn names(&self) -> impl Iterator<Item = &InstanceId> {
        self.peers.keys()
    }

    /// Other instances heard lately.
    pub fn count(&self) -> usize {
        self.peers.len()
    }
}
