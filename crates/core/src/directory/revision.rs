//! What orders two readings of the platform's directory.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A moment of the directory. It counts its changes; when it comes back from an older copy,
/// the count goes back and is given out again, and its era rises. So whatever is of a later
/// era is newer, whatever its count; this is the only place that compares them.
///
/// A directory that names no era is in era 0 all the time.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the directory came back from a copy.
    pub era: u64,
    /// Changes counted, 0 before the first.
    pub count: u64,
}

impl Revision {
    /// Before anything was read.
    pub const NONE: Revision = Revision { era: 0, count: 0 };

    /// Whether nothing was read.
    pub fn is_none(&self) -> bool {
        *self == Revision::NONE
    }

    /// Whether changes that follow the other one can be told: not across eras.
    pub fn follows(&self, other: &Revision) -> bool {
        self.era == other.era && self.count >= other.count
    }
}

/// A count of a directory that names no era.
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
