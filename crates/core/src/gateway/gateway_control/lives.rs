//! Backend servers that are back under their id: what was believed of an earlier life
//! never speaks of a later one. The revision of the platform's list orders lives; times
//! of day only tell them apart.

use super::GatewayControl;
use crate::BackendId;
use crate::Moving;
use crate::RequestId;
use crate::ServerLife;

impl GatewayControl {
    /// Whether news of a backend server are about the life that is listed, or about one
    /// that isn't listed at all.
    pub fn is_current(&self, server: &ServerLife) -> bool {
        let listed = self.list.replica(&server.id);
        listed.is_none_or(|listed| listed.life() == server.life)
    }

    /// The listed lives of backend servers.
    pub fn incarnations_of(&self, ids: Vec<BackendId>) -> Vec<ServerLife> {
        let listed = ids.iter().filter_map(|id| self.list.replica(id));
        listed.map(|replica| replica.server_life()).collect()
    }

    /// Sessions of this instance whose engine has started anew since they were sent
    /// there, each once.
    pub fn take_orphaned(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.orphaned)
    }

    /// Begins with nothing believed of the lives that the list has newly brought.
    pub(super) fn reset_new_incarnations(&mut self) {
        for id in self.list.take_started() {
            self.pauses.remove(&id);
            self.watch.forget(&id);
            self.cold_sends.forget(&id);
            self.mark_orphaned(&id);
        }
    }

    /// Sessions and copies that an earlier life held are gone with it.
    fn mark_orphaned(&mut self, id: &str) {
        let Some(life) = self.list.replica(id).map(|replica| replica.life()) else {
            return;
        };
        for (request, run) in &mut self.runs {
            let has_copy = run.backup.as_deref() == Some(id) && run.moving == Moving::Stays;
            if has_copy && run.backup_life != Some(life) {
                run.backup = None;
            }
            if run.replica == id && run.life.is_some_and(|known| known != life) {
                run.life = Some(life);
                self.orphaned.push(request.clone());
            }
        }
    }
}
