//! What other threads ask of the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use iristhread_core::AdvertisedSuspect;
use iristhread_core::BackendId;
use iristhread_core::BackendServer;
use iristhread_core::ConfigVersion;
use iristhread_core::Document;
use iristhread_core::DocumentFault;
use iristhread_core::Event;
use iristhread_core::Fingerprint;
use iristhread_core::HybridTime;
use iristhread_core::Incarnation;
use iristhread_core::InstanceEntry;
use iristhread_core::InstanceId;
use iristhread_core::LoadReport;
use iristhread_core::Placement;
use iristhread_core::Refusal;
use iristhread_core::RequestId;
use iristhread_core::SpendVerdict;
use iristhread_core::Submission;
use iristhread_core::Ticket;
use iristhread_core::TimelineRecord;
use iristhread_core::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

/// An engine, or why there is none.
pub type Decision = Result<Placement, Refusal>;

/// One message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// Something happened; nobody waits for an answer.
    Event(Event),
    /// A request wants an engine.
    Submit {
        /// The request.
        submission: Submission,
        /// Gets the decision, now or when there is room.
        reply: oneshot::Sender<Decision>,
    },
    /// A ticket is wanted.
    IssueTicket {
        /// Its unique number.
        number: String,
        /// Service that it is for.
        service: String,
        /// Gets the ticket.
        reply: oneshot::Sender<Ticket>,
    },
    /// A ticket was presented.
    SpendTicket {
        /// The ticket, with its signature verified.
        ticket: Ticket,
        /// Gets the verdict.
        reply: oneshot::Sender<SpendVerdict>,
    },
    /// A call to a plain service counts against the limits of its workspace.
    OpenCall {
        /// The request.
        request: RequestId,
        /// The workspace.
        workspace: WorkspaceId,
        /// What it consists of.
        fingerprint: Fingerprint,
        /// Gets the decision.
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
    /// A call to a plain service wants to be sent to a further runner.
    CheckQuarantine {
        /// The request.
        request: RequestId,
        /// What it consists of.
        fingerprint: Fingerprint,
        /// Gets the decision.
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
    /// A call is about to be sent to a runner.
    MayCall {
        /// The runner.
        backend: BackendId,
        /// The request.
        request: RequestId,
        /// Whether it may: the runner may have said something since it was ranked.
        reply: oneshot::Sender<bool>,
    },
    /// Something is about to be sent to an engine about a generation there.
    MayReach {
        /// The engine.
        backend: BackendId,
        /// Whether it may: it wants nothing while it rests, and no more than its limit.
        reply: oneshot::Sender<bool>,
    },
    /// No runner of a service took a call: is that because all rest or are limited?
    TimeUntilRunner {
        /// The service.
        service: String,
        /// The time until the first takes one, if so.
        reply: oneshot::Sender<Option<Duration>>,
    },
    /// The runners of a service are wanted, the best first.
    Runners {
        /// The service.
        service: String,
        /// Gets them.
        reply: oneshot::Sender<Vec<BackendServer>>,
    },
    /// The time line is wanted.
    Timeline {
        /// Records after this time.
        after: HybridTime,
        /// Of this request, or of all.
        request: Option<RequestId>,
        /// Gets them.
        reply: oneshot::Sender<Vec<TimelineRecord>>,
    },
    /// The versions are wanted: cheap at any size of the fleet.
    Versions {
        /// Gets them.
        reply: oneshot::Sender<Versions>,
    },
    /// The engines that decisions look at are wanted.
    Watched {
        /// Gets their names and addresses.
        reply: oneshot::Sender<Vec<(BackendId, SocketAddr)>>,
    },
    /// The instance list is wanted.
    InstanceList {
        /// Gets it.
        reply: oneshot::Sender<Vec<InstanceEntry>>,
    },
    /// The whole observed state is wanted, for operators.
    Snapshot {
        /// Gets it.
        reply: oneshot::Sender<Snapshot>,
    },
}

/// What an instance has, at one moment.
#[derive(Clone, Debug)]
pub struct Versions {
    /// Version in force, 0 for none.
    pub config_version: ConfigVersion,
    /// The configuration in force.
    pub document: Option<Arc<Document>>,
    /// Milliseconds since the platform confirmed it, if ever.
    pub config_age_ms: Option<u64>,
    /// Version of the instance list.
    pub roster_version: u64,
    /// Requests that wait.
    pub queued: usize,
    /// Requests that run.
    pub running: usize,
    /// Hybrid time of this moment.
    pub time: HybridTime,
    /// Contents of requests that it suspects to end backend servers.
    pub suspects: Vec<AdvertisedSuspect>,
}

/// What an instance knows, at one moment.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// What it has.
    pub versions: Versions,
    /// The newest refused version with its faults.
    pub refused: Option<(ConfigVersion, Vec<DocumentFault>)>,
    /// The instance list, joined with what peers said.
    pub instances: Vec<InstanceSnapshot>,
    /// Backend servers as this instance sees them.
    pub backends: Vec<BackendSnapshot>,
    /// Requests open by workspace.
    pub open_requests: Vec<(WorkspaceId, u32)>,
}

/// One line of the instance list.
#[derive(Clone, Debug)]
pub struct InstanceSnapshot {
    /// As the platform lists it.
    pub entry: InstanceEntry,
    /// Milliseconds since it was last heard.
    pub silence_ms: Option<u64>,
    /// What it last said.
    pub last_said: Option<(Incarnation, ConfigVersion)>,
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendSnapshot {
    /// Its name.
    pub name: String,
    /// Its last load report.
    pub report: Option<LoadReport>,
    /// Why no new work goes there, if so.
    pub ruled_out: Option<String>,
    /// Requests of this instance there.
    pub own_requests: u32,
}

/// Who a process is to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}
