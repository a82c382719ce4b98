//! The other instances, as their heartbeats tell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Arrival;
use crate::ConfigVersion;
use crate::DelayEstimate;
use crate::Incarnation;
use crate::InstanceId;
use crate::KnownVersions;
use crate::MessageOrder;
use crate::Now;
use crate::Revision;
use crate::ZoneId;

mod fan_out;
mod reading;

pub use fan_out::FanOut;

use fan_out::RELAY_HEARTBEAT_INTERVAL;

/// Shortest time between two heartbeats: news and loads are at most this old
/// in a small fleet.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two heartbeats per instance that hears them, so that what an
/// instance receives grows no further.
const HEARTBEAT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(12);

/// Longest time between two heartbeats: what an instance tells counts for 3 s,
/// and two in a row may be lost.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which an instance counts as gone, in heartbeats.
const SILENT_HEARTBEATS: u32 = 6;

/// Shortest silence after which an instance counts as gone.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// How long an instance that fell silent is still sent heartbeats, less often:
/// longer than most cuts last.
const REMEMBERED: Duration = Duration::from_secs(120);

/// Added to the age of what a peer says was confirmed: the way of a heartbeat and
/// the wait at both ends and at a relay. Without it, each instance that passes the age on
/// would make it younger, and few would see an outage.
const HEARTBEAT_TRANSIT: Duration = Duration::from_millis(100);

/// What an instance says of itself with each heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// The instance.
    pub instance: InstanceId,
    /// Its process life.
    pub incarnation: Incarnation,
    /// Number of the message within that life.
    pub sequence: u64,
    /// Time on its own clock at which it said this.
    pub sent_at: Now,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Thousandths of a processor core that it has.
    pub core_millis: u32,
    /// Whether it tells the others by way of relays.
    pub has_relays: bool,
    /// Version of the configuration in force there, 0 for none.
    pub config_version: ConfigVersion,
    /// When the platform confirmed that configuration, on the receiver's clock, if this came
    /// by the usual way.
    pub config_confirmed_at: Option<Now>,
    /// Revision of its list of backend servers.
    pub list_revision: Revision,
    /// The same for that list.
    pub list_confirmed_at: Option<Now>,
    /// Whether it could read the platform when it tried last.
    pub can_read: bool,
}

#[derive(Debug)]
struct Heard {
    state: MemberState,
    order: MessageOrder,
    delay: DelayEstimate,
    /// How much longer than usual the last one took.
    took: Duration,
}

#[derive(Debug)]
struct Member {
    heard: Option<Heard>,
    heard_at: Now,
}

impl Member {
    fn state(&self) -> Option<&MemberState> {
        self.heard.as_ref().map(|heard| &heard.state)
    }
}

/// The members of the fleet as one instance knows them.
#[derive(Debug)]
pub struct FleetMembers {
    instance: InstanceId,
    zone: ZoneId,
    core_millis: u32,
    own_address: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    members: BTreeMap<SocketAddr, Member>,
    immediate_targets: BTreeSet<SocketAddr>,
    has_relays: bool,
    beats: u64,
}

