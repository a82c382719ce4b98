//! Where requests and sessions may go at all: not to zones that the operators evacuate,
//! and only to regions that are their home.

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
    /// Takes news of evacuated zones; returns what is different now, `None` when they
    /// are not newer than what is known.
    ///
    /// Sessions that run in such a zone stay there: its engines serve on, and those
    /// elsewhere have less room for them than before. Their copies count no longer.
    pub fn offer_evacuations(
        &mut self,
        now: Now,
        news: EvacuationUpdate,
    ) -> Option<Vec<EvacuationChange>> {
        let changes = self.evacuations.take(now, news)?;
        self.drop_evacuated_backups();
        Some(changes)
    }

    /// The evacuated zones.
    pub fn evacuations(&self) -> &ZoneEvacuations {
        &self.evacuations
    }

    /// Backend servers that are listed in a zone.
    pub fn listed_in(&self, zone: &str) -> usize {
        self.list.in_zone(zone)
    }

    /// Whether a replica may be given something new.
    pub(super) fn is_open(&self, replica: &Replica) -> bool {
        !self.evacuations.is_evacuated(&replica.availability_zone)
    }

    /// Whether a replica is in a region that is home to a request. A zone whose region
    /// is not known is home to none.
    pub(super) fn is_in_home_region(&self, replica: &Replica, ask: &PlacementRequest) -> bool {
        let Some(homes) = &ask.homes else {
            return true;
        };
        let region = self.terms.regions.get(&replica.availability_zone);
        region.is_some_and(|region| homes.contains(region))
    }

    /// Why no backend server takes a request; the caller can't know whether it is the
    /// operators' doing.
    pub(super) fn nothing_takes(&mut self, now: Now, ask: &PlacementRequest) -> Refusal {
        if let Some(refusal) = self.all_rest(now, ask) {
            return refusal;
        }
        let service = &ask.service;
        let serving = self.list.serving(now).filter(|r| r.service == *service);
        let serving: Vec<&Replica> = serving.collect();
        let at_home = || serving.iter().filter(|r| self.is_in_home_region(r, ask));
        let mut open = at_home().filter(|replica| self.is_open(replica));
        let message = if serving.is_empty() {
            format!("no backend server of {service} takes requests now")
        } else if at_home().next().is_none() {
            format!("no backend server of {service} is in a home region of the request")
        } else if open.next().is_none() {
            format!("the zones of all backend servers of {service} are evacuated")
        } else {
            let message = format!("the backend servers of {service} are cold and bear no more");
            return Refusal::new(RefusalKind::QueueFull, FULL_RETRY_AFTER, message);
        };
        Refusal::new(RefusalKind::NoBackend, NO_BACKEND_RETRY_AFTER, message)
    }

    /// A session can't go on at a copy in an evacuated zone; a move there that is under
    /// way is ended by whoever sends the session on.
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
