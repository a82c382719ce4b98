//! Starts the components of a gateway instance and stops them in order.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use iristhread_api::ServerClient;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::completion::control_message::Identity;
use crate::completion::daemon::DaemonError;
use crate::completion::daemon::listen;
use crate::completion::daemon::listen_error;
use crate::detour::detour_client::DetourClient;
use crate::detour::detour_server::DetourServer;
use crate::detour::link_prober;
use crate::detour::server_dialer::DialerPorts;
use crate::detour::server_dialer::ServerDialer;
use crate::directory::config_reader::ConfigReader;
use crate::directory::list_reader::ListReader;
use crate::engines::engine_watch;
use crate::engines::left_run_watch;
use crate::engines::notices::Notices;
use crate::engines::notices::RestrictedMover;
use crate::gateway::gateway_answers::GatewayAnswers;
use crate::gateway::gateway_load::GatewayLoad;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_ports::GatewayPorts;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::peers::fleet_link::FleetLink;
use crate::peers::fleet_link::FleetPorts;
use crate::peers::peer_port::JsonRpcPeers;
use crate::peers::peer_server;
use crate::peers::peer_server::PeerIdentity;
use crate::process::clock::Clock;
use crate::process::connection_memory::ConnectionMemory;
use crate::process::gated_listener::GatedListener;
use crate::process::http_server;
use crate::process::http_server::ConnectionContext;
use crate::process::http_server::ConnectionLimits;
use crate::process::memory::Memory;
use crate::process::thread_lag::ThreadLag;
use crate::relaying::http_front_end;

pub(crate) mod gateway_answers;
pub(crate) mod gateway_app;
pub(crate) mod gateway_load;
pub(crate) mod gateway_message;
pub(crate) mod gateway_metrics;
pub(crate) mod gateway_ports;
pub(crate) mod gateway_program;
pub(crate) mod gateway_settings;
pub(crate) mod gateway_thread;
pub(crate) mod gateway_views;
pub(crate) mod instance_state;
pub(crate) mod operator_routes;

pub use gateway_app::GatewayApp;

/// Maximum size in bytes of an answer that the client reads as a whole.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Maximum idle time of a caller's connection between two requests before the first
/// configuration is in force. It equals the value that the platform uses.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size in bytes of a request's headers before the first configuration is in force.
const MAX_HEADER_BYTES: usize = 16_384;

/// Time after the stop signal in which new connections are still accepted: the platform's load
/// balancer checks readiness each second and stops sending after two failed checks.
const STOP_LINGER: Duration = Duration::from_millis(2_800);

/// Time between the end of a planned stop and the end of the stop grace, so that the process
/// ends by itself in time.
const STOP_MARGIN: Duration = Duration::from_millis(150);

/// A running gateway instance.
pub struct Gateway {
    app: Arc<GatewayApp>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
    detours: Arc<DetourServer>,
    stop_grace: Duration,
}

