//! The list of backend servers, built from snapshots and changes.

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

mod advertising;
mod listed;
mod stale_lists;

pub use advertising::AdvertisedList;

/// Time after an outage of the platform during which a missing entry still counts as present:
/// a live server rewrites its entry within two heartbeats.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaChange {
    /// An entry was written.
    Listed(Replica),
    /// An entry was removed.
    Removed(BackendId),
    /// An entry was written that can't be used, by any writer.
    Unusable(BackendId),
}

/// Number of unusable entries that are kept in order to advertise them. A larger number means
/// that a writer uses keys that belong to no server.
const MAX_UNUSABLE_ENTRIES: usize = 1_024;

/// State of a replica according to the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// Accepts new work.
    Serving,
    /// Draining: finishes its current work.
    Leaving,
    /// The entry was lost during an outage of the platform; it counts as serving for
    /// a grace period of two seconds.
    Expired,
    /// The entry was removed; the replica finishes its current work.
    Removed,
}

impl ListedState {
    /// Returns whether the replica only finishes its current work and accepts no new work.
    pub fn is_leaving(self) -> bool {
        matches!(self, ListedState::Leaving | ListedState::Removed)
    }
}

#[derive(Clone, Debug)]
struct ListEntry {
    replica: Replica,
    /// The incarnation that is listed.
    life: IncarnationId,
    /// Revision by which the entry had its current content.
    revision: Revision,
    /// Time at which an expired entry no longer counts as present.
    expires_at: Option<Now>,
    /// End of the warm-up that the server itself reported.
    cold_until: Now,
    /// Time until which only an old copy of the directory confirms the entry.
    unconfirmed_until: Now,
    /// An earlier incarnation that a copy of the directory lists under the id. It is restored if
    /// the current incarnation doesn't rewrite its entry in time.
    earlier: Option<Replica>,
}

/// The replicas by id, at a revision of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct ReplicaList {
    revision: Revision,
    entries: BTreeMap<BackendId, ListEntry>,
    outage_ended: Option<Now>,
    /// Recently removed entries, each with the revision by which it was removed.
    removed: VecDeque<(Revision, BackendId)>,
    /// First revision from which `removed` contains all removals.
    complete_from: Revision,
    /// Spans of revisions that were skipped by taking a full list. An entry may have been removed
    /// and rewritten unchanged within a span, which no entry shows.
    skipped: VecDeque<(Revision, Revision)>,
    /// Incarnations that reported that they are draining.
    said_leaving: DrainingMarks,
    /// Incarnations that were listed and are no longer.
    gone: DrainingMarks,
    /// Ids whose entry is present and can't be used.
    unusable: BTreeSet<BackendId>,
    /// Replicas that are new to this list or have begun a new incarnation.
    started: Vec<BackendId>,
    /// Number of entries that were written or dropped so far.
    writes: u64,
}

