//! Contents of requests that ran well lately, a few of each workspace.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::Fingerprint;
use crate::Now;

/// Contents kept per workspace: what many callers send is among the latest few dozen that
/// ran. Two kilobytes a workspace.
const MOST_PER_WORKSPACE: usize = 64;

/// Workspaces kept; beyond the 1,500 that a fleet is built for.
const MOST_WORKSPACES: usize = 2_048;

/// The latest contents of each workspace; a workspace that sends many makes only its own
/// be forgotten.
#[derive(Debug, Default)]
pub struct KnownGoodRequests {
    /// Latest last.
    workspaces: BTreeMap<u64, VecDeque<(u128, Now)>>,
}

impl KnownGoodRequests {
    /// Notes that a request ran well.
    pub fn note(&mut self, now: Now, fingerprint: Fingerprint) {
        let is_known = self.workspaces.contains_key(&fingerprint.workspace);
        if !is_known && self.workspaces.len() >= MOST_WORKSPACES {
            self.workspaces.pop_first();
        }
        let contents = self.workspaces.entry(fingerprint.workspace).or_default();
        contents.retain(|(content, _)| *content != fingerprint.content);
        if contents.len() >= MOST_PER_WORKSPACE {
            contents.pop_front();
        }
        contents.push_back((fingerprint.content, now));
    }

    /// When a request with a content last ran well, if that is still known.
    pub fn known_good_at(&self, fingerprint: Fingerprint) -> Option<Now> {
        let contents = self.workspaces.get(&fingerprint.workspace)?;
        let mut known = contents.iter();
        let known = known.find(|(content, _)| *content == fingerprint.content);
        known.map(|(_, at)| *at)
    }
}
