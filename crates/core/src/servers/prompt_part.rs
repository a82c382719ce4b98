//! The parts of a prompt that other requests may share, such as instructions and documents.

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

/// The shared parts of one prompt, in the order of the prompt.
pub type PromptParts = Arc<[PromptPart]>;

impl PromptPart {
    /// Computes the digests of the part with an id; the results are the same in every process.
    /// `workspace` is `None` where callers have no keys.
    pub fn of(workspace: Option<&str>, id: &str) -> Self {
        PromptPart {
            in_workspace: Fingerprint::of_part(workspace, id),
            in_fleet: Fingerprint::of_part_in_fleet(id),
        }
    }

    /// Computes the digests of the parts with these ids.
    pub fn all_of<'a>(
        workspace: Option<&str>,
        ids: impl IntoIterator<Item = &'a str>,
    ) -> PromptParts {
        let ids = ids.into_iter().take(MAX_PARTS);
        ids.map(|id| PromptPart::of(workspace, id)).collect()
    }
}
