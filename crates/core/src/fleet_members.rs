//! The other instances, as their heartbeats tell, and who of them reads the
//! platform's directory for all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand_core::Rng;

use crate::ConfigVersion;
use crate::Incarnation;
use crate::InstanceId;
use crate::Now;
use crate::ZoneId;
use crate::rendezvous_rank;

/// Shortest time between two heartbeats: news and loads are at most this old
/// in a small fleet.
const SHORTEST_BEAT: Duration = Duration::from_millis(200);

/// Time between two heartbeats per instance known, so that what an instance
/// sends and receives grows no further: about 80 messages a second each way.
const BEAT_PER_MEMBER: Duration = Duration::from_millis(12);

/// Instances that one heartbeat is sent to at most; in a larger fleet each one
/// is a random part. See docs/CAPACITY.md.
const MOST_TARGETS: usize = 96;

/// Silence after which an instance counts as gone, in heartbeats.
const SILENT_BEATS: u32 = 6;

/// Shortest silence after which an instance counts as gone.
const SHORTEST_SILENCE: Duration = Duration::from_millis(1_500);

/// How long an instance that fell silent is still sent heartbeats, less often:
/// longer than any cut that the users name for one of today's days.
const REMEMBERED: Duration = Duration::from_secs(120);

/// One in this many heartbeats also goes to instances that fell silent.
const SILENT_EVERY: u64 = 5;

/// Addresses of others that one heartbeat tells.
const TOLD_ADDRESSES: usize = 8;

/// Readers of the directory in each availability zone.
const READERS_PER_ZONE: usize = 1;

/// Age of what is known from which an instance reads by itself, on top of two
/// heartbeats: the longest wait of a reader's watch, and the way. Leaving
/// servers must be known, and configurations in force, everywhere within two
/// seconds.
const READ_ALONE_AGE: Duration = Duration::from_millis(1_300);

/// Readers in each availability zone while nobody's knowledge is fresh: who can
/// read must be found, and each call has a price. All 66 instances of a fleet
/// that lost its directory for 8 s made 600 calls more than its usual readers.
const READERS_IN_TROUBLE: usize = 2;

/// Time for which the same instances try to read in trouble; then it is the turn
/// of others, of which one may be let in where these are not.
const TURN: Duration = Duration::from_secs(1);

/// Added to the age of what a peer says was confirmed: the way of a heartbeat and
/// the wait at both ends. Without it, each instance that passes the age on makes
/// it younger by that time: 2 of 66 instances saw an outage of 8 s, with it all.
const HEARTBEAT_WAY: Duration = Duration::from_millis(50);

/// What an instance says of itself with each heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// The instance.
    pub instance: InstanceId,
    /// Its process life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Version of the configuration in force there, 0 for none.
    pub config_version: ConfigVersion,
    /// When the platform confirmed that configuration, on the receiver's clock.
    pub config_confirmed_at: Option<Now>,
    /// Revision of its list of backend servers.
    pub list_revision: u64,
    /// When the platform confirmed that list, on the receiver's clock.
    pub list_confirmed_at: Option<Now>,
    /// Whether it could read the platform when it tried last.
    pub can_read: bool,
}

#[derive(Debug)]
struct Member {
    state: Option<MemberState>,
    heard_at: Now,
}

/// The members of the fleet as one instance knows them.
#[derive(Debug)]
pub struct FleetMembers {
    instance: InstanceId,
    zone: ZoneId,
    own_address: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    members: BTreeMap<SocketAddr, Member>,
    beats: u64,
}

