//! A fleet of instances in front of brittle servers, in virtual time: the instances run the real
//! decision code and advertise their state with heartbeats.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use iristhread_core::AdvertisedLoads;
use iristhread_core::DeclaredBound;
use iristhread_core::GatewayControl;
use iristhread_core::LimitChange;
use iristhread_core::ObservedNotice;
use iristhread_core::PlacementRequest;
use iristhread_core::Replica;
use iristhread_core::RequestClass;
use iristhread_core::RunEnd;
use iristhread_core::ServerNotice;

use crate::gateway_scene::ask;
use crate::gateway_scene::engine;
use crate::gateway_scene::instance;
use crate::gateway_scene::ms;

/// Requests that a server processes at once.
const SLOTS: usize = 6;

/// Requests that may wait at a server before its queue shrinks.
const QUEUE: usize = 6;

/// Time that a server needs for a request.
const SERVICE_MS: u64 = 150;

/// Time from the first statement of a server until its queue shrinks and it may fall over.
const CONTACT_MS: u64 = 3_000;

/// Time for which a server that fell over is down.
const DOWN_MS: u64 = 3_000;

/// Time after which a refused caller comes back, once.
const RETRY_MS: u64 = 500;

/// Rejections a second that a server withstands.
pub const BOUND: u32 = 4;

/// A server that falls over when it rejects more than `BOUND` requests within a second.
#[derive(Default)]
struct Server {
    /// Ends of the running and waiting requests: time, instance, request.
    running: VecDeque<(u64, usize, String)>,
    rejections: VecDeque<u64>,
    down_until: u64,
    falls: usize,
}

/// A fleet and its servers.
pub struct BrittleFleet {
    instances: Vec<GatewayControl>,
    replicas: Vec<Replica>,
    servers: Vec<Server>,
    /// Whether instances read what the servers declare.
    reads_notices: bool,
    brittle_from: u64,
    brittle_until: u64,
    now: u64,
    requests: u64,
    retries: BTreeMap<u64, u32>,
    pub served: usize,
}

impl BrittleFleet {
    /// Servers that are brittle from 2 s to 22 s.
    pub fn new(instances: usize, servers: usize, reads_notices: bool) -> BrittleFleet {
        let replicas: Vec<Replica> = (0..servers).map(plain_server).collect();
        let controls = (0..instances).map(|number| instance(number, &replicas));
        BrittleFleet {
            instances: controls.collect(),
            servers: (0..servers).map(|_| Server::default()).collect(),
            replicas,
            reads_notices,
            brittle_from: 2_000,
            brittle_until: 22_000,
            now: 0,
            requests: 0,
            retries: BTreeMap::new(),
            served: 0,
        }
    }

    /// Requests a second that the servers process together.
    pub fn capacity_per_s(&self) -> u64 {
        self.servers.len() as u64 * SLOTS as u64 * 1_000 / SERVICE_MS
    }

    /// Advances the time with `per_s` requests per second.
    pub fn run(&mut self, time: Duration, per_s: u64) {
        let until = self.now + time.as_millis() as u64;
        while self.now < until {
            self.now += 1;
            self.end_requests();
            self.exchange_heartbeats();
            let arrivals = self.now * per_s / 1_000 - (self.now - 1) * per_s / 1_000;
            for _ in 0..arrivals {
                self.request(true);
            }
            let retries = self.retries.remove(&self.now).unwrap_or_default();
            for _ in 0..retries {
                self.request(false);
            }
        }
    }

    /// How often servers fell over.
    pub fn falls(&self) -> usize {
        self.servers.iter().map(|server| server.falls).sum()
    }

    fn is_brittle(&self) -> bool {
        (self.brittle_from..self.brittle_until).contains(&self.now)
    }

    /// Whether the servers let nobody wait any more, and may fall over.
    fn is_shrunk(&self) -> bool {
        self.is_brittle() && self.now >= self.brittle_from + CONTACT_MS
    }

    fn places(&self) -> usize {
        SLOTS + if self.is_shrunk() { 0 } else { QUEUE }
    }

    /// Instances beat in turn, so that a heartbeat is as old as the interval at most.
    fn exchange_heartbeats(&mut self) {
        let count = self.instances.len() as u64;
        let interval = (12 * count).clamp(200, 1_000);
        for from in 0..self.instances.len() {
            if !(self.now + from as u64 * interval / count).is_multiple_of(interval) {
                continue;
            }
            let now = ms(self.now);
            self.instances[from].tick(now);
            self.instances[from].grow_brittle(now);
            let limits = self.instances[from].advertised_limits(now, false);
            let loads = AdvertisedLoads {
                instance: format!("i{from}"),
                incarnation: "life".to_owned(),
                sequence: self.now,
                zone: "z1".to_owned(),
                shares: self.instances[from].advertised_shares(now),
                digest: None,
            };
            self.advertise_to_all(from, |control| {
                control.apply_peer_load(now, loads.clone());
                control.apply_peer_limits(now, limits.clone());
            });
        }
    }

