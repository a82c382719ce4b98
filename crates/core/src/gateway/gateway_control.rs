//! Decision logic of the gateway of one instance.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use crate::AdvertisedLoads;
use crate::BackendId;
use crate::BrittleServers;
use crate::EvacuationChange;
use crate::FailureBackoff;
use crate::GatewayParameters;
use crate::InstanceId;
use crate::KnownGood;
use crate::LoadShares;
use crate::Moving;
use crate::Now;
use crate::OwnRun;
use crate::PeerLoads;
use crate::PeerTotals;
use crate::PlacementRequest;
use crate::RankDemand;
use crate::Ranking;
use crate::Replica;
use crate::ReplicaList;
use crate::ReplicaScore;
use crate::RequestId;
use crate::RetryBudget;
use crate::RouteTable;
use crate::RunEnd;
use crate::ServerLimits;
use crate::Suspicions;
use crate::WaitingRequests;
use crate::ZoneDigest;
use crate::ZoneEvacuations;
use crate::own_shares;

mod admission;
mod attribution_notices;
mod brittle;
mod cold;
mod configuration;
mod crash_attribution;
mod engine_memory;
mod engine_watch;
mod evacuation;
mod failover;
mod incarnations;
mod left_runs;
mod limits;
mod move_room;
mod notices;
mod placement_limit;
mod quarantine_checks;
mod rank_headroom;
mod ranking;
mod retry_time;
mod server_list;
mod speeds;
mod totals;
mod waiting;
mod workspace_memory;

pub use admission::Admission;
pub use admission::WaitForecast;
pub use attribution_notices::AttributionNotice;
pub use attribution_notices::SendReason;
pub use attribution_notices::SuspectedSend;
pub use attribution_notices::UnattributedCause;
pub use attribution_notices::UnattributedRun;
pub use configuration::ConfigVerdict;
pub use crash_attribution::BrokenRunVerdict;
pub use crash_attribution::LeftRunProbes;
pub use engine_watch::EngineChecks;
pub use move_room::MoveHeadroom;
pub use move_room::UnplacedMove;
pub use notices::SendRestrictions;

use admission::NotPlaced;
use cold::ColdSends;
use crash_attribution::BrokenRuns;
use engine_watch::EngineWatch;
use move_room::MoveRoom;
use notices::ServerBackoffs;
use retry_time::Retries;
use speeds::SpeedLearning;

/// Retry-After for callers when every replica is full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry-After for callers when no replica is known: the time within which a stale list is read
/// again.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The move of a session in progress to another engine.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// ID of the request of the session.
    pub request: RequestId,
    /// Engine to move to.
    pub target: Replica,
}

/// Result of a tick.
#[derive(Clone, Debug, Default)]
pub struct TickOutcome {
    /// Sessions that must move.
    pub evacuations: Vec<Evacuation>,
    /// Peers whose heartbeats have stopped.
    pub silent: Vec<InstanceId>,
    /// Zone evacuations that expired because they were not renewed.
    pub ended_evacuations: Vec<EvacuationChange>,
}

/// Decision logic of the gateway: deterministic for given events, times and seed.
#[derive(Debug)]
pub struct GatewayControl {
    parameters: GatewayParameters,
    table: Option<Arc<RouteTable>>,
    list: ReplicaList,
    pauses: BTreeMap<BackendId, FailureBackoff>,
    runs: HashMap<RequestId, OwnRun>,
    peers: PeerLoads,
    peer_totals: PeerTotals,
    budget: RetryBudget,
    random: Pcg32,
    is_list_stale: bool,
    watch: EngineWatch,
    evacuations: ZoneEvacuations,
    cold_sends: ColdSends,
    backoffs: ServerBackoffs,
    limits: ServerLimits,
    brittle: BrittleServers,
    speeds: SpeedLearning,
    rank_demand: RankDemand,
    waiting: WaitingRequests,
    broken_runs: BrokenRuns,
    suspicions: Suspicions,
    known_good: KnownGood,
    move_room: MoveRoom,
    orphaned: Vec<RequestId>,
    retries: Retries,
}

