//! Publishes the listed backend servers to the tasks that connect to them.

use std::sync::Arc;

use iristhread_core::Revision;

use super::GatewayThread;
use crate::detour::known_servers::KnownServers;

/// Identifies the content of a list: entries also leave it without a new revision, when they expire.
pub(super) type ServersVersion = (Revision, usize);

impl GatewayThread {
    pub(super) fn publish_servers(&mut self) {
        let list = self.control.list();
        let version = (list.revision(), list.count());
        if version == self.servers_version {
            return;
        }
        self.servers_version = version;
        let servers = KnownServers::new(list.listed().cloned());
        self.servers.send_replace(Arc::new(servers));
    }
}
