//! What suspicions lead to: verdicts on requests, their causes, and changes for the log.

use crate::Fingerprint;
use crate::Now;
use crate::SuspectKind;

/// Whether requests with a fingerprint may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// They may be sent.
    Allowed,
    /// They are not sent until the quarantine ends.
    Quarantined {
        /// Number of crashes that count.
        ends: usize,
        /// When the quarantine ends.
        until: Now,
    },
}

/// A change of the state of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionUpdate {
    /// A server crashed while it ran a request of this instance.
    Ended {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// What is suspected.
        kind: SuspectKind,
        /// Number of known crashes that count.
        ends: usize,
    },
    /// A fingerprint is quarantined from now on.
    Quarantined {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// What is quarantined.
        kind: SuspectKind,
        /// Number of crashes that count.
        ends: usize,
        /// When the quarantine ends.
        until: Now,
        /// When a request with it last ran well.
        known_good_at: Option<Now>,
        /// Number of other suspects that were at some of the crashes and explain none of them.
        beside: usize,
    },
    /// A request with a suspected fingerprint ran well.
    Cleared {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// What was suspected.
        kind: SuspectKind,
    },
}

/// Why requests are quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineCause {
    /// The quarantined fingerprint: of the content of the requests, or of a part of their prompts.
    pub fingerprint: Fingerprint,
    /// What is quarantined.
    pub kind: SuspectKind,
    /// Number of crashes that count.
    pub ends: usize,
    /// When the quarantine ends.
    pub until: Now,
}
