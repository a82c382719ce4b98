//! The listed backend servers, as the tasks that connect to them see them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use iristhread_core::Replica;

/// The listed backend servers by address and by service.
#[derive(Debug, Default)]
pub struct KnownServers {
    by_address: HashMap<SocketAddr, Arc<Replica>>,
    by_service: BTreeMap<String, Vec<Arc<Replica>>>,
}

impl KnownServers {
    /// Creates the view of a list.
    pub fn new(listed: impl IntoIterator<Item = Replica>) -> Self {
        let mut servers = KnownServers::default();
        for replica in listed {
            let replica = Arc::new(replica);
            let service = replica.service.clone();
            let of_service = servers.by_service.entry(service).or_default();
            of_service.push(replica.clone());
            servers.by_address.insert(replica.address, replica);
        }
        servers
    }

    /// Returns the server at an address.
    pub fn at(&self, address: SocketAddr) -> Option<Arc<Replica>> {
        self.by_address.get(&address).cloned()
    }

    /// Returns the server with an id.
    pub fn with_id(&self, id: &str) -> Option<Arc<Replica>> {
        let mut servers = self.by_address.values();
        servers.find(|server| server.id == id).cloned()
    }

    /// Returns the servers of a service, in the order of the list.
    pub fn of_service(&self, service: &str) -> &[Arc<Replica>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}
