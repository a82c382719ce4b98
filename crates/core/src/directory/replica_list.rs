//! The list of backend servers, joined from snapshots and changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendId;
use crate::DrainingMarks;
use crate::IncarnationId;
use crate::Now;
use crate::Replica;
use crate::Revision;
use crate::ServerLife;

mod copies;
mod telling;

pub use telling::AdvertisedList;

/// How long after an outage of the platform a missing entry still counts as
/// present: a live server writes its entry again within two heartbeats.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// An entry was written.
    Listed(Replica),
    /// An entry was removed.
    Removed(BackendId),
    /// An entry was written that can't be used, by whoever.
    Unusable(BackendId),
}

/// Unusable entries that are remembered to be told. Whoever writes more of them writes
/// keys of no server.
const UNUSABLE_KEPT: usize = 1_024;

/// What the list says of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Leaving,
    /// Its entry was lost while the platform was away; it counts as serving
    /// for a short time.
    Expired,
    /// Its entry was removed; it finishes what it has.
    Removed,
}

impl ListedState {
    /// Whether the replica finishes what it has and takes nothing new.
    pub fn is_leaving(self) -> bool {
        matches!(self, ListedState::Leaving | ListedState::Removed)
    }
}

#[derive(Clone, Debug)]
struct Line {
    replica: Replica,
    /// Identifies the life that is listed.
    life: IncarnationId,
    /// Revision by which it was as it is.
    revision: Revision,
    /// When a lapsed entry stops counting.
    expires_at: Option<Now>,
    /// Until when it is cold, as it said itself.
    cold_until: Now,
    /// Until when only an old copy of the directory says that it is there.
    unconfirmed_until: Now,
    /// An earlier life that a copy of the directory lists under the id: it stands again if
    /// this one doesn't write itself in time.
    earlier: Option<Replica>,
}

/// Replicas by id, at a revision of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct ReplicaList {
    revision: Revision,
    lines: BTreeMap<BackendId, Line>,
    outage_ended: Option<Now>,
    /// Entries removed lately, with the revision by which they were.
    removed: VecDeque<(Revision, BackendId)>,
    /// Revision from which on all removals are in `removed`.
    complete_from: Revision,
    /// Spans of revisions that a whole list has skipped: an entry may have gone and come as
    /// it was within them, which shows in no line.
    skipped: VecDeque<(Revision, Revision)>,
    /// Lives that said themselves that they leave.
    said_leaving: DrainingMarks,
    /// Lives that were listed and are no more.
    gone: DrainingMarks,
    /// Ids whose entry is there and can't be used.
    unusable: BTreeSet<BackendId>,
    /// Replicas that are new here or have begun another life.
    begun: Vec<BackendId>,
}

