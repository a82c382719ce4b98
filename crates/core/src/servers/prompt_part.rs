//! The parts of a prompt that other requests may share, such as instructions and documents.

use std::ops::Deref;
use std::sync::Arc;

use crate::Fingerprint;

/// Maximum number of parts of one prompt that are considered: more than prompts are composed of.
const MAX_PARTS: usize = 32;

/// Digests of one part of a prompt. A workspace can't forge the first for another one; the second
/// recognizes the part in all workspaces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Digest of the part within the workspace of its request.
    pub in_workspace: Fingerprint,
    /// Digest of the part in all workspaces.
    pub in_fleet: Fingerprint,
}

impl PromptPart {
    /// Computes the digests of the part with an id; the results are the same in every process.
    /// `workspace` is `None` where callers have no keys.
    pub fn of(workspace: Option<&str>, id: &str) -> Self {
        PromptPart {
            in_workspace: Fingerprint::of_part(workspace, id),
            in_fleet: Fingerprint::of_part_in_fleet(id),
        }
    }
}

/// The shared parts of one prompt, in the order of the prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptParts {
    shared: Arc<[PromptPart]>,
    /// Digest of the part that belongs to the request itself; 0 if it has none.
    own: u32,
}

impl PromptParts {
    /// Computes the digests of the shared parts with these ids, and of the request's own part.
    /// `workspace` is `None` where callers have no keys.
    pub fn of<'a>(
        workspace: Option<&str>,
        shared: impl IntoIterator<Item = &'a str>,
        own: Option<&str>,
    ) -> Self {
        let shared = shared.into_iter().take(MAX_PARTS);
        let own = own.map(|id| Fingerprint::of_part_in_fleet(id).content as u32);
        PromptParts {
            shared: shared.map(|id| PromptPart::of(workspace, id)).collect(),
            own: own.unwrap_or_default(),
        }
    }

    /// Digest of the part that belongs to the request itself; 0 if it has none.
    pub(super) fn own(&self) -> u32 {
        self.own
    }
}

impl Deref for PromptParts {
    type Target = [PromptPart];

    fn deref(&self) -> &[PromptPart] {
        &self.shared
    }
}
