//! Hybrid logical clock (Kulkarni, Demirbas and others 2014).

use serde::Deserialize;
use serde::Serialize;

/// A timestamp that respects causality and stays close to the wall clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
pub struct HybridTime {
    /// Wall-clock part, milliseconds since 1970.
    pub wall_ms: u64,
    /// Counter of events within one millisecond.
    pub count: u32,
}

/// Maximum lead of a peer's time over the local wall clock; a time further ahead is ignored.
const MAX_AHEAD_MS: u64 = 60_000;

/// Hybrid logical clock of one process; wall time is passed in.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Returns the timestamp of a local event.
    pub fn tick(&mut self, wall_ms: u64) -> HybridTime {
        self.last = if wall_ms > self.last.wall_ms {
            HybridTime { wall_ms, count: 0 }
        } else {
            HybridTime {
                wall_ms: self.last.wall_ms,
                count: self.last.count + 1,
            }
        };
        self.last
    }

    /// Merges the timestamp of a message from a peer. A time more than a minute ahead is ignored,
    /// so that one wrong clock cannot advance the others.
    pub fn observe(&mut self, wall_ms: u64, peer: HybridTime) {
        if peer.wall_ms <= wall_ms + MAX_AHEAD_MS && peer > self.last {
            self.last = peer;
        }
    }
}
