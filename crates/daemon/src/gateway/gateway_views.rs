//! What traffic tasks see of the control thread's state without asking it.

use std::sync::Arc;

use iristhread_core::RouteTable;
use iristhread_core::SendRestrictions;
use iristhread_core::ZoneEvacuations;
use tokio::sync::watch;

/// The configuration in force, `None` before the first.
pub type TableView = watch::Receiver<Option<Arc<RouteTable>>>;

/// Views of the state of one gateway.
#[derive(Clone)]
pub struct GatewayViews {
    /// The configuration in force.
    pub tables: TableView,
    /// Whether any list of backend servers is known.
    pub knows_list: watch::Receiver<bool>,
    /// The evacuated zones.
    pub evacuations: watch::Receiver<ZoneEvacuations>,
    /// Backend servers that leave or rest.
    pub stops: watch::Receiver<Arc<SendRestrictions>>,
}
