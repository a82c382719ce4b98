//! A fleet of instances in front of engines that leave, in virtual time: the instances run the real
//! decision code and advertise loads and totals to each other.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::sync::Arc;

use iristhread_core::AdvertisedTotals;
use iristhread_core::BackendId;
use iristhread_core::Evacuation;
use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::Now;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::RunEnd;
use iristhread_core::Totals;

use crate::gateway_scene::ask;
use crate::gateway_scene::config;
use crate::gateway_scene::engine;
use crate::gateway_scene::leaving;
use crate::gateway_scene::ms;
use crate::gateway_scene::terms;
use crate::gateway_scene::told;

/// Memory of an engine of the fleet, in tokens: room for about 25 sessions.
pub const MEMORY_TOKENS: u64 = 30_000;
const ENGINES: usize = 12;
const INSTANCES: usize = 4;
const SESSION_MS: u64 = 6_000;
const PROMPT_TOKENS: u64 = 1_000;
const OUTPUT_TOKENS: u64 = 400;
/// Time that a move takes.
const MOVE_MS: u64 = 200;
/// Time between two departures.
const DEPARTURE_MS: u64 = 3_300;
/// Time from the notice of an engine until it is gone.
const NOTICE_MS: u64 = 1_500;

/// The gateway of one instance with large engines and without backups.
pub fn gateway(number: usize, move_reserve: f64, engines: &[Replica]) -> GatewayControl {
    let mut control = GatewayControl::new(GatewayParameters {
        instance: format!("i{number}"),
        seed: number as u64,
        copy_limit: 0.0,
        move_reserve,
        ..terms()
    });
    let mut config = config(1);
    for traits in config.services.iter_mut().filter_map(|s| s.engine.as_mut()) {
        traits.memory_tokens = MEMORY_TOKENS;
    }
    control.offer_config(Arc::new(config));
    control.offer_replicas(Now::ZERO, 1, engines.to_vec());
    control
}

/// The totals that an instance of zone z1 advertises.
pub fn advertised(instance: &str, totals: Totals) -> AdvertisedTotals {
    AdvertisedTotals {
        instance: instance.to_owned(),
        zone: "z1".to_owned(),
        totals,
        is_zone_sum: false,
    }
}

struct Session {
    instance: usize,
    engine: BackendId,
    began_at: u64,
}

impl Session {
    fn generated(&self, now: u64) -> u64 {
        (now - self.began_at) * OUTPUT_TOKENS / SESSION_MS
    }
}

/// A fleet and its engines.
pub struct MoveFleet {
    pub instances: Vec<GatewayControl>,
    pub lost: usize,
    pub moved: usize,
    pub refused: usize,
    /// Engines of all placements, in order.
    pub chosen: Vec<BackendId>,
    /// Highest headroom of the first instance.
    pub most_kept: f64,
    engines: Vec<Replica>,
    sessions: BTreeMap<String, Session>,
    /// Moves in progress: time of their end, request, target.
    moves: Vec<(u64, String, Replica)>,
    now: u64,
    revision: u64,
}

impl MoveFleet {
    pub fn new(move_reserve: f64) -> MoveFleet {
        let engines = (0..ENGINES).map(|number| engine(&format!("e{number}"), "z1"));
        let engines: Vec<Replica> = engines.collect();
        let instances = 0..INSTANCES;
        MoveFleet {
            instances: instances
                .map(|number| gateway(number, move_reserve, &engines))
                .collect(),
            lost: 0,
            moved: 0,
            refused: 0,
            chosen: Vec::new(),
            most_kept: 0.0,
            engines,
            sessions: BTreeMap::new(),
            moves: Vec::new(),
            now: 0,
            revision: 1,
        }
    }

    /// Advances the time with `per_s` new sessions a second; `departures` engines leave every 3.3 s.
    pub fn run(&mut self, seconds: u64, per_s: u64, departures: usize) {
        let until = self.now + seconds * 1_000;
        while self.now < until {
            self.now += 10;
            for _ in 0..(self.now * per_s / 1_000 - (self.now - 10) * per_s / 1_000) {
                self.begin_session();
            }
            self.end_moves();
            if self.now.is_multiple_of(100) {
                self.end_sessions();
                self.exchange_heartbeats();
            }
            if self.now.is_multiple_of(200) {
                for instance in 0..INSTANCES {
                    let evacuations = self.instances[instance].tick(ms(self.now)).evacuations;
                    self.begin_moves(evacuations);
                }
            }
            match self.now % DEPARTURE_MS {
                0 => self.begin_departure(departures),
                NOTICE_MS => self.end_departure(departures),
                _ => {}
            }
            let kept = self.instances[0].memory_headroom(ms(self.now), "engines");
            self.most_kept = self.most_kept.max(kept);
        }
    }