impl ReplicaList {
    /// Applies a full list; returns false if it is older than the known one. Missing entries
    /// count as removed, or as expired if the platform was unavailable before.
    ///
    /// A list of a later era lacks what was written after the copy from which the directory was
    /// restored, until it is rewritten: its missing entries count as expired, too. An instance
    /// with a list of the earlier era doesn't know what was removed since.
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
        self.record_skipped(revision);
        let is_copy = revision.era > self.revision.era && !self.revision.is_none();
        self.revision = revision;
        let (replicas, unconfirmed) = match is_copy {
            true => self.split_gone(replicas),
            false => (replicas, Vec::new()),
        };
        let missing: Vec<BackendId> = self
            .entries
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
        for replica in unconfirmed {
            self.insert_unconfirmed(now, replica);
        }
        true
    }

    /// Applies the list that another instance advertised; returns whether it was newer.
    pub fn hear(&mut self, now: Now, list: AdvertisedList) -> bool {
        if let Some(ago_ms) = list.outage_ended_ms {
            self.outage_ended(now.saturating_sub(Duration::from_millis(ago_ms)));
        }
        if list.above.is_none() {
            let is_applied = self.snapshot(now, list.revision, list.replicas);
            if is_applied {
                self.mark_unusable(now, list.unusable);
            }
            return is_applied;
        }
        if !self.revision.follows(&list.above) {
            return false;
        }
        let removed = list.removed.into_iter().map(ReplicaChange::Removed);
        let listed = list.replicas.into_iter().map(ReplicaChange::Listed);
        let unusable = list.unusable.into_iter().map(ReplicaChange::Unusable);
        let changes = removed.chain(listed).chain(unusable);
        self.change(now, list.revision, changes.collect())
    }

    /// Records entries that are present and can't be used: their earlier content no longer
    /// counts.
    pub fn mark_unusable(&mut self, now: Now, ids: impl IntoIterator<Item = BackendId>) {
        for id in ids {
            if self.entries.contains_key(&id) {
                self.record_removal(&id);
                self.drop_entry(now, &id);
            }
            if self.unusable.len() < MAX_UNUSABLE_ENTRIES {
                self.unusable.insert(id);
            }
        }
    }

    /// Applies changes up to a revision; returns false for changes that are older or of another
    /// era.
    pub fn change(
        &mut self,
        now: Now,
        revision: impl Into<Revision>,
        changes: Vec<ReplicaChange>,
    ) -> bool {
        let revision = revision.into();
        let is_same_era = revision.era == self.revision.era || self.revision.is_none();
        if revision <= self.revision || !is_same_era {
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

    /// Records when the platform answered again after an outage.
    pub fn outage_ended(&mut self, at: Now) {
        self.outage_ended = self.outage_ended.max(Some(at));
    }

    /// Returns the replicas that are new to this list or have begun a new incarnation since the
    /// last call.
    pub fn take_started(&mut self) -> Vec<BackendId> {
        std::mem::take(&mut self.started)
    }

    /// Returns whether entries may be missing, or belong to servers that no longer exist, because
    /// an outage has just ended.
    pub fn is_settling(&self, now: Now) -> bool {
        let ago = self.outage_ended.map(|at| now.saturating_sub(at));
        ago.is_some_and(|ago| ago < EXPIRY_GRACE)
    }

    /// Records that a replica itself reported that it is draining, in an incarnation that is
    /// listed or not. Returns whether that changes the state of a listed one.
    pub fn mark_draining(&mut self, now: Now, server: &ServerLife) -> bool {
        let entry = self.entries.get(&server.id);
        let is_listed = entry.is_some_and(|entry| entry.life == server.life);
        let accepts_work = matches!(
            self.state(&server.id),
            ListedState::Serving | ListedState::Expired
        );
        let is_new = self.said_leaving.mark(now, server.life, is_listed);
        is_new && is_listed && accepts_work
    }

    /// Returns the incarnations that reported that they are draining.
    pub fn draining_incarnations(&self, now: Now) -> BTreeSet<IncarnationId> {
        self.said_leaving.lives(now)
    }

    /// Returns a counter that increases when an entry is written or dropped, or an incarnation
    /// reports that it is draining.
    pub fn version(&self) -> u64 {
        self.writes + self.said_leaving.version()
    }

    /// Returns the listed incarnations.
    pub fn lives(&self) -> BTreeSet<IncarnationId> {
        self.entries.values().map(|entry| entry.life).collect()
    }

    /// Removes expired entries whose grace period is over; returns their ids.
    pub fn expire(&mut self, now: Now) -> Vec<BackendId> {
        let is_expired = |entry: &ListEntry| entry.expires_at.is_some_and(|at| now >= at);
        let over = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let ids: Vec<BackendId> = over.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            let earlier = self.entries.get_mut(id).and_then(|e| e.earlier.take());
            self.drop_entry(now, id);
            if let Some(earlier) = earlier {
                self.insert_unconfirmed(now, earlier);
            }
        }
        self.said_leaving.expire(now);
        self.gone.expire(now);
        ids
    }

    /// Returns the state of a replica; one that is not listed counts as removed.
    pub fn state(&self, id: &str) -> ListedState {
        match self.entries.get(id) {
            None => ListedState::Removed,
            Some(entry) if self.is_draining(entry) => ListedState::Leaving,
            Some(entry) if entry.expires_at.is_some() => ListedState::Expired,
            Some(_) => ListedState::Serving,
        }
    }

    /// Returns the revision of the list.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the replicas that accept new work now.
    pub fn serving(&self, now: Now) -> impl Iterator<Item = &Replica> {
        let counts = move |entry: &&ListEntry| {
            let is_expired = entry.expires_at.is_some_and(|at| now >= at);
            let is_confirmed = now >= entry.unconfirmed_until;
            !self.is_draining(entry) && !is_expired && is_confirmed
        };
        self.entries.values().filter(counts).map(|e| &e.replica)
    }

    /// Returns the remaining warm-up time of a replica.
    pub fn cold_for(&self, now: Now, id: &str) -> Duration {
        let entry = self.entries.get(id);
        entry.map_or(Duration::ZERO, |entry| entry.cold_until.saturating_sub(now))
    }

    /// Applies an entry that was written since, even if it is unchanged: it may have been removed
    /// and rewritten, so it must be part of a list delta.
    fn insert_written(&mut self, now: Now, replica: Replica) {
        let id = replica.id.clone();
        self.insert(now, replica);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.revision = self.revision;
        }
    }

    /// Applies an entry. One that is read again unchanged does not restart its warm-up.
    fn insert(&mut self, now: Now, replica: Replica) {
        let life = replica.life();
        let listed = self.entries.get(&replica.id).map(|entry| entry.life);
        if listed != Some(life) {
            self.started.push(replica.id.clone());
        }
        if let Some(ended) = listed.filter(|listed| *listed != life) {
            self.said_leaving.unlisted(now, ended);
            self.gone.mark(now, ended, false);
        }
        self.gone.forget(life);
        self.mark_listed(now, life, &replica);
        let known = self.entries.get(&replica.id);
        let known = known.filter(|entry| entry.replica == replica);
        let as_before = known.filter(|entry| entry.expires_at.is_none());
        let entry = ListEntry {
            revision: as_before.map_or(self.revision, |entry| entry.revision),
            cold_until: known.map_or(now + replica.warm_up, |entry| entry.cold_until),
            unconfirmed_until: Now::ZERO,
            earlier: None,
            life,
            replica,
            expires_at: None,
        };
        self.unusable.remove(&entry.replica.id);
        self.writes += 1;
        self.entries.insert(entry.replica.id.clone(), entry);
    }

    /// Updates the draining marks for a listed incarnation. If the platform doesn't publish start
    /// times, an entry that is listed again counts as a new incarnation.
    fn mark_listed(&mut self, now: Now, life: IncarnationId, replica: &Replica) {
        let has_start_time = replica.born_ms.is_some();
        if !has_start_time && !self.entries.contains_key(&replica.id) {
            self.said_leaving.forget(life);
        }
        self.said_leaving.listed(life);
        if replica.leaving && has_start_time {
            self.said_leaving.mark(now, life, true);
        }
    }

    fn drop_entry(&mut self, now: Now, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.writes += 1;
            self.said_leaving.unlisted(now, entry.life);
            self.gone.mark(now, entry.life, false);
        }
    }

    fn is_draining(&self, entry: &ListEntry) -> bool {
        entry.replica.leaving || self.said_leaving.has(entry.life)
    }

    fn remove(&mut self, now: Now, id: &str) {
        let grace_ends = self.outage_ended.map(|ended| ended + EXPIRY_GRACE);
        self.unusable.remove(id);
        // Also for an entry that was added and removed unseen: other instances may have it.
        self.record_removal(id);
        let is_draining = self.entries.get(id).is_some_and(|e| self.is_draining(e));
        let expires = grace_ends.filter(|ends| now < *ends && !is_draining);
        match (expires, self.entries.get_mut(id)) {
            (Some(ends), Some(entry)) => {
                entry.expires_at = Some(ends);
                entry.earlier = None;
            }
            (_, Some(_)) => self.drop_entry(now, id),
            (_, None) => {}
        }
    }
}
