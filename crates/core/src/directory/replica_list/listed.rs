//! The listed replicas, whether or not they accept new work.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::ReplicaList;
use crate::IncarnationId;
use crate::Replica;

impl ReplicaList {
    /// Returns all listed replicas.
    pub fn listed(&self) -> impl Iterator<Item = &Replica> {
        self.entries.values().map(|entry| &entry.replica)
    }

    /// Returns the number of listed replicas.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of replicas listed in an availability zone.
    pub fn in_zone(&self, zone: &str) -> usize {
        let in_zone = self.listed().filter(|r| r.availability_zone == zone);
        in_zone.count()
    }

    /// Returns the listed incarnations that accept new work, with their addresses.
    pub fn accepting(&self) -> BTreeMap<IncarnationId, SocketAddr> {
        let accepting = self.entries.values().filter(|e| !self.is_draining(e));
        accepting.map(|e| (e.life, e.replica.address)).collect()
    }

    /// Returns a listed replica.
    pub fn replica(&self, id: &str) -> Option<&Replica> {
        self.entries.get(id).map(|entry| &entry.replica)
    }
}
