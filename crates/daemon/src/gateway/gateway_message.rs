//! What traffic tasks tell and ask the gateway's control thread.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::AdvertisedEvacuations;
use iristhread_core::AdvertisedLimit;
use iristhread_core::AdvertisedList;
use iristhread_core::AdvertisedLoads;
use iristhread_core::AdvertisedSuspect;
use iristhread_core::BackendId;
use iristhread_core::ConfigVersion;
use iristhread_core::EngineChecks;
use iristhread_core::EvacuationUpdate;
use iristhread_core::FailoverTarget;
use iristhread_core::GatewayConfig;
use iristhread_core::GatewayParameters;
use iristhread_core::KnownVersions;
use iristhread_core::LoadShares;
use iristhread_core::ObservedNotice;
use iristhread_core::PlacementRequest;
use iristhread_core::Ranking;
use iristhread_core::Refusal;
use iristhread_core::Replica;
use iristhread_core::RequestId;
use iristhread_core::Revision;
use iristhread_core::RunEnd;
use iristhread_core::ServerLife;
use iristhread_core::SessionSignal;
use iristhread_core::ZoneDigest;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::directory::Listing;
use crate::peers::heartbeat::ListUpdate;

/// What one instance tells the others of itself, several times a second.
#[derive(Clone, Debug)]
pub struct OwnState {
    /// Version of the configuration in force, 0 for none.
    pub config_version: ConfigVersion,
    /// Revision of the list of replicas.
    pub list_revision: Revision,
    /// What it has put on the replicas.
    pub shares: LoadShares,
    /// What its whole zone has put on them, if it is a relay.
    pub digest: Option<ZoneDigest>,
    /// Replicas that told it lately that they leave.
    pub said_leaving: Vec<ServerLife>,
    /// Limits that replicas named; none where the state is not for a heartbeat.
    pub limits: Vec<AdvertisedLimit>,
    /// Replicas that took no connection of it lately.
    pub unreachable: Vec<ServerLife>,
    /// The evacuated zones.
    pub evacuations: AdvertisedEvacuations,
    /// Contents that are suspected to end backend servers; none where the state is not
    /// for a heartbeat.
    pub suspects: Vec<AdvertisedSuspect>,
}

impl OwnState {
    /// How far the instance is with what the platform publishes.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions {
            config: self.config_version,
            list: self.list_revision,
        }
    }
}

/// Who gets the state of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// A task of its own.
    Own,
    /// The peers, by a heartbeat.
    Peers {
        /// Whether this instance relays: the other zones get the sums of its zone.
        is_relay: bool,
    },
}

/// What a peer can learn of the platform from this instance.
#[derive(Clone, Debug)]
pub struct KnownState {
    /// The configuration in force.
    pub config: Option<Arc<GatewayConfig>>,
    /// The list of replicas, or its changes since the peer read it.
    pub list: AdvertisedList,
}

/// What became of a request that wants a backend server.
pub enum Placed {
    /// It goes to the first of these, and counts there.
    Ranked(Ranking),
    /// It is refused, unsent.
    Refused(Refusal),
}

/// Whether a request may be sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendAgain {
    /// It may.
    Granted,
    /// The retry budget of its service is spent.
    BudgetSpent,
    /// Backend servers end under requests with its content.
    Quarantined,
}