impl ReplicaList {
    /// Takes a whole list. Entries that are missing count as removed, or as
    /// lapsed when the platform was away before.
    ///
    /// A list of a later era lacks what was written since the copy that the directory came
    /// back from, until it is written again: its missing entries have lapsed, too. What was
    /// removed since then is not known to whoever has a list of the era before.
    pub fn snapshot(
        &mut self,
        now: Now,
        revision: impl Into<Revision>,
        replicas: Vec<Replica>,
    ) -> bool {
        let revision = revision.into();
        if revision < self.revision {
            return false;
        }
        if self.revision.is_none() {
            self.complete_from = revision;
        } else if revision.era > self.revision.era {
            self.outage_ended(now);
            self.complete_from = revision;
            self.removed.clear();
        }
        self.note_skipped(revision);
        let is_copy = revision.era > self.revision.era && !self.revision.is_none();
        self.revision = revision;
        let (replicas, doubtful) = match is_copy {
            true => self.split_gone(replicas),
            false => (replicas, Vec::new()),
        };
        let missing: Vec<BackendId> = self
            .lines
            .keys()
            .filter(|id| !replicas.iter().any(|replica| replica.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(now, &id);
        }
        for replica in replicas {
            self.insert(now, replica);
        }
        for replica in doubtful {
            self.insert_unconfirmed(now, replica);
        }
        true
    }

    /// Takes the list of another instance.
    pub fn hear(&mut self, now: Now, told: AdvertisedList) -> bool {
        if let Some(ago_ms) = told.outage_ended_ms {
            self.outage_ended(now.saturating_sub(Duration::from_millis(ago_ms)));
        }
        if told.above.is_none() {
            let is_taken = self.snapshot(now, told.revision, told.replicas);
            if is_taken {
                self.mark_unusable(now, told.unusable);
            }
            return is_taken;
        }
        if !self.revision.follows(&told.above) {
            return false;
        }
        let removed = told.removed.into_iter().map(ReplicaChange::Removed);
        let listed = told.replicas.into_iter().map(ReplicaChange::Listed);
        let unusable = told.unusable.into_iter().map(ReplicaChange::Unusable);
        let changes = removed.chain(listed).chain(unusable);
        self.change(now, told.revision, changes.collect())
    }

    /// Notes entries that are there and can't be used: whatever they said before counts
    /// no longer.
    pub fn mark_unusable(&mut self, now: Now, ids: impl IntoIterator<Item = BackendId>) {
        for id in ids {
            if self.lines.contains_key(&id) {
                self.note_removal(&id);
                self.drop_line(now, &id);
            }
            if self.unusable.len() < UNUSABLE_KEPT {
                self.unusable.insert(id);
            }
        }
    }

    /// Takes changes up to a revision; older ones are ignored.
    pub fn change(
        &mut self,
        now: Now,
        revision: impl Into<Revision>,
        changes: Vec<ReplicaChange>,
    ) -> bool {
        let revision = revision.into();
        let is_of_this_era = revision.era == self.revision.era || self.revision.is_none();
        if revision <= self.revision || !is_of_this_era {
            return false;
        }
        self.revision = revision;
        for change in changes {
            match change {
                ReplicaChange::Listed(replica) => self.insert_written(now, replica),
                ReplicaChange::Removed(id) => self.remove(now, &id),
                ReplicaChange::Unusable(id) => self.mark_unusable(now, [id]),
            }
        }
        true
    }

    /// Notes when the platform answered again after an outage.
    pub fn outage_ended(&mut self, at: Now) {
        self.outage_ended = self.outage_ended.max(Some(at));
    }

    /// Replicas that are new here or have begun another life since this was asked last.
    pub fn take_started(&mut self) -> Vec<BackendId> {
        std::mem::take(&mut self.begun)
    }

    /// Whether entries may be missing, or stand for servers that are gone, because of
    /// an outage that has just ended.
    pub fn is_settling(&self, now: Now) -> bool {
        let ago = self.outage_ended.map(|at| now.saturating_sub(at));
        ago.is_some_and(|ago| ago < EXPIRY_GRACE)
    }

    /// Notes that a replica itself says that it leaves, in a life that is listed or not.
    /// Returns whether that changes what is known of a listed one.
    pub fn mark_draining(&mut self, now: Now, server: &ServerLife) -> bool {
        let line = self.lines.get(&server.id);
        let is_listed = line.is_some_and(|line| line.life == server.life);
        let takes_work = matches!(
            self.state(&server.id),
            ListedState::Serving | ListedState::Expired
        );
        let is_news = self.said_leaving.mark(now, server.life, is_listed);
        is_news && is_listed && takes_work
    }

    /// Lives that said that they leave.
    pub fn draining_incarnations(&self, now: Now) -> BTreeSet<IncarnationId> {
        self.said_leaving.lives(now)
    }

    /// Rises when a life says that it leaves.
    pub fn draining_version(&self) -> u64 {
        self.said_leaving.version()
    }

    /// Listed lives.
    pub fn lives(&self) -> BTreeSet<IncarnationId> {
        self.lines.values().map(|line| line.life).collect()
    }

    /// Drops entries whose grace is over; returns them.
    pub fn expire(&mut self, now: Now) -> Vec<BackendId> {
        let is_over = |line: &Line| line.expires_at.is_some_and(|at| now >= at);
        let over = self.lines.iter().filter(|(_, line)| is_over(line));
        let ids: Vec<BackendId> = over.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            let earlier = self.lines.get_mut(id).and_then(|line| line.earlier.take());
            self.drop_line(now, id);
            if let Some(earlier) = earlier {
                self.insert_unconfirmed(now, earlier);
            }
        }
        self.said_leaving.expire(now);
        self.gone.expire(now);
        ids
    }

