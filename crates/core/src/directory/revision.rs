//! The revision of the platform's directory, which orders what was read from it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A revision of the directory. The directory counts its changes. When it is restored from an
/// older copy, the count goes back, the same counts are assigned again, and its era rises. A
/// revision of a later era is therefore newer, whatever its count. This type is the only place
/// that compares eras and counts.
///
/// A directory that publishes no era is always in era 0.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of times that the directory was restored from a copy.
    pub era: u64,
    /// Number of changes, 0 before the first.
    pub count: u64,
}

impl Revision {
    /// The revision before anything was read.
    pub const NONE: Revision = Revision { era: 0, count: 0 };

    /// Returns whether nothing was read yet.
    pub fn is_none(&self) -> bool {
        *self == Revision::NONE
    }

    /// Returns whether changes above `other` can be applied to this revision. False across eras.
    pub fn follows(&self, other: &Revision) -> bool {
        self.era == other.era && self.count >= other.count
    }
}

/// Converts a count of a directory that publishes no era.
impl From<u64> for Revision {
    fn from(count: u64) -> Revision {
        Revision { era: 0, count }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.count),
            era => write!(f, "{era}/{}", self.count),
        }
    }
}
