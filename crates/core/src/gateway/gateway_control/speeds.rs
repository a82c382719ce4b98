//! Learns the speed of backend servers from the requests of this instance and its peers' timings.

use std::collections::BTreeMap;

use super::GatewayControl;
use crate::IncarnationId;
use crate::LoadShare;
use crate::Now;
use crate::OwnRun;
use crate::Replica;
use crate::ReplicaScore;
use crate::RequestClass;
use crate::RunEnd;
use crate::ServerLoad;
use crate::ServerSpeed;
use crate::ServerSpeeds;
use crate::SpeedChange;
use crate::SpeedSample;
use crate::membership::rendezvous::weight;
use crate::servers::run_timings::RunTimings;
use crate::servers::run_timings::Timed;

/// Instances that advertise their timings of a server, on average, if all have some: enough that
/// the noise of each matters little. With all of them, the heartbeats of a large fleet would be
/// longer than needed.
const ADVERTISERS_OF_SERVER: usize = 4;

/// Speed of the backend servers, and the requests that are being timed. Empty unless the settings
/// say that speeds are learned.
#[derive(Debug, Default)]
pub(super) struct SpeedLearning {
    pub(super) servers: ServerSpeeds,
    pub(super) runs: RunTimings,
}

impl GatewayControl {
    /// Returns what is known of the speed of the backend servers.
    pub fn speeds(&self) -> &ServerSpeeds {
        &self.speeds.servers
    }

    /// Takes the backend servers whose speed has begun or ceased to be usual.
    pub fn take_speed_changes(&mut self) -> Vec<SpeedChange> {
        self.speeds.servers.take_changes()
    }

    /// Records that a stream has waited for something other than the speed of its engine: a silence
    /// of the engine or the connection, or its caller.
    pub fn interrupted(&mut self, request: &str) {
        self.speeds.runs.interrupt(request);
    }

    /// Returns the timings that this instance advertises.
    pub(super) fn advertised_speeds(&self) -> BTreeMap<IncarnationId, SpeedSample> {
        let instances = self.peers.count() + 1;
        let max_servers = (ADVERTISERS_OF_SERVER * self.list.count()).div_ceil(instances);
        let rank = |life: IncarnationId| weight(&self.parameters.instance, &life.to_string());
        self.speeds.servers.advertised(max_servers, rank)
    }

    /// Returns what is known of the speed of a replica with the load of all instances and one more
    /// request.
    pub(super) fn speed_of(&self, replica: &Replica, load: &LoadShare) -> ServerSpeed {
        if !self.parameters.learn_speeds {
            return ServerSpeed::default();
        }
        let load = slots_in_use(replica, load.requests.saturating_add(1));
        self.speeds
            .servers
            .speed(&replica.service, replica.life(), load)
    }

    /// Starts to time a request that is sent to the replica of `score`.
    pub(super) fn time_run(&mut self, now: Now, request: &str, score: &ReplicaScore) {
        if !self.parameters.learn_speeds {
            return;
        }
        let replica = &score.replica;
        let load = slots_in_use(replica, score.load.requests.saturating_add(1));
        let tokens = score.load.unread_tokens;
        self.speeds
            .runs
            .sent(now, request, replica.life(), load, tokens);
    }

    /// Times the progress of a session.
    pub(super) fn time_progress(&mut self, now: Now, request: &str, generated: u32) {
        if !self.parameters.learn_speeds {
            return;
        }
        // Streams of other services have no tokens, and their answers differ in length.
        let run = self.runs.get(request);
        let Some(run) = run.filter(|run| self.is_engine(&run.ask.service)) else {
            return;
        };
        let Some(server) = run.life else {
            return self.speeds.runs.forget(request);
        };
        let load = self.speeds.servers.load(server);
        let service = &run.ask.service;
        let timed = self
            .speeds
            .runs
            .progress(now, request, (server, load), generated);
        match timed {
            Some(Timed::Prompt { tokens_ahead, took }) => {
                let tokens = tokens_ahead + u64::from(run.ask.prompt_tokens);
                self.speeds
                    .servers
                    .record_prompt(service, server, tokens, took);
            }
            Some(Timed::Tokens(timed)) => self.speeds.servers.record(service, server, &timed),
            None => {}
        }
    }

    /// Times the answer of a server that is not an engine, and ends the timing of the request.
    pub(super) fn time_end(&mut self, now: Now, request: &str, run: &OwnRun, end: RunEnd) {
        let is_call = run.ask.class != RequestClass::Stream && !self.is_engine(&run.ask.service);
        if let Some(server) = run.life.filter(|_| is_call && end.is_answer()) {
            let load = self.speeds.servers.load(server);
            if let Some(timed) = self.speeds.runs.answered(now, request, load) {
                self.speeds.servers.record(&run.ask.service, server, &timed);
            }
        }
        self.speeds.runs.forget(request);
    }

    fn is_engine(&self, service: &str) -> bool {
        self.engine_traits(service).is_some()
    }

    /// Learns from what was timed since the last update.
    pub(super) fn update_speeds(&mut self, now: Now) {
        if !self.parameters.learn_speeds {
            self.speeds = SpeedLearning::default();
            return;
        }
        let own = self.shares();
        let listed = self.list.listed().map(|replica| {
            let load = self.total_load(&own, &replica.id);
            ServerLoad {
                server: replica.server_life(),
                service: replica.service.clone(),
                load: slots_in_use(replica, load.requests),
            }
        });
        let listed: Vec<ServerLoad> = listed.collect();
        let peers = &self.peer_totals.sums().speeds;
        let tolerance = self.parameters.speed_tolerance;
        self.speeds.servers.update(now, &listed, peers, tolerance);
    }
}

fn slots_in_use(replica: &Replica, requests: u32) -> f64 {
    f64::from(requests) / f64::from(replica.slots.max(1))
}
