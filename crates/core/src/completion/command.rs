//! What the decisions want done.

use std::net::SocketAddr;

use crate::Attempt;
use crate::BackendId;
use crate::ConfigVersion;
use crate::InstanceId;
use crate::Refusal;
use crate::RequestId;

/// An engine for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The engine.
    pub engine: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Attempt to start there.
    pub attempt: Attempt,
}

/// A command that the driver carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt.
    Start {
        /// The request.
        request: RequestId,
        /// Where.
        placement: Placement,
    },
    /// Tell the caller now that its request was not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// A configuration came into force: show it to the traffic threads.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
    },
    /// Exchange versions with a peer; whoever is behind gets what is newer.
    ExchangeWith {
        /// The peer.
        instance: InstanceId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Read and watch the platform, or stop doing so.
    ReadPlatform {
        /// Whether to read.
        reads: bool,
    },
}
