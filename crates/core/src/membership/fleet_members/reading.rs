//! Decides which instances read the platform's directory: normally one instance per zone on behalf
//! of all, and each instance for itself once its state gets old.

use std::time::Duration;

use super::FleetMembers;
use super::MemberState;
use crate::Now;
use crate::ReadTiming;
use crate::directory::read_timing::READ_DELAY_STEP;
use crate::rendezvous_rank;

/// Readers of the directory per availability zone.
const READERS_PER_ZONE: usize = 1;

/// Availability zones of a large fleet in which instances read; the others receive updates from
/// relays. Each call to the directory has a cost.
const READING_ZONES: usize = 2;

/// Rendezvous topic for which zones are ranked to select readers.
const READERS_TOPIC: &str = "readers";

/// Age above which the list counts as stale, on top of two heartbeat intervals. Engines are then
/// queried directly, which has a cost.
const STALE_AFTER: Duration = Duration::from_millis(1_300);

/// Readers of the list per availability zone, in a fleet with relays, while no instance has a fresh
/// list: a complete list takes many pages.
const READERS_DURING_OUTAGE: usize = 2;

/// Time for which the same instances try to read the list during an outage. Then others try, as the
/// directory may be reachable for one of them where the first ones had no success.
const READER_TERM: Duration = Duration::from_secs(1);

impl FleetMembers {
    /// Returns whether a list last confirmed at `confirmed_at` is stale.
    pub fn is_stale(&self, now: Now, confirmed_at: Option<Now>) -> bool {
        let limit = STALE_AFTER + self.base_heartbeat_interval(now) * 2;
        confirmed_at.is_none_or(|at| now.saturating_sub(at) > limit)
    }

    /// Returns whether state last confirmed at `confirmed_at` is older than regular reads and
    /// heartbeats allow.
    pub fn is_old(&self, now: Now, confirmed_at: Option<Now>) -> bool {
        confirmed_at.is_none_or(|at| now.saturating_sub(at) > self.waits(now).max_state_age())
    }

    /// Returns whether this instance should watch the platform's directory: because of its rank
    /// among the instances of its zone that can read, or because its state is old. In the latter
    /// case it does not rely on other instances, as a live peer may be cut off from the directory
    /// or have just stopped.
    pub fn reads(&self, now: Now, confirmed_at: Option<Now>, can_read: bool) -> bool {
        let Some(confirmed_at) = confirmed_at else {
            return true;
        };
        if self.is_old(now, Some(confirmed_at)) {
            let max_state_age = self.waits(now).max_state_age();
            return now.saturating_sub(confirmed_at) >= max_state_age + self.read_delay(now);
        }
        can_read
            && self.is_reading_zone(now)
            && self.rank(&self.zone, now, |state| state.can_read) < READERS_PER_ZONE
    }

    /// Returns whether this instance should read the list of backend servers. Where the list is
    /// large, and while the whole fleet starts, only a few instances read it during an outage.
    pub fn reads_list(&self, now: Now, confirmed_at: Option<Now>, can_read: bool) -> bool {
        let is_rotating = self.has_relays || confirmed_at.is_none();
        if is_rotating && self.is_old(now, confirmed_at) {
            let topic = format!("{}/{}", self.zone, now.as_secs() / READER_TERM.as_secs());
            return self.rank(&topic, now, |_| true) < READERS_DURING_OUTAGE;
        }
        self.reads(now, confirmed_at, can_read)
    }

    /// Returns the waiting times for updates in this fleet.
    pub fn waits(&self, now: Now) -> ReadTiming {
        ReadTiming {
            has_relays: self.has_relays,
            beat: self.base_heartbeat_interval(now),
        }
    }

    /// Returns by how much this instance delays its own reads after those of the first instance in
    /// its zone.
    fn read_delay(&self, now: Now) -> Duration {
        let rank = self.rank(&self.zone, now, |_| true);
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        READ_DELAY_STEP
            .saturating_mul(rank)
            .min(self.waits(now).max_read_delay())
    }

    fn is_reading_zone(&self, now: Now) -> bool {
        if !self.has_relays {
            return true;
        }
        let zones = self.live_zones(now);
        let zones = zones.iter().map(String::as_str).chain([self.zone.as_str()]);
        let rank = rendezvous_rank(READERS_TOPIC, zones);
        rank.iter()
            .take(READING_ZONES)
            .any(|zone| *zone == self.zone)
    }

    /// Returns the rank of this instance among those in its zone for which `counts` returns true.
    fn rank(&self, topic: &str, now: Now, counts: impl Fn(&MemberState) -> bool) -> usize {
        let peers = self.live_states(now);
        let peers = peers.filter(|state| state.zone == self.zone && counts(state));
        let names = peers.map(|state| state.instance.as_str());
        let names = names.chain([self.instance.as_str()]);
        let rank = rendezvous_rank(topic, names);
        let rank = rank.iter().position(|name| *name == self.instance);
        rank.unwrap_or_default()
    }
}
