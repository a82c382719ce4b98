//! A fleet in front of engines of different speed, in virtual time: the instances run the real
//! decision code and exchange loads and totals.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use iristhread_core::AdvertisedTotals;
use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::Replica;
use iristhread_core::RunEnd;
use iristhread_core::SpeedChange;

use crate::gateway_scene::ask;
use crate::gateway_scene::engine;
use crate::gateway_scene::instance;
use crate::gateway_scene::ms;
use crate::gateway_scene::terms;
use crate::gateway_scene::told;

const STEP_MS: u64 = 20;

/// Time between two heartbeats and ticks, in ms.
const HEARTBEAT_MS: u64 = 200;

/// Growth of the time per token (10 ms) with each session.
const GROWTH_BY_SESSION: f64 = 0.06;

const REPORT_TOKENS: f64 = 64.0;
const ANSWER_TOKENS: f64 = 400.0;

struct Session {
    request: String,
    instance: usize,
    tokens: f64,
    reported: f64,
}

struct Engine {
    replica: Replica,
    /// Time as a multiple of that of a usual engine.
    factor: f64,
    sessions: Vec<Session>,
}

#[derive(Default)]
pub struct SpeedFleet {
    pub instances: Vec<GatewayControl>,
    engines: Vec<Engine>,
    now: u64,
    arrived: f64,
    requests: u64,
    /// Whether heartbeats arrive.
    pub is_connected: bool,
    /// Numbers of the engines chosen, in order.
    pub choices: Vec<usize>,
    /// Times per token in ms: one per step and session that generates.
    pub token_times: Vec<f64>,
    /// What the first instance reported.
    pub changes: Vec<SpeedChange>,
}

impl SpeedFleet {
    /// Five instances and engines with these relative times.
    pub fn new(factors: &[f64], learn_speeds: bool) -> SpeedFleet {
        let replicas = (0..factors.len()).map(|number| engine(&format!("e{number}"), "z1"));
        let replicas: Vec<Replica> = replicas.collect();
        let instances = (0..5).map(|number| {
            let mut control = instance(number, &replicas);
            control.set_terms(GatewayParameters {
                learn_speeds,
                ..terms()
            });
            control
        });
        let instances = instances.collect();
        let engines = replicas.into_iter().zip(factors);
        let engines = engines.map(|(replica, factor)| Engine {
            replica,
            factor: *factor,
            sessions: Vec::new(),
        });
        SpeedFleet {
            instances,
            engines: engines.collect(),
            is_connected: true,
            ..SpeedFleet::default()
        }
    }

    /// Plays some seconds under a load that varies by 0.55 around `per_s` within 15 s.
    pub fn run(&mut self, seconds: u64, per_s: f64) {
        let until = self.now + seconds * 1_000;
        while self.now < until {
            self.now += STEP_MS;
            self.advance_engines();
            if self.now.is_multiple_of(HEARTBEAT_MS) {
                self.exchange_heartbeats();
            }
            let phase = self.now as f64 / 15_000.0 * std::f64::consts::TAU;
            self.arrived += per_s * (1.0 + 0.55 * phase.sin()) * STEP_MS as f64 / 1_000.0;
            while self.requests < self.arrived as u64 {
                self.request();
            }
        }
    }

    /// How often an engine was chosen.
    pub fn chosen(&self, engine: usize) -> usize {
        self.choices
            .iter()
            .filter(|chosen| **chosen == engine)
            .count()
    }

    pub fn mean_token_ms(&self) -> f64 {
        self.token_times.iter().sum::<f64>() / self.token_times.len() as f64
    }

    /// Relative time of an engine as the first instance knows it.
    pub fn relative_time(&self, engine: usize) -> f64 {
        let life = self.engines[engine].replica.life();
        let speeds = self.instances[0].speeds();
        speeds.speed("engines", life, 0.0).relative_time
    }

    /// Restarts an engine under its id, or changes its speed.
    pub fn set_factor(&mut self, engine: usize, factor: f64, is_restart: bool) {
        let now = ms(self.now);
        self.engines[engine].factor = factor;
        if !is_restart {
            return;
        }
        self.engines[engine].replica.born_ms = Some(self.now);
        for session in std::mem::take(&mut self.engines[engine].sessions) {
            self.instances[session.instance].ended(now, &session.request, RunEnd::Withdrawn);
        }
        let replicas: Vec<Replica> = self.engines.iter().map(|e| e.replica.clone()).collect();
        for control in &mut self.instances {
            control.offer_replicas(now, self.now, replicas.clone());
        }
    }

    fn advance_engines(&mut self) {
        let now = ms(self.now);
        for engine in &mut self.engines {
            let crowd = 1.0 + GROWTH_BY_SESSION * engine.sessions.len() as f64;
            let token_ms = engine.factor * 10.0 * crowd;
            for session in &mut engine.sessions {
                let control = &mut self.instances[session.instance];
                self.token_times.push(token_ms);
                session.tokens += STEP_MS as f64 / token_ms;
                if session.tokens >= session.reported + REPORT_TOKENS {
                    session.reported = session.tokens;
                    control.progress(now, &session.request, session.tokens as u32);
                }
                if session.tokens >= ANSWER_TOKENS {
                    control.ended(now, &session.request, RunEnd::Answered);
                }
            }
            engine.sessions.retain(|s| s.tokens < ANSWER_TOKENS);
        }
    }

    fn exchange_heartbeats(&mut self) {
        let now = ms(self.now);
        for from in 0..self.instances.len() {
            let control = &mut self.instances[from];
            control.tick(now);
            let changes = control.take_speed_changes();
            if from == 0 {
                self.changes.extend(changes);
            }
            let loads = told(
                &format!("i{from}"),
                self.now,
                control.advertised_shares(now),
            );
            let totals = control.advertised_totals(now);
            let advertised = totals.map(|totals| AdvertisedTotals {
                instance: format!("i{from}"),
                zone: "z1".to_owned(),
                totals,
                is_zone_sum: false,
            });
            let others = self.instances.iter_mut().enumerate();
            let others = others.filter(|(number, _)| self.is_connected && *number != from);
            for (_, control) in others {
                control.apply_peer_load(now, loads.clone());
                if let Some(advertised) = &advertised {
                    control.apply_peer_totals(now, advertised.clone());
                }
            }
        }
    }

    fn request(&mut self) {
        self.requests += 1;
        let instance = (self.requests * 7_919 % 10_007) as usize % self.instances.len();
        let request = format!("r{}", self.requests);
        let Ok(ranking) = self.instances[instance].place(ms(self.now), ask(&request)) else {
            return;
        };
        let is_first = |engine: &Engine| engine.replica.id == ranking.replicas[0].id;
        let chosen = self.engines.iter().position(is_first).unwrap();
        self.choices.push(chosen);
        self.instances[instance].progress(ms(self.now), &request, 0);
        self.engines[chosen].sessions.push(Session {
            request,
            instance,
            tokens: 0.0,
            reported: 0.0,
        });
    }
}
