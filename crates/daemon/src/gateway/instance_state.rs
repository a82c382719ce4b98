//! The state of an instance, as its peers learn it.

use std::sync::Arc;

use iristhread_core::AdvertisedEvacuations;
use iristhread_core::AdvertisedLimit;
use iristhread_core::AdvertisedList;
use iristhread_core::AdvertisedRefusal;
use iristhread_core::AdvertisedSuspect;
use iristhread_core::ConfigVersion;
use iristhread_core::GatewayConfig;
use iristhread_core::KnownVersions;
use iristhread_core::LoadShares;
use iristhread_core::Revision;
use iristhread_core::ServerLife;
use iristhread_core::Totals;
use iristhread_core::ZoneDigest;

/// State of one instance that it advertises to the others several times a second.
#[derive(Clone, Debug)]
pub struct OwnState {
    /// Version of the configuration in force, 0 for none.
    pub config_version: ConfigVersion,
    /// Revision of the list of replicas.
    pub list_revision: Revision,
    /// The load that this instance has put on the replicas.
    pub shares: LoadShares,
    /// The load that its whole zone has put on them, if this instance is a relay.
    pub digest: Option<ZoneDigest>,
    /// Replicas that recently told this instance that they are draining.
    pub said_leaving: Vec<ServerLife>,
    /// Limits that replicas declared; empty if the state is not for a heartbeat.
    pub limits: Vec<AdvertisedLimit>,
    /// Replicas that recently accepted no connection of this instance.
    pub unreachable: Vec<ServerLife>,
    /// The evacuated availability zones.
    pub evacuations: AdvertisedEvacuations,
    /// Request fingerprints that are suspected to crash backend servers; empty if the state is
    /// not for a heartbeat.
    pub suspects: Vec<AdvertisedSuspect>,
    /// Totals of this instance; `None` if the state is not for a heartbeat that carries them.
    pub totals: Option<Totals>,
    /// Totals of its whole zone, if this instance is a relay.
    pub zone_totals: Option<Totals>,
    /// Contents that this instance refused recently; empty if the state is not for a heartbeat.
    pub refused: Vec<AdvertisedRefusal>,
    /// Those that its whole zone refused, if this instance is a relay.
    pub zone_refused: Vec<AdvertisedRefusal>,
}

impl OwnState {
    /// Returns the versions of the published configuration and list that the instance has.
    pub fn versions(&self) -> KnownVersions {
        KnownVersions {
            config: self.config_version,
            list: self.list_revision,
        }
    }
}

/// Recipient of the state of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// A task of the instance itself.
    Own,
    /// The peers, in a heartbeat.
    Peers {
        /// Whether this instance is a relay, so that the other zones get the sums of its zone.
        is_relay: bool,
    },
}

/// Published state that a peer can fetch from this instance.
#[derive(Clone, Debug)]
pub struct KnownState {
    /// The configuration in force.
    pub config: Option<Arc<GatewayConfig>>,
    /// The list of replicas, or its changes since the revision that the peer has.
    pub list: AdvertisedList,
}
