//! The link of one instance to the others: sends and receives heartbeats, and fetches newer
//! state from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use iristhread_core::ConfigLag;
use iristhread_core::ConfigVersion;
use iristhread_core::FanOut;
use iristhread_core::FleetMembers;
use iristhread_core::Now;
use iristhread_core::Revision;
use iristhread_core::SuspectAppendix;
use slog::Logger;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::completion::control_message::Identity;
use crate::detour::server_dialer::ServerDialer;
use crate::directory::directory_state::DirectoryState;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::gateway::instance_state::OwnState;
use crate::peers::heartbeat::Datagram;
use crate::peers::heartbeat::Heartbeat;
use crate::peers::heartbeat::ListUpdate;
use crate::peers::heartbeat::SealedHeartbeat;
use crate::peers::heartbeat_relay::HeartbeatRelay;
use crate::peers::peer_port::PeerPort;
use crate::process::clock::Clock;

mod fetching;
mod read_decision;
mod receiving;

pub use read_decision::ReadDecision;

/// Time for which updates are collected before an immediate heartbeat advertises them.
const HEARTBEAT_GATHER_TIME: Duration = Duration::from_millis(10);

/// Minimum time after its start that an instance waits for a list from peers before it reads the
/// list itself: by then the first heartbeats are answered, even if a fleet of 300 instances
/// starts at once.
const MIN_FIRST_LIST_READ_DELAY: Duration = Duration::from_millis(250);

/// Maximum random addition to this wait, so that only a few instances read when all start at
/// once: every call puts load on the directory. The sum stays below one second, because an
/// instance that starts alone must not be delayed by more.
const FIRST_LIST_READ_JITTER: Duration = Duration::from_millis(550);

/// Time over which the first reads of the configuration are spread. Every instance reads it itself
/// at its start, because peers pass on a large configuration slowly if all start at once.
const FIRST_CONFIG_READ_JITTER: Duration = Duration::from_millis(100);

/// Configuration version and list revision.
type Versions = (ConfigVersion, Revision);

/// Connections of the link to the other parts of the process.
pub struct FleetPorts {
    /// The gateway control thread.
    pub control: GatewayHandle,
    /// Sends requests to peers.
    pub peers: Arc<dyn PeerPort>,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// The logger of the gateway.
    pub log: Logger,
    /// Notified when a heartbeat should be sent at once.
    pub heartbeat_now: Arc<Notify>,
    /// Connects to backend servers, through peers where needed.
    pub dialer: Arc<ServerDialer>,
}

/// The link of one instance to the others.
pub struct FleetLink {
    identity: Identity,
    settings: GatewaySettings,
    clock: Clock,
    control: GatewayHandle,
    peers: Arc<dyn PeerPort>,
    metrics: Arc<GatewayMetrics>,
    log: Logger,
    members: Mutex<FleetMembers>,
    directory_state: Mutex<DirectoryState>,
    versions: Mutex<Versions>,
    config_lag: Mutex<ConfigLag>,
    /// Highest revision of evacuations from peers that was passed to the control thread.
    applied_evacuations: Mutex<Revision>,
    relay: HeartbeatRelay,
    heartbeat_now: Arc<Notify>,
    dialer: Arc<ServerDialer>,
    first_list_read_at: Now,
    first_config_read_at: Now,
}

impl FleetLink {
    /// Creates a link that knows only the seed peers.
    pub fn new(
        identity: Identity,
        settings: GatewaySettings,
        clock: Clock,
        ports: FleetPorts,
    ) -> Arc<FleetLink> {
        let members = FleetMembers::new(
            identity.instance.clone(),
            settings.zone.clone(),
            settings.core_millis,
            settings.peer_address,
            settings.seed_peers.clone(),
        );
        Arc::new(FleetLink {
            identity,
            settings,
            clock,
            control: ports.control,
            peers: ports.peers,
            metrics: ports.metrics,
            log: ports.log,
            members: Mutex::new(members),
            directory_state: Mutex::new(DirectoryState::default()),
            versions: Mutex::new((0, Revision::NONE)),
            config_lag: Mutex::default(),
            applied_evacuations: Mutex::default(),
            relay: HeartbeatRelay::default(),
            heartbeat_now: ports.heartbeat_now,
            dialer: ports.dialer,
            first_list_read_at: clock.now()
                + MIN_FIRST_LIST_READ_DELAY
                + FIRST_LIST_READ_JITTER.mul_f64(rand::random()),
            first_config_read_at: clock.now() + FIRST_CONFIG_READ_JITTER.mul_f64(rand::random()),
        })
    }

    fn members(&self) -> MutexGuard<'_, FleetMembers> {
        let locked = self.members.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    fn directory_state(&self) -> MutexGuard<'_, DirectoryState> {
        let locked = self.directory_state.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    fn versions(&self) -> MutexGuard<'_, Versions> {
        let locked = self.versions.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state of this instance, and records its versions for the receiver.
    async fn own_state(&self) -> Option<OwnState> {
        let own = self.control.own_state().await?;
        *self.versions() = (own.config_version, own.list_revision);
        Some(own)
    }

    /// Records that the platform answered about the list as of `confirmed_at`, with the changes
    /// that it returned. Triggers an immediate heartbeat, so that the state of the peers is at
    /// most as old as one watch.
    pub fn record_list_confirmed(&self, confirmed_at: Now, update: Option<ListUpdate>) {
        let now = self.clock.now();
        self.directory_state()
            .record_list_confirmed(now, confirmed_at, update);
        self.heartbeat_now.notify_one();
    }

    /// Records that the platform answered about the configuration as of `confirmed_at`, and
    /// triggers an immediate heartbeat.
    pub fn record_config_confirmed(&self, confirmed_at: Now) {
        self.directory_state().record_config_confirmed(confirmed_at);
        self.heartbeat_now.notify_one();
    }

