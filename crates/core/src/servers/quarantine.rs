//! How long requests that crash backend servers are not sent.

use std::time::Duration;

use crate::Now;
use crate::ServerCrash;

/// Quarantine after a single crash burst, which may have had another cause: as long as callers and
/// load balancers take to settle after one.
pub(super) const INITIAL_QUARANTINE: Duration = Duration::from_secs(5);

/// Factor by which each further crash burst extends the quarantine: after the third it is 180 s,
/// in which callers that wait up to 39 s give up.
const QUARANTINE_GROWTH: u32 = 6;

/// Maximum quarantine: a repaired server is detected within one hour.
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Number of crash bursts after which the quarantine no longer grows.
const MAX_CRASH_BURSTS: u32 = 5;

/// A quarantine, by the crashes that it follows from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Quarantine {
    /// Number of crash bursts.
    pub bursts: u32,
    /// The latest of the crashes.
    pub last: ServerCrash,
}

impl Quarantine {
    /// Returns when the quarantine ends.
    pub fn until(&self) -> Now {
        let further = self.bursts.clamp(1, MAX_CRASH_BURSTS) - 1;
        let time = INITIAL_QUARANTINE * QUARANTINE_GROWTH.pow(further);
        self.last.at + time.min(MAX_QUARANTINE)
    }
}