impl FleetMembers {
    /// Knows the seeds only.
    pub fn new(
        instance: InstanceId,
        zone: ZoneId,
        own_address: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own_address);
        FleetMembers {
            instance,
            zone,
            own_address,
            seeds: seeds.collect(),
            members: BTreeMap::new(),
            beats: 0,
        }
    }

    /// Notes a heartbeat. Returns whether the instance, or this life of it, is
    /// new here.
    pub fn hear(&mut self, now: Now, address: SocketAddr, state: MemberState) -> bool {
        let known = self.members.get(&address).and_then(|m| m.state.as_ref());
        let is_new = known.is_none_or(|known| known.incarnation != state.incarnation);
        let member = Member {
            state: Some(state),
            heard_at: now,
        };
        self.members.insert(address, member);
        is_new
    }

    /// Notes that somebody knows an instance at an address.
    pub fn hear_of(&mut self, now: Now, address: SocketAddr) {
        if address != self.own_address {
            let unheard = Member {
                state: None,
                heard_at: now,
            };
            self.members.entry(address).or_insert(unheard);
        }
    }

    /// Time until the next heartbeat.
    pub fn beat_interval(&self) -> Duration {
        let members = u32::try_from(self.members.len().min(MOST_TARGETS)).unwrap_or(u32::MAX);
        SHORTEST_BEAT.max(BEAT_PER_MEMBER * members)
    }

    /// Addresses that the next heartbeat goes to.
    pub fn targets(&mut self, now: Now, random: &mut impl Rng) -> Vec<SocketAddr> {
        self.beats += 1;
        self.members
            .retain(|_, member| now.saturating_sub(member.heard_at) < REMEMBERED);
        let with_silent = self.beats.is_multiple_of(SILENT_EVERY);
        let mut targets: Vec<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, member)| with_silent || self.is_live(now, member))
            .map(|(address, _)| *address)
            .collect();
        let unheard = self.seeds.iter().filter(|seed| !targets.contains(seed));
        let unheard: Vec<SocketAddr> = unheard.copied().collect();
        targets.extend(unheard);
        shuffle(&mut targets, random);
        targets.truncate(MOST_TARGETS);
        targets
    }

    /// Some addresses of others, for a heartbeat.
    pub fn told_addresses(&self, now: Now, random: &mut impl Rng) -> Vec<SocketAddr> {
        let live = self.members.iter().filter(|(_, m)| self.is_live(now, m));
        let mut addresses: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        shuffle(&mut addresses, random);
        addresses.truncate(TOLD_ADDRESSES);
        addresses
    }

    /// Whether what was confirmed then is older than readers and heartbeats let
    /// it get.
    pub fn is_old(&self, now: Now, confirmed_at: Option<Now>) -> bool {
        let limit = READ_ALONE_AGE + self.beat_interval() * 2;
        confirmed_at.is_none_or(|at| now.saturating_sub(at) > limit)
    }

    /// Whether this instance should watch the platform's directory: by its rank
    /// in its zone among those that can, or because what it knows is old.
    pub fn reads(&self, now: Now, confirmed_at: Option<Now>, can_read: bool) -> bool {
        if self.is_old(now, confirmed_at) {
            let turn = format!("{}/{}", self.zone, now.as_secs() / TURN.as_secs());
            return self.is_among(READERS_IN_TROUBLE, &turn, now, |_| true);
        }
        can_read && self.is_among(READERS_PER_ZONE, &self.zone, now, |state| state.can_read)
    }

    /// Whether this instance is among the first by rank of those in its zone that
    /// count.
    fn is_among(
        &self,
        most: usize,
        topic: &str,
        now: Now,
        counts: impl Fn(&MemberState) -> bool,
    ) -> bool {
        let peers = self.live_states(now);
        let peers = peers.filter(|state| state.zone == self.zone && counts(state));
        let names = peers.map(|state| state.instance.as_str());
        let names = names.chain([self.instance.as_str()]);
        let rank = rendezvous_rank(topic, names);
        let place = rank.iter().position(|name| *name == self.instance);
        place.is_none_or(|place| place < most)
    }

    /// When something was confirmed of which a heartbeat tells the age.
    pub fn confirmed_at(now: Now, age: Duration) -> Now {
        now.saturating_sub(age + HEARTBEAT_WAY)
    }

    /// Live instances that have a newer configuration or list.
    pub fn ahead(
        &self,
        now: Now,
        config_version: ConfigVersion,
        list_revision: u64,
    ) -> Vec<(SocketAddr, &MemberState)> {
        let live = self.members.iter().filter(|(_, m)| self.is_live(now, m));
        let states = live.filter_map(|(address, m)| Some((*address, m.state.as_ref()?)));
        let is_ahead = |state: &MemberState| {
            state.config_version > config_version || state.list_revision > list_revision
        };
        states.filter(|(_, state)| is_ahead(state)).collect()
    }

    /// When the platform confirmed this revision of the list or a later one, to
    /// anyone's knowledge.
    pub fn list_confirmed_at(&self, now: Now, list_revision: u64) -> Option<Now> {
        let states = self.live_states(now);
        let same = states.filter(|state| state.list_revision <= list_revision);
        same.filter_map(|state| state.list_confirmed_at).max()
    }

    /// When the platform confirmed this version of the configuration or a later
    /// one, to anyone's knowledge.
    pub fn config_confirmed_at(&self, now: Now, version: ConfigVersion) -> Option<Now> {
        let states = self.live_states(now);
        let same = states.filter(|state| state.config_version <= version);
        same.filter_map(|state| state.config_confirmed_at).max()
    }

    /// Whether a live instance has a newer configuration.
    pub fn is_ahead_in_config(&self, now: Now, version: ConfigVersion) -> bool {
        self.live_states(now)
            .any(|state| state.config_version > version)
    }

    /// Other instances heard lately.
    pub fn live(&self, now: Now) -> usize {
        self.live_states(now).count()
    }

    fn live_states(&self, now: Now) -> impl Iterator<Item = &MemberState> {
        let live = self.members.values().filter(move |m| self.is_live(now, m));
        live.filter_map(|member| member.state.as_ref())
    }

    fn is_live(&self, now: Now, member: &Member) -> bool {
        let bound = SHORTEST_SILENCE.max(self.beat_interval() * SILENT_BEATS);
        now.saturating_sub(member.heard_at) < bound
    }
}

/// Fisher and Yates.
fn shuffle<T>(items: &mut [T], random: &mut impl Rng) {
    for place in (1..items.len()).rev() {
        let other = random.next_u32() as usize % (place + 1);
        items.swap(place, other);
    }
}
