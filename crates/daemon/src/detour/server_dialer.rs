//! Opens connections to backend servers, directly or through a peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future::BoxFuture;
use iristhread_api::Dial;
use iristhread_api::DialError;
use iristhread_api::ServerConnection;
use iristhread_core::BackendId;
use iristhread_core::DetourPeer;
use iristhread_core::DetourPeers;
use iristhread_core::LinkChange;
use iristhread_core::PathDelay;
use iristhread_core::Replica;
use iristhread_core::ServerLinks;
use iristhread_core::ZoneId;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::detour::carried_stream::CarriedForm;
use crate::detour::detour_client::DetourClient;
use crate::detour::detour_client::DetourTarget;
use crate::detour::detour_message::DetourReply;
use crate::detour::known_servers::KnownServers;
use crate::detour::reach::Reach;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::process::clock::Clock;
use crate::process::read_permit::ReadPermit;

mod direct;

/// Timeout of a probe: it also has to find out that a path that is very slow is no cut.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of peers that are asked for one connection.
const MAX_PEERS_ASKED: usize = 3;

/// Parts of the process that a [`ServerDialer`] uses.
pub struct DialerPorts {
    /// Opens direct connections.
    pub direct: Arc<dyn Dial>,
    /// The listed servers.
    pub servers: watch::Receiver<Arc<KnownServers>>,
    /// Requests connections from peers.
    pub client: DetourClient,
    /// The gateway control thread.
    pub control: GatewayHandle,
    /// Clock of the process.
    pub clock: Clock,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger of the instance.
    pub log: Logger,
    /// Notified when the peers should learn of a change at once.
    pub heartbeat_now: Arc<Notify>,
}

/// Opens connections to backend servers. While this instance reaches no server of a service, it
/// connects through a peer that does.
pub struct ServerDialer {
    ports: DialerPorts,
    /// Port at which all instances accept detours; `None` if detours are disabled.
    detour_port: Option<u16>,
    links: Mutex<ServerLinks>,
    path_delay: Mutex<PathDelay>,
    peers: Mutex<DetourPeers>,
}

impl ServerDialer {
    /// Creates a dialer of an instance in `zone`.
    pub fn new(zone: ZoneId, detour_port: Option<u16>, ports: DialerPorts) -> Self {
        ServerDialer {
            ports,
            detour_port,
            links: Mutex::default(),
            path_delay: Mutex::default(),
            peers: Mutex::new(DetourPeers::new(zone)),
        }
    }

    /// Applies what a peer advertises about itself.
    pub fn apply_peer(&self, peer: DetourPeer) {
        let now = self.ports.clock.now();
        self.peers().apply(now, peer);
    }

    /// Returns the services of which this instance reaches no server.
    pub fn cut_off_services(&self) -> Vec<String> {
        self.links().cut_off_services()
    }

    /// Checks whether a server accepts connections. That it has ended is concluded only if a peer
    /// finds the same, since such a conclusion is advertised.
    pub async fn reach(&self, address: SocketAddr) -> Reach {
        let Some(server) = self.server_at(address) else {
            return Reach::of(&self.ports.direct.dial(address).await);
        };
        if !self.is_cut_off(&server.service) {
            match self.connect(&server).await {
                Ok(_) => return Reach::Accepts,
                Err(DialError::Refused) => {}
                Err(_) if self.is_cut_off(&server.service) => {}
                Err(error) => return Reach::of_failed(&error),
            }
        }
        match self.dial_through_peers(&server).await {
            Ok(_) => Reach::OnlyByPeer,
            Err(DialError::Refused) => Reach::Refuses,
            Err(DialError::NoPath(_)) if self.reaches_another(&server).await => Reach::Refuses,
            Err(DialError::NoPath(_)) => self.reach_without_peers(&server).await,
            Err(_) => Reach::Silent,
        }
    }

    /// Returns what this instance finds by itself while nobody is known to reach another server of
    /// the service.
    async fn reach_without_peers(&self, server: &Replica) -> Reach {
        match self.connect(server).await {
            Ok(_) => Reach::Accepts,
            Err(DialError::Refused) => Reach::RefusesHere,
            Err(_) => Reach::Unknown,
        }
    }

