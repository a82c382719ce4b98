//! All decisions of the gateway side of one instance.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use crate::AdvertisedLoads;
use crate::BackendId;
use crate::ConfigVersion;
use crate::EvacuationChange;
use crate::FailureBackoff;
use crate::GatewayConfig;
use crate::GatewayParameters;
use crate::InstanceId;
use crate::KnownGoodRequests;
use crate::LoadShares;
use crate::Moving;
use crate::Now;
use crate::OwnRun;
use crate::PeerLoads;
use crate::PlacementRequest;
use crate::Ranking;
use crate::Refusal;
use crate::RefusalKind;
use crate::Replica;
use crate::ReplicaList;
use crate::ReplicaScore;
use crate::RequestId;
use crate::RetryBudget;
use crate::RouteTable;
use crate::RunEnd;
use crate::ServerLimits;
use crate::ServerView;
use crate::Suspicions;
use crate::ZoneDigest;
use crate::ZoneEvacuations;
use crate::own_shares;

mod carrying;
mod cold;
mod engine_watch;
mod evacuating;
mod limits;
mod listing;
mod lives;
mod notices;
mod ranking;
mod suspecting;

pub use engine_watch::EngineChecks;
pub use notices::SendRestrictions;

use cold::ColdSends;
use engine_watch::EngineWatch;
use notices::ServerBackoffs;
use suspecting::BrokenRuns;

/// Advice to a caller when every replica is full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Advice to a caller when no replica is known: the time in which a lost list
/// is read again.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What became of an offered configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigVerdict {
    /// It is in force now.
    InForce,
    /// Not newer than what is in force.
    Stale,
    /// It failed its check; what was in force stays so.
    Refused(Vec<String>),
}

/// What has to be done for a session under way.
#[derive(Clone, Debug)]
pub struct Evacuation {
    /// The session.
    pub request: RequestId,
    /// Where it should move.
    pub target: Replica,
}

/// What a tick led to.
#[derive(Clone, Debug, Default)]
pub struct TickOutcome {
    /// Sessions that must move.
    pub evacuations: Vec<Evacuation>,
    /// Peers that fell silent.
    pub silent: Vec<InstanceId>,
    /// Evacuations that ended since nobody ordered them again.
    pub ended_evacuations: Vec<EvacuationChange>,
}

/// The decisions of the gateway side: a function of events, time and a seed.
#[derive(Debug)]
pub struct GatewayControl {
    terms: GatewayParameters,
    table: Option<Arc<RouteTable>>,
    list: ReplicaList,
    pauses: BTreeMap<BackendId, FailureBackoff>,
    runs: HashMap<RequestId, OwnRun>,
    peers: PeerLoads,
    budget: RetryBudget,
    random: Pcg32,
    list_is_lost: bool,
    watch: EngineWatch,
    evacuations: ZoneEvacuations,
    cold_sends: ColdSends,
    rests: ServerBackoffs,
    limits: ServerLimits,
    broken_runs: BrokenRuns,
    suspicions: Suspicions,
    proven: KnownGoodRequests,
    orphaned: Vec<RequestId>,
}

impl GatewayControl {
    /// The state at the start of a process.
    pub fn new(terms: GatewayParameters) -> Self {
        let random = Pcg32::seed_from_u64(terms.seed);
        let mut control = GatewayControl {
            table: None,
            list: ReplicaList::default(),
            pauses: BTreeMap::new(),
            runs: HashMap::new(),
            peers: PeerLoads::new(terms.zone.clone()),
            budget: RetryBudget::with_parameters(terms.retry_ratio, 0.0),
            random,
            list_is_lost: false,
            watch: EngineWatch::default(),
            evacuations: ZoneEvacuations::default(),
            cold_sends: ColdSends::default(),
            rests: ServerBackoffs::default(),
            limits: ServerLimits::default(),
            broken_runs: BrokenRuns::default(),
            suspicions: Suspicions::default(),
            proven: KnownGoodRequests::default(),
            orphaned: Vec::new(),
            terms,
        };
        control.share_budget();
        control
    }

    /// Takes other settings; the name and the zone of an instance stay.
    pub fn set_terms(&mut self, terms: GatewayParameters) {
        self.budget.set_per_request(terms.retry_ratio);
        self.terms = GatewayParameters {
            instance: self.terms.instance.clone(),
            zone: self.terms.zone.clone(),
            ..terms
        };
        self.share_budget();
    }

    /// Takes a configuration if it is newer and sound.
    pub fn offer_config(&mut self, config: Arc<GatewayConfig>) -> ConfigVerdict {
        if config.version <= self.config_version() {
            return ConfigVerdict::Stale;
        }
        let faults = config.faults();
        if !faults.is_empty() {
            return ConfigVerdict::Refused(faults);
        }
        self.table = Some(Arc::new(RouteTable::new(config)));
        ConfigVerdict::InForce
    }

