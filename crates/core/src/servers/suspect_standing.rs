//! Why the crashes of a suspect don't quarantine it.

use crate::Fingerprint;
use crate::SuspectKind;

/// The suspect that explains most crashes of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Explanation {
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// What it is.
    pub kind: SuspectKind,
    /// Number of its crashes that count.
    pub ends: usize,
    /// Weight of these crashes, of which three quarantine it.
    pub weight: usize,
    /// Whether it is quarantined.
    pub is_held: bool,
}

/// Why the crashes of a suspect don't quarantine it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStanding {
    /// There are too few of them.
    FewCrashes,
    /// It ran well lately, and several crashes at one moment count once.
    RanWellLately,
    /// Other suspects explain some of them; this one most.
    Explained(Explanation),
    /// They do.
    Quarantined,
}

impl SuspectStanding {
    /// Text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            SuspectStanding::FewCrashes => "few_crashes",
            SuspectStanding::RanWellLately => "ran_well_lately",
            SuspectStanding::Explained(_) => "explained",
            SuspectStanding::Quarantined => "quarantined",
        }
    }
}