    /// Connects for a peer, directly only: a detour has one hop.
    ///
    /// # Errors
    ///
    /// The reply for the peer if there is no connection.
    pub async fn connect_for_peer(&self, id: &str) -> Result<ServerConnection, DetourReply> {
        let server = self.ports.servers.borrow().with_id(id);
        let server = server.ok_or(DetourReply::NotListed)?;
        if self.is_cut_off(&server.service) {
            return Err(DetourReply::CutOff);
        }
        let error = match self.connect(&server).await {
            Ok(connection) => return Ok(connection),
            Err(DialError::NoPath(_)) => return Err(DetourReply::Full),
            Err(error) => error,
        };
        Err(match error {
            _ if !self.reaches_another(&server).await => DetourReply::CutOff,
            DialError::Refused => DetourReply::ServerRefused,
            _ => DetourReply::ServerSilent,
        })
    }

    /// Returns one server of each service that is cut off and due for a probe.
    pub fn due_probes(&self) -> Vec<Arc<Replica>> {
        let now = self.ports.clock.now();
        let due = self.links().due_probes(now);
        let targets = due.into_iter().filter_map(|(service, probes)| {
            let servers = self.ports.servers.borrow();
            let listed = servers.of_service(&service);
            let index = probes % listed.len().max(1);
            listed.get(index).cloned()
        });
        targets.collect()
    }

    /// Probes whether a service that is cut off can be reached again.
    pub async fn probe(&self, server: &Replica) {
        let now = self.ports.clock.now();
        // Only what it shows about the link counts.
        let _ = self.connect_within(now, PROBE_TIMEOUT, server).await;
    }

    /// Returns whether another server of the same service accepts connections of this instance.
    /// Without another server a failed server can't be distinguished from a failed connection; the
    /// server is then taken for the cause.
    async fn reaches_another(&self, server: &Replica) -> bool {
        let others = self.others_to_check(server);
        if others.is_empty() {
            return !self.is_cut_off(&server.service);
        }
        let attempts = others.iter().map(|other| Box::pin(self.connect(other)));
        futures::future::select_ok(attempts).await.is_ok()
    }

    fn others_to_check(&self, server: &Replica) -> Vec<Arc<Replica>> {
        let servers = self.ports.servers.borrow();
        let of_service = servers.of_service(&server.service).iter();
        let others = of_service.filter(|other| other.id != server.id);
        let ids: Vec<BackendId> = others.map(|other| other.id.clone()).collect();
        let checked = self.links().servers_to_check(&server.service, &ids);
        let of_service = servers.of_service(&server.service).iter();
        let checked = of_service.filter(|other| checked.contains(&other.id));
        checked.cloned().collect()
    }

    fn link_changed(&self, server: &Replica, change: LinkChange, cause: Option<&DialError>) {
        let DialerPorts { log, metrics, .. } = &self.ports;
        match change {
            LinkChange::CutOff => {
                warn!(log, "no server of a service can be reached from here";
                    "service" => &server.service, "backend_server" => &server.id,
                    "cause" => cause.map(ToString::to_string),
                    "path_delay_ms" => self.current_path_delay().as_millis() as u64);
                let service = server.service.clone();
                self.ports
                    .control
                    .tell(GatewayMessage::ServiceCutOff { service });
            }
            LinkChange::Restored(after) => {
                info!(log, "servers of a service can be reached from here again";
                    "service" => &server.service, "backend_server" => &server.id,
                    "cut_off_ms" => after.as_millis() as u64);
            }
        }
        metrics.cut_off_services(self.cut_off_services().len());
        self.ports.heartbeat_now.notify_one();
    }

    async fn dial_through_peers(&self, server: &Replica) -> Result<ServerConnection, DialError> {
        for _ in 0..MAX_PEERS_ASKED {
            let Some(peer) = self.choose_peer(&server.service) else {
                break;
            };
            match self.dial_through(&peer, server).await {
                Some(dialed) => return dialed,
                None => self.avoid(&peer, &server.service),
            }
        }
        Err(DialError::NoPath(format!(
            "no peer is known to reach {}",
            server.service
        )))
    }

