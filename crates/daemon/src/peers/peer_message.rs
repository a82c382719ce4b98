//! Messages of the peer interface.

use iristhread_api::ConfigReply;
use iristhread_api::InstancesReply;
use iristhread_core::AdvertisedList;
use iristhread_core::AdvertisedSuspect;
use iristhread_core::ConfigVersion;
use iristhread_core::Fingerprint;
use iristhread_core::FingerprintInput;
use iristhread_core::GatewayConfig;
use iristhread_core::HybridTime;
use iristhread_core::Incarnation;
use iristhread_core::InstanceId;
use iristhread_core::RequestId;
use iristhread_core::Revision;
use iristhread_core::SuspectAppendix;
use iristhread_core::TimelineRecord;
use iristhread_core::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::completion::call_answer::CallAnswer;
use crate::peers::packed::Packed;

/// A message with its sender, receiver and tag; `body` is the JSON of a
/// [`PeerRequest`] or [`PeerReply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SignedMessage {
    /// Name of the sender.
    pub from: InstanceId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Name of the receiver.
    pub to: InstanceId,
    /// Sequence number of the sender's process; a reply repeats the number of its request.
    pub sequence: u64,
    /// JSON of the request or reply.
    pub body: String,
    /// Signature over all fields above.
    pub tag: String,
}

/// Versions of the state that a process has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerVersions {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Version of the configuration in force.
    pub config_version: ConfigVersion,
    /// Milliseconds since the platform confirmed the configuration; `None` if it never did.
    pub config_age_ms: Option<u64>,
    /// Version of the instance list.
    pub roster_version: u64,
    /// Time of the sender's hybrid clock.
    pub time: HybridTime,
    /// Fingerprints of requests that the process suspects of crashing backend servers.
    pub suspects: Packed<Vec<AdvertisedSuspect>>,
    /// What belongs to the suspects and processes of an earlier version don't know.
    #[serde(default)]
    pub suspect_appendix: Option<Packed<SuspectAppendix>>,
}

impl PeerVersions {
    /// Returns the suspects with what belongs to them.
    pub fn all_suspects(&self) -> Vec<AdvertisedSuspect> {
        let contents = self.suspects.0.clone();
        let appendix = self.suspect_appendix.clone();
        let appendix = appendix.map_or_else(SuspectAppendix::default, |Packed(appendix)| appendix);
        appendix.join(contents)
    }
}

/// A call to a plain service, forwarded to the instance that its ticket names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Name of the service.
    pub service: String,
    /// HTTP method of the call.
    pub method: String,
    /// Path below the service, including the query.
    pub path: String,
    /// Content type of the body, if given.
    pub content_type: Option<String>,
    /// Body of the call.
    pub body: Vec<u8>,
    /// The ticket as the caller sent it.
    pub ticket: String,
    /// Milliseconds left until the caller's deadline.
    pub deadline_ms: u64,
}

impl ForwardedCall {
    /// Returns the request fingerprint, which recognizes a repeated call.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&FingerprintInput {
            workspace: Some(&self.workspace),
            method: &self.method,
            host: &self.service,
            path: &self.path,
            body: &self.body,
        })
    }
}

/// State that one process has and another one lacks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The configuration, if the other process has an older one.
    pub config: Option<ConfigReply>,
    /// The instance list, if the other process has an older one.
    pub instances: Option<InstancesReply>,
}

impl PeerUpdate {
    /// Returns whether the other process lacks nothing.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.instances.is_none()
    }
}

/// A request to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PeerRequest {
    /// Compares versions; the side with the older version gets the newer one.
    Exchange(PeerVersions),
    /// Sends the state that the receiver lacks according to an exchange.
    Offer(PeerUpdate),
    /// Runs a call whose ticket names the receiver.
    RunCall(ForwardedCall),
    /// Requests the published state of the platform that is newer than these versions.
    Gateway {
        /// Version of the requester's configuration.
        config_above: ConfigVersion,
        /// Revision of the requester's list of backend servers.
        list_above: Revision,
    },
    /// Requests records of the timeline.
    Timeline {
        /// Only records after this time.
        after: HybridTime,
        /// Only records of this request; `None` for all requests.
        request: Option<RequestId>,
    },
}

/// A reply of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PeerReply {
    /// Reply to an exchange.
    Exchange {
        /// Versions of the receiver.
        versions: PeerVersions,
        /// State that the requester lacks.
        news: PeerUpdate,
    },
    /// The offer was processed.
    Taken,
    /// Result of the forwarded call.
    CallAnswer(CallAnswer),
    /// Published state of the platform.
    Gateway {
        /// The configuration, if it is newer than the requester's.
        config: Option<Box<Packed<GatewayConfig>>>,
        /// The list of backend servers, in full or as a delta, if it is newer than the
        /// requester's.
        list: Option<Packed<AdvertisedList>>,
    },
    /// Records of the timeline.
    Timeline {
        /// The records, oldest first.
        records: Vec<TimelineRecord>,
    },
}
