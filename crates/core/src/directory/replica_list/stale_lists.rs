//! Stale lists: entries that a directory restored from an older copy lacks or brings back.

use std::time::Duration;

use super::ListEntry;
use super::ReplicaList;
use crate::Now;
use crate::Replica;

/// Time for which a removed server is not used after a copy of the directory brings its entry
/// back: the entry of a server that isn't running expires after three heartbeats of 1.2 s.
const RESTORED_ENTRY_DELAY: Duration = Duration::from_secs(4);

impl ReplicaList {
    /// Splits the entries of a copy of the directory into trusted ones and incarnations that were
    /// removed after the copy was made.
    pub(super) fn split_gone(&self, replicas: Vec<Replica>) -> (Vec<Replica>, Vec<Replica>) {
        let is_gone = |replica: &Replica| self.gone.has(replica.life());
        let (gone, trusted) = replicas.into_iter().partition(is_gone);
        (trusted, gone)
    }

    /// Adds an entry that only a copy of the directory confirms. A later incarnation under the
    /// same id stays listed, and rewrites its entry if it is running.
    pub(super) fn insert_unconfirmed(&mut self, now: Now, replica: Replica) {
        if let Some(entry) = self.entries.get_mut(&replica.id) {
            entry.earlier = Some(replica);
            return;
        }
        let id = replica.id.clone();
        self.insert(now, replica);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.unconfirmed_until = now + RESTORED_ENTRY_DELAY;
        }
    }

    /// Returns the replicas whose entry has expired.
    pub fn lapsed(&self) -> Vec<&str> {
        self.ids_where(|entry| entry.expires_at.is_some())
    }

    /// Returns the replicas that only an old copy of the directory confirms.
    pub fn unconfirmed(&self, now: Now) -> Vec<&str> {
        self.ids_where(|entry| now < entry.unconfirmed_until)
    }

    fn ids_where(&self, matches: impl Fn(&ListEntry) -> bool) -> Vec<&str> {
        let entries = self.entries.iter().filter(|(_, entry)| matches(entry));
        entries.map(|(id, _)| id.as_str()).collect()
    }
}
