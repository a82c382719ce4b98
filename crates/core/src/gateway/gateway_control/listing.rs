//! Takes readings of the list of backend servers, its own and those of peers.

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
    /// The list of replicas.
    pub fn list(&self) -> &ReplicaList {
        &self.list
    }

    /// Takes a whole list of replicas; returns what sessions must do.
    pub fn offer_replicas(
        &mut self,
        now: Now,
        revision: impl Into<Revision>,
        replicas: Vec<Replica>,
    ) -> Vec<Evacuation> {
        self.list.snapshot(now, revision, replicas);
        self.replicas_changed(now)
    }

    /// Notes entries of the whole list that can't be used; returns what sessions must do.
    pub fn mark_unusable(&mut self, now: Now, ids: Vec<BackendId>) -> Vec<Evacuation> {
        self.list.mark_unusable(now, ids);
        self.replicas_changed(now)
    }

    /// Takes the list of another instance; returns what sessions must do.
    pub fn apply_peer_list(&mut self, now: Now, told: AdvertisedList) -> Vec<Evacuation> {
        self.list.hear(now, told);
        self.replicas_changed(now)
    }

    /// Takes changes of the list; returns what sessions must do.
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

    /// Notes whether nobody has confirmed the list for long; returns whether that
    /// is news.
    pub fn set_list_stale(&mut self, is_lost: bool) -> bool {
        std::mem::replace(&mut self.list_is_lost, is_lost) != is_lost
    }

    /// Notes when the platform answered again after an outage.
    pub fn outage_ended(&mut self, at: Now) {
        self.list.outage_ended(at);
    }
}
