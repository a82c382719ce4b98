//! Fingerprints of requests that recently ran without a server crash, a few per workspace.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Fingerprint;
use crate::Now;

/// Maximum number of fingerprints per workspace: a request that many callers send is among the
/// latest few dozen that ran. Two kilobytes per workspace.
const MAX_PER_WORKSPACE: usize = 64;

/// Maximum number of workspaces: more than the 1,500 that a fleet is designed for.
const MAX_WORKSPACES: usize = 2_048;

/// The latest known-good requests of each workspace. A workspace that sends many different
/// requests evicts only its own.
#[derive(Debug, Default)]
pub struct KnownGoodRequests {
    /// Digests with the time of the last good run, by workspace; latest last.
    workspaces: BTreeMap<u64, VecDeque<(u128, Now)>>,
}

impl KnownGoodRequests {
    /// Records that a request ran well.
    pub fn note(&mut self, now: Now, fingerprint: Fingerprint) {
        let is_known = self.workspaces.contains_key(&fingerprint.workspace);
        if !is_known && self.workspaces.len() >= MAX_WORKSPACES {
            self.workspaces.pop_first();
        }
        let digests = self.workspaces.entry(fingerprint.workspace).or_default();
        digests.retain(|(content, _)| *content != fingerprint.content);
        if digests.len() >= MAX_PER_WORKSPACE {
            digests.pop_front();
        }
        digests.push_back((fingerprint.content, now));
    }

    /// When a request with this fingerprint last ran well, if it is still stored.
    pub fn known_good_at(&self, fingerprint: Fingerprint) -> Option<Now> {
        let digests = self.workspaces.get(&fingerprint.workspace)?;
        let mut known = digests.iter();
        let known = known.find(|(content, _)| *content == fingerprint.content);
        known.map(|(_, at)| *at)
    }
}
