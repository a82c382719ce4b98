//! Selects the targets of a heartbeat. In a small fleet each heartbeat goes to all members. In a
//! larger fleet it goes to a relay of the sender's availability zone, which forwards it within the
//! zone; relays also send to relays of the other zones. Each instance selects relays from the
//! heartbeats that it has received itself. If two instances select different relays, both relays
//! forward the heartbeats they are given.

use std::net::SocketAddr;
use std::time::Duration;

use rand_core::Rng;

use super::FleetMembers;
use super::Member;
use super::SILENT_RETENTION;
use crate::Now;
use crate::ZoneId;
use crate::membership::rendezvous::weight;

/// Number of members below which heartbeats go to all members directly: in a fleet this small,
/// relaying saves few messages and adds a delay.
const RELAY_MEMBER_THRESHOLD: usize = 32;

/// Relays per availability zone. Heartbeats rotate among them, so that the loss of one relay delays
/// the state by one heartbeat but does not make it wrong.
const RELAYS_PER_ZONE: usize = 2;

/// Instances per zone, first by rank, that send heartbeats as often as relays do, as they take over
/// when relays fall silent.
const CANDIDATES: usize = 4;

/// Maximum time between two heartbeats of a relay: the maximum age of a zone's sums in other zones.
pub(super) const RELAY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time between two heartbeats of a relay.
const MIN_RELAY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two heartbeats of a relay for each backend server in its sums. The bytes between
/// zones thus stay constant from 100 to 300 servers, and other zones learn of placements sooner
/// when there are fewer.
const RELAY_HEARTBEAT_INTERVAL_PER_SUM: Duration = Duration::from_millis(1);

/// Silence after which an instance is no longer a relay of this zone: four heartbeats of a relay.
const RELAY_SILENCE: Duration = Duration::from_millis(1_200);

/// Silence after which an instance is no longer a relay of another zone. It is longer because
/// relays send to the relays of each other zone in rotation.
const REMOTE_RELAY_SILENCE: Duration = Duration::from_millis(2_500);

/// Maximum number of unconfirmed addresses, from which no heartbeat has been received yet, that one
/// heartbeat is sent to: the relays of three zones, as another instance advertises them.
const UNCONFIRMED_PER_HEARTBEAT: usize = 6;

/// How long an unconfirmed address is tried: the answer to a first heartbeat takes milliseconds,
/// and an instance that knows this one already sends none.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_secs(2);

/// Randomly selected instances of other zones that one heartbeat is sent to, so that zones find
/// each other again after any loss of messages.
const RANDOM_CONTACTS_PER_HEARTBEAT: usize = 1;

/// One in this many heartbeats of a small fleet also goes to silent instances.
const SILENT_TARGETS_EVERY: u64 = 5;

/// Number of addresses that one heartbeat of a small fleet advertises.
const ADVERTISED_ADDRESSES: usize = 8;

/// Time between two bundles of a relay for each instance that receives them, so that the send rate
/// of the relay is bounded.
const BUNDLE_INTERVAL_PER_NEIGHBOUR: Duration = Duration::from_micros(300);

/// Targets of one heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FanOut {
    /// Instances that receive the heartbeat and do not forward it.
    pub direct: Vec<SocketAddr>,
    /// Relay that forwards it within the zone.
    pub relay: Option<SocketAddr>,
    /// Whether this instance is a relay and forwards it within the zone itself.
    pub forwards_to_zone: bool,
    /// Relays of other zones, which forward it in their zones; the sums of this zone are sent with
    /// it.
    pub remote_relays: Vec<SocketAddr>,
}

impl FleetMembers {
    /// Returns the time until the next heartbeat of a relay whose sums name `sums` backend servers.
    pub fn relay_heartbeat_interval(sums: usize) -> Duration {
        let sums = u32::try_from(sums).unwrap_or(u32::MAX);
        let interval = RELAY_HEARTBEAT_INTERVAL_PER_SUM.saturating_mul(sums);
        interval.clamp(MIN_RELAY_HEARTBEAT_INTERVAL, RELAY_HEARTBEAT_INTERVAL)
    }

    /// Returns whether the fleet is large enough for relays. Once one instance finds that it is,
    /// all instances that receive its state agree.
    pub fn has_relays(&self) -> bool {
        self.has_relays
    }