impl Gateway {
    /// Starts all components. Must be called within the runtime for traffic.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] that names the invalid setting.
    pub async fn start(
        settings: GatewaySettings,
        ports: GatewayPorts,
        log: Logger,
    ) -> Result<Gateway, DaemonError> {
        let clock = Clock::start();
        let identity = Identity {
            instance: settings.instance.clone(),
            incarnation: uuid::Uuid::new_v4().simple().to_string(),
        };
        info!(log, "starting"; "incarnation" => &identity.incarnation);
        let caller_listener = listen("caller_address", settings.caller_address)?;
        let operator_listener = listen("operator_address", settings.operator_address)?;
        let immediate_heartbeat = Arc::new(Notify::new());
        let metrics = Arc::new(GatewayMetrics::default());
        let parameters = settings.parameters(rand::random());
        let (control, views) = gateway_thread::start(
            parameters,
            clock,
            log.clone(),
            metrics.clone(),
            immediate_heartbeat.clone(),
        )?;
        let lag = ThreadLag::new(
            "traffic",
            clock,
            metrics.lag_observer("traffic"),
            log.clone(),
        );
        tokio::spawn(lag.clone().run());
        let notices = Notices {
            control: control.clone(),
            restrictions: views.restrictions.clone(),
            clock,
            metrics: metrics.clone(),
            log: log.clone(),
        };
        let dialer = Arc::new(ServerDialer::new(
            settings.zone.clone(),
            settings.detour_address.map(|address| address.port()),
            DialerPorts {
                direct: ports.dial,
                servers: views.servers.clone(),
                client: DetourClient::new(identity.clone(), settings.keyring.clone()),
                control: control.clone(),
                clock,
                metrics: metrics.clone(),
                log: log.clone(),
                heartbeat_now: immediate_heartbeat.clone(),
            },
        ));
        let mover = Arc::new(RestrictedMover {
            mover: (ports.mover)(dialer.clone()),
            notices: notices.clone(),
        });
        let memory = Memory::new(
            settings.process_memory_bytes,
            clock,
            metrics.clone(),
            log.clone(),
        );
        let app = Arc::new(GatewayApp {
            settings,
            identity,
            clock,
            control: control.clone(),
            wire_protocol: ports.wire_protocol,
            mover,
            notices,
            client: ServerClient::dialing(MAX_ANSWER_BYTES, dialer.clone()),
            dialer: dialer.clone(),
            metrics: metrics.clone(),
            memory: memory.clone(),
            lag,
            log: log.clone(),
            views,
            stopping: AtomicBool::new(false),
        });
        let peers = start_peers(&app, immediate_heartbeat).await?;
        let detours = DetourServer::new(app.clone());
        if let Some(address) = app.settings.detour_address {
            let listener = listen("detour_address", address)?;
            tokio::spawn(detours.clone().run(listener));
        }
        tokio::spawn(link_prober::run(dialer.clone()));
        let load = Arc::new(GatewayLoad {
            control: control.clone(),
            dialer,
            memory,
            metrics: metrics.clone(),
        });
        let configs = ConfigReader {
            directory: ports.directory.clone(),
            control: control.clone(),
            link: peers.clone(),
            clock,
            metrics: metrics.clone(),
            log: log.clone(),
        };
        tokio::spawn(configs.run());
        tokio::spawn(engine_watch::run(app.clone()));
        tokio::spawn(left_run_watch::run(app.clone()));
        let reader = ListReader {
            directory: ports.directory,
            control,
            link: peers,
            clock,
            metrics,
            log,
        };
        tokio::spawn(reader.run());
        let (stop, stopped) = watch::channel(false);
        let limits = connection_limits(&app.settings);
        let front = app.clone();
        let service = move |connection: ConnectionContext| {
            let app = front.clone();
            let memory = connection.memory;
            // It belongs to the first request of the connection.
            let permit = Mutex::new(connection.permit);
            service_fn(move |request: Request<Incoming>| {
                let app = app.clone();
                let head_pause = ConnectionMemory::pause(memory.as_ref());
                let mut permit = permit.lock().unwrap_or_else(PoisonError::into_inner);
                let permit = permit.take();
                async move {
                    let answer = http_front_end::answer(app, request, permit, head_pause).await;
                    Ok::<_, std::convert::Infallible>(answer)
                }
            })
        };
        let caller_connections = GatedListener::new(caller_listener, load, clock, app.log.clone());
        let callers = http_server::serve_with(caller_connections, service, limits, stopped);
        operator_routes::serve(operator_listener, &app, limits);
        if let Some(address) = app.settings.metrics_address {
            operator_routes::serve(listen("metrics_address", address)?, &app, limits);
        }
        Ok(Gateway {
            callers: tokio::spawn(callers),
            stop_grace: app.settings.stop_grace,
            detours,
            app,
            stop,
        })
    }

