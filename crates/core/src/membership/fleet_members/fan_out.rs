//! Who is sent a heartbeat. In a small fleet everybody. In a larger one a relay of
//! the sender's availability zone, which passes it on to the zone; and relays tell
//! those of the other zones. Each instance chooses relays by what it hears itself:
//! when two choose differently, both relays pass on what they are given.

use std::net::SocketAddr;
use std::time::Duration;

use rand_core::Rng;

use super::FleetMembers;
use super::Member;
use super::REMEMBERED;
use crate::Now;
use crate::ZoneId;
use crate::membership::rendezvous::weight;

/// Instances up to which heartbeats go to everybody: below it, passing on saves
/// few messages and costs a wait.
const RELAY_MEMBER_THRESHOLD: usize = 32;

/// Relays of an availability zone. Heartbeats go to them by turns, so that the
/// loss of one makes what is known older by a heartbeat, not wrong.
const RELAYS_PER_ZONE: usize = 2;

/// The first by rank of a zone, who beat as often as relays do: they take over
/// when relays fall silent.
const CANDIDATES: usize = 4;

/// Time between two heartbeats of relays: the sums of a zone are this old
/// elsewhere.
pub(super) const RELAY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest time between two heartbeats of a relay.
const MIN_RELAY_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two heartbeats of a relay for each backend server that its sums name, so
/// that the bytes between zones stay the same from 100 to 300 of them, and other zones hear
/// of choices sooner where there are fewer.
const RELAY_HEARTBEAT_INTERVAL_PER_SUM: Duration = Duration::from_millis(1);

/// Silence after which an instance is no relay of this zone any more: four
/// heartbeats of a relay.
const RELAY_SILENCE: Duration = Duration::from_millis(1_200);

/// The same for relays of other zones, which beat to each zone by turns.
const REMOTE_RELAY_SILENCE: Duration = Duration::from_millis(2_500);

/// Addresses that nobody was heard at yet and that one heartbeat is sent to: the
/// relays of three zones, as another instance tells them.
const UNCONFIRMED_PER_HEARTBEAT: usize = 6;

/// How long an address where nobody is heard is tried: the answer to a first
/// heartbeat takes milliseconds, and whoever knows this instance already gives none.
const UNCONFIRMED_LIFETIME: Duration = Duration::from_secs(2);

/// Other instances that one heartbeat is sent to by chance, so that zones find
/// each other again whatever was lost.
const RANDOM_CONTACTS_PER_HEARTBEAT: usize = 1;

/// One in this many heartbeats of a small fleet also goes to instances that fell
/// silent.
const SILENT_TARGETS_EVERY: u64 = 5;

/// Addresses of others that one heartbeat of a small fleet tells.
const ADVERTISED_ADDRESSES: usize = 8;

/// Time between two bundles of a relay per instance that gets them, so that what it sends is
/// bounded.
const BUNDLE_INTERVAL_PER_NEIGHBOUR: Duration = Duration::from_micros(300);

/// Who is sent one heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FanOut {
    /// Instances that it is only for.
    pub direct: Vec<SocketAddr>,
    /// The relay that passes it on within the zone.
    pub relay: Option<SocketAddr>,
    /// Whether this instance is a relay and passes it on itself.
    pub forwards_to_zone: bool,
    /// Relays of other zones, which pass it on there; they get the sums of this
    /// zone with it.
    pub far: Vec<SocketAddr>,
}

impl FleetMembers {
    /// Time until the next heartbeat of a relay whose sums name so many backend servers.
    pub fn relay_heartbeat_interval(sums: usize) -> Duration {
        let sums = u32::try_from(sums).unwrap_or(u32::MAX);
        let interval = RELAY_HEARTBEAT_INTERVAL_PER_SUM.saturating_mul(sums);
        interval.clamp(MIN_RELAY_HEARTBEAT_INTERVAL, RELAY_HEARTBEAT_INTERVAL)
    }

    /// Whether the fleet is large enough for relays: once one instance knows that
    /// it is, all that hear of it agree.
    pub fn has_relays(&self) -> bool {
        self.has_relays
    }

    /// Who the next heartbeat is sent to.
    pub fn fan_out(&mut self, now: Now, random: &mut impl Rng) -> FanOut {
        self.beats += 1;
        self.members.retain(|_, member| {
            let lifetime = match member.heard {
                Some(_) => REMEMBERED,
                None => UNCONFIRMED_LIFETIME,
            };
            now.saturating_sub(member.heard_at) < lifetime
        });
        self.has_relays |= self.members.len() >= RELAY_MEMBER_THRESHOLD;
        let mut fan_out = match self.has_relays {
            true => self.by_relays(now, random),
            false => self.direct_fan_out(now),
        };
        let greeted = std::mem::take(&mut self.immediate_targets).into_iter();
        let greeted = greeted.filter(|address| !fan_out.direct.contains(address));
        fan_out.direct.extend(greeted.collect::<Vec<_>>());
        fan_out
    }

    fn direct_fan_out(&self, now: Now) -> FanOut {
        let with_silent = self.beats.is_multiple_of(SILENT_TARGETS_EVERY);
        let silence = self.longest_silence(now);
        let is_live = |member: &Member| now.saturating_sub(member.heard_at) < silence;
        let members = self.members.iter();
        let live = members.filter(|(_, member)| with_silent || is_live(member));
        let mut direct: Vec<SocketAddr> = live.map(|(address, _)| *address).collect();
        let unheard = self.seeds.iter().filter(|seed| !direct.contains(seed));
        let unheard: Vec<SocketAddr> = unheard.copied().collect();
        direct.extend(unheard);
        FanOut {
            direct,
            ..FanOut::default()
        }
    }

