//! Messages from other threads to the control thread.

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

/// The engine for a request, or why it was refused.
pub type Decision = Result<Placement, Refusal>;

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// An event; there is no reply.
    Event(Event),
    /// Places a request at an engine.
    Submit {
        /// The request.
        submission: Submission,
        /// Receives the decision, at once or when an engine has capacity.
        reply: oneshot::Sender<Decision>,
    },
    /// Issues a ticket.
    IssueTicket {
        /// Unique number of the ticket.
        number: String,
        /// Service that the ticket is for.
        service: String,
        /// Receives the ticket.
        reply: oneshot::Sender<Ticket>,
    },
    /// Spends a ticket that a caller presented.
    SpendTicket {
        /// The ticket, with its signature verified.
        ticket: Ticket,
        /// Receives the verdict.
        reply: oneshot::Sender<SpendVerdict>,
    },
    /// Opens a call to a plain service, which counts against the limits of its workspace.
    OpenCall {
        /// The request.
        request: RequestId,
        /// The workspace.
        workspace: WorkspaceId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Receives the decision.
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
    /// Checks before each send of a call to a plain service whether it is quarantined.
    CheckQuarantine {
        /// The request.
        request: RequestId,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Receives the decision.
        reply: oneshot::Sender<Result<(), Refusal>>,
    },
    /// Checks whether a call may be sent to a runner.
    MayCall {
        /// The runner.
        backend: BackendId,
        /// The request.
        request: RequestId,
        /// Receives whether it may; a server notice of the runner may have arrived since the
        /// runners were ranked.
        reply: oneshot::Sender<bool>,
    },
    /// Checks whether a request about a generation may be sent to its engine.
    MayReach {
        /// The engine.
        backend: BackendId,
        /// Receives whether it may: not while the engine is backing off, nor beyond its limit.
        reply: oneshot::Sender<bool>,
    },
    /// Queries the time until a runner of a service accepts a call.
    TimeUntilRunner {
        /// The service.
        service: String,
        /// Receives the time until the first runner accepts one, if all are backing off or
        /// limited; `None` otherwise.
        reply: oneshot::Sender<Option<Duration>>,
    },
    /// Queries the runners of a service, the best first.
    Runners {
        /// The service.
        service: String,
        /// Receives the result.
        reply: oneshot::Sender<Vec<BackendServer>>,
    },
    /// Queries the timeline.
    Timeline {
        /// Only records after this time.
        after: HybridTime,
        /// Only records of this request, if given.
        request: Option<RequestId>,
        /// Receives the result.
        reply: oneshot::Sender<Vec<TimelineRecord>>,
    },
    /// Queries the versions; cheap at any size of the fleet.
    Versions {
        /// Receives the result.
        reply: oneshot::Sender<Versions>,
    },
    /// Queries the engines whose load reports the decisions need, without those that accept no
    /// request now.
    Watched {
        /// Receives their names and addresses.
        reply: oneshot::Sender<Vec<(BackendId, SocketAddr)>>,
    },
    /// Queries the instance list.
    InstanceList {
        /// Receives the result.
        reply: oneshot::Sender<Vec<InstanceEntry>>,
    },
    /// Queries the whole observed state, for operators.
    Snapshot {
        /// Receives the result.
        reply: oneshot::Sender<Snapshot>,
    },
}

/// Versions and load of an instance at one time.
#[derive(Clone, Debug)]
pub struct Versions {
    /// Version of the configuration in force; 0 if none is.
    pub config_version: ConfigVersion,
    /// The configuration in force, if any.
    pub document: Option<Arc<Document>>,
    /// Milliseconds since the platform confirmed the configuration, if it ever did.
    pub config_age_ms: Option<u64>,
    /// Version of the instance list.
    pub roster_version: u64,
    /// Number of requests that wait for an engine.
    pub queued: usize,
    /// Number of requests that run at an engine.
    pub running: usize,
    /// Hybrid time of this snapshot.
    pub time: HybridTime,
    /// Requests suspected of crashing backend servers.
    pub suspects: Vec<AdvertisedSuspect>,
}

/// The state of an instance at one time.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Versions and load.
    pub versions: Versions,
    /// The newest refused version of the configuration and its faults, if any.
    pub refused: Option<(ConfigVersion, Vec<DocumentFault>)>,
    /// The instance list, joined with the state that peers advertised.
    pub instances: Vec<InstanceSnapshot>,
    /// Backend servers as this instance sees them.
    pub backends: Vec<BackendSnapshot>,
    /// Number of open requests by workspace.
    pub open_requests: Vec<(WorkspaceId, u32)>,
}

/// One entry of the instance list with its observed state.
#[derive(Clone, Debug)]
pub struct InstanceSnapshot {
    /// The entry as the platform lists it.
    pub entry: InstanceEntry,
    /// Milliseconds since the last message from this instance, if there was one.
    pub silence_ms: Option<u64>,
    /// Incarnation and configuration version that it last advertised.
    pub last_said: Option<(Incarnation, ConfigVersion)>,
}

/// One backend server as this instance sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendSnapshot {
    /// Name of the backend server.
    pub name: String,
    /// Its last load report, if any.
    pub report: Option<LoadReport>,
    /// Why it gets no new requests, if so.
    pub ruled_out: Option<String>,
    /// Number of requests of this instance that run there.
    pub own_requests: u32,
}

/// Identifies a process to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}
