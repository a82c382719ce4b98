//! What a directory that came back from an older copy lacks, and what it brings back.

use std::time::Duration;

use super::Line;
use super::ReplicaList;
use crate::Now;
use crate::Replica;

/// How long a server that was gone is not used although a copy of the directory brings its
/// entry back: the entry of one that doesn't live lapses after three heartbeats of 1.2 s.
const UNPROVEN_FOR: Duration = Duration::from_secs(4);

impl ReplicaList {
    /// Parts what a copy of the directory brings back into what may be believed and lives
    /// that were seen to be gone since.
    pub(super) fn split_gone(&self, replicas: Vec<Replica>) -> (Vec<Replica>, Vec<Replica>) {
        let is_gone = |replica: &Replica| self.gone.has(replica.life());
        let (doubtful, there) = replicas.into_iter().partition(is_gone);
        (there, doubtful)
    }

    /// Takes an entry that only a copy of the directory brings back. Another life that has
    /// followed under its id goes on, and writes itself again if it lives.
    pub(super) fn insert_unconfirmed(&mut self, now: Now, replica: Replica) {
        if let Some(line) = self.lines.get_mut(&replica.id) {
            line.earlier = Some(replica);
            return;
        }
        let id = replica.id.clone();
        self.insert(now, replica);
        if let Some(line) = self.lines.get_mut(&id) {
            line.unconfirmed_until = now + UNPROVEN_FOR;
        }
    }

    /// Replicas whose entry has lapsed.
    pub fn lapsed(&self) -> Vec<&str> {
        self.ids_where(|line| line.expires_at.is_some())
    }

    /// Replicas that only an old copy of the directory says are there.
    pub fn unconfirmed(&self, now: Now) -> Vec<&str> {
        self.ids_where(|line| now < line.unconfirmed_until)
    }

    fn ids_where(&self, holds: impl Fn(&Line) -> bool) -> Vec<&str> {
        let lines = self.lines.iter().filter(|(_, line)| holds(line));
        lines.map(|(id, _)| id.as_str()).collect()
    }
}
