//! What a request is recognized by when backend servers crash under it.

use std::sync::LazyLock;

use crate::Fingerprint;
use crate::PromptParts;
use crate::SuspectKind;

/// What a request is recognized by when servers crash under it.
#[derive(Clone, Copy, Debug)]
pub struct SuspectedRequest<'a> {
    /// Digest of its content.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: &'a PromptParts,
}

static NO_PARTS: LazyLock<PromptParts> = LazyLock::new(PromptParts::default);

impl<'a> SuspectedRequest<'a> {
    /// Returns a request without a prompt.
    pub fn without_parts(fingerprint: Fingerprint) -> Self {
        let parts = &NO_PARTS;
        SuspectedRequest { fingerprint, parts }
    }

    /// Returns the fingerprints of its content and of the parts, each in its workspace and in the
    /// fleet.
    pub fn fingerprints(self) -> impl Iterator<Item = Fingerprint> + 'a {
        let parts = self.parts.iter();
        let parts = parts.flat_map(|part| [part.in_workspace, part.in_fleet]);
        std::iter::once(self.fingerprint).chain(parts)
    }

    /// Returns what may be suspected after a crash: each fingerprint with its kind, and the digest
    /// of what it has to occur in several of.
    pub(super) fn suspects(self) -> impl Iterator<Item = (Fingerprint, SuspectKind, u32)> + 'a {
        let content = (self.fingerprint, SuspectKind::Content, 0);
        // Requests with one content differ if their prompts do.
        let request = self.fingerprint.content as u32 ^ self.parts.own();
        let workspace = self.fingerprint.workspace as u32;
        let parts = (0_u8..).zip(self.parts.iter());
        let parts = parts.flat_map(move |(position, part)| {
            [
                (part.in_workspace, SuspectKind::Part(position), request),
                (part.in_fleet, SuspectKind::PartInFleet(position), workspace),
            ]
        });
        std::iter::once(content).chain(parts)
    }
}