    fn advertise_to_all(&mut self, from: usize, apply: impl Fn(&mut GatewayControl)) {
        let others = self.instances.iter_mut().enumerate();
        let others = others.filter(|(number, _)| *number != from);
        others.for_each(|(_, control)| apply(control));
    }

    fn request(&mut self, is_first: bool) {
        self.requests += 1;
        let number = (self.requests * 7_919 % 10_007) as usize % self.instances.len();
        let id = format!("r{}", self.requests);
        let now = ms(self.now);
        let Ok(ranking) = self.instances[number].place(now, plain_call(&id)) else {
            return self.come_back(is_first);
        };
        let server = ranking.replicas[0].server_life();
        if !self.instances[number].may_send(now, &server, &id) {
            self.instances[number].ended(now, &id, RunEnd::Refused);
            return self.come_back(is_first);
        }
        let index = self.replicas.iter().position(|r| r.id == server.id);
        self.arrive(index.unwrap(), number, id, is_first);
    }

    fn come_back(&mut self, is_first: bool) {
        if is_first {
            *self.retries.entry(self.now + RETRY_MS).or_default() += 1;
        }
    }

    fn arrive(&mut self, index: usize, number: usize, id: String, is_first: bool) {
        let now = ms(self.now);
        let places = self.places();
        let falls_over = self.is_shrunk();
        let server = &mut self.servers[index];
        if self.now < server.down_until {
            self.instances[number].ended(now, &id, RunEnd::Failed);
            return self.come_back(is_first);
        }
        if server.running.len() < places {
            let ahead = server.running.len().saturating_sub(SLOTS - 1) as u64;
            let ends = self.now + SERVICE_MS + ahead * SERVICE_MS / SLOTS as u64;
            server.running.push_back((ends, number, id));
            return;
        }
        server.rejections.push_back(self.now);
        let recent = self.now.saturating_sub(1_000);
        server.rejections.retain(|at| *at > recent);
        if falls_over && server.rejections.len() > BOUND as usize {
            server.falls += 1;
            server.down_until = self.now + DOWN_MS;
            server.rejections.clear();
            for (_, number, id) in std::mem::take(&mut server.running) {
                self.instances[number].ended(now, &id, RunEnd::Failed);
            }
        }
        let life = self.replicas[index].server_life();
        self.read_answer(number, index, false);
        let change = self.instances[number].rejected_for_room(now, &life);
        self.advertise_at_once(number, change);
        self.instances[number].ended(now, &id, RunEnd::Refused);
        self.come_back(is_first);
    }

    fn end_requests(&mut self) {
        for index in 0..self.servers.len() {
            let running = std::mem::take(&mut self.servers[index].running);
            let (ended, running): (VecDeque<_>, VecDeque<_>) = running
                .into_iter()
                .partition(|(ends, ..)| *ends <= self.now);
            self.servers[index].running = running;
            for (_, number, id) in ended {
                self.read_answer(number, index, true);
                self.instances[number].ended(ms(self.now), &id, RunEnd::Answered);
                self.served += 1;
            }
        }
    }

    /// An instance reads what an answer declares.
    fn read_answer(&mut self, number: usize, index: usize, is_success: bool) {
        let brittle = match self.is_brittle() && self.reads_notices {
            true => DeclaredBound::Of(BOUND),
            false => DeclaredBound::Absent,
        };
        let observed = ObservedNotice {
            notice: ServerNotice {
                brittle,
                ..ServerNotice::default()
            },
            sent_at: ms(self.now),
            reports_limits: is_success,
        };
        let life = self.replicas[index].server_life();
        let now = ms(self.now);
        let change = self.instances[number].observe_limit(now, &life, &observed);
        self.advertise_at_once(number, change);
    }

    /// A changed limit is advertised in an immediate heartbeat.
    fn advertise_at_once(&mut self, number: usize, change: Option<LimitChange>) {
        if change.is_some() {
            let now = ms(self.now);
            let limits = self.instances[number].advertised_limits(now, false);
            self.advertise_to_all(number, |control| {
                control.apply_peer_limits(now, limits.clone());
            });
        }
    }
}

fn plain_server(number: usize) -> Replica {
    Replica {
        service: "orders".to_owned(),
        slots: SLOTS as u32,
        ..engine(&format!("s{number}"), "z1")
    }
}

fn plain_call(id: &str) -> PlacementRequest {
    PlacementRequest {
        service: "orders".to_owned(),
        class: RequestClass::Once,
        ..ask(id)
    }
}