    /// Applies changed settings. Logs those that a running process can't change.
    pub fn reload(&mut self, settings: &GatewaySettings) {
        let old = &self.app.settings;
        let fixed = [
            ("instance", old.instance != settings.instance),
            ("availability_zone", old.zone != settings.zone),
            (
                "caller_address",
                old.caller_address != settings.caller_address,
            ),
            (
                "operator_address",
                old.operator_address != settings.operator_address,
            ),
            ("peer_address", old.peer_address != settings.peer_address),
            (
                "detour_address",
                old.detour_address != settings.detour_address,
            ),
            (
                "metrics_address",
                old.metrics_address != settings.metrics_address,
            ),
            (
                "directory_address",
                old.directory_address != settings.directory_address,
            ),
            (
                "process_memory_mb",
                old.process_memory_bytes != settings.process_memory_bytes,
            ),
        ];
        let changed: Vec<&str> = fixed
            .iter()
            .filter(|(_, is_changed)| *is_changed)
            .map(|setting| setting.0)
            .collect();
        info!(self.app.log, "settings reloaded"; "need_a_restart" => changed.join(", "));
        self.stop_grace = settings.stop_grace;
        let parameters = Box::new(settings.parameters(rand::random()));
        self.app
            .control
            .tell(GatewayMessage::Parameters { parameters });
    }

    /// Takes over a measurement of the resident memory of this process.
    pub fn observe_resident(&self, resident_bytes: u64) {
        self.app.memory.observe_resident(resident_bytes);
    }

    /// Logs that changed settings are invalid; the old ones stay in force.
    pub fn reload_failed(&self, faults: &[String]) {
        warn!(self.app.log, "changed settings are invalid; the old ones stay in force";
            "faults" => faults.join("; "));
    }

    /// Stops the instance: reports not ready at once, then accepts no new connections, then waits
    /// for all requests, its own and those that it carries for peers. Returns whether all of them
    /// finished in time.
    pub async fn stop(self) -> bool {
        let log = &self.app.log;
        let began = self.app.clock.now();
        info!(log, "planned stop begins");
        self.app.stopping.store(true, Ordering::Relaxed);
        self.app.control.tell(GatewayMessage::Stopping);
        let grace = self.stop_grace;
        tokio::time::sleep(STOP_LINGER.min(grace / 2)).await;
        self.stop.send_replace(true);
        let ends_at = began + grace.saturating_sub(STOP_MARGIN);
        let requests = futures::future::join(self.callers, self.detours.drained());
        let finished = tokio::time::timeout_at(self.app.clock.instant(ends_at), requests).await;
        info!(log, "planned stop ends"; "finished" => finished.is_ok());
        finished.is_ok()
    }
}

/// Listens for peers by UDP and TCP on one address and starts the link.
async fn start_peers(
    app: &Arc<GatewayApp>,
    immediate_heartbeat: Arc<Notify>,
) -> Result<Arc<FleetLink>, DaemonError> {
    let address = app.settings.peer_address;
    let unusable = |cause| listen_error("peer_address", address, cause);
    let socket = Arc::new(UdpSocket::bind(address).await.map_err(unusable)?);
    let own = PeerIdentity {
        identity: app.identity.clone(),
        keyring: app.settings.keyring.clone(),
        address,
    };
    let answers = Arc::new(GatewayAnswers::new(app.control.clone()));
    let (server, _) = peer_server::serve_peers(own, answers, app.log.clone())
        .await
        .map_err(unusable)?;
    // Serves peers until the process ends.
    tokio::spawn(server.stopped());
    let keyring = app.settings.keyring.clone();
    let ports = FleetPorts {
        control: app.control.clone(),
        peers: Arc::new(JsonRpcPeers::new(app.identity.clone(), keyring)),
        metrics: app.metrics.clone(),
        log: app.log.clone(),
        heartbeat_now: immediate_heartbeat,
        dialer: app.dialer.clone(),
    };
    let identity = app.identity.clone();
    let link = FleetLink::new(identity, app.settings.clone(), app.clock, ports);
    tokio::spawn(link.clone().run_sender(socket.clone()));
    tokio::spawn(link.clone().run_relay(socket.clone()));
    tokio::spawn(link.clone().run_receiver(socket));
    Ok(link)
}

fn connection_limits(settings: &GatewaySettings) -> ConnectionLimits {
    ConnectionLimits {
        max_connections: settings.max_connections,
        max_header_bytes: MAX_HEADER_BYTES,
        // The HTTP library applies this timeout to the idle time between two requests as well.
        header_timeout: IDLE_TIMEOUT,
        write_timeout: IDLE_TIMEOUT,
    }
}
