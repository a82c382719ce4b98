//! Starts the parts of a gateway instance and stops them in order.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use iristhread_api::HttpClient;
use iristhread_core::RouteTable;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use viz::IntoResponse;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use crate::completion::control_message::Identity;
use crate::completion::daemon::DaemonError;
use crate::completion::daemon::listen;
use crate::completion::daemon::listen_error;
use crate::directory::Directory;
use crate::directory::config_reader::ConfigReader;
use crate::directory::list_reader::ListReader;
use crate::engines::engine_watch;
use crate::engines::notices::HeedfulMover;
use crate::engines::notices::Notices;
use crate::engines::session_mover::SessionMover;
use crate::gateway::gateway_answers::GatewayAnswers;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::gateway::gateway_views::GatewayViews;
use crate::peers::fleet_link::FleetLink;
use crate::peers::fleet_link::FleetPorts;
use crate::peers::peer_port::JsonRpcPeers;
use crate::peers::peer_server;
use crate::peers::peer_server::PeerIdentity;
use crate::process::clock::Clock;
use crate::process::http_server;
use crate::process::http_server::ConnectionLimits;
use crate::relaying::dialect::Dialect;
use crate::relaying::gateway_front;

pub(crate) mod gateway_answers;
pub(crate) mod gateway_message;
pub(crate) mod gateway_metrics;
pub(crate) mod gateway_settings;
pub(crate) mod gateway_thread;
pub(crate) mod gateway_views;

/// Most bytes of an answer that the client reads whole.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Longest wait for a connection to a backend server, which takes one in a few
/// milliseconds also from another zone; a lost opening packet goes again after a second.
/// Behind a cut in silence a request would wait until it is late, and end as if it might have
/// run although nothing was written.
const BACKEND_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest rest of a caller's connection between two requests, until the
/// configuration tells: the platform's today.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Most bytes of a request's headers before the configuration tells.
const MAX_HEADER_BYTES: usize = 16_384;

/// Time after the stop signal in which new connections are still taken: the
/// platform's balancer asks each second and stops sending after two misses.
const STOP_LINGER: Duration = Duration::from_millis(2_800);

/// Part of the grace that is left when the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(150);

/// The adapters to the outside world.
pub struct GatewayPorts {
    /// Headers of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's directory.
    pub directory: Arc<dyn Directory>,
    /// Orders to engines.
    pub mover: Arc<dyn SessionMover>,
}

/// Shared by all tasks.
pub struct GatewayApp {
    /// Settings.
    pub settings: GatewaySettings,
    /// Who this process is.
    pub identity: Identity,
    /// Clocks.
    pub clock: Clock,
    /// Decisions.
    pub control: GatewayHandle,
    /// Headers of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Orders to engines.
    pub mover: Arc<dyn SessionMover>,
    /// What backend servers say of themselves.
    pub notices: Notices,
    /// Sends requests, each on a connection of its own.
    pub client: HttpClient,
    /// Figures for operators.
    pub metrics: Arc<GatewayMetrics>,
    /// Logger.
    pub log: Logger,
    views: GatewayViews,
    stopping: AtomicBool,
}

impl GatewayApp {
    /// The configuration in force now.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.views.tables.borrow().clone()
    }

    /// Tokens of one event of a service's streams.
    pub fn tokens_per_event(&self, service: &str) -> u32 {
        let table = self.table();
        let service = table
            .as_ref()
            .and_then(|table| table.config().service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(1, |engine| engine.tokens_per_event.max(1))
    }

    /// Whether nothing may be sent any more to an availability zone, since the operators
    /// evacuate it.
    pub fn is_closed(&self, zone: &str) -> bool {
        let evacuations = self.views.evacuations.borrow();
        evacuations.is_closed(self.clock.now(), zone)
    }

    /// Without a list of backend servers every request would be refused: the
    /// balancer knows another instance.
    fn is_ready(&self) -> bool {
        let is_stopping = self.stopping.load(Ordering::Relaxed);
        let has_config = self.views.tables.borrow().is_some();
        !is_stopping && has_config && *self.views.knows_list.borrow()
    }
}

/// A running gateway instance.
pub struct Gateway {
    app: Arc<GatewayApp>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
    stop_grace: Duration,
}

