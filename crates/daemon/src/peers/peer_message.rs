//! What instances say to each other.

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
    /// Sender.
    pub from: InstanceId,
    /// Process life of the sender.
    pub incarnation: Incarnation,
    /// Receiver.
    pub to: InstanceId,
    /// Counts the messages of the sender's process; a reply repeats the number
    /// of its request.
    pub sequence: u64,
    /// Content.
    pub body: String,
    /// Tag over all of the above.
    pub tag: String,
}

/// Versions that a process has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerVersions {
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Version of the configuration in force.
    pub config_version: ConfigVersion,
    /// Milliseconds since the platform confirmed it, if ever.
    pub config_age_ms: Option<u64>,
    /// Version of the instance list.
    pub roster_version: u64,
    /// Hybrid time.
    pub time: HybridTime,
    /// Contents of requests that it suspects to end backend servers.
    pub suspects: Packed<Vec<AdvertisedSuspect>>,
}

/// A call to a plain service, for the instance of its ticket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Request that the caller made.
    pub request: RequestId,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: String,
    /// Method of the call.
    pub method: String,
    /// Path below the service, with the query.
    pub path: String,
    /// Type of the body, if given.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
    /// The ticket as the caller sent it.
    pub ticket: String,
    /// Milliseconds left until the caller's deadline.
    pub deadline_ms: u64,
}

impl ForwardedCall {
    /// What it consists of, for callers that come again.
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

/// What one process has and another lacks.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The configuration, if the other's is older.
    pub config: Option<ConfigReply>,
    /// The instance list, if the other's is older.
    pub instances: Option<InstancesReply>,
}

impl PeerUpdate {
    /// Whether the other lacks nothing.
    pub fn is_empty(&self) -> bool {
        self.config.is_none() && self.instances.is_none()
    }
}

/// Asked of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PeerRequest {
    /// Compare versions; whoever is behind gets what is newer.
    Exchange(PeerVersions),
    /// Here is what an exchange has shown the receiver to lack.
    Offer(PeerUpdate),
    /// Run a call whose ticket names the receiver.
    RunCall(ForwardedCall),
    /// Send what the platform has published, if it is newer than this.
    Gateway {
        /// Version of the configuration that the asker has.
        config_above: ConfigVersion,
        /// Revision of the list of backend servers that the asker has.
        list_above: Revision,
    },
    /// Send the time line.
    Timeline {
        /// Records after this time.
        after: HybridTime,
        /// Of this request, or of all.
        request: Option<RequestId>,
    },
}

/// Answered by a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum PeerReply {
    /// Versions of the receiver, and what the asker lacks.
    Exchange {
        /// Versions of the receiver.
        versions: PeerVersions,
        /// What the asker lacks.
        news: PeerUpdate,
    },
    /// The offer was looked at.
    Taken,
    /// What became of the call.
    CallAnswer(CallAnswer),
    /// What the platform has published.
    Gateway {
        /// The configuration, if it is newer than the asker's.
        config: Option<Box<Packed<GatewayConfig>>>,
        /// The list of backend servers, or what has changed since, if it is newer than the
        /// asker's.
        list: Option<Packed<AdvertisedList>>,
    },
    /// The time line.
    Timeline {
        /// Records, oldest first.
        records: Vec<TimelineRecord>,
    },
}
