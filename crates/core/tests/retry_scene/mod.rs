//! Instances that share engines and exchange loads and refusals, and callers that come back once as
//! told.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::AdvertisedLoads;
use iristhread_core::GatewayControl;
use iristhread_core::Now;
use iristhread_core::PlacementRequest;
use iristhread_core::Ranking;
use iristhread_core::Refusal;
use iristhread_core::Replica;
use iristhread_core::RunEnd;
use iristhread_core::ServiceLevel;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use crate::gateway_scene::ask;
use crate::gateway_scene::engine;
use crate::gateway_scene::fingerprint;
use crate::gateway_scene::instance;
use crate::gateway_scene::ms;
use crate::gateway_scene::terms;

/// Length of one step.
pub const STEP: Duration = ms(20);

/// Number of engines; each has room for 8 sessions.
pub const ENGINES: usize = 12;

/// Sessions per second that fill the engines: each takes 8 s on average.
pub const FULL_LOAD_PER_S: f64 = ENGINES as f64;

/// How the instances inform each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Links {
    /// Loads and refusals arrive.
    Open,
    /// Loads arrive, refusals are lost.
    WithoutRefusals,
}

/// A decision about a request of the scene.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request.
    pub request: String,
    /// Its engines in order of preference, or the time its caller was told.
    pub result: Result<Vec<String>, Duration>,
}

/// The fleet and its callers.
pub struct RetryScene {
    pub now: Now,
    pub controls: Vec<GatewayControl>,
    pub decisions: Vec<Decision>,
    /// Times at which callers came back.
    pub returns: Vec<Now>,
    pub refused_once: usize,
    pub refused_twice: usize,
    /// Callers served within and after their objective.
    pub in_time: usize,
    pub late: usize,
    links: Links,
    random: Pcg32,
    sequence: u64,
    callers: usize,
    ends: BTreeMap<(Now, String), usize>,
    retries: BTreeMap<(Now, String), ServiceLevel>,
}

impl RetryScene {
    pub fn new(instances: usize, forecasts: bool, links: Links, seed: u64) -> Self {
        let engines: Vec<Replica> = (0..ENGINES)
            .map(|n| engine(&format!("e{n}"), "z1"))
            .collect();
        let control = |number| {
            let mut control = instance(number, &engines);
            control.set_terms(iristhread_core::GatewayParameters {
                least_copied_tokens: u32::MAX,
                forecast_retry_after: forecasts,
                ..terms()
            });
            control
        };
        RetryScene {
            now: ms(1_000),
            controls: (0..instances).map(control).collect(),
            decisions: Vec::new(),
            returns: Vec::new(),
            refused_once: 0,
            refused_twice: 0,
            in_time: 0,
            late: 0,
            links,
            random: Pcg32::seed_from_u64(seed),
            sequence: 0,
            callers: 0,
            ends: BTreeMap::new(),
            retries: BTreeMap::new(),
        }
    }

    /// Plays callers that arrive at a rate for a time.
    pub fn play(&mut self, time: Duration, per_s: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.end_sessions();
            self.return_callers();
            let mut due = per_s * STEP.as_secs_f64();
            while self.chance() < due {
                due -= 1.0;
                self.call();
            }
            self.exchange();
        }
    }

    /// A new caller asks a random instance.
    pub fn call(&mut self) {
        self.callers += 1;
        let content = format!("c{}", self.callers);
        let level = ServiceLevel {
            arrived: self.now,
            deadline: self.now + ms(39_000),
            ..ask("").level
        };
        if let Err(refusal) = self.place(&content, "first", &level) {
            self.refused_once += 1;
            let longest = level.deadline.saturating_sub(self.now) / 3;
            assert!(refusal.retry_after <= longest, "{refusal:?}");
            let at = self.now + refusal.retry_after;
            self.retries.insert((at, content), level);
        }
    }

    fn return_callers(&mut self) {
        while let Some((key, level)) = self.retries.pop_first() {
            if key.0 > self.now {
                self.retries.insert(key, level);
                return;
            }
            self.returns.push(self.now);
            if self.place(&key.1, "again", &level).is_err() {
                self.refused_twice += 1;
            }
        }
    }

    fn place(
        &mut self,
        content: &str,
        attempt: &str,
        level: &ServiceLevel,
    ) -> Result<Ranking, Refusal> {
        let request = format!("{content} {attempt}");
        let number = self.random.next_u32() as usize % self.controls.len();
        let ask = PlacementRequest {
            fingerprint: fingerprint(content),
            level: level.clone(),
            ..ask(&request)
        };
        let placed = self.controls[number].place(self.now, ask);
        let result = match &placed {
            Ok(ranking) => Ok(ranking.replicas.iter().map(|r| r.id.clone()).collect()),
            Err(refusal) => Err(refusal.retry_after),
        };
        let took = ms(4_000) + ms(8_000).mul_f64(self.chance());
        if placed.is_ok() {
            match self.now <= level.arrived + level.objective {
                true => self.in_time += 1,
                false => self.late += 1,
            }
            self.ends.insert((self.now + took, request.clone()), number);
            self.advertise_load(number);
        }
        self.decisions.push(Decision { request, result });
        placed
    }

    fn end_sessions(&mut self) {
        while let Some((key, number)) = self.ends.pop_first() {
            if key.0 > self.now {
                self.ends.insert(key, number);
                return;
            }
            self.controls[number].ended(self.now, &key.1, RunEnd::Answered);
            self.advertise_load(number);
        }
    }

    fn advertise_load(&mut self, sender: usize) {
        self.sequence += 1;
        let loads = AdvertisedLoads {
            instance: format!("i{sender}"),
            incarnation: "life".to_owned(),
            sequence: self.sequence,
            zone: "z1".to_owned(),
            shares: self.controls[sender].shares(),
            digest: None,
        };
        for receiver in (0..self.controls.len()).filter(|receiver| *receiver != sender) {
            self.controls[receiver].apply_peer_load(self.now, loads.clone());
        }
    }

    /// Every 100 ms, instances exchange what they refused; every second, also their loads.
    fn exchange(&mut self) {
        if !self.now.as_millis().is_multiple_of(100) {
            return;
        }
        for sender in 0..self.controls.len() {
            self.controls[sender].tick(self.now);
            let told = self.controls[sender]
                .advertised_refusals(self.now, false)
                .own;
            for receiver in (0..self.controls.len()).filter(|receiver| *receiver != sender) {
                if self.links == Links::Open {
                    self.controls[receiver].apply_peer_refusals(self.now, &told, false);
                }
            }
            if self.now.as_millis().is_multiple_of(1_000) {
                self.advertise_load(sender);
            }
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}
