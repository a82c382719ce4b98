//! Starts the parts of an instance and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use iristhread_api::HttpClient;
use iristhread_core::ControlSettings;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::completion::app::App;
use crate::completion::call_store::CallStore;
use crate::completion::caller_api;
use crate::completion::control_message::Identity;
use crate::completion::control_thread::ControlHandle;
use crate::completion::settings::Settings;
use crate::engines::engine_port::HttpEngines;
use crate::engines::load_poller;
use crate::operators::operator_api;
use crate::operators::resource_builder;
use crate::operators::resource_log::ResourceLog;
use crate::peers::peer_answers::InstanceAnswers;
use crate::peers::peer_exchanger;
use crate::peers::peer_port::JsonRpcPeers;
use crate::peers::peer_server;
use crate::peers::peer_server::PeerIdentity;
use crate::platform::platform_port::HttpPlatform;
use crate::platform::platform_reader::PlatformReader;
use crate::process::clock::Clock;
use crate::process::http_server;
use crate::process::http_server::ConnectionLimits;
use crate::process::metrics::Metrics;

/// Most bytes of an answer of a plain service.
const MAX_SERVICE_ANSWER_BYTES: usize = 4 << 20;

/// Bytes towards one caller that the system holds.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Why an instance could not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// An address can't be listened on.
    #[error("can't listen on {key} = {address}: {cause}; is another process there?")]
    Listen {
        /// Key of the setting.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The system gave no thread or socket.
    #[error("can't start: {0}")]
    System(#[from] std::io::Error),
}

/// Where an instance listens, with the ports that the system chose for 0.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ListenAddresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
}

/// A running instance.
pub struct Daemon {
    addresses: ListenAddresses,
    app: Arc<App>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
    operators: JoinHandle<()>,
    peers: jsonrpsee::server::ServerHandle,
}

impl Daemon {
    /// Starts everything; call it within the runtime for traffic.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] that names the setting at fault.
    pub async fn start(settings: Settings, log: Logger) -> Result<Daemon, DaemonError> {
        let clock = Clock::start();
        let identity = Identity {
            instance: settings.instance.clone(),
            incarnation: uuid::Uuid::new_v4().simple().to_string(),
        };
        let caller_listener = listen("caller_address", settings.caller_address)?;
        let operator_listener = listen("operator_address", settings.operator_address)?;
        let control_settings = control_settings(&settings, &identity);
        let (control, outputs) = ControlHandle::start(control_settings, clock, log.clone())?;
        let platform = Arc::new(HttpPlatform::new(settings.platform_address));
        let keyring = settings.keyring.clone();
        let (metrics_to, zone) = (settings.metrics_address, &settings.zone);
        let app = Arc::new(App {
            metrics: Metrics::new(metrics_to, &settings.instance, zone)?,
            peers: Arc::new(JsonRpcPeers::new(identity.clone(), keyring)),
            engines: Arc::new(HttpEngines::default()),
            services: HttpClient::unpooled(MAX_SERVICE_ANSWER_BYTES),
            calls: CallStore::default(),
            resources: ResourceLog::default(),
            stream_permits: Arc::new(Semaphore::new(settings.limits.max_streams)),
            views: outputs.view,
            control: control.clone(),
            stopping: AtomicBool::new(false),
            log: log.clone(),
            identity,
            clock,
            settings,
        });
        let peer_address = app.settings.peer_address;
        let own = PeerIdentity {
            identity: app.identity.clone(),
            keyring: app.settings.keyring.clone(),
            address: peer_address,
        };
        let answers = Arc::new(InstanceAnswers::new(app.clone()));
        let (peers, peer_address) = peer_server::serve_peers(own, answers, log.clone())
            .await
            .map_err(|cause| listen_error("peer_address", peer_address, cause))?;
        let reader = PlatformReader::new(platform, control, outputs.reads_platform, log);
        tokio::spawn(reader.run());
        tokio::spawn(peer_exchanger::run_exchanges(
            app.clone(),
            outputs.exchanges,
        ));
        tokio::spawn(peer_exchanger::run_seeds(app.clone()));
        tokio::spawn(load_poller::run_polls(app.clone()));
        tokio::spawn(resource_builder::run_resources(app.clone()));
        let addresses = ListenAddresses {
            callers: caller_listener.local_addr()?,
            operators: operator_listener.local_addr()?,
            peers: peer_address,
        };
        let (stop, stopped) = watch::channel(false);
        let limits = connection_limits(&app.settings);
        let callers = caller_api::routes(&app);
        let operators = operator_api::routes(&app);
        Ok(Daemon {
            addresses,
            callers: tokio::spawn(http_server::serve(
                caller_listener,
                callers,
                limits,
                stopped.clone(),
            )),
            operators: tokio::spawn(http_server::serve(
                operator_listener,
                operators,
                limits,
                stopped,
            )),
            app,
            stop,
            peers,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> ListenAddresses {
        self.addresses
    }

    /// A planned stop: not ready at once, then no new connections, then wait
    /// for every stream and call. Returns whether all of them finished.
    pub async fn stop(self) -> bool {
        let log = &self.app.log;
        info!(log, "planned stop begins");
        self.app.stopping.store(true, Ordering::Relaxed);
        tokio::time::sleep(self.app.settings.stop_linger).await;
        self.stop.send_replace(true);
        // Watches of operators have no end of their own.
        self.operators.abort();
        let drained = async {
            // A caller's task that failed has ended as well.
            let _ = self.callers.await;
            // Calls that peers have forwarded are callers' calls, too.
            let _ = self.peers.stop();
            self.peers.stopped().await;
        };
        let finished = tokio::time::timeout(self.app.settings.stop_timeout, drained).await;
        info!(log, "planned stop ends"; "finished" => finished.is_ok());
        finished.is_ok()
    }
}

/// Listens on the address of a setting.
pub fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    bind(address).map_err(|cause| listen_error(key, address, cause))
}

/// Accepted connections inherit the small send buffer, so that a caller that
/// stops reading is noticed soon and holds little memory.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Names the setting of an address that can't be listened on.
pub fn listen_error(key: &'static str, address: SocketAddr, cause: std::io::Error) -> DaemonError {
    DaemonError::Listen {
        key,
        address,
        cause,
    }
}

fn control_settings(settings: &Settings, identity: &Identity) -> ControlSettings {
    ControlSettings {
        instance: identity.instance.clone(),
        incarnation: identity.incarnation.clone(),
        zone: settings.zone.clone(),
        policy: settings.routing_policy,
        max_queued: settings.max_queued,
        timeline_records: settings.timeline_records,
        ticket_lifetime: settings.ticket_lifetime,
        max_tickets: settings.max_tickets,
        seed: rand::random(),
    }
}

fn connection_limits(settings: &Settings) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: settings.limits.max_connections,
        max_header_bytes: settings.limits.max_header_bytes,
        header_timeout: settings.limits.header_timeout,
    }
}
