//! Control state of one instance, driven by events.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg32;

use crate::Admission;
use crate::BackendId;
use crate::BackendRegistry;
use crate::BackendServer;
use crate::Command;
use crate::ConfigOrder;
use crate::Event;
use crate::FairQueue;
use crate::Fingerprint;
use crate::HybridClock;
use crate::HybridTime;
use crate::Incarnation;
use crate::InstanceId;
use crate::InstanceList;
use crate::KnownGood;
use crate::LengthEstimator;
use crate::Now;
use crate::PromptParts;
use crate::ReaderRanking;
use crate::Refusal;
use crate::RequestId;
use crate::RetryBudget;
use crate::Router;
use crate::RoutingPolicy;
use crate::ServerLimits;
use crate::SpendVerdict;
use crate::SuspectedRequest;
use crate::Suspicions;
use crate::Ticket;
use crate::TicketStore;
use crate::Timeline;
use crate::TimelineEvent;
use crate::TimelineRecord;
use crate::ZoneId;

mod limits;
mod membership;
mod notices;
mod placement;
mod quarantine;
mod queueing;

/// Settings of the control state.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Policy by which engines are chosen.
    pub policy: RoutingPolicy,
    /// Maximum number of queued requests per workspace and model.
    pub max_queued: usize,
    /// Maximum number of records in the timeline.
    pub timeline_records: usize,
    /// Time for which a ticket is valid.
    pub ticket_lifetime: Duration,
    /// Maximum number of spent tickets that are recorded at the same time.
    pub max_tickets: usize,
    /// Seed of all random choices.
    pub seed: u64,
}

/// A request that is running on an engine.
#[derive(Clone, Debug)]
struct Running {
    engine: BackendId,
    class: String,
    fingerprint: Fingerprint,
    parts: PromptParts,
    /// Time of its first progress on the engine.
    first_progress_at: Option<Now>,
}

/// Control state of one instance. Every method depends only on the state, its arguments and the
/// initial seed.
#[derive(Debug)]
pub struct Control {
    settings: ControlSettings,
    config: ConfigOrder,
    instance_list: InstanceList,
    reader_rotation: ReaderRanking,
    reads_platform: bool,
    next_zone_exchange: Now,
    next_any_zone_exchange: Now,
    backends: BackendRegistry,
    router: Router,
    estimator: LengthEstimator,
    queues: HashMap<String, FairQueue>,
    running: HashMap<RequestId, Running>,
    warm: HashMap<u64, BackendId>,
    admission: Admission,
    open_ids: HashSet<RequestId>,
    budget: RetryBudget,
    tickets: TicketStore,
    clock: HybridClock,
    wall_ms: u64,
    timeline: Timeline,
    random: Pcg32,
    suspicions: Suspicions,
    known_good: KnownGood,
    /// Open requests that have run long enough to count as known-good.
    known_good_requests: HashSet<RequestId>,
    limits: ServerLimits,
}

impl Control {
    /// Creates the state at the start of a process.
    pub fn new(settings: ControlSettings) -> Self {
        let instance = settings.instance.clone();
        let zone = settings.zone.clone();
        Control {
            config: ConfigOrder::default(),
            instance_list: InstanceList::default(),
            reader_rotation: ReaderRanking::new(instance.clone(), zone.clone()),
            reads_platform: false,
            next_zone_exchange: Now::ZERO,
            next_any_zone_exchange: Now::ZERO,
            backends: BackendRegistry::new(instance.clone(), zone.clone()),
            router: Router::new(settings.policy, zone, settings.seed),
            estimator: LengthEstimator::default(),
            queues: HashMap::new(),
            running: HashMap::new(),
            warm: HashMap::new(),
            admission: Admission::default(),
            open_ids: HashSet::new(),
            budget: RetryBudget::default(),
            tickets: TicketStore::new(
                instance.clone(),
                settings.incarnation.clone(),
                settings.ticket_lifetime,
                settings.max_tickets,
            ),
            clock: HybridClock::default(),
            wall_ms: 0,
            timeline: Timeline::new(instance, settings.timeline_records),
            random: Pcg32::seed_from_u64(settings.seed),
            suspicions: Suspicions::default(),
            known_good: KnownGood::default(),
            known_good_requests: HashSet::new(),
            limits: ServerLimits::default(),
            settings,
        }
    }