    fn by_relays(&self, now: Now, random: &mut impl Rng) -> FanOut {
        let turn = self.beats as usize;
        let ranked = self.ranked(now, &self.zone, RELAY_SILENCE);
        let relays: Vec<SocketAddr> = ranked.into_iter().take(RELAYS_PER_ZONE).collect();
        let forwards_to_zone = relays.contains(&self.own_address);
        let by_turns = relays.get(turn % relays.len().max(1)).copied();
        let mut direct = self.contacts(random);
        if relays == [self.own_address] {
            // Nobody of this zone is there, or nobody hears.
            direct.extend(self.seeds.iter().copied());
        }
        FanOut {
            direct,
            relay: by_turns.filter(|_| !forwards_to_zone),
            forwards_to_zone,
            far: match forwards_to_zone {
                true => self.remote_relays(now, turn),
                false => Vec::new(),
            },
        }
    }

    /// One relay of each other zone, by turns.
    fn remote_relays(&self, now: Now, turn: usize) -> Vec<SocketAddr> {
        let zones = self.other_zones().into_iter();
        let relay_of = |zone: ZoneId| {
            let mut ranked = self.ranked(now, &zone, REMOTE_RELAY_SILENCE);
            if ranked.is_empty() {
                ranked = self.ranked(now, &zone, REMEMBERED);
            }
            ranked.truncate(RELAYS_PER_ZONE);
            ranked.get(turn % ranked.len().max(1)).copied()
        };
        zones.filter_map(relay_of).collect()
    }

    /// Addresses where nobody was heard yet, and a few known ones by chance of those
    /// that are not heard by way of relays.
    fn contacts(&self, random: &mut impl Rng) -> Vec<SocketAddr> {
        let is_elsewhere = |member: &Member| {
            let state = member.state();
            state.is_some_and(|state| state.zone != self.zone)
        };
        let members = self.members.iter();
        let (unheard, heard): (Vec<_>, Vec<_>) = members.partition(|(_, m)| m.heard.is_none());
        let unheard = unheard.into_iter().map(|(address, _)| *address);
        let mut unheard: Vec<SocketAddr> = unheard.collect();
        shuffle(&mut unheard, random);
        unheard.truncate(UNCONFIRMED_PER_HEARTBEAT);
        let heard = heard.into_iter().filter(|(_, m)| is_elsewhere(m));
        let mut heard: Vec<SocketAddr> = heard.map(|(address, _)| *address).collect();
        shuffle(&mut heard, random);
        heard.truncate(RANDOM_CONTACTS_PER_HEARTBEAT);
        unheard.into_iter().chain(heard).collect()
    }

    /// Addresses of others for a heartbeat: the relays of each zone, or in a small
    /// fleet some by chance.
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

    /// The other instances of this zone that live: who a relay passes heartbeats on
    /// to.
    pub fn neighbours(&self, now: Now) -> Vec<SocketAddr> {
        let members = self.members.iter();
        let is_near = |member: &Member| {
            let state = member.state();
            state.is_some_and(|state| state.zone == self.zone)
        };
        let silence =
            super::MIN_SILENCE.max(super::MAX_HEARTBEAT_INTERVAL * super::SILENT_HEARTBEATS);
        let is_heard = |member: &Member| now.saturating_sub(member.heard_at) < silence;
        let near = members.filter(|(_, member)| is_near(member) && is_heard(member));
        near.map(|(address, _)| *address).collect()
    }

    /// Time in which a relay gathers heartbeats before it passes them on.
    pub fn bundle_interval(&self, now: Now) -> Duration {
        let neighbours = u32::try_from(self.neighbours(now).len()).unwrap_or(u32::MAX);
        BUNDLE_INTERVAL_PER_NEIGHBOUR * neighbours
    }

    /// Whether the shares of an instance count by themselves: those of other zones
    /// are in the sums of their relays.
    pub fn follows(&self, zone: &str) -> bool {
        zone == self.zone || !self.has_relays
    }

    /// Whether this instance is a relay of its zone.
    pub fn relays(&self, now: Now) -> bool {
        self.is_among_first(now, RELAYS_PER_ZONE)
    }

    /// Whether this instance is a relay, or soon may be one.
    pub(super) fn is_relay_candidate(&self, now: Now) -> bool {
        self.is_among_first(now, CANDIDATES)
    }

    fn is_among_first(&self, now: Now, most: usize) -> bool {
        let ranked = self.ranked(now, &self.zone, RELAY_SILENCE).into_iter();
        self.has_relays && ranked.take(most).any(|a| a == self.own_address)
    }

    /// Other zones of which an instance was heard lately.
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

    /// The instances of a zone that were heard within `silence`, the strongest
    /// first: relaying for 60 instances takes more bytes than a small one may send.
    /// This instance is among those of its own zone.
    fn ranked(&self, now: Now, zone: &str, silence: Duration) -> Vec<SocketAddr> {
        let is_heard = |member: &Member| now.saturating_sub(member.heard_at) < silence;
        let members = self.members.iter().filter(|(_, m)| is_heard(m));
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

/// Fisher and Yates.
fn shuffle<T>(items: &mut [T], random: &mut impl Rng) {
    for place in (1..items.len()).rev() {
        let other = random.next_u32() as usize % (place + 1);
        items.swap(place, other);
    }
}
