//! Handles backend servers that restart under the same ID: state recorded for one incarnation is
//! never applied to a later one. Incarnations are ordered by the revision of the platform's list;
//! start times are only compared for equality.

use super::GatewayControl;
use crate::BackendId;
use crate::Moving;
use crate::RequestId;
use crate::ServerLife;

impl GatewayControl {
    /// Returns whether an update about a backend server concerns the listed incarnation, or a
    /// server that is not listed.
    pub fn is_current(&self, server: &ServerLife) -> bool {
        let listed = self.list.replica(&server.id);
        listed.is_none_or(|listed| listed.life() == server.life)
    }

    /// Returns the listed incarnations of backend servers.
    pub fn incarnations_of(&self, ids: Vec<BackendId>) -> Vec<ServerLife> {
        let listed = ids.iter().filter_map(|id| self.list.replica(id));
        listed.map(|replica| replica.server_life()).collect()
    }

    /// Takes the sessions of this instance whose engine has restarted since they were sent there.
    /// Each session is returned once.
    pub fn take_orphaned(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.orphaned)
    }

    /// Clears the state of servers for which the list has a new incarnation.
    pub(super) fn reset_new_incarnations(&mut self) {
        for id in self.list.take_started() {
            self.pauses.remove(&id);
            self.watch.forget(&id);
            self.cold_sends.forget(&id);
            self.mark_orphaned(&id);
        }
    }

    /// Marks the sessions on an earlier incarnation as orphaned and drops the backups that it held.
    fn mark_orphaned(&mut self, id: &str) {
        let Some(incarnation) = self.list.replica(id).map(|replica| replica.life()) else {
            return;
        };
        for (request, run) in &mut self.runs {
            let has_backup = run.backup.as_deref() == Some(id) && run.moving == Moving::Stays;
            if has_backup && run.backup_life != Some(incarnation) {
                run.backup = None;
            }
            if run.replica == id && run.life.is_some_and(|known| known != incarnation) {
                run.life = Some(incarnation);
                self.orphaned.push(request.clone());
            }
        }
    }
}
