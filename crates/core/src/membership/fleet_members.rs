//! The other instances of the fleet, as known from their heartbeats.

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

/// Minimum time between two heartbeats: updates and loads are at most this old in a small fleet.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two heartbeats for each instance that receives them, so that the message rate at an
/// instance stays bounded as the fleet grows.
const HEARTBEAT_INTERVAL_PER_MEMBER: Duration = Duration::from_millis(12);

/// Maximum time between two heartbeats: advertised loads stay valid for 3 s, and two heartbeats in
/// a row may be lost.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Silence after which an instance counts as stopped, in heartbeat intervals.
const SILENT_HEARTBEATS: u32 = 6;

/// Minimum silence after which an instance counts as stopped.
const MIN_SILENCE: Duration = Duration::from_millis(1_500);

/// How long heartbeats are still sent, less often, to an instance that fell silent: longer than
/// most network partitions last.
const SILENT_RETENTION: Duration = Duration::from_secs(120);

/// Added to the age of a confirmation that a peer reports: the transit time of a heartbeat plus the
/// waits at both ends and at a relay. Without it, the age would shrink with each instance that
/// passes it on, and few would notice an outage.
const HEARTBEAT_TRANSIT: Duration = Duration::from_millis(100);

/// State that an instance reports of itself with each heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberState {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Sequence number of the message within that incarnation.
    pub sequence: u64,
    /// Send time on its own clock.
    pub sent_at: Now,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Processor capacity in thousandths of a core.
    pub core_millis: u32,
    /// Whether it advertises to the others through relays.
    pub has_relays: bool,
    /// Version of the configuration in force there, 0 for none.
    pub config_version: ConfigVersion,
    /// When the platform confirmed that configuration, on the receiver's clock, assuming the normal
    /// transit time.
    pub config_confirmed_at: Option<Now>,
    /// Revision of its list of backend servers.
    pub list_revision: Revision,
    /// When the platform confirmed that list, on the same terms.
    pub list_confirmed_at: Option<Now>,
    /// Whether its last read from the platform succeeded.
    pub can_read: bool,
}

#[derive(Debug)]
struct LastHeartbeat {
    state: MemberState,
    order: MessageOrder,
    delay: DelayEstimate,
    /// Time that the last heartbeat took beyond the normal transit time.
    delay_excess: Duration,
}

#[derive(Debug)]
struct Member {
    last_heartbeat: Option<LastHeartbeat>,
    received_at: Now,
}

impl Member {
    fn state(&self) -> Option<&MemberState> {
        self.last_heartbeat.as_ref().map(|last| &last.state)
    }
}

/// Members of the fleet as one instance knows them.
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
    heartbeat_count: u64,
}

