//! Limits the requests to cold backend servers: the instances together send no more than a cold
//! server can handle, although each instance decides on its own.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GatewayControl;
use crate::BackendId;
use crate::ListedState;
use crate::Now;
use crate::Replica;
use crate::rendezvous_rank;

/// Fraction of the capacity of a cold replica that the instances share. If a partition splits the
/// instances in two, each side uses the whole fraction, and both together stay within the capacity.
const SHARED_FRACTION: f64 = 0.5;

/// Time of the last send of this instance to each cold replica.
#[derive(Debug, Default)]
pub(super) struct ColdSends {
    last: BTreeMap<BackendId, Now>,
}

impl ColdSends {
    /// Removes the record of a replica.
    pub(super) fn forget(&mut self, id: &str) {
        self.last.remove(id);
    }
}

impl GatewayControl {
    /// Returns whether this instance may send one more request to a replica that handles `per_s`
    /// requests per second while it is cold.
    ///
    /// Each live zone gets the same share. The zone divides it among as many of its instances, by
    /// rank, as can each send about once a second. If each of 300 instances had a share, all of
    /// them could send their first request in the same second.
    pub(super) fn may_send_cold(&self, now: Now, replica: &Replica, per_s: f64) -> bool {
        if per_s <= 0.0 || self.list.cold_for(now, &replica.id).is_zero() {
            return true;
        }
        let Some(spacing) = self.cold_spacing(&replica.id, per_s) else {
            return false;
        };
        let last = self.cold_sends.last.get(&replica.id);
        last.is_none_or(|last| now.saturating_sub(*last) >= spacing)
    }

    /// Returns the minimum time between two sends of this instance to a cold replica; `None` if
    /// this instance is not among the senders of its zone.
    fn cold_spacing(&self, replica: &str, per_s: f64) -> Option<Duration> {
        let zone_share = per_s * SHARED_FRACTION / self.sending_zones() as f64;
        let own = self.parameters.instance.as_str();
        let names = self.peers.neighbours().map(String::as_str).chain([own]);
        let rank = rendezvous_rank(replica, names);
        let senders = (zone_share as usize).clamp(1, rank.len().max(1));
        let index = rank.iter().position(|name| *name == own);
        let may_send = index.is_none_or(|index| index < senders);
        let each_per_s = zone_share / senders as f64;
        // Rounded down to whole sends, since the limit applies to each second.
        let each_per_s = if each_per_s < 1.0 {
            each_per_s
        } else {
            each_per_s.floor()
        };
        may_send.then(|| Duration::from_secs_f64(1.0 / each_per_s))
    }

    fn sending_zones(&self) -> usize {
        let others = self
            .peers
            .zones()
            .filter(|zone| **zone != self.parameters.zone);
        others.count() + 1
    }

    /// Records a send to a replica if it is cold.
    pub(super) fn note_send(&mut self, now: Now, replica: &str) {
        if !self.list.cold_for(now, replica).is_zero() {
            self.cold_sends.last.insert(replica.to_owned(), now);
        }
    }

    /// Removes the records of replicas that are no longer listed.
    pub(super) fn forget_cold(&mut self) {
        let list = &self.list;
        let is_listed = |id: &BackendId| list.state(id) != ListedState::Removed;
        self.cold_sends.last.retain(|id, _| is_listed(id));
    }
}