    /// Version in force, 0 for none.
    pub fn config_version(&self) -> ConfigVersion {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Notes what a peer tells of the load of the replicas.
    pub fn apply_peer_load(&mut self, now: Now, told: AdvertisedLoads) {
        self.peers.hear(now, told);
        self.share_budget();
    }

    /// What the instances of the own zone have put on the replicas, for the other zones;
    /// `own` is what this one tells.
    pub fn digest(&self, own: &LoadShares) -> ZoneDigest {
        self.peers.digest(own)
    }

    /// What this instance has put on the replicas.
    pub fn shares(&self) -> LoadShares {
        own_shares(&self.runs)
    }

    /// Lets time pass: forgets silent peers and lapsed entries.
    pub fn tick(&mut self, now: Now) -> TickOutcome {
        let silent = self.peers.expire(now);
        let gone = self.list.expire(now);
        let mut evacuations = match gone.is_empty() {
            true => Vec::new(),
            false => self.replicas_changed(now),
        };
        evacuations.extend(self.retry_moves(now));
        self.suspicions.expire(now);
        self.forget_backoffs(now);
        self.forget_limits(now);
        TickOutcome {
            evacuations,
            silent,
            ended_evacuations: self.evacuations.expire(now),
        }
    }

    /// Ranks the replicas for a request and counts it as sent to the first.
    ///
    /// # Errors
    ///
    /// A refusal; nothing was sent.
    pub fn place(&mut self, now: Now, ask: PlacementRequest) -> Result<Ranking, Refusal> {
        self.check_quarantine(now, ask.fingerprint)?;
        let scores = self.scores(now, &ask, None);
        if scores.is_empty() {
            return Err(self.nothing_takes(now, &ask));
        }
        let limit = self.terms.memory_limit;
        let fitting: Vec<ReplicaScore> = scores.into_iter().filter(|s| s.memory <= limit).collect();
        if fitting.is_empty() {
            return Err(Refusal::new(
                RefusalKind::QueueFull,
                FULL_RETRY_AFTER,
                format!("the engines of {} have no memory left", ask.service),
            ));
        }
        let (fitting, passed_over) = self.skip_limited(now, fitting);
        let Some(first) = fitting.first() else {
            return Err(self.all_limited(now, &ask, &passed_over));
        };
        let belief = ServerView {
            requests: first.load.requests,
            memory: first.memory,
            instances: self.peers.count(),
        };
        let first = first.replica.clone();
        let life = first.life();
        self.note_send(now, &first.id);
        self.rests.sent(now, life, &ask.request);
        self.limits.keep_grant(now, &ask.request, life);
        let backup = self.choose_backup(now, &ask, &first);
        self.budget.earn(&ask.service);
        self.runs.insert(
            ask.request.clone(),
            OwnRun {
                replica: first.id,
                life: Some(life),
                backup: backup.as_ref().map(|replica| replica.id.clone()),
                backup_life: backup.as_ref().map(Replica::life),
                ask,
                generated: 0,
                has_begun: false,
                begun_at: None,
                is_proven: false,
                moving: Moving::Stays,
            },
        );
        Ok(Ranking {
            replicas: self.ranked(fitting),
            backup,
            belief,
            passed_over: limits::names(&passed_over),
        })
    }

    /// Counts a request as sent to another replica than the first of its
    /// ranking.
    pub fn moved(&mut self, now: Now, request: &str, replica: BackendId) {
        self.note_send(now, &replica);
        let life = self.list.replica(&replica).map(Replica::life);
        self.rests.gone(request);
        if let Some(life) = life {
            self.rests.sent(now, life, request);
        }
        if let Some(run) = self.runs.get_mut(request) {
            run.replica = replica;
            run.life = life;
            run.has_begun = false;
            run.begun_at = None;
        }
    }

    /// Spends a further send of a service, if one is left.
    pub fn spend_retry(&mut self, service: &str) -> bool {
        self.budget.spend(&[service])
    }

    /// Notes how far a session is; returns whether it has just begun where it runs.
    pub fn progress(&mut self, now: Now, request: &str, generated: u32) -> bool {
        let Some(run) = self.runs.get_mut(request) else {
            return false;
        };
        run.generated = generated;
        self.rests.served(request);
        let had_begun = std::mem::replace(&mut run.has_begun, true);
        run.begun_at.get_or_insert(now);
        let is_proof = !run.is_proven && run.has_run_well(now);
        run.is_proven |= is_proof;
        let fingerprint = run.ask.fingerprint;
        if let Some(pause) = self.pauses.get_mut(&run.replica) {
            pause.succeed();
        }
        if is_proof {
            self.ran_well(now, fingerprint);
        }
        !had_begun
    }

    /// Notes that a replica failed a try of a request that goes on elsewhere.
    pub fn failed(&mut self, now: Now, replica: &str) {
        self.pauses.entry(replica.to_owned()).or_default().fail(now);
    }

    /// Notes the end of a request.
    pub fn ended(&mut self, now: Now, request: &str, end: RunEnd) {
        let Some(run) = self.runs.remove(request) else {
            return;
        };
        if end == RunEnd::Answered {
            self.rests.served(request);
        }
        self.rests.gone(request);
        self.limits.drop_grant(request);
        match end {
            RunEnd::Answered => {
                self.pauses.remove(&run.replica);
                self.ran_well(now, run.ask.fingerprint);
            }
            RunEnd::Failed => self.failed(now, &run.replica),
            RunEnd::Refused | RunEnd::Withdrawn => {}
        }
    }

    /// Other instances heard lately.
    pub fn peers(&self) -> usize {
        self.peers.count()
    }

    /// Requests of this instance under way.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Each instance gets the same part of the extra; instances that are cut
    /// off from the others count on no more than that.
    fn share_budget(&mut self) {
        let known = u32::try_from(self.peers.count() + 1).unwrap_or(u32::MAX);
        let sharers = f64::from(known.max(self.terms.min_sharers));
        self.budget.set_max_saved(self.terms.retry_extra / sharers);
    }
}