    /// Returns the targets of the next heartbeat.
    pub fn fan_out(&mut self, now: Now, random: &mut impl Rng) -> FanOut {
        self.heartbeat_count += 1;
        self.members.retain(|_, member| {
            let lifetime = match member.last_heartbeat {
                Some(_) => SILENT_RETENTION,
                None => UNCONFIRMED_LIFETIME,
            };
            now.saturating_sub(member.received_at) < lifetime
        });
        self.has_relays |= self.members.len() >= RELAY_MEMBER_THRESHOLD;
        let mut fan_out = match self.has_relays {
            true => self.relayed_fan_out(now, random),
            false => self.direct_fan_out(now),
        };
        let immediate = std::mem::take(&mut self.immediate_targets).into_iter();
        let immediate = immediate.filter(|address| !fan_out.direct.contains(address));
        fan_out.direct.extend(immediate.collect::<Vec<_>>());
        fan_out
    }

    fn direct_fan_out(&self, now: Now) -> FanOut {
        let with_silent = self.heartbeat_count.is_multiple_of(SILENT_TARGETS_EVERY);
        let silence = self.longest_silence(now);
        let is_live = |member: &Member| now.saturating_sub(member.received_at) < silence;
        let members = self.members.iter();
        let live = members.filter(|(_, member)| with_silent || is_live(member));
        let mut direct: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        let unconfirmed = self.seeds.iter().filter(|seed| !direct.contains(seed));
        let unconfirmed: Vec<SocketAddr> = unconfirmed.copied().collect();
        direct.extend(unconfirmed);
        FanOut {
            direct,
            ..FanOut::default()
        }
    }

    fn relayed_fan_out(&self, now: Now, random: &mut impl Rng) -> FanOut {
        let rotation = self.heartbeat_count as usize;
        let ranked = self.ranked(now, &self.zone, RELAY_SILENCE);
        let relays: Vec<SocketAddr> = ranked.into_iter().take(RELAYS_PER_ZONE).collect();
        let forwards_to_zone = relays.contains(&self.own_address);
        let next_relay = relays.get(rotation % relays.len().max(1)).copied();
        let mut direct = self.contacts(random);
        if relays == [self.own_address] {
            // This zone has no other live instance, or this one receives nothing.
            direct.extend(self.seeds.iter().copied());
        }
        FanOut {
            direct,
            relay: next_relay.filter(|_| !forwards_to_zone),
            forwards_to_zone,
            remote_relays: match forwards_to_zone {
                true => self.remote_relays(now, rotation),
                false => Vec::new(),
            },
        }
    }

    /// Returns one relay of each other zone, in rotation.
    fn remote_relays(&self, now: Now, rotation: usize) -> Vec<SocketAddr> {
        let zones = self.other_zones().into_iter();
        let relay_of = |zone: ZoneId| {
            let mut ranked = self.ranked(now, &zone, REMOTE_RELAY_SILENCE);
            if ranked.is_empty() {
                ranked = self.ranked(now, &zone, SILENT_RETENTION);
            }
            ranked.truncate(RELAYS_PER_ZONE);
            ranked.get(rotation % ranked.len().max(1)).copied()
        };
        zones.filter_map(relay_of).collect()
    }

    /// Returns unconfirmed addresses, and a few random known ones of the instances in other zones,
    /// whose heartbeats do not arrive through relays of this zone.
    fn contacts(&self, random: &mut impl Rng) -> Vec<SocketAddr> {
        let is_remote = |member: &Member| {
            let state = member.state();
            state.is_some_and(|state| state.zone != self.zone)
        };
        let members = self.members.iter();
        let (unconfirmed, known): (Vec<_>, Vec<_>) =
            members.partition(|(_, m)| m.last_heartbeat.is_none());
        let unconfirmed = unconfirmed.into_iter().map(|(address, _)| *address);
        let mut unconfirmed: Vec<SocketAddr> = unconfirmed.collect();
        shuffle(&mut unconfirmed, random);
        unconfirmed.truncate(UNCONFIRMED_PER_HEARTBEAT);
        let known = known.into_iter().filter(|(_, m)| is_remote(m));
        let mut known: Vec<SocketAddr> = known.map(|(address, _)| *address).collect();
        shuffle(&mut known, random);
        known.truncate(RANDOM_CONTACTS_PER_HEARTBEAT);
        unconfirmed.into_iter().chain(known).collect()
    }

