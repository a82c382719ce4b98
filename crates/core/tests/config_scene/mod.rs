//! Simulation of a fleet that receives configurations, in virtual time: the real decisions on
//! which instances read the directory, with simulated links, connections and processes that fail.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod calls;
pub mod instance;
pub mod plan;

use std::time::Duration;

use iristhread_core::ConfigVersion;
use iristhread_core::Now;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use instance::Heartbeat;
use instance::Instance;
use plan::Fault;
use plan::Plan;
use plan::Step;

/// One step of the environment, and the delay of a datagram.
const STEP: Duration = Duration::from_millis(10);

/// One datagram in this many is lost, also without faults.
const LOSS_ONE_IN: u32 = 200;

/// The time to apply a change, and the time without faults of the instance and the directory after
/// which this bound applies.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub in_force: Duration,
    pub calm: Duration,
}

impl Bounds {
    /// Returns the bounds of a fleet of this size.
    pub fn of(instances: usize) -> Bounds {
        let (in_force, calm) = match instances > 32 {
            true => (3_000, 4_000),
            false => (2_000, 3_000),
        };
        Bounds {
            in_force: Duration::from_millis(in_force),
            calm: Duration::from_millis(calm),
        }
    }
}

/// A version and the time at which it was confirmed to the operators.
type Acked = (ConfigVersion, Now);

/// An instance without recent faults that lacks a version after the bound.
#[derive(Clone, Debug)]
pub struct Late {
    pub instance: usize,
    pub lacks: ConfigVersion,
    pub acked_at: Now,
    pub at: Now,
}

/// The fleet, the directory, and their faults.
pub struct Environment {
    pub now: Now,
    pub instances: Vec<Instance>,
    /// Versions that the directory has confirmed.
    acked: Vec<Acked>,
    /// End of the outage of the directory.
    store_down_until: Now,
    store_outage_ended: Now,
    /// Zone that is partitioned from the others, and the end of the partition.
    cut_zone: Option<(String, Now)>,
    plan: Plan,
    random: Pcg32,
    bounds: Bounds,
    datagrams: Vec<(usize, usize, Heartbeat)>,
    /// Versions that instances without recent faults lacked after the bound.
    pub late: Vec<Late>,
    /// Number of calls to the directory.
    pub calls: u64,
}

impl Environment {
    pub fn start(count: usize, zones: usize, seed: u64, plan: Plan) -> Environment {
        let mut random = Pcg32::seed_from_u64(seed);
        let instances = (0..count).map(|own| Instance::start(own, zones, Now::ZERO, &mut random));
        Environment {
            now: Now::ZERO,
            instances: instances.collect(),
            acked: vec![(1, Now::ZERO)],
            store_down_until: Now::ZERO,
            store_outage_ended: Now::ZERO,
            cut_zone: None,
            plan,
            random,
            bounds: Bounds::of(count),
            datagrams: Vec::new(),
            late: Vec::new(),
            calls: 0,
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for step in self.plan.due(self.now) {
            self.inject(step);
        }
        for (from, to, beat) in std::mem::take(&mut self.datagrams) {
            self.deliver(from, to, beat);
        }
        for own in 0..self.instances.len() {
            if self.instances[own].is_up(self.now) {
                self.act(own);
            }
        }
        self.check();
    }

    /// Returns the newest version of the directory.
    pub fn newest(&self) -> ConfigVersion {
        self.acked.last().map_or(0, |(version, _)| *version)
    }

    fn act(&mut self, own: usize) {
        let now = self.now;
        let instance = &mut self.instances[own];
        let is_reachable = now >= self.store_down_until && now >= instance.no_store_until;
        self.calls += instance.read(now, &self.acked, is_reachable, &mut self.random);
        if let Some(peer) = instance.peer_to_query(now) {
            let answer = self.peer_answer(own, peer);
            self.instances[own].apply_answer(now, answer);
        }
        for (to, beat) in self.instances[own].heartbeats(now, &mut self.random) {
            self.datagrams.push((own, to, beat));
        }
    }

    /// Returns the answer of a peer, `None` if it does not arrive.
    fn peer_answer(&self, own: usize, peer: usize) -> Option<ConfigVersion> {
        let other = &self.instances[peer];
        let passes = self.passes(own, peer) && other.is_up(self.now);
        passes.then_some(other.version)
    }

    /// Returns whether datagrams from one instance reach the other.
    fn passes(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.instances[from], &self.instances[to]);
        let is_between = |zone: &String| (from.zone == *zone) != (to.zone == *zone);
        let cut = self.cut_zone.as_ref();
        let is_cut = cut.is_some_and(|(zone, until)| self.now < *until && is_between(zone));
        !is_cut && self.now >= from.no_peers_until && self.now >= to.no_peers_until
    }

