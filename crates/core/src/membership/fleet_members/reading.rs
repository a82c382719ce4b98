//! Who reads the platform's directory: one instance a zone for all while that is well, and
//! each for itself when what it knows gets old.

use std::time::Duration;

use super::FleetMembers;
use super::MemberState;
use crate::Now;
use crate::ReadTiming;
use crate::directory::read_timing::READ_DELAY_STEP;
use crate::rendezvous_rank;

/// Readers of the directory in each availability zone.
const READERS_PER_ZONE: usize = 1;

/// Availability zones of a large fleet in which instances read; the others hear of
/// it from relays. Each call has a price.
const READING_ZONES: usize = 2;

/// What zones are ranked for when readers are chosen.
const READERS_TOPIC: &str = "readers";

/// Age from which the list counts as lost, on top of two heartbeats: engines are then asked
/// themselves, which has a price.
const STALE_AFTER: Duration = Duration::from_millis(1_300);

/// Readers of the list in each availability zone of a fleet with relays while nobody's
/// knowledge is fresh: a whole list is many pages.
const READERS_DURING_OUTAGE: usize = 2;

/// Time for which the same instances try to read the list in trouble; then it is the turn
/// of others, of which one may be let in where these are not.
const TURN: Duration = Duration::from_secs(1);

impl FleetMembers {
    /// Whether the list that was confirmed then counts as lost.
    pub fn is_lost(&self, now: Now, confirmed_at: Option<Now>) -> bool {
        let limit = STALE_AFTER + self.base_heartbeat_interval(now) * 2;
        confirmed_at.is_none_or(|at| now.saturating_sub(at) > limit)
    }

    /// Whether what was confirmed then is older than readers and heartbeats let
    /// it get.
    pub fn is_old(&self, now: Now, confirmed_at: Option<Now>) -> bool {
        confirmed_at.is_none_or(|at| now.saturating_sub(at) > self.waits(now).max_state_age())
    }

    /// Whether this instance should watch the platform's directory: by its rank in its zone
    /// among those that can, or because what it knows is old. Then nobody is relied on: who
    /// is heard may be cut off from the directory, or have just stopped.
    pub fn reads(&self, now: Now, confirmed_at: Option<Now>, can_read: bool) -> bool {
        let Some(confirmed_at) = confirmed_at else {
            return true;
        };
        if self.is_old(now, Some(confirmed_at)) {
            let max_state_age = self.waits(now).max_state_age();
            return now.saturating_sub(confirmed_at) >= max_state_age + self.slot(now);
        }
        can_read
            && self.is_reading_zone(now)
            && self.place(&self.zone, now, |state| state.can_read) < READERS_PER_ZONE
    }

    /// The same for the list of backend servers, which few read in trouble where it is large,
    /// and while all start.
    pub fn reads_list(&self, now: Now, confirmed_at: Option<Now>, can_read: bool) -> bool {
        let by_turns = self.has_relays || confirmed_at.is_none();
        if by_turns && self.is_old(now, confirmed_at) {
            let turn = format!("{}/{}", self.zone, now.as_secs() / TURN.as_secs());
            return self.place(&turn, now, |_| true) < READERS_DURING_OUTAGE;
        }
        self.reads(now, confirmed_at, can_read)
    }

    /// The waits of a change in this fleet.
    pub fn waits(&self, now: Now) -> ReadTiming {
        ReadTiming {
            has_relays: self.has_relays,
            beat: self.base_heartbeat_interval(now),
        }
    }

    /// How much later than the first of its zone this instance reads by itself.
    fn slot(&self, now: Now) -> Duration {
        let place = self.place(&self.zone, now, |_| true);
        let place = u32::try_from(place).unwrap_or(u32::MAX);
        READ_DELAY_STEP
            .saturating_mul(place)
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

    /// The place of this instance by rank among those in its zone that count.
    fn place(&self, topic: &str, now: Now, counts: impl Fn(&MemberState) -> bool) -> usize {
        let peers = self.live_states(now);
        let peers = peers.filter(|state| state.zone == self.zone && counts(state));
        let names = peers.map(|state| state.instance.as_str());
        let names = names.chain([self.instance.as_str()]);
        let rank = rendezvous_rank(topic, names);
        let place = rank.iter().position(|name| *name == self.instance);
        place.unwrap_or_default()
    }
}