    /// Requests a connection from one peer; `None` if the reply shows nothing about the server.
    async fn dial_through(
        &self,
        peer: &DetourTarget,
        server: &Replica,
    ) -> Option<Result<ServerConnection, DialError>> {
        let DialerPorts { log, metrics, .. } = &self.ports;
        let began = self.ports.clock.now();
        let opened = self.ports.client.open(peer, &server.id).await;
        let took = self.ports.clock.now().saturating_sub(began);
        let (reply, stream) = match opened {
            Ok(opened) => opened,
            Err(error) => {
                metrics.detour("no_reply");
                info!(log, "peer opened no connection to a backend server";
                    "backend_server" => &server.id, "peer" => &peer.instance,
                    "cause" => error.to_string(), "took_ms" => took.as_millis() as u64);
                return None;
            }
        };
        metrics.detour(reply.as_str());
        info!(log, "asked a peer for a connection to a backend server";
            "backend_server" => &server.id, "peer" => &peer.instance,
            "reply" => reply.as_str(), "took_ms" => took.as_millis() as u64);
        match reply {
            DetourReply::ConnectedWithRecords => Some(Ok(CarriedForm::Records.read_from(stream))),
            DetourReply::Connected => Some(Ok(CarriedForm::Bytes.read_from(stream))),
            DetourReply::ServerRefused => Some(Err(DialError::Refused)),
            DetourReply::ServerSilent => Some(Err(DialError::Silent(took))),
            DetourReply::CutOff
            | DetourReply::NotListed
            | DetourReply::Full
            | DetourReply::Stopping => None,
        }
    }

    fn choose_peer(&self, service: &str) -> Option<DetourTarget> {
        let port = self.detour_port?;
        let now = self.ports.clock.now();
        let chosen = self.peers().choose(now, service, &mut rand::rng());
        let (instance, address) = chosen?;
        Some(DetourTarget {
            instance,
            address: SocketAddr::new(address.ip(), port),
        })
    }

    fn avoid(&self, peer: &DetourTarget, service: &str) {
        let now = self.ports.clock.now();
        self.peers().avoid(now, &peer.instance, service);
    }

    fn server_at(&self, address: SocketAddr) -> Option<Arc<Replica>> {
        self.ports.servers.borrow().at(address)
    }

    fn is_cut_off(&self, service: &str) -> bool {
        self.links().is_cut_off(service)
    }

    /// Whether a request that is read now finds room on the path to backend servers. A service that
    /// seems cut off after the path was slow is left to the probes: requests would only load the path.
    pub fn has_room(&self) -> bool {
        let now = self.ports.clock.now();
        let has_lost_path = !self.cut_off_services().is_empty();
        let path_delay = self.path_delay();
        path_delay.has_room(now) && !(has_lost_path && path_delay.was_slow(now))
    }

    /// Whether the path of this instance to backend servers was slow lately.
    pub fn was_path_slow(&self) -> bool {
        let now = self.ports.clock.now();
        self.path_delay().was_slow(now)
    }

    /// Records that a connection of a caller is read; until the permit is dropped it takes a place on
    /// the path.
    pub fn read_permit(self: &Arc<Self>) -> ReadPermit {
        let now = self.ports.clock.now();
        let id = self.path_delay().read_began(now);
        let dialer = self.clone();
        ReadPermit::new(move || dialer.path_delay().read_ended(id))
    }

    /// Returns the delay of the path of this instance to backend servers.
    pub fn current_path_delay(&self) -> Duration {
        let now = self.ports.clock.now();
        self.path_delay().current(now)
    }

    fn path_delay(&self) -> MutexGuard<'_, PathDelay> {
        let locked = self.path_delay.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> MutexGuard<'_, ServerLinks> {
        let locked = self.links.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, DetourPeers> {
        let locked = self.peers.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    async fn open(&self, address: SocketAddr) -> Result<ServerConnection, DialError> {
        let Some(server) = self.server_at(address) else {
            return self.ports.direct.dial(address).await;
        };
        if !self.is_cut_off(&server.service) {
            match self.connect(&server).await {
                Ok(stream) => return Ok(stream),
                Err(error) if !self.is_cut_off(&server.service) => return Err(error),
                Err(_) => {}
            }
        }
        self.dial_through_peers(&server).await
    }
}

impl Dial for ServerDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, Result<ServerConnection, DialError>> {
        Box::pin(self.open(address))
    }
}