    /// Handles one event and returns the resulting commands. `wall_ms` (milliseconds since 1970)
    /// is used for hybrid timestamps and to group crashes of one server, not for deadlines.
    pub fn handle(&mut self, now: Now, wall_ms: u64, event: Event) -> Vec<Command> {
        self.wall_ms = wall_ms;
        let mut commands = Vec::new();
        match event {
            Event::Submit(submission) => self.submit(now, submission, &mut commands),
            Event::Adopt { submission, engine } => self.adopt(now, &submission, engine),
            Event::Progress { request, generated } => {
                self.observe_progress(now, &request);
                self.progress(&request, generated);
            }
            Event::AttemptFinished { request, generated } => {
                self.attempt_finished(now, &request, generated, &mut commands);
            }
            Event::AttemptLost {
                request,
                engine_failed,
            } => self.attempt_lost(now, &request, engine_failed, &mut commands),
            Event::ServerCrashed {
                backend,
                fingerprint,
                parts,
                ran_for,
            } => {
                let parts = &parts;
                let request = SuspectedRequest { fingerprint, parts };
                self.server_crashed(now, &backend, request, ran_for, &mut commands);
            }
            Event::CallAnswered { fingerprint } => {
                self.record_success(now, SuspectedRequest::without_parts(fingerprint));
            }
            Event::SuspectsReceived { suspects } => self.receive_suspects(now, &suspects),
            Event::Closed { request, workspace } => self.closed(&request, &workspace),
            Event::Report { backend, report } => {
                self.reported(now, &backend, report);
                self.drain_engine(now, &backend, &mut commands);
            }
            Event::BackendFailed { backend } => self.backend_failed(now, &backend),
            Event::BackendAnswered { backend } => self.backend_answered(now, &backend),
            Event::NoticeReceived { backend, heard } => self.observe_notice(now, &backend, &heard),
            Event::ConfigOffered {
                version,
                document,
                source,
            } => self.config_offered(now, version, document, source, &mut commands),
            Event::ConfigUnreadable { version, reason } => self.config_unreadable(version, reason),
            Event::ConfigConfirmed { version, ago } => {
                self.config.confirm(now.saturating_sub(ago), version);
            }
            Event::InstanceListOffered { version, entries } => {
                self.instance_list.offer(version, entries);
            }
            Event::PeerMessageReceived {
                instance,
                incarnation,
                config_version,
                time,
            } => {
                self.clock.observe(wall_ms, time);
                self.instance_list
                    .hear(now, &instance, &incarnation, config_version);
            }
            Event::Note { request, event } => self.note(request, event),
            Event::Tick => self.tick(now, &mut commands),
        }
        commands
    }

    fn tick(&mut self, now: Now, commands: &mut Vec<Command>) {
        self.expire(now, commands);
        self.refuse_blocked_by_backoff(now, commands);
        self.drain_all(now, commands);
        self.tick_membership(now, commands);
        self.suspicions.expire(now);
    }

    /// Issues a ticket of this process under a unique number.
    pub fn issue_ticket(&self, now: Now, number: String, service: &str) -> Ticket {
        self.tickets.issue(now, number, service)
    }

    /// Spends a ticket whose signature was verified, if that is allowed.
    pub fn spend_ticket(&mut self, now: Now, ticket: &Ticket) -> SpendVerdict {
        self.tickets.spend(now, ticket)
    }

    /// Returns the runners of a plain service, best first.
    pub fn runners(&self, now: Now, service: &str) -> Vec<BackendServer> {
        self.backends
            .runners(now, service)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Counts a call to a plain service against the limits of its workspace until
    /// [`Event::Closed`].
    ///
    /// # Errors
    ///
    /// Returns a refusal if the workspace is not configured, a limit is reached or the request is
    /// quarantined.
    pub fn open_call(
        &mut self,
        now: Now,
        request: RequestId,
        workspace: &str,
        fingerprint: Fingerprint,
    ) -> Result<(), Refusal> {
        let workspace = self.workspace(workspace)?;
        let suspected = SuspectedRequest::without_parts(fingerprint);
        self.check_quarantine(now, &request, suspected)?;
        self.admission.open(now, &workspace)?;
        self.open_ids.insert(request);
        Ok(())
    }

    /// Returns the timeline records after a time, of one request or of all.
    pub fn timeline(&self, after: HybridTime, request: Option<&str>) -> Vec<TimelineRecord> {
        self.timeline.since(after, request)
    }

    /// Returns the hybrid timestamp for an outgoing message.
    pub fn stamp(&mut self, wall_ms: u64) -> HybridTime {
        self.clock.tick(wall_ms)
    }

    /// Returns the configuration versions and the one in force.
    pub fn config(&self) -> &ConfigOrder {
        &self.config
    }

    /// Returns the instance list.
    pub fn instance_list(&self) -> &InstanceList {
        &self.instance_list
    }

    /// Returns the registry of backend servers.
    pub fn backends(&self) -> &BackendRegistry {
        &self.backends
    }

    /// Returns the number of queued requests of all models.
    pub fn queued(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Returns the number of requests running on engines.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of open requests of a workspace.
    pub fn open_requests(&self, workspace: &str) -> u32 {
        self.admission.open_requests(workspace)
    }

    /// Returns the estimator of remaining lengths.
    pub fn estimator(&self) -> &LengthEstimator {
        &self.estimator
    }

    fn note(&mut self, request: Option<RequestId>, event: TimelineEvent) {
        let time = self.clock.tick(self.wall_ms);
        self.timeline.record(time, request, event);
    }
}