impl Gateway {
    /// Starts everything; call it within the runtime for traffic.
    ///
    /// # Errors
    ///
    /// [`DaemonError`] that names the setting at fault.
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
        let news = Arc::new(Notify::new());
        let metrics = Arc::new(GatewayMetrics::default());
        let terms = settings.terms(rand::random());
        let (control, views) =
            gateway_thread::start(terms, clock, log.clone(), metrics.clone(), news.clone())?;
        let notices = Notices {
            control: control.clone(),
            stops: views.stops.clone(),
            clock,
            metrics: metrics.clone(),
            log: log.clone(),
        };
        let mover = Arc::new(HeedfulMover {
            mover: ports.mover,
            notices: notices.clone(),
        });
        let app = Arc::new(GatewayApp {
            settings,
            identity,
            clock,
            control: control.clone(),
            dialect: ports.dialect,
            mover,
            notices,
            client: HttpClient::unpooled_with_connect_timeout(
                MAX_ANSWER_BYTES,
                BACKEND_CONNECT_TIMEOUT,
            ),
            metrics: metrics.clone(),
            log: log.clone(),
            views,
            stopping: AtomicBool::new(false),
        });
        let peers = start_peers(&app, news).await?;
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
        let service = move |_| {
            let app = front.clone();
            service_fn(move |request: Request<Incoming>| {
                let app = app.clone();
                async move {
                    Ok::<_, std::convert::Infallible>(gateway_front::answer(app, request).await)
                }
            })
        };
        let callers = http_server::serve_with(caller_listener, service, limits, stopped);
        serve_operators(operator_listener, &app, limits);
        if let Some(address) = app.settings.metrics_address {
            serve_operators(listen("metrics_address", address)?, &app, limits);
        }
        Ok(Gateway {
            callers: tokio::spawn(callers),
            stop_grace: app.settings.stop_grace,
            app,
            stop,
        })
    }

    /// Takes changed settings, as far as a running process can.
    pub fn reload(&mut self, settings: &GatewaySettings) {
        let old = &self.app.settings;
        let bound = [
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
                "metrics_address",
                old.metrics_address != settings.metrics_address,
            ),
            (
                "directory_address",
                old.directory_address != settings.directory_address,
            ),
        ];
        let bound: Vec<&str> = bound
            .iter()
            .filter(|(_, changed)| *changed)
            .map(|b| b.0)
            .collect();
        info!(self.app.log, "settings reloaded"; "need_a_restart" => bound.join(", "));
        self.stop_grace = settings.stop_grace;
        let terms = Box::new(settings.terms(rand::random()));
        self.app.control.tell(GatewayMessage::Terms { terms });
    }

    /// Notes that changed settings can't be used; the old ones stay.
    pub fn reload_failed(&self, faults: &[String]) {
        warn!(self.app.log, "changed settings have faults; the old ones stay";
            "faults" => faults.join("; "));
    }

    /// A planned stop: not ready at once, then no new connections, then wait
    /// for every request. Returns whether all of them finished in time.
    pub async fn stop(self) -> bool {
        let log = &self.app.log;
        let began = self.app.clock.now();
        info!(log, "planned stop begins");
        self.app.stopping.store(true, Ordering::Relaxed);
        let grace = self.stop_grace;
        tokio::time::sleep(STOP_LINGER.min(grace / 2)).await;
        self.stop.send_replace(true);
        let ends_at = began + grace.saturating_sub(STOP_MARGIN);
        let finished = tokio::time::timeout_at(self.app.clock.instant(ends_at), self.callers).await;
        info!(log, "planned stop ends"; "finished" => finished.is_ok());
        finished.is_ok()
    }
}

/// Listens for peers by UDP and TCP on one address and starts the link.
async fn start_peers(
    app: &Arc<GatewayApp>,
    news: Arc<Notify>,
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
    // Peers are answered until the process is gone.
    tokio::spawn(server.stopped());
    let keyring = app.settings.keyring.clone();
    let ports = FleetPorts {
        control: app.control.clone(),
        peers: Arc::new(JsonRpcPeers::new(app.identity.clone(), keyring)),
        metrics: app.metrics.clone(),
        log: app.log.clone(),
        beat_now: news,
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
        // The library counts the rest between two requests as well.
        header_timeout: IDLE_TIMEOUT,
    }
}

/// Serves operators and their collectors until the process is gone.
fn serve_operators(listener: TcpListener, app: &Arc<GatewayApp>, limits: ConnectionLimits) {
    let routes = operator_routes(app);
    let (keep, never) = watch::channel(false);
    tokio::spawn(async move {
        http_server::serve(listener, routes, limits, never).await;
        drop(keep);
    });
}

fn operator_routes(app: &Arc<GatewayApp>) -> Router {
    let (asked, measured) = (app.clone(), app.clone());
    let ready = move |_| {
        let is_ready = asked.is_ready();
        async move { viz::Result::<Response>::Ok(readiness(is_ready)) }
    };
    let metrics = move |_| {
        let text = measured.metrics.text();
        async move { viz::Result::<Response>::Ok(text.into_response()) }
    };
    Router::new().get("/ready", ready).get("/metrics", metrics)
}

fn readiness(is_ready: bool) -> Response {
    let status = match is_ready {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    status.into_response()
}
