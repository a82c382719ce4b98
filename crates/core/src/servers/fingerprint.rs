//! A digest of a request: repeated attempts of a caller have different ids but the same
//! fingerprint.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Hexadecimal digits of the digest that logs show: in a million requests, two share them.
const DISPLAYED_DIGITS: usize = 12;

/// Takes the place of a workspace in fingerprints that hold for all of them.
const FLEET_KEY: &[u8] = b"fleet";

/// Distinguishes the fingerprints of parts of prompts from those of requests: no method is empty.
const PART_FIELD: &[u8] = b"";

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
        let workspace = workspace_key(input.workspace);
        let fields = [
            workspace.as_slice(),
            input.method.as_bytes(),
            input.host.as_bytes(),
            input.path.as_bytes(),
        ];
        Fingerprint {
            workspace: first_u64(&blake3::hash(&workspace)),
            content: digest(&fields, input.body),
        }
    }

    /// Computes the fingerprint of a part of a prompt in one workspace.
    pub(super) fn of_part(workspace: Option<&str>, id: &str) -> Self {
        let workspace = workspace_key(workspace);
        Fingerprint {
            workspace: first_u64(&blake3::hash(&workspace)),
            content: digest(&[workspace.as_slice(), PART_FIELD], id.as_bytes()),
        }
    }

    /// Computes the fingerprint of a part of a prompt in all workspaces together.
    pub(super) fn of_part_in_fleet(id: &str) -> Self {
        Fingerprint {
            workspace: first_u64(&blake3::hash(FLEET_KEY)),
            content: digest(&[FLEET_KEY, PART_FIELD], id.as_bytes()),
        }
    }
}

/// Returns what identifies a workspace; differs from [`FLEET_KEY`] for all workspaces.
fn workspace_key(workspace: Option<&str>) -> Vec<u8> {
    match workspace {
        Some(workspace) => [b"w", workspace.as_bytes()].concat(),
        None => Vec::new(),
    }
}

/// Digest of fields and of what follows them.
fn digest(fields: &[&[u8]], rest: &[u8]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(rest);
    first_u128(&hasher.finalize())
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
