//! What instances send to backend servers that are cold: together no more than those
//! bear, although each decides by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GatewayControl;
use crate::BackendId;
use crate::ListedState;
use crate::Now;
use crate::Replica;
use crate::rendezvous_rank;

/// Part of what a cold replica bears that the instances hand out among themselves. Two
/// halves of a fleet that don't hear each other each hand out all of it, and send no
/// more than it bears.
const SHARED_FRACTION: f64 = 0.5;

/// When this instance last sent something to each replica that was cold.
#[derive(Debug, Default)]
pub(super) struct ColdSends {
    last: BTreeMap<BackendId, Now>,
}

impl ColdSends {
    /// Drops what was sent to a replica.
    pub(super) fn forget(&mut self, id: &str) {
        self.last.remove(id);
    }
}

impl GatewayControl {
    /// Whether a replica that bears `per_s` requests a second while it is cold may get
    /// one more of this instance.
    ///
    /// Each zone that is heard hands out the same share, to as many of its instances, by
    /// rank, as may each send about once a second: a share for each of 300 instances
    /// would let all of them send their first in the same second.
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

    /// Least time between two sends of this instance to a cold replica, `None` when it
    /// is not among those of its zone that may.
    fn cold_spacing(&self, replica: &str, per_s: f64) -> Option<Duration> {
        let zone_share = per_s * SHARED_FRACTION / self.sending_zones() as f64;
        let own = self.terms.instance.as_str();
        let names = self.peers.neighbours().map(String::as_str).chain([own]);
        let rank = rendezvous_rank(replica, names);
        let senders = (zone_share as usize).clamp(1, rank.len().max(1));
        let place = rank.iter().position(|name| *name == own);
        let may_send = place.is_none_or(|place| place < senders);
        let each_per_s = zone_share / senders as f64;
        // Whole sends in a second, since the bound holds for each second.
        let each_per_s = if each_per_s < 1.0 {
            each_per_s
        } else {
            each_per_s.floor()
        };
        may_send.then(|| Duration::from_secs_f64(1.0 / each_per_s))
    }

    fn sending_zones(&self) -> usize {
        let others = self.peers.zones().filter(|zone| **zone != self.terms.zone);
        others.count() + 1
    }

    /// Notes that something is sent to a replica.
    pub(super) fn note_send(&mut self, now: Now, replica: &str) {
        if !self.list.cold_for(now, replica).is_zero() {
            self.cold_sends.last.insert(replica.to_owned(), now);
        }
    }

    /// Drops what is known of replicas that are gone.
    pub(super) fn forget_cold(&mut self) {
        let list = &self.list;
        let is_listed = |id: &BackendId| list.state(id) != ListedState::Removed;
        self.cold_sends.last.retain(|id, _| is_listed(id));
    }
}
