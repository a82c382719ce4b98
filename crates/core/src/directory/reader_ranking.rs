//! Selects the instances of an availability zone that read the platform.

use std::time::Duration;

use crate::InstanceId;
use crate::InstanceList;
use crate::ZoneId;
use crate::rendezvous_rank;

/// Number of readers in each availability zone in normal operation.
const READERS_PER_ZONE: usize = 2;

/// Highest normal age of the configuration's last confirmation: the length of a watch plus the
/// time that an update takes to reach all instances of the zone.
const MAX_NORMAL_AGE: Duration = Duration::from_secs(12);

/// Time after which the number of readers doubles again.
const DOUBLING_INTERVAL: Duration = Duration::from_secs(5);

/// Limit on the number of doublings; more would not add readers.
const MAX_DOUBLINGS: u32 = 16;

/// Decides whether one instance reads, from its rank by rendezvous hash and the age of the last
/// confirmation. Peers forward confirmations, so a recent one proves that some instance reads.
/// If the instance lists of two instances differ, there may be a few readers too many: that
/// costs reads, but never correctness. See `docs/design/0004-configuration.md`.
#[derive(Debug)]
pub struct ReaderRanking {
    instance: InstanceId,
    zone: ZoneId,
}

impl ReaderRanking {
    /// Creates the ranking for one instance of a zone.
    pub fn new(instance: InstanceId, zone: ZoneId) -> Self {
        ReaderRanking { instance, zone }
    }

    /// Returns whether this instance reads the platform now. `age` is the time since the
    /// platform last confirmed the configuration to any instance, as far as known here.
    ///
    /// An instance that is not on the list, or has no list, reads: it has no peer to query.
    pub fn reads(&self, instance_list: &InstanceList, age: Duration) -> bool {
        let live = instance_list.live_in(&self.zone);
        let ids = live.iter().map(|entry| entry.instance.as_str());
        let rank = rendezvous_rank(&self.zone, ids);
        let position = rank.iter().position(|id| *id == self.instance);
        position.is_none_or(|position| position < readers(age))
    }
}

fn readers(age: Duration) -> usize {
    let Some(overdue) = age.checked_sub(MAX_NORMAL_AGE) else {
        return READERS_PER_ZONE;
    };
    let doublings = overdue.as_secs() / DOUBLING_INTERVAL.as_secs() + 1;
    let doublings = u32::try_from(doublings).unwrap_or(MAX_DOUBLINGS);
    READERS_PER_ZONE << doublings.min(MAX_DOUBLINGS)
}
