//! A fleet of instances that tell each other their loads, in virtual time: the
//! real decisions on who is told, over links that lose, cut and wait.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use iristhread_core::AdvertisedLoads;
use iristhread_core::Arrival;
use iristhread_core::FleetMembers;
use iristhread_core::LoadShare;
use iristhread_core::LoadShares;
use iristhread_core::MemberState;
use iristhread_core::Now;
use iristhread_core::PeerLoads;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

/// One step of the world.
const STEP: Duration = Duration::from_millis(10);

/// Instances of a zone that are stronger than the others.
const STRONG_PER_ZONE: usize = 3;

/// A heartbeat on its way.
#[derive(Clone)]
struct Beat {
    address: SocketAddr,
    state: MemberState,
    told: AdvertisedLoads,
    addresses: Vec<SocketAddr>,
}

struct Datagram {
    from: usize,
    to: usize,
    pass_on: bool,
    beats: Vec<Beat>,
}

/// One instance of the fleet.
pub struct Instance {
    pub zone: String,
    pub members: FleetMembers,
    pub loads: PeerLoads,
    /// Tokens that it has put on the one engine, "e1".
    pub tokens: u64,
    pub is_alive: bool,
    /// Datagrams that it has received.
    pub received: u64,
    /// Datagrams that it has sent.
    pub sent: u64,
    /// Stands still until then.
    pub frozen_until: Now,
    life: u32,
    sequence: u64,
    beats_at: Now,
    bundle: Vec<Beat>,
    bundled_at: Now,
    held: Vec<Datagram>,
}

/// The fleet.
pub struct World {
    pub now: Now,
    pub instances: Vec<Instance>,
    /// Zones between which nothing passes.
    pub cut_off: Option<String>,
    /// One in this many datagrams is lost; 0 for none.
    pub loses_one_in: u32,
    zones: usize,
    random: Pcg32,
    datagrams: Vec<Datagram>,
}

pub fn address(number: usize) -> SocketAddr {
    let number = number as u16;
    ([10, 0, (number >> 8) as u8, number as u8], 7_000).into()
}