    /// What is known of a replica that was listed at some time.
    pub fn state(&self, id: &str) -> ListedState {
        match self.lines.get(id) {
            None => ListedState::Removed,
            Some(line) if self.leaves(line) => ListedState::Leaving,
            Some(line) if line.expires_at.is_some() => ListedState::Expired,
            Some(_) => ListedState::Serving,
        }
    }

    /// The revision reached.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The replicas that take new work now.
    pub fn serving(&self, now: Now) -> impl Iterator<Item = &Replica> {
        let counts = move |line: &&Line| {
            let is_over = line.expires_at.is_some_and(|at| now >= at);
            let is_proven = now >= line.unconfirmed_until;
            !self.leaves(line) && !is_over && is_proven
        };
        self.lines.values().filter(counts).map(|line| &line.replica)
    }

    /// How many are listed in an availability zone.
    pub fn in_zone(&self, zone: &str) -> usize {
        let lines = self.lines.values();
        let there = lines.filter(|line| line.replica.availability_zone == zone);
        there.count()
    }

    /// One replica.
    pub fn replica(&self, id: &str) -> Option<&Replica> {
        self.lines.get(id).map(|line| &line.replica)
    }

    /// How much longer a replica is cold.
    pub fn cold_for(&self, now: Now, id: &str) -> Duration {
        let line = self.lines.get(id);
        line.map_or(Duration::ZERO, |line| line.cold_until.saturating_sub(now))
    }

    /// Takes an entry that was written in the meantime, also as it was: it may have gone and
    /// come, and whoever asks what has changed must hear of it.
    fn insert_written(&mut self, now: Now, replica: Replica) {
        let id = replica.id.clone();
        self.insert(now, replica);
        if let Some(line) = self.lines.get_mut(&id) {
            line.revision = self.revision;
        }
    }

    /// An entry that is read again as it was does not begin to be cold anew.
    fn insert(&mut self, now: Now, replica: Replica) {
        let life = replica.life();
        let listed = self.lines.get(&replica.id).map(|line| line.life);
        if listed != Some(life) {
            self.begun.push(replica.id.clone());
        }
        if let Some(ended) = listed.filter(|listed| *listed != life) {
            self.said_leaving.unlisted(now, ended);
            self.gone.mark(now, ended, false);
        }
        self.gone.forget(life);
        self.mark_listed(now, life, &replica);
        let known = self.lines.get(&replica.id);
        let known = known.filter(|line| line.replica == replica);
        let as_before = known.filter(|line| line.expires_at.is_none());
        let line = Line {
            revision: as_before.map_or(self.revision, |line| line.revision),
            cold_until: known.map_or(now + replica.warm_up, |line| line.cold_until),
            unconfirmed_until: Now::ZERO,
            earlier: None,
            life,
            replica,
            expires_at: None,
        };
        self.unusable.remove(&line.replica.id);
        self.lines.insert(line.replica.id.clone(), line);
    }

    /// Where lives aren't told apart, an entry that is listed anew is another life.
    fn mark_listed(&mut self, now: Now, life: IncarnationId, replica: &Replica) {
        let tells_lives = replica.born_ms.is_some();
        if !tells_lives && !self.lines.contains_key(&replica.id) {
            self.said_leaving.forget(life);
        }
        self.said_leaving.listed(life);
        if replica.leaving && tells_lives {
            self.said_leaving.mark(now, life, true);
        }
    }

    fn drop_line(&mut self, now: Now, id: &str) {
        if let Some(line) = self.lines.remove(id) {
            self.said_leaving.unlisted(now, line.life);
            self.gone.mark(now, line.life, false);
        }
    }

    fn leaves(&self, line: &Line) -> bool {
        line.replica.leaving || self.said_leaving.has(line.life)
    }

    fn remove(&mut self, now: Now, id: &str) {
        let grace_ends = self.outage_ended.map(|ended| ended + EXPIRY_GRACE);
        self.unusable.remove(id);
        // Also of one that came and went unseen: others may have seen it come.
        self.note_removal(id);
        let is_leaving = self.lines.get(id).is_some_and(|line| self.leaves(line));
        let lapses = grace_ends.filter(|ends| now < *ends && !is_leaving);
        match (lapses, self.lines.get_mut(id)) {
            (Some(ends), Some(line)) => {
                line.expires_at = Some(ends);
                line.earlier = None;
            }
            (_, Some(_)) => self.drop_line(now, id),
            (_, None) => {}
        }
    }
}
