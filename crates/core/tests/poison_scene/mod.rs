//! Simulation of a fleet to which callers send requests with parts that crash engines, in virtual
//! time. The instances decide by the real code; what they tell each other is delayed and lost.

mod heartbeats;

use std::collections::BTreeMap;
use std::time::Duration;

use iristhread_core::AdvertisedLoads;
use iristhread_core::Fingerprint;
use iristhread_core::FingerprintInput;
use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::Now;
use iristhread_core::PlacementRequest;
use iristhread_core::PromptParts;
use iristhread_core::RefusalKind;
use iristhread_core::Replica;
use iristhread_core::ReplicaChange;
use iristhread_core::RunEnd;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use crate::gateway_scene::ask;
use crate::gateway_scene::config;
use crate::gateway_scene::engine;
use crate::gateway_scene::ms;
use crate::gateway_scene::terms;
use crate::gateway_scene::told;

use heartbeats::Message;

/// Time step of the simulation.
const STEP: Duration = ms(10);

const ENGINES: usize = 14;
const ZONES: usize = 3;

/// Time between two heartbeats of an instance.
const HEARTBEAT_INTERVAL: Duration = ms(200);

/// Time for which a request waits at its engine, and for which a sound one runs there.
const QUEUED: Duration = ms(150);
const RUNS: Duration = ms(250);

/// Time until an engine that crashed is back.
const RESTART: Duration = ms(3_000);

/// What a caller sends: its workspace, the shared parts of its prompt, and how often.
#[derive(Clone)]
pub struct Caller {
    pub workspace: &'static str,
    pub parts: &'static [&'static str],
    pub per_s: f64,
}

/// A request at an engine.
struct Run {
    instance: usize,
    ask: PlacementRequest,
    replica: Replica,
    begins_at: Now,
    parts: &'static [&'static str],
}

/// What happened to the requests of callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: usize,
    pub placed: usize,
    pub quarantined: usize,
}

/// One instance, and until when it doesn't run or receives nothing.
pub struct Instance {
    pub control: GatewayControl,
    pub frozen_until: Now,
    pub cut_off_until: Now,
    next_heartbeat_at: Now,
}

/// The simulated fleet.
pub struct PoisonedFleet {
    pub now: Now,
    pub instances: Vec<Instance>,
    /// Parts on which engines crash.
    pub bad_parts: Vec<&'static str>,
    /// Times at which engines crashed under a bad part, with the instance that sent the request.
    pub crashes: Vec<(Now, usize)>,
    /// Times at which requests with a bad part were sent, with the instance.
    pub bad_sends: Vec<(Now, usize)>,
    /// Requests without a bad part since the last reset.
    pub sound: Counts,
    /// One in this many heartbeats is lost; 0 for none.
    pub loses_one_in: u32,
    random: Pcg32,
    engines: Vec<(u64, Now)>,
    runs: Vec<Run>,
    messages: Vec<Message>,
    sent: usize,
    revision: u64,
}

fn replica(number: usize, life: u64) -> Replica {
    Replica {
        born_ms: Some(1_000 + life),
        ..engine(&format!("e{number}"), "z0")
    }
}

fn zone_of(instance: usize) -> String {
    format!("z{}", instance % ZONES)
}

fn control_of(instance: usize, count: usize, now: Now, engines: &[(u64, Now)]) -> GatewayControl {
    let regions = (0..ZONES).map(|zone| (format!("z{zone}"), "north".to_owned()));
    let mut control = GatewayControl::new(GatewayParameters {
        instance: format!("i{instance}"),
        zone: zone_of(instance),
        regions: regions.collect(),
        seed: instance as u64,
        ..terms()
    });
    control.offer_config(std::sync::Arc::new(config(1)));
    let replicas = engines.iter().enumerate();
    let replicas = replicas.map(|(number, (life, _))| replica(number, *life));
    control.offer_replicas(now, 1_000, replicas.collect());
    // Of the other zones, one instance stands for all.
    let is_known = |other: &usize| {
        *other != instance && (zone_of(*other) == zone_of(instance) || *other < ZONES)
    };
    for other in (0..count).filter(is_known) {
        let loads = AdvertisedLoads {
            zone: zone_of(other),
            ..told(&format!("i{other}"), 1, BTreeMap::new())
        };
        control.apply_peer_load(now, loads);
    }
    control
}

impl PoisonedFleet {
    pub fn start(count: usize, seed: u64) -> PoisonedFleet {
        let now = ms(100_000);
        let engines = vec![(0, Now::ZERO); ENGINES];
        let instances = (0..count).map(|instance| Instance {
            control: control_of(instance, count, now, &engines),
            frozen_until: Now::ZERO,
            cut_off_until: Now::ZERO,
            next_heartbeat_at: now + HEARTBEAT_INTERVAL.mul_f64(instance as f64 / count as f64),
        });
        PoisonedFleet {
            now,
            instances: instances.collect(),
            bad_parts: Vec::new(),
            crashes: Vec::new(),
            bad_sends: Vec::new(),
            sound: Counts::default(),
            loses_one_in: 0,
            random: Pcg32::seed_from_u64(seed),
            engines,
            runs: Vec::new(),
            messages: Vec::new(),
            sent: 0,
            revision: 1_000,
        }
    }

    /// Starts an instance anew: it has forgotten everything.
    pub fn restart(&mut self, instance: usize) {
        let count = self.instances.len();
        self.runs.retain(|run| run.instance != instance);
        self.instances[instance].control = control_of(instance, count, self.now, &self.engines);
    }