impl GatewayControl {
    /// Creates the state at process start.
    pub fn new(parameters: GatewayParameters) -> Self {
        let random = Pcg32::seed_from_u64(parameters.seed);
        let mut control = GatewayControl {
            table: None,
            list: ReplicaList::default(),
            pauses: BTreeMap::new(),
            runs: HashMap::new(),
            peers: PeerLoads::new(parameters.zone.clone()),
            peer_totals: PeerTotals::new(parameters.zone.clone()),
            budget: RetryBudget::with_parameters(parameters.retry_ratio, 0.0),
            random,
            is_list_stale: false,
            watch: EngineWatch::default(),
            evacuations: ZoneEvacuations::default(),
            cold_sends: ColdSends::default(),
            backoffs: ServerBackoffs::default(),
            limits: ServerLimits::default(),
            brittle: BrittleServers::default(),
            speeds: SpeedLearning::default(),
            rank_demand: RankDemand::default(),
            waiting: WaitingRequests::default(),
            broken_runs: BrokenRuns::default(),
            suspicions: Suspicions::default(),
            known_good: KnownGood::default(),
            move_room: MoveRoom::default(),
            orphaned: Vec::new(),
            retries: Retries::default(),
            parameters,
        };
        control.share_budget();
        control
    }

    /// Replaces the parameters, except for the name and the zone of the instance.
    pub fn set_terms(&mut self, parameters: GatewayParameters) {
        self.budget.set_per_request(parameters.retry_ratio);
        self.parameters = GatewayParameters {
            instance: self.parameters.instance.clone(),
            zone: self.parameters.zone.clone(),
            ..parameters
        };
        self.share_budget();
    }

    /// Applies the load of the replicas that a peer advertises.
    pub fn apply_peer_load(&mut self, now: Now, advertised: AdvertisedLoads) {
        self.peers.apply(now, advertised);
        self.share_budget();
    }

    /// Returns the total load that the instances of the local zone put on the replicas, for
    /// other zones; `own` is the load that this instance advertises.
    pub fn digest(&self, own: &LoadShares) -> ZoneDigest {
        self.peers.digest(own)
    }

    /// Returns the load that this instance puts on the replicas.
    pub fn shares(&self) -> LoadShares {
        own_shares(&self.runs)
    }

    /// Removes silent peers and expired entries and retries pending moves.
    pub fn tick(&mut self, now: Now) -> TickOutcome {
        let silent = self.peers.expire(now);
        self.peer_totals.expire(now);
        self.update_speeds(now);
        let gone = self.list.expire(now);
        let mut evacuations = match gone.is_empty() {
            true => Vec::new(),
            false => self.replicas_changed(now),
        };
        evacuations.extend(self.retry_moves(now));
        self.suspicions.expire(now);
        self.expire_broken_runs(now);
        self.forget_backoffs(now);
        self.forget_limits(now);
        self.forget_moves(now);
        self.forget_retries(now);
        TickOutcome {
            evacuations,
            silent,
            ended_evacuations: self.evacuations.expire(now),
        }
    }

    /// Ranks the replicas for a request whose arrival is counted, and counts it as sent to the
    /// first.
    fn place_arrived(&mut self, now: Now, ask: PlacementRequest) -> Result<Ranking, NotPlaced> {
        let reason = self.check_quarantine(now, &ask)?;
        let scores = self.scores(now, &ask, None);
        if scores.is_empty() {
            return Err(self.no_replica_refusal(now, &ask).into());
        }
        let limit = self.placement_limit(now, &ask);
        let fitting: Vec<ReplicaScore> = scores.into_iter().filter(|s| s.memory <= limit).collect();
        if fitting.is_empty() {
            return Err(NotPlaced::NoMemory);
        }
        let (fitting, passed_over) = self.skip_limited(now, fitting);
        let Some(first) = fitting.first() else {
            return Err(self.all_limited(now, &ask, &passed_over).into());
        };
        let server_view = Box::new(first.view(self.peers.count()));
        self.time_run(now, &ask.request, first);
        let first = first.replica.clone();
        let incarnation = first.life();
        self.note_placed(&ask);
        self.note_suspected_send(&ask, reason);
        self.note_send(now, &first.id);
        self.backoffs.sent(now, incarnation, &ask.request);
        self.limits.keep_grant(now, &ask.request, incarnation);
        let backup = self.choose_backup(now, &ask, &first);
        self.budget.earn(&ask.service);
        self.rank_demand.placed(now, &ask);
        self.runs.insert(
            ask.request.clone(),
            OwnRun {
                replica: first.id,
                life: Some(incarnation),
                backup: backup.as_ref().map(|replica| replica.id.clone()),
                backup_life: backup.as_ref().map(Replica::life),
                ask,
                generated: 0,
                sent_at: now,
                has_begun: false,
                begun_at: None,
                is_proven: false,
                moving: Moving::Stays,
            },
        );
        Ok(Ranking {
            replicas: self.ranked(fitting),
            backup,
            server_view,
            passed_over: limits::names(&passed_over),
        })
    }