fn number(address: &SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("the world has IPv4 only");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn members(own: usize, zones: usize) -> FleetMembers {
    FleetMembers::new(
        format!("i{own}"),
        zone_of(own, zones),
        core_millis(own, zones),
        address(own),
        (0..3).map(address).collect(),
    )
}

fn core_millis(own: usize, zones: usize) -> u32 {
    match own / zones < STRONG_PER_ZONE {
        true => 500,
        false => 120,
    }
}

fn zone_of(own: usize, zones: usize) -> String {
    format!("z{}", own % zones)
}

impl World {
    /// A fleet that starts at once, spread over zones, and knows three seeds.
    pub fn start(count: usize, zones: usize, seed: u64) -> World {
        let mut random = Pcg32::seed_from_u64(seed);
        let instances = (0..count).map(|own| Instance {
            zone: zone_of(own, zones),
            members: members(own, zones),
            loads: PeerLoads::new(zone_of(own, zones)),
            tokens: 1_000 + own as u64,
            is_alive: true,
            received: 0,
            sent: 0,
            frozen_until: Now::ZERO,
            life: 1,
            sequence: 0,
            beats_at: Duration::from_millis(u64::from(random.next_u32() % 300)),
            bundle: Vec::new(),
            bundled_at: Now::ZERO,
            held: Vec::new(),
        });
        World {
            now: Now::ZERO,
            instances: instances.collect(),
            cut_off: None,
            loses_one_in: 0,
            zones,
            random,
            datagrams: Vec::new(),
        }
    }

    /// Ends a process and starts it again with nothing known.
    pub fn restart(&mut self, own: usize) {
        let zones = self.zones;
        let now = self.now;
        let instance = &mut self.instances[own];
        instance.members = members(own, zones);
        instance.loads = PeerLoads::new(instance.zone.clone());
        instance.life += 1;
        instance.sequence = 0;
        instance.beats_at = now;
        instance.bundle.clear();
        instance.held.clear();
        instance.is_alive = true;
    }

    /// Puts tokens on the engine and tells of it at once.
    pub fn place(&mut self, own: usize, tokens: u64) {
        self.instances[own].tokens += tokens;
        self.instances[own].beats_at = self.now + STEP;
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for datagram in std::mem::take(&mut self.datagrams) {
            self.deliver(datagram);
        }
        for own in 0..self.instances.len() {
            let instance = &self.instances[own];
            if !instance.is_alive || self.now < instance.frozen_until {
                continue;
            }
            for datagram in std::mem::take(&mut self.instances[own].held) {
                self.receive(datagram);
            }
            if self.instances[own].beats_at <= self.now {
                self.beat(own);
            }
            if !self.instances[own].bundle.is_empty() && self.instances[own].bundled_at <= self.now
            {
                self.send_bundle(own);
            }
            self.instances[own].loads.expire(self.now);
        }
    }

    fn beat(&mut self, own: usize) {
        let now = self.now;
        let zones = self.zones;
        let instance = &mut self.instances[own];
        instance.sequence += 2;
        let fan_out = instance.members.fan_out(now, &mut self.random);
        let load = LoadShare {
            session_tokens: instance.tokens,
            requests: 1,
            ..LoadShare::default()
        };
        let shares: LoadShares = BTreeMap::from([("e1".to_owned(), load)]);
        let incarnation = format!("life {}", instance.life);
        let mut beat = Beat {
            address: address(own),
            addresses: instance.members.advertised_addresses(now, &mut self.random),
            state: MemberState {
                instance: format!("i{own}"),
                incarnation: incarnation.clone(),
                sequence: instance.sequence,
                sent_at: now,
                zone: instance.zone.clone(),
                core_millis: core_millis(own, zones),
                has_relays: instance.members.has_relays(),
                config_version: 1,
                config_confirmed_at: Some(now),
                list_revision: 1.into(),
                list_confirmed_at: Some(now),
                can_read: true,
            },
            told: AdvertisedLoads {
                instance: format!("i{own}"),
                incarnation,
                sequence: instance.sequence,
                zone: instance.zone.clone(),
                shares: shares.clone(),
                digest: None,
            },
        };
        let digest = instance.loads.digest(&shares);
        instance.beats_at = now + instance.members.heartbeat_interval(now);
        let near = beat.clone();
        beat.told.digest = Some(digest);
        beat.told.sequence += 1;
        beat.state.sequence += 1;
        for to in &fan_out.far {
            self.send(own, number(to), true, vec![beat.clone()]);
        }
        if let Some(to) = &fan_out.relay {
            self.send(own, number(to), true, vec![near.clone()]);
        }
        for to in &fan_out.direct {
            self.send(own, number(to), false, vec![near.clone()]);
        }
        if fan_out.forwards_to_zone {
            self.pass_on(own, near);
        }
    }

    fn pass_on(&mut self, own: usize, beat: Beat) {
        let now = self.now;
        let instance = &mut self.instances[own];
        if instance.bundle.is_empty() {
            instance.bundled_at = now + instance.members.bundle_interval(now);
        }
        instance.bundle.push(beat);
    }

    fn send_bundle(&mut self, own: usize) {
        let beats = std::mem::take(&mut self.instances[own].bundle);
        for to in self.instances[own].members.neighbours(self.now) {
            self.send(own, number(&to), false, beats.clone());
        }
    }

    fn send(&mut self, from: usize, to: usize, pass_on: bool, beats: Vec<Beat>) {
        self.instances[from].sent += 1;
        self.datagrams.push(Datagram {
            from,
            to,
            pass_on,
            beats,
        });
    }

    fn deliver(&mut self, datagram: Datagram) {
        let is_lost =
            self.loses_one_in > 0 && self.random.next_u32().is_multiple_of(self.loses_one_in);
        let (from, to) = (&self.instances[datagram.from], &self.instances[datagram.to]);
        let is_between = |zone: &String| (from.zone == *zone) != (to.zone == *zone);
        let is_cut = self.cut_off.as_ref().is_some_and(is_between);
        if is_lost || is_cut || !to.is_alive {
            return;
        }
        if self.now < to.frozen_until {
            self.instances[datagram.to].held.push(datagram);
        } else {
            self.receive(datagram);
        }
    }

    fn receive(&mut self, datagram: Datagram) {
        let now = self.now;
        let (from, to) = (datagram.from, datagram.to);
        self.instances[to].received += 1;
        for beat in datagram.beats {
            let instance = &mut self.instances[to];
            if beat.address == address(to) {
                continue;
            }
            let members = &mut instance.members;
            let arrival = members.hear(now, beat.address, beat.state.clone());
            if arrival == Arrival::Old {
                continue;
            }
            for address in &beat.addresses {
                members.learn_address(now, *address);
            }
            if arrival == Arrival::FirstOfIncarnation && beat.address == address(from) {
                members.queue_immediate_heartbeat(beat.address);
                instance.beats_at = instance.beats_at.min(now + STEP);
            }
            if members.follows(&beat.state.zone) || beat.told.digest.is_some() {
                instance.loads.hear(now, beat.told.clone());
            }
            if datagram.pass_on {
                self.pass_on(to, beat);
            }
        }
    }

    /// Instances whose picture of the engine's load differs from what the others
    /// that live have put there.
    pub fn wrong(&self) -> Vec<usize> {
        let live = || {
            self.instances
                .iter()
                .enumerate()
                .filter(|(_, i)| i.is_alive)
        };
        let total: u64 = live().map(|(_, instance)| instance.tokens).sum();
        let is_wrong =
            |instance: &Instance| instance.loads.on("e1").session_tokens + instance.tokens != total;
        let wrong = live().filter(|(_, instance)| is_wrong(instance));
        wrong.map(|(own, _)| own).collect()
    }

    /// Time until all pictures are right, within a bound.
    pub fn time_to_agree(&mut self, within: Duration) -> Option<Duration> {
        let began = self.now;
        while self.now < began + within {
            self.step();
            if self.wrong().is_empty() {
                return Some(self.now - began);
            }
        }
        None
    }

    /// Forgets the datagrams counted so far.
    pub fn count_anew(&mut self) {
        for instance in &mut self.instances {
            instance.received = 0;
            instance.sent = 0;
        }
    }
}
