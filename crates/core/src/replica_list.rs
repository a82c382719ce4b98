//! The list of backend servers, joined from snapshots and changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendId;
use crate::LeavingMarks;
use crate::LifeId;
use crate::Now;
use crate::Replica;
use crate::ServerLife;

/// How long after an outage of the platform a missing entry still counts as
/// present: a live server writes its entry again within two heartbeats of
/// 1.2 s, and the users set the bound at about 2 s.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

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

/// Removals that are remembered to be told: 500 servers replaced every 3.3 s, which a
/// fleet of 3,000 sees, for half a minute.
const REMOVALS_KEPT: usize = 4_096;

/// Unusable entries that are remembered to be told. Whoever writes more of them writes
/// keys of no server.
const UNUSABLE_KEPT: usize = 1_024;

/// The list as one instance tells it to another: what the platform lists, or what has
/// changed since the other read it, and how long ago an outage ended, so that both draw
/// the same conclusions from entries that are missing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ToldList {
    /// Revision after which the changes came; 0 when the list is whole.
    pub above: u64,
    /// Revision of the platform's list.
    pub revision: u64,
    /// Its entries, or those that changed; lapsed ones are none.
    pub replicas: Vec<Replica>,
    /// Entries that were removed since, where the list is not whole.
    pub removed: Vec<BackendId>,
    /// Entries that can't be used; they are gone at once, also after an outage.
    pub unusable: Vec<BackendId>,
    /// Milliseconds since the platform answered again after an outage, while
    /// entries may be missing because of it.
    pub outage_ended_ms: Option<u64>,
}

/// What the list says of a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Leaving,
    /// Its entry was lost while the platform was away; it counts as serving
    /// for a short time.
    Lapsed,
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
    life: LifeId,
    /// Revision by which it was as it is.
    revision: u64,
    /// When a lapsed entry stops counting.
    lapses_at: Option<Now>,
    /// Until when it is cold, as it said itself.
    cold_until: Now,
}

impl Line {
    /// The replica as another instance hears of it now.
    fn told(&self, now: Now, leaving: bool) -> Replica {
        Replica {
            leaving,
            warm_up: self.cold_until.saturating_sub(now),
            ..self.replica.clone()
        }
    }
}

/// Replicas by id, at a revision of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct ReplicaList {
    revision: u64,
    lines: BTreeMap<BackendId, Line>,
    outage_ended: Option<Now>,
    /// Entries removed lately, with the revision by which they were.
    removed: VecDeque<(u64, BackendId)>,
    /// Revision from which on all removals are in `removed`.
    complete_from: u64,
    /// Lives that said themselves that they leave.
    said_leaving: LeavingMarks,
    /// Ids whose entry is there and can't be used.
    unusable: BTreeSet<BackendId>,
    /// Replicas that are new here or have begun another life.
    begun: Vec<BackendId>,
}

impl ReplicaList {
    /// Takes a whole list. Entries that are missing count as removed, or as
    /// lapsed when the platform was away before.
    pub fn snapshot(&mut self, now: Now, revision: u64, replicas: Vec<Replica>) -> bool {
        if revision < self.revision {
            return false;
        }
        if self.revision == 0 {
            self.complete_from = revision;
        }
        self.revision = revision;
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
        true
    }

    /// Takes the list of another instance.
    pub fn hear(&mut self, now: Now, told: ToldList) -> bool {
        if let Some(ago_ms) = told.outage_ended_ms {
            self.outage_ended(now.saturating_sub(Duration::from_millis(ago_ms)));
        }
        if told.above == 0 {
            let is_taken = self.snapshot(now, told.revision, told.replicas);
            if is_taken {
                self.mark_unusable(now, told.unusable);
            }
            return is_taken;
        }
        if told.above > self.revision {
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
            if let Some(line) = self.lines.remove(&id) {
                self.note_removal(&id);
                self.said_leaving.unlisted(now, line.life);
            }
            if self.unusable.len() < UNUSABLE_KEPT {
                self.unusable.insert(id);
            }
        }
    }

    /// The list for another instance that has it as it was at a revision: what has
    /// changed since, which is a few entries where the whole list is thousands; the whole
    /// list when that is not known.
    pub fn told_since(&self, now: Now, above: u64) -> ToldList {
        let mut told = self.told(now);
        if above < self.complete_from || above == 0 {
            return told;
        }
        told.above = above;
        let has_changed = |replica: &Replica| {
            let line = self.lines.get(&replica.id);
            line.is_some_and(|line| line.revision > above)
        };
        told.replicas.retain(has_changed);
        let is_listed = |id: &BackendId| {
            let line = self.lines.get(id);
            line.is_some_and(|line| line.lapses_at.is_none())
        };
        let removed = self.removed.iter();
        let removed = removed.filter(|(revision, id)| *revision > above && !is_listed(id));
        told.removed = removed.map(|(_, id)| id.clone()).collect();
        told
    }

    /// The whole list for another instance.
    pub fn told(&self, now: Now) -> ToldList {
        let listed = self.lines.values().filter(|line| line.lapses_at.is_none());
        let ago = self.outage_ended.map(|at| now.saturating_sub(at));
        let ago = ago.filter(|ago| *ago < LAPSE_GRACE);
        ToldList {
            above: 0,
            revision: self.revision,
            removed: Vec::new(),
            unusable: self.unusable.iter().cloned().collect(),
            replicas: listed
                .map(|line| line.told(now, self.leaves(line)))
                .collect(),
            outage_ended_ms: ago.map(|ago| ago.as_millis() as u64),
        }
    }

