//! Hybrid logical clock (Kulkarni, Demirbas and others 2014).

use serde::Deserialize;
use serde::Serialize;

/// A time that respects cause and effect and stays near the wall clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd, Serialize, Deserialize)]
pub struct HybridTime {
    /// Wall-clock part, milliseconds since 1970.
    pub wall_ms: u64,
    /// Counter within one millisecond.
    pub count: u32,
}

/// How far a peer's time may run ahead before it is ignored.
const MAX_AHEAD_MS: u64 = 60_000;

/// The clock of one process; wall time is passed in.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// The time of an event of this process.
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

    /// Learns the time of a message from a peer. A time more than a minute
    /// ahead is ignored, so one wrong clock can't drag the others along.
    pub fn observe(&mut self, wall_ms: u64, peer: HybridTime) {
        if peer.wall_ms <= wall_ms + MAX_AHEAD_MS && peer > self.last {
            self.last = peer;
        }
    }
}
