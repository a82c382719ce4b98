//! Fingerprints of requests, or of parts of prompts, that recently ran without a server crash, a
//! number per workspace.

use std::collections::BTreeMap;

use crate::Fingerprint;
use crate::Now;
use crate::SuspectedRequest;

/// Maximum number of fingerprints per workspace: a request that many callers send is among the
/// latest few dozen that ran. Two kilobytes per workspace.
const MAX_PER_WORKSPACE: usize = 64;

/// Maximum number of workspaces: more than the 1,500 that a fleet is designed for.
const MAX_WORKSPACES: usize = 2_048;

/// Maximum number of parts of prompts per workspace, and of those of the fleet: a prompt has several.
const MAX_PARTS: usize = 256;

/// What ran well lately: contents of requests and, apart from them, parts of prompts. Contents that
/// are seen once evict no parts.
#[derive(Debug)]
pub struct KnownGood {
    contents: KnownGoodRequests,
    parts: KnownGoodRequests,
}

impl Default for KnownGood {
    fn default() -> Self {
        KnownGood {
            contents: KnownGoodRequests::default(),
            parts: KnownGoodRequests::with_capacity(MAX_PARTS),
        }
    }
}

impl KnownGood {
    /// Records that a request ran well.
    pub fn note(&mut self, now: Now, request: SuspectedRequest<'_>) {
        self.contents.note(now, request.fingerprint);
        for part in request.parts.iter() {
            self.parts.note(now, part.in_workspace);
            self.parts.note(now, part.in_fleet);
        }
    }

    /// When a request with this fingerprint, of its content or of a part of its prompt, last ran
    /// well, if it is still stored.
    pub fn at(&self, fingerprint: Fingerprint) -> Option<Now> {
        let content = self.contents.known_good_at(fingerprint);
        content.or_else(|| self.parts.known_good_at(fingerprint))
    }
}

/// The latest known-good fingerprints of each workspace. A workspace that sends many different
/// requests evicts only its own.
#[derive(Debug)]
pub struct KnownGoodRequests {
    /// Digests with the time of the last good run, by workspace.
    workspaces: BTreeMap<u64, BTreeMap<u128, Now>>,
    max_per_workspace: usize,
}

impl Default for KnownGoodRequests {
    fn default() -> Self {
        KnownGoodRequests::with_capacity(MAX_PER_WORKSPACE)
    }
}

impl KnownGoodRequests {
    /// Creates an empty store that keeps up to this number of fingerprints per workspace.
    pub fn with_capacity(max_per_workspace: usize) -> Self {
        KnownGoodRequests {
            workspaces: BTreeMap::new(),
            max_per_workspace,
        }
    }

    /// Records that a request ran well.
    pub fn note(&mut self, now: Now, fingerprint: Fingerprint) {
        let is_known = self.workspaces.contains_key(&fingerprint.workspace);
        if !is_known && self.workspaces.len() >= MAX_WORKSPACES {
            self.workspaces.pop_first();
        }
        let digests = self.workspaces.entry(fingerprint.workspace).or_default();
        let is_new = digests.insert(fingerprint.content, now).is_none();
        if is_new && digests.len() > self.max_per_workspace {
            let oldest = digests.iter().min_by_key(|(_, at)| **at);
            if let Some(content) = oldest.map(|(content, _)| *content) {
                digests.remove(&content);
            }
        }
    }

    /// When a request with this fingerprint last ran well, if it is still stored.
    pub fn known_good_at(&self, fingerprint: Fingerprint) -> Option<Now> {
        let digests = self.workspaces.get(&fingerprint.workspace)?;
        digests.get(&fingerprint.content).copied()
    }
}