    fn begin_session(&mut self) {
        let number = self.chosen.len() + self.refused;
        let (instance, request) = (number % INSTANCES, format!("r{number}"));
        let placed = self.instances[instance].place(ms(self.now), ask(&request));
        let Ok(ranking) = placed else {
            self.refused += 1;
            return;
        };
        let engine = ranking.replicas[0].id.clone();
        self.chosen.push(engine.clone());
        let session = Session {
            instance,
            engine,
            began_at: self.now,
        };
        self.sessions.insert(request, session);
    }

    fn end_sessions(&mut self) {
        for (request, session) in &self.sessions {
            let control = &mut self.instances[session.instance];
            let generated = session.generated(self.now) as u32;
            control.progress(ms(self.now), request, generated);
            if self.now - session.began_at >= SESSION_MS {
                control.ended(ms(self.now), request, RunEnd::Answered);
            }
        }
        let now = self.now;
        self.sessions
            .retain(|_, session| now - session.began_at < SESSION_MS);
    }

    fn exchange_heartbeats(&mut self) {
        let now = ms(self.now);
        for sender in 0..INSTANCES {
            let name = format!("i{sender}");
            let shares = self.instances[sender].shares();
            let totals = self.instances[sender].advertised_totals(now);
            for receiver in (0..INSTANCES).filter(|receiver| *receiver != sender) {
                let control = &mut self.instances[receiver];
                control.apply_peer_load(now, told(&name, self.now, shares.clone()));
                if let Some(totals) = totals.clone() {
                    control.apply_peer_totals(now, advertised(&name, totals));
                }
            }
        }
    }

    fn begin_moves(&mut self, evacuations: Vec<Evacuation>) {
        for Evacuation { request, target } in evacuations {
            self.moves.push((self.now + MOVE_MS, request, target));
        }
    }

    fn end_moves(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.moves.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, request, target) in due {
            let used: u64 = self.tokens_on(&target.id);
            let Some(session) = self.sessions.get_mut(&request) else {
                continue;
            };
            let control = &mut self.instances[session.instance];
            let needed = PROMPT_TOKENS + session.generated(now);
            let is_gone = !self.engines.iter().any(|engine| engine.id == target.id);
            if is_gone || used + needed > MEMORY_TOKENS {
                control.move_refused(ms(now), target.id.clone());
                let next = control.evacuate(ms(now), &request, &[target.id]);
                self.begin_moves(next.into_iter().collect());
            } else {
                session.engine = target.id.clone();
                control.fail_over_to(ms(now), &request, target);
                self.moved += 1;
            }
        }
    }

    fn tokens_on(&self, engine: &str) -> u64 {
        let there = self.sessions.values().filter(|s| s.engine == engine);
        there.map(|s| PROMPT_TOKENS + s.generated(self.now)).sum()
    }

    fn begin_departure(&mut self, count: usize) {
        let notices = self.engines.drain(..count).collect::<Vec<_>>();
        let changes = notices
            .iter()
            .map(|e| ReplicaChange::Listed(leaving(&e.id, "z1")));
        self.change_list(changes.collect());
    }

    /// Ends the engines that leave, with the sessions on them, and starts as many others.
    fn end_departure(&mut self, count: usize) {
        let engines = self.engines.clone();
        let serves = |id: &str| engines.iter().any(|engine| engine.id == id);
        let lost = self.sessions.iter().filter(|(_, s)| !serves(&s.engine));
        let lost: Vec<String> = lost.map(|(request, _)| request.clone()).collect();
        self.lost += lost.len();
        for request in lost {
            let session = self.sessions.remove(&request).unwrap();
            let control = &mut self.instances[session.instance];
            control.ended(ms(self.now), &request, RunEnd::Withdrawn);
        }
        for number in 0..count {
            let id = format!("e{}-{number}", self.now);
            self.engines.push(engine(&id, "z1"));
        }
        let started = self.engines[self.engines.len() - count..].iter().cloned();
        self.change_list(started.map(ReplicaChange::Listed).collect());
    }

    fn change_list(&mut self, changes: Vec<ReplicaChange>) {
        self.revision += 1;
        for instance in 0..INSTANCES {
            let control = &mut self.instances[instance];
            let moves = control.change_replicas(ms(self.now), self.revision, changes.clone());
            self.begin_moves(moves);
        }
    }
}