    /// Takes changes up to a revision; older ones are ignored.
    pub fn change(&mut self, now: Now, revision: u64, changes: Vec<ReplicaChange>) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        for change in changes {
            match change {
                ReplicaChange::Listed(replica) => self.insert(now, replica),
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
    pub fn take_begun(&mut self) -> Vec<BackendId> {
        std::mem::take(&mut self.begun)
    }

    /// Whether entries may be missing, or stand for servers that are gone, because of
    /// an outage that has just ended.
    pub fn is_settling(&self, now: Now) -> bool {
        let ago = self.outage_ended.map(|at| now.saturating_sub(at));
        ago.is_some_and(|ago| ago < LAPSE_GRACE)
    }

    /// Notes that a replica itself says that it leaves, in a life that is listed or not.
    /// Returns whether that changes what is known of a listed one.
    pub fn says_it_leaves(&mut self, now: Now, server: &ServerLife) -> bool {
        let line = self.lines.get(&server.id);
        let is_listed = line.is_some_and(|line| line.life == server.life);
        let takes_work = matches!(
            self.state(&server.id),
            ListedState::Serving | ListedState::Lapsed
        );
        let is_news = self.said_leaving.mark(now, server.life, is_listed);
        is_news && is_listed && takes_work
    }

    /// Lives that said that they leave.
    pub fn lives_that_leave(&self) -> BTreeSet<LifeId> {
        self.said_leaving.lives()
    }

    /// Listed lives.
    pub fn lives(&self) -> BTreeSet<LifeId> {
        self.lines.values().map(|line| line.life).collect()
    }

    /// Drops entries whose grace is over; returns them.
    pub fn expire(&mut self, now: Now) -> Vec<BackendId> {
        let is_over = |line: &Line| line.lapses_at.is_some_and(|at| now >= at);
        let over = self.lines.iter().filter(|(_, line)| is_over(line));
        let ids: Vec<BackendId> = over.map(|(id, _)| id.clone()).collect();
        for id in &ids {
            if let Some(line) = self.lines.remove(id) {
                self.said_leaving.unlisted(now, line.life);
            }
        }
        self.said_leaving.expire(now);
        ids
    }

    /// What is known of a replica that was listed at some time.
    pub fn state(&self, id: &str) -> ListedState {
        match self.lines.get(id) {
            None => ListedState::Removed,
            Some(line) if self.leaves(line) => ListedState::Leaving,
            Some(line) if line.lapses_at.is_some() => ListedState::Lapsed,
            Some(_) => ListedState::Serving,
        }
    }

    /// The revision reached.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The replicas that take new work now.
    pub fn serving(&self, now: Now) -> impl Iterator<Item = &Replica> {
        let counts = move |line: &&Line| {
            let is_over = line.lapses_at.is_some_and(|at| now >= at);
            !self.leaves(line) && !is_over
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

    /// An entry that is read again as it was does not begin to be cold anew.
    fn insert(&mut self, now: Now, replica: Replica) {
        let life = replica.life();
        let listed = self.lines.get(&replica.id).map(|line| line.life);
        if listed != Some(life) {
            self.begun.push(replica.id.clone());
        }
        if let Some(ended) = listed.filter(|listed| *listed != life) {
            self.said_leaving.unlisted(now, ended);
        }
        self.mark_listed(now, life, &replica);
        let known = self.lines.get(&replica.id);
        let known = known.filter(|line| line.replica == replica);
        let as_before = known.filter(|line| line.lapses_at.is_none());
        let line = Line {
            revision: as_before.map_or(self.revision, |line| line.revision),
            cold_until: known.map_or(now + replica.warm_up, |line| line.cold_until),
            life,
            replica,
            lapses_at: None,
        };
        self.unusable.remove(&line.replica.id);
        self.lines.insert(line.replica.id.clone(), line);
    }

    /// Where lives aren't told apart, an entry that is listed anew is another life.
    fn mark_listed(&mut self, now: Now, life: LifeId, replica: &Replica) {
        let tells_lives = replica.born_ms.is_some();
        if !tells_lives && !self.lines.contains_key(&replica.id) {
            self.said_leaving.forget(life);
        }
        self.said_leaving.listed(life);
        if replica.leaving && tells_lives {
            self.said_leaving.mark(now, life, true);
        }
    }

    fn leaves(&self, line: &Line) -> bool {
        line.replica.leaving || self.said_leaving.has(line.life)
    }

    fn remove(&mut self, now: Now, id: &str) {
        let grace_ends = self.outage_ended.map(|ended| ended + LAPSE_GRACE);
        self.unusable.remove(id);
        if !self.lines.contains_key(id) {
            return;
        }
        self.note_removal(id);
        let is_leaving = self.lines.get(id).is_some_and(|line| self.leaves(line));
        let lapses = grace_ends.filter(|ends| now < *ends && !is_leaving);
        match (lapses, self.lines.get_mut(id)) {
            (Some(ends), Some(line)) => line.lapses_at = Some(ends),
            (_, Some(line)) => {
                self.said_leaving.unlisted(now, line.life);
                self.lines.remove(id);
            }
            (_, None) => {}
        }
    }

    /// Remembers a removal, for whoever asks what has changed.
    fn note_removal(&mut self, id: &str) {
        self.removed.push_back((self.revision, id.to_owned()));
        if self.removed.len() > REMOVALS_KEPT
            && let Some((revision, _)) = self.removed.pop_front()
        {
            self.complete_from = self.complete_from.max(revision);
        }
    }
}