    /// Takes one retry from the budget of a service; returns whether one was left.
    pub fn spend_retry(&mut self, service: &str) -> bool {
        self.budget.spend(&[service])
    }

    /// Records the progress of a session in generated tokens; returns whether this is the first
    /// progress on its current replica.
    pub fn progress(&mut self, now: Now, request: &str, generated: u32) -> bool {
        let Some(run) = self.runs.get_mut(request) else {
            return false;
        };
        let is_first = run.generated == 0;
        run.generated = generated;
        self.watch.answered(now, &run.replica);
        self.backoffs.served(request);
        let had_begun = std::mem::replace(&mut run.has_begun, true);
        if !had_begun && is_first {
            let took = now.saturating_sub(run.sent_at);
            self.rank_demand.began(&run.ask, took);
        }
        run.begun_at.get_or_insert(now);
        let is_proof = !run.is_proven && run.has_run_well(now);
        run.is_proven |= is_proof;
        let proven = is_proof.then(|| run.ask.clone());
        if let Some(pause) = self.pauses.get_mut(&run.replica) {
            pause.succeed();
        }
        if let Some(ask) = proven {
            self.ran_well(now, ask.suspected());
        }
        self.time_progress(now, request, generated);
        !had_begun
    }

    /// Records that an attempt failed on a replica while the request continues elsewhere.
    pub fn failed(&mut self, now: Now, replica: &str) {
        self.pauses.entry(replica.to_owned()).or_default().fail(now);
    }

    /// Records the end of a request.
    pub fn ended(&mut self, now: Now, request: &str, end: RunEnd) {
        let Some(run) = self.runs.remove(request) else {
            return;
        };
        if end == RunEnd::Withdrawn {
            self.note_left_run(now, &run);
        }
        if end.is_answer() {
            self.backoffs.served(request);
        }
        self.backoffs.gone(request);
        self.limits.drop_grant(request);
        self.time_end(now, request, &run, end);
        self.note_end_of_rank(now, &run, end);
        self.waiting.room_appeared();
        self.note_freed(now, &run, end);
        match end {
            RunEnd::Answered | RunEnd::Unproven => {
                self.watch.answered(now, &run.replica);
                let took = now.saturating_sub(run.sent_at);
                self.brittle.ran(&run.ask.service, took);
                self.pauses.remove(&run.replica);
                if end == RunEnd::Answered {
                    self.ran_well(now, run.ask.suspected());
                }
            }
            RunEnd::Failed => self.failed(now, &run.replica),
            RunEnd::Refused | RunEnd::Withdrawn => {}
        }
    }

    /// Returns the number of other instances with recent heartbeats.
    pub fn peers(&self) -> usize {
        self.peers.count()
    }

    /// Returns whether a request of this instance is in progress.
    pub fn is_running(&self, request: &str) -> bool {
        self.runs.contains_key(request)
    }

    /// Returns the number of requests of this instance in progress.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Gives each instance an equal part of the additional retries. An instance that is cut off
    /// from the others divides by `min_sharers`, so it never uses more than its part.
    fn share_budget(&mut self) {
        let known = u32::try_from(self.peers.count() + 1).unwrap_or(u32::MAX);
        let sharers = f64::from(known.max(self.parameters.min_sharers));
        self.budget
            .set_max_saved(self.parameters.retry_extra / sharers);
    }
}
