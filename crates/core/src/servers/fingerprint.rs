//! What a request consists of, as a short digest: tries of a caller bear ids of their
//! own, but the same content.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Digits of the content that logs show: two in a million requests share them.
const SHOWN_DIGITS: usize = 12;

/// Identifies the workspace and the content of a request. Digests of two workspaces
/// never meet, and nobody can make one that belongs to another's request (BLAKE3).
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint {
    /// Digest of the workspace, so that each can be given its share of what is kept.
    pub workspace: u64,
    /// Digest of the workspace and the content.
    pub content: u128,
}

/// What a fingerprint is made of.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// Whose request it is; `None` where callers have no keys.
    pub workspace: Option<&'a str>,
    /// Its method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Its path and query.
    pub path: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// The fingerprint of a request; every process makes the same one of it.
    pub fn of(content: &FingerprintInput<'_>) -> Self {
        let workspace = match content.workspace {
            Some(workspace) => [b"w", workspace.as_bytes()].concat(),
            None => Vec::new(),
        };
        let mut hasher = blake3::Hasher::new();
        for part in [
            workspace.as_slice(),
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(content.body);
        Fingerprint {
            workspace: first_u64(&blake3::hash(&workspace)),
            content: first_u128(&hasher.finalize()),
        }
    }
}

/// As much of the content as tells requests apart in logs.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = format!("{:032x}", self.content);
        f.write_str(&digits[..SHOWN_DIGITS])
    }
}

fn first_u64(hash: &blake3::Hash) -> u64 {
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn first_u128(hash: &blake3::Hash) -> u128 {
    let mut first = [0_u8; 16];
    first.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(first)
}