    /// Returns the addresses that a heartbeat advertises: the relays of each zone, or in a small
    /// fleet a random selection.
    pub fn advertised_addresses(&self, now: Now, random: &mut impl Rng) -> Vec<SocketAddr> {
        if !self.has_relays {
            let live = self.live(now).map(|(address, _)| address);
            let mut addresses: Vec<SocketAddr> = live.collect();
            shuffle(&mut addresses, random);
            addresses.truncate(ADVERTISED_ADDRESSES);
            return addresses;
        }
        let zones = self.other_zones().into_iter().chain([self.zone.clone()]);
        let relays_of = |zone: ZoneId| {
            let ranked = self.ranked(now, &zone, REMOTE_RELAY_SILENCE).into_iter();
            ranked.take(RELAYS_PER_ZONE)
        };
        zones.flat_map(relays_of).collect()
    }

    /// Returns the other live instances of this zone, to which a relay forwards heartbeats.
    pub fn neighbours(&self, now: Now) -> Vec<SocketAddr> {
        let members = self.members.iter();
        let is_neighbour = |member: &Member| {
            let state = member.state();
            state.is_some_and(|state| state.zone == self.zone)
        };
        let silence =
            super::MIN_SILENCE.max(super::MAX_HEARTBEAT_INTERVAL * super::SILENT_HEARTBEATS);
        let is_recent = |member: &Member| now.saturating_sub(member.received_at) < silence;
        let neighbours = members.filter(|(_, member)| is_neighbour(member) && is_recent(member));
        neighbours.map(|(address, _)| *address).collect()
    }

    /// Returns the time for which a relay collects heartbeats before it forwards them.
    pub fn bundle_interval(&self, now: Now) -> Duration {
        let neighbours = u32::try_from(self.neighbours(now).len()).unwrap_or(u32::MAX);
        BUNDLE_INTERVAL_PER_NEIGHBOUR * neighbours
    }

    /// Returns whether the shares of an instance in `zone` count individually: the shares of other
    /// zones are in the sums of their relays.
    pub fn counts_individually(&self, zone: &str) -> bool {
        zone == self.zone || !self.has_relays
    }

    /// Returns whether this instance is a relay of its zone.
    pub fn is_relay(&self, now: Now) -> bool {
        self.is_among_first(now, RELAYS_PER_ZONE)
    }

    /// Returns whether this instance is a relay or ranks high enough to become one.
    pub(super) fn is_relay_candidate(&self, now: Now) -> bool {
        self.is_among_first(now, CANDIDATES)
    }

    fn is_among_first(&self, now: Now, most: usize) -> bool {
        let ranked = self.ranked(now, &self.zone, RELAY_SILENCE).into_iter();
        self.has_relays && ranked.take(most).any(|a| a == self.own_address)
    }

    /// Returns the other zones with an instance whose last heartbeat is recent.
    pub(super) fn live_zones(&self, now: Now) -> Vec<ZoneId> {
        let zones = self.other_zones().into_iter();
        let zones = zones.filter(|zone| !self.ranked(now, zone, REMOTE_RELAY_SILENCE).is_empty());
        zones.collect()
    }

    fn other_zones(&self) -> Vec<ZoneId> {
        let states = self.members.values().filter_map(Member::state);
        let zones = states.map(|state| state.zone.clone());
        let mut zones: Vec<ZoneId> = zones.filter(|zone| *zone != self.zone).collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Returns the instances of a zone with a heartbeat within `silence`, ordered by processor
    /// capacity, largest first: relaying for 60 instances takes more bytes than a small instance
    /// may send. The result includes this instance if `zone` is its own.
    fn ranked(&self, now: Now, zone: &str, silence: Duration) -> Vec<SocketAddr> {
        let is_recent = |member: &Member| now.saturating_sub(member.received_at) < silence;
        let members = self.members.iter().filter(|(_, m)| is_recent(m));
        let states = members.filter_map(|(address, m)| Some((*address, m.state()?)));
        let states = states.filter(|(_, state)| state.zone == zone);
        let mut ranked: Vec<(u32, &str, SocketAddr)> = states
            .map(|(address, state)| (state.core_millis, state.instance.as_str(), address))
            .collect();
        if zone == self.zone {
            ranked.push((self.core_millis, self.instance.as_str(), self.own_address));
        }
        ranked.sort_by_cached_key(|(core_millis, name, _)| {
            std::cmp::Reverse((*core_millis, weight(zone, name)))
        });
        ranked.into_iter().map(|(_, _, address)| address).collect()
    }
}

/// Shuffles with the Fisher–Yates algorithm.
fn shuffle<T>(items: &mut [T], random: &mut impl Rng) {
    for index in (1..items.len()).rev() {
        let other = random.next_u32() as usize % (index + 1);
        items.swap(index, other);
    }
}
