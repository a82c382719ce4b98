//! Looks up the owner of a bearer key by the published hashes.

use std::collections::HashMap;

use crate::Document;
use crate::WorkspaceId;

/// The owner of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyOwner {
    /// The callers of a workspace.
    Workspace(WorkspaceId),
    /// An operator, by name.
    Operator(String),
}

/// The published key hashes, indexed by their first bytes.
///
/// The lookup uses the hash of the presented key, so its duration reveals nothing about any key;
/// the full hash is compared in constant time.
#[derive(Debug, Default)]
pub struct KeyIndex {
    by_prefix: HashMap<[u8; 8], Vec<(blake3::Hash, KeyOwner)>>,
}

impl KeyIndex {
    /// Creates an index of the key hashes of a document.
    pub fn new(document: &Document) -> Self {
        let mut index = KeyIndex::default();
        for workspace in &document.workspaces {
            for hash in &workspace.key_hashes {
                index.add(hash, KeyOwner::Workspace(workspace.name.clone()));
            }
        }
        for operator in &document.operators {
            let owner = KeyOwner::Operator(operator.name.clone());
            index.add(&operator.key_hash, owner);
        }
        index
    }

    /// Creates an index of the key hashes (hex) of workspaces.
    pub fn of_workspaces<'a>(hashes: impl Iterator<Item = (&'a String, WorkspaceId)>) -> Self {
        let mut index = KeyIndex::default();
        for (hash, workspace) in hashes {
            index.add(hash, KeyOwner::Workspace(workspace));
        }
        index
    }

    /// Returns the owner of a key.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        let presented = blake3::hash(key.as_bytes());
        let same_prefix = self.by_prefix.get(&prefix(&presented))?;
        // blake3 compares hashes in constant time.
        let found = same_prefix.iter().find(|(hash, _)| *hash == presented);
        found.map(|(_, owner)| owner)
    }

    fn add(&mut self, hash: &str, owner: KeyOwner) {
        if let Ok(hash) = blake3::Hash::from_hex(hash) {
            let same_prefix = self.by_prefix.entry(prefix(&hash)).or_default();
            same_prefix.push((hash, owner));
        }
    }
}

fn prefix(hash: &blake3::Hash) -> [u8; 8] {
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    first
}
