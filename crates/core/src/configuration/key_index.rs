//! Finds the owner of a bearer key among the published hashes.

use std::collections::HashMap;

use crate::Document;
use crate::WorkspaceId;

/// Whose key it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyOwner {
    /// Callers of a workspace.
    Workspace(WorkspaceId),
    /// An operator, by name.
    Operator(String),
}

/// Published hashes by their first bytes.
///
/// The lookup goes by the hash of what the caller sent, so its time says
/// nothing about any key; the rest of the hash is compared in constant time.
#[derive(Debug, Default)]
pub struct KeyIndex {
    by_prefix: HashMap<[u8; 8], Vec<(blake3::Hash, KeyOwner)>>,
}

impl KeyIndex {
    /// Indexes the keys of a document.
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

    /// Indexes hashes (hex) of the keys of workspaces.
    pub fn of_workspaces<'a>(hashes: impl Iterator<Item = (&'a String, WorkspaceId)>) -> Self {
        let mut index = KeyIndex::default();
        for (hash, workspace) in hashes {
            index.add(hash, KeyOwner::Workspace(workspace));
        }
        index
    }

    /// The owner of a key.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        let given = blake3::hash(key.as_bytes());
        let same_prefix = self.by_prefix.get(&prefix(&given))?;
        // `Hash == Hash` of this library takes constant time.
        let found = same_prefix.iter().find(|(hash, _)| *hash == given);
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