    /// Lets the callers send for a time.
    pub fn run(&mut self, time: Duration, callers: &[Caller]) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for caller in callers {
                if self.chance() < caller.per_s * STEP.as_secs_f64() {
                    self.send(caller);
                }
            }
            self.begin_runs();
            self.restart_engines();
            self.tell();
            self.hear();
        }
    }

    /// Number of requests with a bad part that connected instances sent later than `contact` after the
    /// crash with this number; all sends after it if there were fewer crashes.
    pub fn late_sends(&self, crash: usize, contact: Duration, disconnected: &[usize]) -> usize {
        let bound = self.crashes.get(crash - 1).or(self.crashes.last());
        let Some((bound, _)) = bound else {
            return 0;
        };
        let sends = self.bad_sends.iter();
        let late = sends.filter(|(at, _)| *at > *bound + contact);
        late.filter(|(_, i)| !disconnected.contains(i)).count()
    }

    /// Number of parts that instances hold in quarantine, the most at any of them.
    pub fn quarantined_parts(&self) -> usize {
        let instances = self.instances.iter();
        let parts = instances.map(|instance| instance.control.quarantined_parts());
        parts.max().unwrap_or_default()
    }

    /// Crashes under requests of instances that were connected to the others.
    pub fn connected_crashes(&self, disconnected: &[usize]) -> usize {
        let crashes = self.crashes.iter();
        crashes.filter(|(_, i)| !disconnected.contains(i)).count()
    }

    /// Crashes all engines of a share at once, for a reason of their own.
    pub fn lose_engines(&mut self, count: usize) {
        for number in 0..count {
            self.crash(number);
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn is_frozen(&self, instance: usize) -> bool {
        self.now < self.instances[instance].frozen_until
    }

    fn is_bad(&self, parts: &[&'static str]) -> bool {
        parts.iter().any(|part| self.bad_parts.contains(part))
    }

    fn send(&mut self, caller: &Caller) {
        let instance = self.random.next_u32() as usize % self.instances.len();
        if self.is_frozen(instance) {
            return;
        }
        self.sent += 1;
        let id = format!("r{}", self.sent);
        let request = PlacementRequest {
            fingerprint: Fingerprint::of(&FingerprintInput {
                workspace: Some(caller.workspace),
                method: "POST",
                host: "shop.example",
                path: "/chat/x",
                body: id.as_bytes(),
            }),
            parts: PromptParts::of(
                Some(caller.workspace),
                caller.parts.iter().copied(),
                Some(&id),
            ),
            ..ask(&id)
        };
        let placed = self.instances[instance]
            .control
            .place(self.now, request.clone());
        let is_bad = self.is_bad(caller.parts);
        if !is_bad {
            self.sound.sent += 1;
            self.sound.placed += usize::from(placed.is_ok());
        }
        match placed {
            Ok(ranking) => {
                if is_bad {
                    self.bad_sends.push((self.now, instance));
                }
                self.runs.push(Run {
                    instance,
                    ask: request,
                    replica: ranking.replicas[0].clone(),
                    begins_at: self.now + QUEUED,
                    parts: caller.parts,
                });
            }
            Err(refusal) if !is_bad && refusal.kind == RefusalKind::Quarantined => {
                self.sound.quarantined += 1;
            }
            Err(_) => {}
        }
    }

    /// Begins runs that have waited, crashes the engines of bad ones, and ends sound ones.
    fn begin_runs(&mut self) {
        let now = self.now;
        let begun = self.runs.iter().filter(|run| run.begins_at <= now);
        let bad = begun.filter(|run| self.is_bad(run.parts));
        let bad: Vec<(usize, String)> = bad
            .map(|run| (run.instance, run.replica.id.clone()))
            .collect();
        for (instance, id) in bad {
            let number: usize = id[1..].parse().unwrap();
            if self
                .runs
                .iter()
                .any(|run| run.replica.id == id && run.begins_at <= now)
            {
                self.crashes.push((now, instance));
                self.crash(number);
            }
        }
        let is_over = |run: &Run| run.begins_at + RUNS <= now;
        let (over, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(is_over);
        self.runs = rest;
        for run in over {
            let control = &mut self.instances[run.instance].control;
            control.ended(now, &run.ask.request, RunEnd::Answered);
        }
    }

    fn crash(&mut self, number: usize) {
        let id = format!("e{number}");
        self.engines[number].1 = self.now + RESTART;
        let (there, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.replica.id == id);
        self.runs = rest;
        for run in &there {
            let control = &mut self.instances[run.instance].control;
            control.note_broken_run(self.now, &run.ask.request, &run.replica);
            control.server_ended(self.now, &run.replica.server_life());
            control.ended(self.now, &run.ask.request, RunEnd::Failed);
        }
        for instance in &mut self.instances {
            instance.control.unreachable(self.now, &id);
        }
    }

    fn restart_engines(&mut self) {
        for number in 0..self.engines.len() {
            let (life, back_at) = self.engines[number];
            if back_at == Now::ZERO || self.now < back_at {
                continue;
            }
            self.engines[number] = (life + 1, Now::ZERO);
            self.revision += 1;
            let change = ReplicaChange::Listed(replica(number, life + 1));
            for instance in &mut self.instances {
                let changes = vec![change.clone()];
                instance
                    .control
                    .change_replicas(self.now, self.revision, changes);
            }
        }
    }
}
