//! State shared by all tasks of a gateway.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use iristhread_api::ServerClient;
use iristhread_core::Now;
use iristhread_core::RouteTable;
use slog::Logger;

use crate::completion::control_message::Identity;
use crate::detour::server_dialer::ServerDialer;
use crate::engines::notices::Notices;
use crate::engines::session_mover::SessionMover;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_settings::GatewaySettings;
use crate::gateway::gateway_thread::GatewayHandle;
use crate::gateway::gateway_views::GatewayViews;
use crate::process::clock::Clock;
use crate::process::memory::Memory;
use crate::process::thread_lag::ThreadLag;
use crate::relaying::wire_protocol::WireProtocol;

/// State shared by all tasks of a gateway.
pub struct GatewayApp {
    /// Settings of the instance.
    pub settings: GatewaySettings,
    /// Identity of this process.
    pub identity: Identity,
    /// Clock of the process; its time goes on while the machine is suspended.
    pub clock: Clock,
    /// Sends messages to the control thread.
    pub control: GatewayHandle,
    /// Headers of callers and backend servers.
    pub wire_protocol: Arc<dyn WireProtocol>,
    /// Orders to engines.
    pub mover: Arc<dyn SessionMover>,
    /// Records server notices and checks send restrictions.
    pub notices: Notices,
    /// HTTP client that opens one connection for each request.
    pub client: ServerClient,
    /// Opens connections to backend servers.
    pub dialer: Arc<ServerDialer>,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// The bytes that are held for requests and connections.
    pub memory: Arc<Memory>,
    /// Lateness of the thread that relays requests.
    pub lag: ThreadLag,
    /// Logger of the instance.
    pub log: Logger,
    /// What the control thread publishes.
    pub(super) views: GatewayViews,
    /// Whether a planned stop has begun.
    pub(super) stopping: AtomicBool,
}

impl GatewayApp {
    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.views.tables.borrow().clone()
    }

    /// Returns the number of tokens in one event of a service's streams.
    pub fn tokens_per_event(&self, service: &str) -> u32 {
        let table = self.table();
        let service = table
            .as_ref()
            .and_then(|table| table.config().service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(1, |engine| engine.tokens_per_event.max(1))
    }

    /// Whether a session of a service may go on at another engine than its own.
    pub fn engines_pass_sessions_on(&self, service: &str) -> bool {
        let table = self.table();
        let service = table
            .as_ref()
            .and_then(|table| table.config().service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.is_some_and(|engine| engine.can_move || engine.can_back_up)
    }

    /// Waits until a run is left whose backend server is to be probed.
    pub async fn run_left(&self) {
        self.views.run_left.notified().await;
    }

    /// Whether nothing may be sent to an availability zone because the operators evacuate it.
    pub fn is_closed(&self, zone: &str) -> bool {
        let evacuations = self.views.evacuations.borrow();
        evacuations.is_closed(self.clock.now(), zone)
    }

    /// Whether this instance was late by itself since `at`, so that an answer that is missing shows
    /// nothing about its server.
    pub fn was_late_since(&self, at: Now) -> bool {
        self.dialer.was_path_slow() || !self.lag.late_since(at).is_zero()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the load balancer should send callers here. Without a list of backend servers
    /// every request would be refused, while another instance may accept it.
    pub(super) fn is_ready(&self) -> bool {
        let has_config = self.views.tables.borrow().is_some();
        !self.is_stopping() && has_config && *self.views.knows_list.borrow()
    }
}