impl FleetMembers {
    /// Knows the seeds only.
    pub fn new(
        instance: InstanceId,
        zone: ZoneId,
        core_millis: u32,
        own_address: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own_address);
        FleetMembers {
            instance,
            zone,
            core_millis,
            own_address,
            seeds: seeds.collect(),
            members: BTreeMap::new(),
            immediate_targets: BTreeSet::new(),
            has_relays: false,
            beats: 0,
        }
    }

    /// Notes a heartbeat, and says what it is to those before. One that is old
    /// changes nothing; one that lay waiting speaks of the time at which it was said.
    pub fn hear(&mut self, now: Now, address: SocketAddr, mut state: MemberState) -> Arrival {
        self.has_relays |= state.has_relays;
        let member = self.members.entry(address).or_insert(Member {
            heard: None,
            heard_at: now,
        });
        let Some(heard) = &mut member.heard else {
            let order = MessageOrder::new(state.incarnation.clone(), state.sequence);
            let delay = DelayEstimate::new(state.sent_at, now);
            member.heard = Some(Heard {
                state,
                order,
                delay,
                took: Duration::ZERO,
            });
            member.heard_at = now;
            return Arrival::FirstOfIncarnation;
        };
        let arrival = heard.order.arrive(&state.incarnation, state.sequence);
        heard.took = match arrival {
            Arrival::Old => return arrival,
            Arrival::Newer => heard.delay.delay(state.sent_at, now),
            Arrival::FirstOfIncarnation => {
                heard.delay = DelayEstimate::new(state.sent_at, now);
                Duration::ZERO
            }
        };
        let took = heard.took;
        let earlier = |at: Now| at.saturating_sub(took);
        state.config_confirmed_at = state.config_confirmed_at.map(earlier);
        state.list_confirmed_at = state.list_confirmed_at.map(earlier);
        heard.state = state;
        member.heard_at = member.heard_at.max(earlier(now));
        arrival
    }

    /// How much longer than usual the last heartbeat of an instance took.
    pub fn heartbeat_delay(&self, address: SocketAddr) -> Duration {
        let member = self.members.get(&address);
        let heard = member.and_then(|member| member.heard.as_ref());
        heard.map_or(Duration::ZERO, |heard| heard.took)
    }

    /// Notes that somebody knows an instance at an address.
    pub fn learn_address(&mut self, now: Now, address: SocketAddr) {
        if address != self.own_address {
            let unheard = Member {
                heard: None,
                heard_at: now,
            };
            self.members.entry(address).or_insert(unheard);
        }
    }

    /// Notes that an instance which came to this one by itself knows few others:
    /// the next heartbeat goes there, too.
    pub fn queue_immediate_heartbeat(&mut self, address: SocketAddr) {
        self.immediate_targets.insert(address);
    }

    /// Time until the next heartbeat.
    pub fn heartbeat_interval(&self, now: Now) -> Duration {
        match self.is_relay_candidate(now) {
            true => RELAY_HEARTBEAT_INTERVAL,
            false => self.base_heartbeat_interval(now),
        }
    }

    /// Time between the heartbeats of most instances.
    fn base_heartbeat_interval(&self, now: Now) -> Duration {
        let hearing = match self.has_relays {
            true => self.neighbours(now).len(),
            false => self.members.len(),
        };
        let hearing = u32::try_from(hearing).unwrap_or(u32::MAX);
        (HEARTBEAT_INTERVAL_PER_MEMBER * hearing)
            .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }

    /// When something was confirmed of which a heartbeat tells the age.
    pub fn confirmed_at(now: Now, age: Duration) -> Now {
        now.saturating_sub(age + HEARTBEAT_TRANSIT)
    }

    /// Live instances that have a newer configuration or list.
    pub fn ahead(
        &self,
        now: Now,
        config_version: ConfigVersion,
        list_revision: Revision,
    ) -> Vec<(SocketAddr, &MemberState)> {
        let states = self.live(now);
        let states = states.filter_map(|(address, member)| Some((address, member.state()?)));
        let is_ahead = |state: &MemberState| {
            state.config_version > config_version || state.list_revision > list_revision
        };
        states.filter(|(_, state)| is_ahead(state)).collect()
    }

    /// Who to ask for a newer configuration or list: in a small fleet any that has
    /// it, in a larger one the strongest of this zone, or of all if none has it here.
    pub fn sources(
        &self,
        now: Now,
        config_version: ConfigVersion,
        list_revision: Revision,
    ) -> Vec<(SocketAddr, &MemberState)> {
        let mut ahead = self.ahead(now, config_version, list_revision);
        if !self.has_relays {
            return ahead;
        }
        if ahead.iter().any(|(_, state)| state.zone == self.zone) {
            ahead.retain(|(_, state)| state.zone == self.zone);
        }
        let strongest = ahead.iter().map(|(_, state)| state.core_millis).max();
        ahead.retain(|(_, state)| Some(state.core_millis) == strongest);
        ahead
    }

    /// When the platform confirmed this revision of the list or a later one, to
    /// anyone's knowledge.
    pub fn list_confirmed_at(&self, now: Now, list_revision: Revision) -> Option<Now> {
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

    /// The newest that any live instance has of each.
    pub fn newest(&self, now: Now) -> KnownVersions {
        let states = || self.live_states(now);
        KnownVersions {
            config: states()
                .map(|state| state.config_version)
                .max()
                .unwrap_or(0),
            list: states()
                .map(|state| state.list_revision)
                .max()
                .unwrap_or_default(),
        }
    }

    /// Whether a live instance has a newer configuration.
    pub fn is_ahead_in_config(&self, now: Now, version: ConfigVersion) -> bool {
        self.live_states(now)
            .any(|state| state.config_version > version)
    }

    fn live_states(&self, now: Now) -> impl Iterator<Item = &MemberState> {
        self.live(now).filter_map(|(_, member)| member.state())
    }

    fn live(&self, now: Now) -> impl Iterator<Item = (SocketAddr, &Member)> {
        let silence = self.longest_silence(now);
        let is_live = move |member: &Member| now.saturating_sub(member.heard_at) < silence;
        let live = self.members.iter().filter(move |(_, m)| is_live(m));
        live.map(|(address, member)| (*address, member))
    }

    /// Silence after which an instance counts as gone.
    fn longest_silence(&self, now: Now) -> Duration {
        MIN_SILENCE.max(self.base_heartbeat_interval(now) * SILENT_HEARTBEATS)
    }
}
