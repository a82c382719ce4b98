//! Which instances of an availability zone read the platform.

use std::time::Duration;

use crate::InstanceId;
use crate::InstanceList;
use crate::ZoneId;
use crate::rendezvous_rank;

/// Readers in each availability zone while all are well.
const READERS_PER_ZONE: usize = 2;

/// Age of the configuration's last confirmation that is normal: the length of
/// a watch and the time that the news needs through the zone.
const NORMAL_AGE: Duration = Duration::from_secs(12);

/// Time after which the number of readers doubles again.
const DOUBLING: Duration = Duration::from_secs(5);

/// Doublings beyond which more change nothing.
const MAX_DOUBLINGS: u32 = 16;

/// Decides for one instance from its rank by rendezvous hash and the age of the
/// last confirmation, which peers pass on: a young one proves that somebody
/// reads. Where rosters differ, a few readers too many cost reads, never
/// correctness. See `docs/design/0004-configuration.md`.
#[derive(Debug)]
pub struct ReaderRanking {
    instance: InstanceId,
    zone: ZoneId,
}

impl ReaderRanking {
    /// Creates the rota of one instance.
    pub fn new(instance: InstanceId, zone: ZoneId) -> Self {
        ReaderRanking { instance, zone }
    }

    /// Whether this instance reads the platform now; `age` is the time since
    /// the platform last confirmed the configuration, to anyone's knowledge.
    ///
    /// An instance that is not on the list, or has none, reads: it has nobody
    /// to ask.
    pub fn reads(&self, instance_list: &InstanceList, age: Duration) -> bool {
        let live = instance_list.live_in(&self.zone);
        let names = live.iter().map(|entry| entry.instance.as_str());
        let rank = rendezvous_rank(&self.zone, names);
        let place = rank.iter().position(|name| *name == self.instance);
        place.is_none_or(|place| place < readers(age))
    }
}

fn readers(age: Duration) -> usize {
    let Some(late) = age.checked_sub(NORMAL_AGE) else {
        return READERS_PER_ZONE;
    };
    let doublings = late.as_secs() / DOUBLING.as_secs() + 1;
    let doublings = u32::try_from(doublings).unwrap_or(MAX_DOUBLINGS);
    READERS_PER_ZONE << doublings.min(MAX_DOUBLINGS)
}
