//! A fleet of instances in front of servers that declare limits, in virtual time: the instances run
//! the real decision code and advertise their state with heartbeats.
#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use iristhread_core::AdvertisedLoads;
use iristhread_core::DeclaredLimit;
use iristhread_core::GatewayControl;
use iristhread_core::Now;
use iristhread_core::ObservedNotice;
use iristhread_core::Replica;
use iristhread_core::RunEnd;
use iristhread_core::ServerNotice;

use crate::gateway_scene::ask;
use crate::gateway_scene::engine;
use crate::gateway_scene::instance;
use crate::gateway_scene::ms;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL_MS: u64 = 200;

/// The period over which the requests that reach a server are counted.
pub const SPAN: Duration = Duration::from_secs(4);

pub fn declares_limit(per_s: &str, sent_at: Now) -> ObservedNotice {
    ObservedNotice {
        notice: ServerNotice {
            limit: DeclaredLimit::parse(per_s),
            ..ServerNotice::default()
        },
        sent_at,
        reports_limits: true,
    }
}

pub fn declares_no_limit(sent_at: Now) -> ObservedNotice {
    ObservedNotice {
        notice: ServerNotice::default(),
        sent_at,
        reports_limits: true,
    }
}

/// A fleet whose instances advertise their whole state with each heartbeat.
pub struct Fleet {
    pub instances: Vec<GatewayControl>,
    pub servers: Vec<Replica>,
    /// The limits that the servers declare in each answer.
    pub limits: Vec<Option<&'static str>>,
    /// The times at which requests reached each server.
    pub reached: Vec<Vec<Now>>,
    /// The instances that sent these requests.
    pub reached_from: Vec<Vec<usize>>,
    pub refused: Vec<Now>,
    pub now_ms: u64,
    pub requests: u64,
    /// Whether the fleet is partitioned into two halves.
    pub is_partitioned: bool,
    /// Number of the first instance that receives no requests.
    pub idle_from: usize,
}

impl Fleet {
    pub fn new(count: usize, limits: &[Option<&'static str>]) -> Fleet {
        let servers: Vec<Replica> = (0..limits.len())
            .map(|number| engine(&format!("s{number}"), "z1"))
            .collect();
        let instances = (0..count).map(|number| instance(number, &servers));
        Fleet {
            instances: instances.collect(),
            reached: vec![Vec::new(); servers.len()],
            reached_from: vec![Vec::new(); servers.len()],
            servers,
            limits: limits.to_vec(),
            refused: Vec::new(),
            now_ms: 0,
            requests: 0,
            is_partitioned: false,
            idle_from: count,
        }
    }

    /// Advances the time with `per_s` requests per second.
    pub fn run(&mut self, time: Duration, per_s: u64) {
        let until = self.now_ms + time.as_millis() as u64;
        while self.now_ms < until {
            self.now_ms += 1;
            if self.now_ms.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
                self.exchange_heartbeats();
            }
            if self.now_ms % 1_000 * per_s % 1_000 < per_s {
                self.request();
            }
        }
    }

    pub fn exchange_heartbeats(&mut self) {
        let now = ms(self.now_ms);
        for from in 0..self.instances.len() {
            let control = &mut self.instances[from];
            control.tick(now);
            let limits = control.advertised_limits(now, false);
            let loads = AdvertisedLoads {
                instance: format!("i{from}"),
                incarnation: "life".to_owned(),
                sequence: self.now_ms,
                zone: "z1".to_owned(),
                shares: control.advertised_shares(now),
                digest: None,
            };
            for to in 0..self.instances.len() {
                if to != from && (!self.is_partitioned || to % 2 == from % 2) {
                    self.instances[to].apply_peer_load(now, loads.clone());
                    self.instances[to].apply_peer_limits(now, limits.clone());
                }
            }
        }
    }

    /// Sends a request to an instance; the order of the instances is not correlated with the
    /// order of the servers.
    pub fn request(&mut self) {
        self.requests += 1;
        let number = (self.requests * 7_919 % 10_007) as usize % self.idle_from;
        let now = ms(self.now_ms);
        let id = format!("r{}", self.requests);
        let control = &mut self.instances[number];
        let Ok(ranking) = control.place(now, ask(&id)) else {
            self.refused.push(now);
            return;
        };
        let first = ranking.replicas[0].server_life();
        let index = self.servers.iter().position(|s| s.id == first.id).unwrap();
        if control.limits().has(first.life) {
            assert!(
                control.may_send(now, &first, &id),
                "the placement has a grant"
            );
        }
        self.reached[index].push(now);
        self.reached_from[index].push(number);
        let observed = match self.limits[index] {
            Some(limit) => declares_limit(limit, now),
            None => declares_no_limit(now),
        };
        control.observe_limit(now, &first, &observed);
        control.ended(now, &id, RunEnd::Answered);
    }

    /// The requests that reached a server: times and sending instances.
    pub fn reached_by(&self, server: usize) -> Vec<(Now, usize)> {
        let times = self.reached[server].iter().copied();
        times
            .zip(self.reached_from[server].iter().copied())
            .collect()
    }

    /// The maximum number of requests that reached a server within `SPAN`, from `from` on.
    pub fn most(&self, server: usize, from: Now) -> usize {
        let times = self.reached[server].iter().filter(|at| **at >= from);
        let times: Vec<Now> = times.copied().collect();
        let within = |begin: &Now| {
            let counted = times.iter().filter(|at| **at >= *begin);
            counted.filter(|at| **at < *begin + SPAN).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    pub fn count(&self, server: usize, from: Now) -> usize {
        let reached = self.reached[server].iter();
        reached.filter(|at| **at >= from).count()
    }
}

pub fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * SPAN.as_secs_f64()) as usize + 5
}