/// A message to the control thread.
pub enum GatewayMessage {
    /// A request wants a backend server.
    Place {
        /// What it asks for.
        ask: PlacementRequest,
        /// Where the session is told of later decisions.
        signals: mpsc::UnboundedSender<SessionSignal>,
        /// The answer.
        reply: oneshot::Sender<Placed>,
    },
    /// A request goes to another replica than the first of its ranking.
    Moved {
        /// The request.
        request: RequestId,
        /// The replica.
        replica: BackendId,
    },
    /// A request wants to be sent once more.
    SendAgain {
        /// The request.
        request: RequestId,
        /// Its service.
        service: String,
        /// Whether that spends the budget of the service.
        spends_budget: bool,
        /// Whether it may.
        reply: oneshot::Sender<SendAgain>,
    },
    /// The run of a request broke off or fell silent at a replica, which may have ended.
    BrokeOff {
        /// The request.
        request: RequestId,
        /// The replica as it was when the request was sent.
        replica: Replica,
    },
    /// Nothing listens any more where a replica was.
    ServerCrashed {
        /// The replica.
        replica: ServerLife,
    },
    /// A peer tells which contents it suspects to end backend servers.
    SuspectsReceived {
        /// The contents.
        suspects: Vec<AdvertisedSuspect>,
    },
    /// A session has come this far.
    Progress {
        /// The session.
        request: RequestId,
        /// Tokens that came out.
        generated: u32,
    },
    /// The engine of a session broke off: where does it go on?
    Carry {
        /// The session.
        request: RequestId,
        /// The answer.
        reply: oneshot::Sender<Option<FailoverTarget>>,
    },
    /// The engine of a stream that may be run again broke off, and there is no copy:
    /// where is it run from its last event on?
    PlaceAgain {
        /// The session.
        request: RequestId,
        /// The answer; `None` when nothing takes it or the retry budget is spent.
        reply: oneshot::Sender<Option<FailoverTarget>>,
    },
    /// A session could not go on at its copy, and does not run there.
    NotCarried {
        /// The session.
        request: RequestId,
        /// The engine that it stays with.
        replica: BackendId,
    },
    /// A session was moved: where is its next copy kept?
    CarryTo {
        /// The session.
        request: RequestId,
        /// Where it runs now.
        replica: Replica,
        /// The answer.
        reply: oneshot::Sender<Option<FailoverTarget>>,
    },
    /// A session could not be moved to an engine: where else?
    MoveFailed {
        /// The session.
        request: RequestId,
        /// Engines that it has tried.
        tried: Vec<BackendId>,
    },
    /// A session can't be copied just now.
    MoveDelayed {
        /// The session.
        request: RequestId,
    },
    /// Which engines are to be asked or looked at now.
    EngineChecks {
        /// The answer.
        reply: oneshot::Sender<EngineChecks>,
    },
    /// A replica says that it leaves.
    Leaves {
        /// The replica.
        replica: ServerLife,
        /// The peer that it was said to, `None` for this instance.
        source: Option<String>,
    },
    /// An answer said something of its replica.
    NoticeReceived {
        /// The replica.
        replica: ServerLife,
        /// What it said.
        heard: ObservedNotice,
    },
    /// May something be sent to a replica that named a limit?
    MaySend {
        /// The replica.
        replica: ServerLife,
        /// The request, or what names an order or a question.
        request: RequestId,
        /// The answer; what may be sent counts as sent.
        reply: oneshot::Sender<bool>,
    },
    /// A peer tells of limits that replicas named.
    LimitsHeard {
        /// The limits.
        limits: Vec<AdvertisedLimit>,
        /// The peer.
        source: String,
    },
    /// Another has the address of a replica.
    AnotherThere {
        /// The replica.
        replica: ServerLife,
    },
    /// When should a caller come back whose request no replica took?
    ReturnAfter {
        /// What it asked for.
        ask: PlacementRequest,
        /// When one of them takes requests now.
        otherwise: Duration,
        /// The answer.
        reply: oneshot::Sender<Duration>,
    },
    /// A replica takes no connection.
    Unreachable {
        /// The replica.
        replica: ServerLife,
    },
    /// A replica took no connection for a request, which goes on elsewhere.
    NotConnected {
        /// The replica.
        replica: ServerLife,
    },
    /// A replica takes no connection of a peer of this zone.
    HeardUnreachable {
        /// The replica.
        replica: ServerLife,
    },
    /// A replica failed a try; the request goes on elsewhere.
    Failed {
        /// The replica.
        replica: ServerLife,
    },
    /// A request is over.
    Ended {
        /// The request.
        request: RequestId,
        /// How it left its replica.
        end: RunEnd,
    },
    /// A configuration was read.
    Config {
        /// The configuration.
        config: Arc<GatewayConfig>,
        /// Who had it.
        source: String,
    },
    /// Evacuations of zones were read or heard.
    Evacuations {
        /// What is known of them.
        news: EvacuationUpdate,
        /// Who had it.
        source: String,
    },
    /// The whole list of replicas was read.
    Replicas {
        /// Its revision.
        revision: Revision,
        /// The list.
        listing: Listing,
        /// Who had it.
        source: String,
    },
    /// The list of another instance was fetched.
    PeerList {
        /// The list.
        list: AdvertisedList,
        /// Who had it.
        source: String,
    },
    /// The list of replicas changed.
    ListUpdate {
        /// The changes.
        news: ListUpdate,
        /// Who had them.
        source: String,
    },
    /// The settings have changed.
    Terms {
        /// What the decisions need of them.
        terms: Box<GatewayParameters>,
    },
    /// Whether nobody has confirmed the list of replicas for long.
    ListLost {
        /// Whether that is so.
        is_lost: bool,
    },
    /// The directory answers again.
    OutageEnded,
    /// A peer told of the load of the replicas.
    PeerMessageReceived {
        /// What it told.
        told: AdvertisedLoads,
    },
    /// What to tell the peers.
    OwnState {
        /// Who gets it.
        audience: Audience,
        /// The answer.
        reply: oneshot::Sender<OwnState>,
    },
    /// What a peer may learn.
    KnownState {
        /// Revision of the list that the peer has; 0 for none.
        list_above: Revision,
        /// The answer.
        reply: oneshot::Sender<KnownState>,
    },
}