    /// Records that a call to the platform failed.
    pub fn record_unreadable(&self) {
        self.directory_state().record_unreadable();
    }

    /// Sends heartbeats until the process ends.
    pub async fn run_sender(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut sequence = 0;
        loop {
            let now = self.clock.now();
            let fan_out = self.members().fan_out(now, &mut rand::rng());
            let Some(own) = self
                .control
                .advertised_state(fan_out.forwards_to_zone)
                .await
            else {
                return;
            };
            *self.versions() = (own.config_version, own.list_revision);
            sequence += 2;
            let sum_count = own.digest.as_ref().map(|digest| digest.shares.len());
            self.send(&socket, own, sequence, fan_out).await;
            let mut interval = self.members().heartbeat_interval(self.clock.now());
            if let Some(sums) = sum_count {
                interval = interval.min(FleetMembers::relay_heartbeat_interval(sums));
            }
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.heartbeat_now.notified() => tokio::time::sleep(HEARTBEAT_GATHER_TIME).await,
            }
        }
    }

    /// Forwards heartbeats within the zone until the process ends.
    pub async fn run_relay(self: Arc<Self>, socket: Arc<UdpSocket>) {
        loop {
            self.relay.arrival().await;
            let interval = self.members().bundle_interval(self.clock.now());
            tokio::time::sleep(interval).await;
            let neighbours = self.members().neighbours(self.clock.now());
            for datagram in self.relay.take() {
                send_to_all(&socket, &datagram, &neighbours).await;
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, own: OwnState, sequence: u64, fan_out: FanOut) {
        let (zone_totals, zone_refused) = (own.zone_totals.clone(), own.zone_refused.clone());
        let mut heartbeat = self.heartbeat(own, sequence);
        if !fan_out.remote_relays.is_empty() {
            let mut remote = heartbeat.clone();
            // An instance that receives both heartbeats applies both, the sums last.
            remote.sequence += 1;
            remote.totals = zone_totals;
            remote.refused = zone_refused;
            remote.news = self
                .directory_state()
                .updates_for_remote_zones(self.clock.now());
            self.send_one(socket, self.seal(&remote), true, &fan_out.remote_relays)
                .await;
        }
        heartbeat.digest = None;
        heartbeat.news = self.directory_state().recent_updates(self.clock.now());
        let sealed = self.seal(&heartbeat);
        if let Some(relay) = fan_out.relay {
            self.send_one(socket, sealed.clone(), true, &[relay]).await;
        }
        if !fan_out.direct.is_empty() {
            self.send_one(socket, sealed.clone(), false, &fan_out.direct)
                .await;
        }
        if let Some(sealed) = sealed.filter(|_| fan_out.forwards_to_zone) {
            self.relay.push(sealed);
        }
    }

    fn seal(&self, heartbeat: &Heartbeat) -> Option<SealedHeartbeat> {
        let sealed = heartbeat.seal(&self.settings.keyring);
        if sealed.is_none() {
            warn!(self.log, "heartbeat can't be encoded");
        }
        sealed
    }

    async fn send_one(
        &self,
        socket: &UdpSocket,
        sealed: Option<SealedHeartbeat>,
        pass_on: bool,
        targets: &[SocketAddr],
    ) {
        let heartbeats = sealed.into_iter().collect();
        let datagram = Datagram {
            pass_on,
            heartbeats,
        };
        let Some(datagram) = datagram.encode() else {
            warn!(self.log, "heartbeat can't be encoded");
            return;
        };
        self.metrics.heartbeat("sent");
        send_to_all(socket, &datagram, targets).await;
    }

    /// Returns a heartbeat without list updates.
    fn heartbeat(&self, own: OwnState, sequence: u64) -> Heartbeat {
        let now = self.clock.now();
        let members = self.members();
        let state = self.directory_state();
        let peer_confirmed_at = members.list_confirmed_at(now, own.list_revision);
        let list_confirmed_at = state.list_confirmed_at().max(peer_confirmed_at);
        let peer_confirmed_at = members.config_confirmed_at(now, own.config_version);
        let config_confirmed_at = state.config_confirmed_at().max(peer_confirmed_at);
        let age_ms = |at: Now| now.saturating_sub(at).as_millis() as u64;
        if let Some(at) = config_confirmed_at {
            self.metrics.config_age(now.saturating_sub(at));
        }
        let (suspects, suspect_appendix) = SuspectAppendix::divide(own.suspects);
        Heartbeat {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation.clone(),
            sequence,
            said_at_ms: now.as_millis() as u64,
            address: self.settings.peer_address,
            zone: self.settings.zone.clone(),
            core_millis: self.settings.core_millis,
            has_relays: members.has_relays(),
            config_version: own.config_version,
            config_age_ms: config_confirmed_at.map(age_ms),
            list_revision: own.list_revision,
            list_age_ms: list_confirmed_at.map(age_ms),
            can_read: state.can_read(),
            addresses: members.advertised_addresses(now, &mut rand::rng()),
            shares: own.shares,
            digest: own.digest,
            said_leaving: own.said_leaving,
            limits: own.limits,
            unreachable: own.unreachable,
            evacuations: own.evacuations,
            suspects,
            suspect_appendix,
            news: Vec::new(),
            cut_off: self.dialer.cut_off_services(),
            totals: own.totals,
            refused: own.refused,
        }
    }
}

/// Sends a datagram to all targets. Errors are ignored, because the next heartbeat repeats the
/// state.
async fn send_to_all(socket: &UdpSocket, datagram: &[u8], targets: &[SocketAddr]) {
    for target in targets {
        let _ = socket.send_to(datagram, target).await;
    }
}
