//! Commands that the control state issues to its driver.

use std::net::SocketAddr;

use crate::Attempt;
use crate::BackendId;
use crate::ConfigVersion;
use crate::InstanceId;
use crate::Refusal;
use crate::RequestId;

/// Engine chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The engine.
    pub engine: BackendId,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Attempt to start there.
    pub attempt: Attempt,
}

/// A command for the driver to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt.
    Start {
        /// The request.
        request: RequestId,
        /// The chosen engine.
        placement: Placement,
    },
    /// Answer the caller immediately that its request was not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason, and the time after which to retry.
        refusal: Refusal,
    },
    /// A configuration came into force: publish it to the traffic threads.
    ConfigInForce {
        /// Its version.
        version: ConfigVersion,
    },
    /// Exchange versions with a peer; the side with the older version receives the newer one.
    ExchangeWith {
        /// The peer.
        instance: InstanceId,
        /// Address on which the peer listens.
        address: SocketAddr,
    },
    /// Start or stop reading and watching the platform.
    ReadPlatform {
        /// Whether this instance reads the platform.
        reads: bool,
    },
}
