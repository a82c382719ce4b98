//! Starts the tasks and servers of an instance, and stops them in order.

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
use crate::completion::control_load::ControlLoad;
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
use crate::process::gated_listener::GatedListener;
use crate::process::http_server;
use crate::process::http_server::ConnectionLimits;
use crate::process::metrics::Metrics;

/// Maximum size of an answer of a plain service.
const MAX_SERVICE_ANSWER_BYTES: usize = 4 << 20;

/// Size of the kernel's send buffer of one connection.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Error that prevents an instance from starting.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// Listening on an address failed.
    #[error("can't listen on {key} = {address}: {cause}; is another process there?")]
    Listen {
        /// Key of the setting.
        key: &'static str,
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The operating system refused a thread, a socket or a signal handler.
    #[error("can't start: {0}")]
    System(#[from] std::io::Error),
}

/// Addresses that an instance listens on; a port 0 of the settings is replaced by the actual one.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ListenAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// A running instance.
pub struct Daemon {
    addresses: ListenAddresses,
    app: Arc<App>,
    stop: watch::Sender<bool>,
    caller_server: JoinHandle<()>,
    operator_server: JoinHandle<()>,
    peer_server: jsonrpsee::server::ServerHandle,
}

impl Daemon {
    /// Starts the instance. Must be called within the runtime for traffic.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] names the setting whose address can't be used;
    /// [`DaemonError::System`] if a thread or socket can't be created.
    pub async fn start(settings: Settings, log: Logger) -> Result<Daemon, DaemonError> {
        let clock = Clock::start();
        let identity = Identity {
            instance: settings.instance.clone(),
            incarnation: uuid::Uuid::new_v4().simple().to_string(),
        };
        let caller_listener = listen("caller_address", settings.caller_address)?;
        let operator_listener = listen("operator_address", settings.operator_address)?;
        let control_settings = control_settings(&settings, &identity);
        let zone = &settings.zone;
        let metrics = Metrics::new(settings.metrics_address, &settings.instance, zone)?;
        let metrics = Arc::new(metrics);
        let observer = metrics.lag_observer();
        let (control, outputs) =
            ControlHandle::start(control_settings, clock, observer, log.clone())?;
        let platform = Arc::new(HttpPlatform::new(settings.platform_address));
        let keyring = settings.keyring.clone();
        let app = Arc::new(App {
            metrics,
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
        let (peer_handle, peer_address) = peer_server::serve_peers(own, answers, log.clone())
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
        let load = Arc::new(ControlLoad {
            control: app.control.clone(),
            metrics: app.metrics.clone(),
        });
        let caller_connections = GatedListener::new(caller_listener, load, clock, app.log.clone());
        let caller_routes = caller_api::routes(&app);
        let operator_routes = operator_api::routes(&app);
        Ok(Daemon {
            addresses,
            caller_server: tokio::spawn(http_server::serve(
                caller_connections,
                caller_routes,
                limits,
                stopped.clone(),
            )),
            operator_server: tokio::spawn(http_server::serve(
                operator_listener,
                operator_routes,
                limits,
                stopped,
            )),
            app,
            stop,
            peer_server: peer_handle,
        })
    }

    /// Returns the addresses that the instance listens on.
    pub fn addresses(&self) -> ListenAddresses {
        self.addresses
    }

    /// Performs a planned stop: the instance is not ready at once, accepts no new connections
    /// after `stop_linger`, then waits up to `stop_timeout` for streams and calls. Returns
    /// whether all of them finished.
    pub async fn stop(self) -> bool {
        let log = &self.app.log;
        info!(log, "planned stop begins");
        self.app.stopping.store(true, Ordering::Relaxed);
        tokio::time::sleep(self.app.settings.stop_linger).await;
        self.stop.send_replace(true);
        // Operators' watches never end by themselves.
        self.operator_server.abort();
        let drained = async {
            // An error means that the server's task panicked, so it has ended as well.
            let _ = self.caller_server.await;
            // Calls forwarded by peers must finish, too, as callers wait for them.
            let _ = self.peer_server.stop();
            self.peer_server.stopped().await;
        };
        let finished = tokio::time::timeout(self.app.settings.stop_timeout, drained).await;
        info!(log, "planned stop ends"; "finished" => finished.is_ok());
        finished.is_ok()
    }
}

/// Listens on the address of the setting `key`.
pub fn listen(key: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    bind(address).map_err(|cause| listen_error(key, address, cause))
}

/// Accepted connections inherit the small send buffer: a caller that stops reading is detected
/// early and holds little memory.
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

/// Creates the error for an address that can't be listened on.
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
        write_timeout: settings.limits.write_timeout,
    }
}