impl FleetMembers {
    /// Creates a view that holds only the seed peers.
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
            heartbeat_count: 0,
        }
    }

    /// Applies a heartbeat and returns its position relative to earlier ones. An old heartbeat is
    /// ignored. The times of a delayed heartbeat are moved back by its delay.
    pub fn apply_heartbeat(
        &mut self,
        now: Now,
        address: SocketAddr,
        mut state: MemberState,
    ) -> Arrival {
        self.has_relays |= state.has_relays;
        let member = self.members.entry(address).or_insert(Member {
            last_heartbeat: None,
            received_at: now,
        });
        let Some(last) = &mut member.last_heartbeat else {
            let order = MessageOrder::new(state.incarnation.clone(), state.sequence);
            let delay = DelayEstimate::new(state.sent_at, now);
            member.last_heartbeat = Some(LastHeartbeat {
                state,
                order,
                delay,
                delay_excess: Duration::ZERO,
            });
            member.received_at = now;
            return Arrival::FirstOfIncarnation;
        };
        let arrival = last.order.arrive(&state.incarnation, state.sequence);
        last.delay_excess = match arrival {
            Arrival::Old => return arrival,
            Arrival::Newer => last.delay.delay(state.sent_at, now),
            Arrival::FirstOfIncarnation => {
                last.delay = DelayEstimate::new(state.sent_at, now);
                Duration::ZERO
            }
        };
        let delay_excess = last.delay_excess;
        let earlier = |at: Now| at.saturating_sub(delay_excess);
        state.config_confirmed_at = state.config_confirmed_at.map(earlier);
        state.list_confirmed_at = state.list_confirmed_at.map(earlier);
        last.state = state;
        member.received_at = member.received_at.max(earlier(now));
        arrival
    }

    /// Returns the time that the last heartbeat of an instance took beyond the normal transit time.
    pub fn heartbeat_delay(&self, address: SocketAddr) -> Duration {
        let member = self.members.get(&address);
        let last = member.and_then(|member| member.last_heartbeat.as_ref());
        last.map_or(Duration::ZERO, |last| last.delay_excess)
    }

    /// Records the address of an instance that a peer advertises; no heartbeat from there is known
    /// yet.
    pub fn learn_address(&mut self, now: Now, address: SocketAddr) {
        if address != self.own_address {
            let unconfirmed = Member {
                last_heartbeat: None,
                received_at: now,
            };
            self.members.entry(address).or_insert(unconfirmed);
        }
    }

    /// Adds an instance to the targets of the next heartbeat. Used for an instance that made
    /// contact by itself, as it knows few others.
    pub fn queue_immediate_heartbeat(&mut self, address: SocketAddr) {
        self.immediate_targets.insert(address);
    }

    /// Returns the time until the next heartbeat.
    pub fn heartbeat_interval(&self, now: Now) -> Duration {
        match self.is_relay_candidate(now) {
            true => RELAY_HEARTBEAT_INTERVAL,
            false => self.base_heartbeat_interval(now),
        }
    }

    /// Returns the time between heartbeats of an instance that is no relay candidate.
    fn base_heartbeat_interval(&self, now: Now) -> Duration {
        let receivers = match self.has_relays {
            true => self.neighbours(now).len(),
            false => self.members.len(),
        };
        let receivers = u32::try_from(receivers).unwrap_or(u32::MAX);
        (HEARTBEAT_INTERVAL_PER_MEMBER * receivers)
            .clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
    }

    /// Returns the time of a confirmation whose age a heartbeat reports.
    pub fn confirmed_at(now: Now, age: Duration) -> Now {
        now.saturating_sub(age + HEARTBEAT_TRANSIT)
    }

    /// Returns the live instances with a newer configuration or list.
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

    /// Returns the instances from which to fetch a newer configuration or list. In a small fleet
    /// any instance that has it; in a larger one those with the most processor capacity in this
    /// zone, or in all zones if none in this zone has it.
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

    /// Returns the latest time at which the platform confirmed this revision of the list, as far as
    /// any live instance knows. Confirmations of earlier revisions count too: what was current then
    /// is not newer than this revision.
    pub fn list_confirmed_at(&self, now: Now, list_revision: Revision) -> Option<Now> {
        let states = self.live_states(now);
        let same = states.filter(|state| state.list_revision <= list_revision);
        same.filter_map(|state| state.list_confirmed_at).max()
    }

    /// Returns the latest time at which the platform confirmed this version of the configuration,
    /// as far as any live instance knows. Confirmations of earlier versions count too: what was
    /// current then is not newer than this version.
    pub fn config_confirmed_at(&self, now: Now, version: ConfigVersion) -> Option<Now> {
        let states = self.live_states(now);
        let same = states.filter(|state| state.config_version <= version);
        same.filter_map(|state| state.config_confirmed_at).max()
    }

    /// Returns the newest configuration version and the newest list revision of all live instances.
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

    /// Returns whether a live instance has a newer configuration.
    pub fn is_ahead_in_config(&self, now: Now, version: ConfigVersion) -> bool {
        self.live_states(now)
            .any(|state| state.config_version > version)
    }

    fn live_states(&self, now: Now) -> impl Iterator<Item = &MemberState> {
        self.live(now).filter_map(|(_, member)| member.state())
    }

    fn live(&self, now: Now) -> impl Iterator<Item = (SocketAddr, &Member)> {
        let silence = self.longest_silence(now);
        let is_live = move |member: &Member| now.saturating_sub(member.received_at) < silence;
        let live = self.members.iter().filter(move |(_, m)| is_live(m));
        live.map(|(address, member)| (*address, member))
    }

    /// Returns the silence after which an instance counts as stopped.
    fn longest_silence(&self, now: Now) -> Duration {
        MIN_SILENCE.max(self.base_heartbeat_interval(now) * SILENT_HEARTBEATS)
    }
}
