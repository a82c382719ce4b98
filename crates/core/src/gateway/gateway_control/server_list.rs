//! Applies the list of backend servers, as read by this instance or received from peers.

use super::Evacuation;
use super::GatewayControl;
use crate::AdvertisedList;
use crate::BackendId;
use crate::Now;
use crate::Replica;
use crate::ReplicaChange;
use crate::ReplicaList;
use crate::Revision;

impl GatewayControl {
    /// Returns the list of replicas.
    pub fn list(&self) -> &ReplicaList {
        &self.list
    }

    /// Applies a full list of replicas; returns the session moves that follow.
    pub fn offer_replicas(
        &mut self,
        now: Now,
        revision: impl Into<Revision>,
        replicas: Vec<Replica>,
    ) -> Vec<Evacuation> {
        self.list.snapshot(now, revision, replicas);
        self.replicas_changed(now)
    }

    /// Marks entries of the full list as unusable; returns the session moves that follow.
    pub fn mark_unusable(&mut self, now: Now, ids: Vec<BackendId>) -> Vec<Evacuation> {
        self.list.mark_unusable(now, ids);
        self.replicas_changed(now)
    }

    /// Applies the list of another instance; returns the session moves that follow.
    pub fn apply_peer_list(&mut self, now: Now, advertised: AdvertisedList) -> Vec<Evacuation> {
        self.list.hear(now, advertised);
        self.replicas_changed(now)
    }

    /// Applies changes of the list; returns the session moves that follow.
    pub fn change_replicas(
        &mut self,
        now: Now,
        revision: impl Into<Revision>,
        changes: Vec<ReplicaChange>,
    ) -> Vec<Evacuation> {
        if !self.list.change(now, revision, changes) {
            return Vec::new();
        }
        self.replicas_changed(now)
    }

    /// Records whether the list is stale, as no instance has confirmed it recently; returns
    /// whether this changed.
    pub fn set_list_stale(&mut self, is_stale: bool) -> bool {
        std::mem::replace(&mut self.is_list_stale, is_stale) != is_stale
    }

    /// Records when the platform answered again after an outage.
    pub fn outage_ended(&mut self, at: Now) {
        self.list.outage_ended(at);
    }
}