    fn deliver(&mut self, from: usize, to: usize, beat: Heartbeat) {
        if to >= self.instances.len() {
            // The address of a seed peer that doesn't exist.
            return;
        }
        let is_lost = self.random.next_u32().is_multiple_of(LOSS_ONE_IN);
        if is_lost || !self.passes(from, to) || self.now < self.instances[to].down_until {
            return;
        }
        self.instances[to].receive(self.now, beat, &mut self.random);
    }

    fn inject(&mut self, step: Step) {
        let now = self.now;
        let until = now + step.duration;
        match step.fault {
            Fault::Publish => {
                let version = self.newest() + 1;
                self.acked.push((version, now));
            }
            Fault::Freeze(targets) => {
                for own in self.choose(targets) {
                    self.instances[own].freeze(until);
                }
            }
            Fault::Kill(targets) => {
                for own in self.choose(targets) {
                    let zones = self.zones();
                    self.instances[own] = Instance::restart(own, zones, until, &mut self.random);
                }
            }
            Fault::CutFromStore(targets) => {
                for own in self.choose(targets) {
                    let instance = &mut self.instances[own];
                    instance.no_store_until = instance.no_store_until.max(until);
                    instance.cut_off(until);
                }
            }
            Fault::CutFromPeers(targets) => {
                for own in self.choose(targets) {
                    let instance = &mut self.instances[own];
                    instance.no_peers_until = instance.no_peers_until.max(until);
                }
            }
            Fault::CutZone(number) => {
                let zone = instance::zone_of(number, self.zones());
                self.cut_zone = Some((zone, until));
            }
            Fault::StallConnections => {
                for instance in &mut self.instances {
                    instance.stall_connections(now);
                }
            }
            Fault::StoreDown => {
                self.store_down_until = self.store_down_until.max(until);
                self.store_outage_ended = self.store_down_until;
                for instance in &mut self.instances {
                    instance.call_hangs();
                }
            }
        }
    }

    fn zones(&self) -> usize {
        self.instances[0].number_of_zones
    }

    /// Chooses the targets of a fault at random, current readers first if the plan says so.
    fn choose(&mut self, targets: plan::Targets) -> Vec<usize> {
        let mut numbers: Vec<usize> = (0..self.instances.len()).collect();
        for index in (1..numbers.len()).rev() {
            let other = self.random.next_u32() as usize % (index + 1);
            numbers.swap(index, other);
        }
        if targets.readers_first {
            numbers.sort_by_key(|own| !self.instances[*own].is_reading());
        }
        numbers.truncate(targets.count.min(self.instances.len() - 1));
        numbers
    }

    fn check(&mut self) {
        let bounds = self.bounds;
        let due = self.now.saturating_sub(bounds.in_force);
        let due = self.acked.iter().rev().find(|(_, at)| *at < due);
        let Some((version, acked_at)) = due.copied() else {
            return;
        };
        let is_calm = |ended: Now| ended == Now::ZERO || self.now > ended + bounds.calm;
        if !is_calm(self.store_outage_ended) || self.now < bounds.calm {
            return;
        }
        for (own, instance) in self.instances.iter().enumerate() {
            let is_known = |late: &&Late| late.instance == own && late.lacks == version;
            if !is_calm(instance.fault_ended)
                || instance.version >= version
                || self.late.iter().any(|late| is_known(&late))
            {
                continue;
            }
            self.late.push(Late {
                instance: own,
                lacks: version,
                acked_at,
                at: self.now,
            });
        }
    }
}
