//! Restricts where requests and sessions may be placed: not in zones that the operators evacuate,
//! and only in the home regions of the request.

use super::FULL_RETRY_AFTER;
use super::GatewayControl;
use super::NO_BACKEND_RETRY_AFTER;
use crate::BackendId;
use crate::EvacuationChange;
use crate::EvacuationUpdate;
use crate::Moving;
use crate::Now;
use crate::PlacementRequest;
use crate::Refusal;
use crate::RefusalKind;
use crate::Replica;
use crate::ZoneEvacuations;

impl GatewayControl {
    /// Applies an update of the evacuated zones; returns the changes, or `None` if the update is
    /// not newer than the known state.
    ///
    /// Sessions that run in an evacuated zone stay there: its engines keep serving, and engines in
    /// other zones have less capacity than before. Backups in an evacuated zone are dropped.
    pub fn offer_evacuations(
        &mut self,
        now: Now,
        update: EvacuationUpdate,
    ) -> Option<Vec<EvacuationChange>> {
        let changes = self.evacuations.take(now, update)?;
        self.drop_evacuated_backups();
        Some(changes)
    }

    /// Returns the zone evacuations.
    pub fn evacuations(&self) -> &ZoneEvacuations {
        &self.evacuations
    }

    /// Returns the number of backend servers listed in a zone.
    pub fn listed_in(&self, zone: &str) -> usize {
        self.list.in_zone(zone)
    }

    /// Returns whether the zone of a replica accepts new requests.
    pub(super) fn is_open(&self, replica: &Replica) -> bool {
        !self.evacuations.is_evacuated(&replica.availability_zone)
    }

    /// Returns whether a replica is in a home region of a request. A zone whose region is unknown
    /// is in no home region.
    pub(super) fn is_in_home_region(&self, replica: &Replica, ask: &PlacementRequest) -> bool {
        let Some(homes) = &ask.homes else {
            return true;
        };
        let region = self.parameters.regions.get(&replica.availability_zone);
        region.is_some_and(|region| homes.contains(region))
    }

    /// Returns the refusal for a request that no backend server takes. Its message names the cause,
    /// since the caller can't know whether an operator's action led to it.
    pub(super) fn no_replica_refusal(&mut self, now: Now, ask: &PlacementRequest) -> Refusal {
        if let Some(refusal) = self.all_backing_off(now, ask) {
            return refusal;
        }
        let service = &ask.service;
        let serving = self.list.serving(now).filter(|r| r.service == *service);
        let serving: Vec<&Replica> = serving.collect();
        let in_home_region = || serving.iter().filter(|r| self.is_in_home_region(r, ask));
        let mut open = in_home_region().filter(|replica| self.is_open(replica));
        let message = if serving.is_empty() {
            format!("no backend server of {service} takes requests now")
        } else if in_home_region().next().is_none() {
            format!("no backend server of {service} is in a home region of the request")
        } else if open.next().is_none() {
            format!("the zones of all backend servers of {service} are evacuated")
        } else {
            let message = format!("the backend servers of {service} are cold and bear no more");
            return Refusal::new(RefusalKind::QueueFull, FULL_RETRY_AFTER, message);
        };
        Refusal::new(RefusalKind::NoBackend, NO_BACKEND_RETRY_AFTER, message)
    }

    /// Drops the backups in evacuated zones: a session can't fail over to them. A move to such a
    /// zone that is in progress is ended by the task that moves the session.
    fn drop_evacuated_backups(&mut self) {
        let is_evacuated = |id: &BackendId| {
            let replica = self.list.replica(id);
            replica.is_some_and(|r| self.evacuations.is_evacuated(&r.availability_zone))
        };
        for run in self.runs.values_mut() {
            let stays = run.moving == Moving::Stays;
            if stays && run.backup.as_ref().is_some_and(is_evacuated) {
                run.backup = None;
            }
        }
    }
}
