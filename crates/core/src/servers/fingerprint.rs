//! A digest of a request: repeated attempts of a caller have different ids but the same
//! fingerprint.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Hexadecimal digits of the digest that logs show: in a million requests, two share them.
const DISPLAYED_DIGITS: usize = 12;

/// Identifies the workspace and the content of a request. Digests of two workspaces never
/// collide, and no caller can forge the digest of another workspace's request (BLAKE3).
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Fingerprint {
    /// Digest of the workspace, so that stored fingerprints can be bounded per workspace.
    pub workspace: u64,
    /// Digest of the workspace and the content.
    pub content: u128,
}

/// The parts of a request that a fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintInput<'a> {
    /// The caller's workspace; `None` where callers have no keys.
    pub workspace: Option<&'a str>,
    /// The HTTP method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The request body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Computes the fingerprint of a request; the result is the same in every process.
    pub fn of(input: &FingerprintInput<'_>) -> Self {
        let workspace = match input.workspace {
            Some(workspace) => [b"w", workspace.as_bytes()].concat(),
            None => Vec::new(),
        };
        let mut hasher = blake3::Hasher::new();
        for part in [
            workspace.as_slice(),
            input.method.as_bytes(),
            input.host.as_bytes(),
            input.path.as_bytes(),
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(input.body);
        Fingerprint {
            workspace: first_u64(&blake3::hash(&workspace)),
            content: first_u128(&hasher.finalize()),
        }
    }
}

/// The first digits of the digest, enough to distinguish requests in logs.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = format!("{:032x}", self.content);
        f.write_str(&digits[..DISPLAYED_DIGITS])
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
