//! Start of the control thread, and the handle to it.

use std::collections::HashMap;
use std::sync::Arc;

use iristhread_core::GatewayControl;
use iristhread_core::GatewayParameters;
use iristhread_core::ZoneEvacuations;
use slog::Logger;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::GatewayThread;
use super::server_view::ServersVersion;
use super::waiting::WaitingReplies;
use crate::gateway::gateway_message::GatewayMessage;
use crate::gateway::gateway_metrics::GatewayMetrics;
use crate::gateway::gateway_views::GatewayViews;
use crate::gateway::instance_state::Audience;
use crate::gateway::instance_state::OwnState;
use crate::process::clock::Clock;
use crate::process::clock::SuspensionDetector;
use crate::process::control_sender::ControlSender;
use crate::process::thread_lag::ThreadLag;

/// Sends messages to the gateway's control thread.
pub type GatewayHandle = ControlSender<GatewayMessage>;

impl GatewayHandle {
    /// Returns the state of this instance for its own tasks; `None` if the process is stopping.
    pub async fn own_state(&self) -> Option<OwnState> {
        self.state_for(Audience::Own).await
    }

    /// Returns the state that is advertised to the peers; a relay adds the sums of its zone.
    pub async fn advertised_state(&self, is_relay: bool) -> Option<OwnState> {
        self.state_for(Audience::Peers { is_relay }).await
    }

    async fn state_for(&self, audience: Audience) -> Option<OwnState> {
        self.ask(|reply| GatewayMessage::OwnState { audience, reply })
            .await
    }
}

/// Starts the control thread. It notifies `immediate_heartbeat` of changes that the other
/// instances should learn at once.
///
/// # Errors
///
/// If the operating system can't create the thread or the runtime.
pub fn start(
    parameters: GatewayParameters,
    clock: Clock,
    log: Logger,
    metrics: Arc<GatewayMetrics>,
    immediate_heartbeat: Arc<Notify>,
) -> std::io::Result<(GatewayHandle, GatewayViews)> {
    let lag = ThreadLag::new(
        "control",
        clock,
        metrics.lag_observer("control"),
        log.clone(),
    );
    let (sender, inbox) = ControlSender::new(clock, lag);
    let (table, tables) = watch::channel(None);
    let (list_known, knows_list) = watch::channel(false);
    let (evacuations, evacuations_view) = watch::channel(ZoneEvacuations::default());
    let (restrictions, restrictions_view) = watch::channel(Arc::default());
    let (servers, servers_view) = watch::channel(Arc::default());
    let run_left = Arc::new(Notify::new());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let thread = GatewayThread {
        control: GatewayControl::new(parameters),
        signals: HashMap::new(),
        waiting: WaitingReplies::default(),
        waiting_checked_at: clock.now(),
        clock,
        log,
        table,
        list_known,
        servers,
        servers_version: ServersVersion::default(),
        evacuations,
        restrictions,
        restrictions_version: 0,
        limits_counted_at: clock.now(),
        metrics,
        immediate_heartbeat,
        run_left: run_left.clone(),
        suspensions: SuspensionDetector::new(clock),
    };
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(thread.run(inbox)))?;
    let views = GatewayViews {
        tables,
        knows_list,
        servers: servers_view,
        evacuations: evacuations_view,
        restrictions: restrictions_view,
        run_left,
    };
    Ok((sender, views))
}
