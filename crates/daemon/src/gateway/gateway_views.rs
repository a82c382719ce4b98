//! Parts of the control thread's state that traffic tasks read without sending it a message.

use std::sync::Arc;

use iristhread_core::RouteTable;
use iristhread_core::SendRestrictions;
use iristhread_core::ZoneEvacuations;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::detour::known_servers::KnownServers;

/// The configuration in force, `None` before the first one.
pub type TableView = watch::Receiver<Option<Arc<RouteTable>>>;

/// Views of the state of one gateway, updated by its control thread.
#[derive(Clone)]
pub struct GatewayViews {
    /// The configuration in force.
    pub tables: TableView,
    /// Whether a list of backend servers is known.
    pub knows_list: watch::Receiver<bool>,
    /// The listed backend servers.
    pub servers: watch::Receiver<Arc<KnownServers>>,
    /// The evacuated zones.
    pub evacuations: watch::Receiver<ZoneEvacuations>,
    /// Backend servers that are draining, backing off or limited.
    pub restrictions: watch::Receiver<Arc<SendRestrictions>>,
    /// Notified when a run was left whose server is to be probed.
    pub run_left: Arc<Notify>,
}
