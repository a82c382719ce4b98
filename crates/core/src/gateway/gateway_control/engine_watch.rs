//! What engines themselves are asked while nobody confirms the platform's list:
//! those that leave say so, and those that are gone can't be reached.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Evacuation;
use super::GatewayControl;
use crate::BackendId;
use crate::ListedState;
use crate::Moving;
use crate::Now;
use crate::Replica;
use crate::RequestClass;
use crate::ServerLife;
use crate::rendezvous_rank;

/// Time between two looks at an engine that keeps copies of own sessions.
const LOOK_AGAIN: Duration = Duration::from_millis(900);

/// How long a replica that could not be reached is left alone: in an outage of
/// the list nothing else tells that it is gone, and a cut may heal.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(4);

/// How long it is told to the others that an engine leaves; several heartbeats,
/// of which some may be lost.
const DRAINING_ADVERTISED_FOR: Duration = Duration::from_secs(10);

/// How long it is told to the others that a replica could not be reached: two
/// heartbeats; whoever finds it so again tells it again.
const UNREACHABLE_ADVERTISED_FOR: Duration = Duration::from_secs(2);

/// Engines to be asked or looked at now.
#[derive(Clone, Debug, Default)]
pub struct EngineChecks {
    /// Ask these whether they leave.
    pub ask: Vec<Replica>,
    /// See whether these can be reached.
    pub look: Vec<Replica>,
}

/// What this instance has learned from engines itself.
#[derive(Debug, Default)]
pub(super) struct EngineWatch {
    said_leaving: BTreeMap<BackendId, Now>,
    peers_said_leaving: BTreeMap<BackendId, Now>,
    looked_at: BTreeMap<BackendId, Now>,
    unreachable_until: BTreeMap<BackendId, Now>,
    found_unreachable: BTreeMap<BackendId, Now>,
}

impl EngineWatch {
    /// Drops what is known of a replica.
    pub(super) fn forget(&mut self, id: &str) {
        self.said_leaving.remove(id);
        self.peers_said_leaving.remove(id);
        self.looked_at.remove(id);
        self.unreachable_until.remove(id);
        self.found_unreachable.remove(id);
    }

    /// Whether a replica could not be reached lately.
    pub(super) fn is_unreachable(&self, now: Now, id: &str) -> bool {
        let until = self.unreachable_until.get(id);
        until.is_some_and(|until| now < *until)
    }
}

impl GatewayControl {
    /// The checks that are due; none while the list is confirmed, since each has
    /// a price. Each engine is asked by one instance of its zone, which tells the
    /// others; each instance looks by itself after the copies of its sessions.
    pub fn engine_checks(&mut self, now: Now) -> EngineChecks {
        if !self.list_is_lost {
            self.watch.looked_at.clear();
            return EngineChecks::default();
        }
        let names: Vec<String> = self.peers.neighbours().cloned().collect();
        let own = self.terms.instance.clone();
        let is_near = |zone: &str| zone == self.terms.zone || !self.peers.knows_zone(zone);
        let is_ours = |replica: &Replica| {
            let names = names.iter().map(String::as_str).chain([own.as_str()]);
            is_near(&replica.availability_zone)
                && rendezvous_rank(&replica.id, names).first() == Some(&own.as_str())
        };
        let engines = self.serving_engines(now);
        // One that rests wants no questions either.
        let engines: Vec<Replica> = engines
            .into_iter()
            .filter(|replica| !self.rests.rests(now, replica.life()))
            .collect();
        let ask = engines.iter().filter(|replica| is_ours(replica)).cloned();
        EngineChecks {
            ask: ask.collect(),
            look: self.backups_to_probe(now, &engines),
        }
    }

    /// Notes that a replica says that it leaves, to us or to a peer; returns what
    /// sessions must do, `None` when it is no news.
    pub fn leaves(
        &mut self,
        now: Now,
        server: &ServerLife,
        to_us: bool,
    ) -> Option<Vec<Evacuation>> {
        let is_news = self.list.mark_draining(now, server);
        if !self.is_current(server) {
            // Kept for when the list tells of that life, and told nobody.
            return None;
        }
        let id = server.id.clone();
        if to_us {
            self.watch.said_leaving.insert(id, now);
        } else if is_news {
            self.watch.peers_said_leaving.insert(id, now);
        }
        is_news.then(|| self.replicas_changed(now))
    }

    /// Replicas that told this instance lately that they leave; for a relay also
    /// those that told a peer.
    pub fn said_leaving(&self, now: Now, is_relay: bool) -> Vec<BackendId> {
        let heard = self.watch.peers_said_leaving.iter().filter(|_| is_relay);
        let said = self.watch.said_leaving.iter().chain(heard);
        let lately = said.filter(|(_, at)| now.saturating_sub(**at) < DRAINING_ADVERTISED_FOR);
        lately.map(|(id, _)| id.clone()).collect()
    }

    /// Notes that a replica can't be reached from here: nothing new goes there for
    /// a while, and copies of own sessions there count as lost.
    pub fn unreachable(&mut self, now: Now, id: &str) {
        let until = now + UNREACHABLE_BACKOFF;
        self.watch.unreachable_until.insert(id.to_owned(), until);
        for run in self.runs.values_mut() {
            let keeps = run.backup.as_deref() == Some(id);
            if keeps && run.moving == Moving::Stays {
                run.backup = None;
            }
        }
    }

    /// Notes that a replica took no connection of ours. While nobody confirms the list,
    /// and while it settles after that, nothing else tells that it is gone, and the
    /// others should not find out each by itself. Returns whether they are to be told.
    pub fn refused_connection(&mut self, now: Now, id: &str) -> bool {
        if !self.is_list_uncertain(now) {
            return false;
        }
        let is_news = !self.watch.is_unreachable(now, id);
        self.watch.found_unreachable.insert(id.to_owned(), now);
        self.unreachable(now, id);
        is_news
    }

    /// Notes that a replica took no connection of a peer of this zone, which sees
    /// what this instance sees.
    pub fn apply_peer_unreachable(&mut self, now: Now, id: &str) {
        if self.is_list_uncertain(now) {
            self.unreachable(now, id);
        }
    }

    fn is_list_uncertain(&self, now: Now) -> bool {
        self.list_is_lost || self.list.is_settling(now)
    }

    /// Replicas that took no connection of ours lately.
    pub fn found_unreachable(&self, now: Now) -> Vec<BackendId> {
        let found = self.watch.found_unreachable.iter();
        let lately = found.filter(|(_, at)| now.saturating_sub(**at) < UNREACHABLE_ADVERTISED_FOR);
        lately.map(|(id, _)| id.clone()).collect()
    }

    fn serving_engines(&self, now: Now) -> Vec<Replica> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let serving = self.list.serving(now);
        let engines = serving.filter(|replica| table.can_move(&replica.service));
        let engines = engines.filter(|replica| !self.watch.is_unreachable(now, &replica.id));
        engines.cloned().collect()
    }

    fn backups_to_probe(&mut self, now: Now, engines: &[Replica]) -> Vec<Replica> {
        let keeps = |id: &BackendId| {
            let mut sessions = self.runs.values();
            sessions
                .any(|run| run.ask.class == RequestClass::Stream && run.backup.as_ref() == Some(id))
        };
        let looked_at = &self.watch.looked_at;
        let is_due = |id: &BackendId| {
            let at = looked_at.get(id);
            at.is_none_or(|at| now.saturating_sub(*at) >= LOOK_AGAIN)
        };
        let due = engines
            .iter()
            .filter(|replica| is_due(&replica.id) && keeps(&replica.id));
        let due: Vec<Replica> = due.cloned().collect();
        for replica in &due {
            self.watch.looked_at.insert(replica.id.clone(), now);
        }
        due
    }

    /// Drops what is known of replicas that are gone.
    pub(super) fn forget_removed(&mut self) {
        let list = &self.list;
        let is_listed = |id: &BackendId| list.state(id) != ListedState::Removed;
        self.watch.said_leaving.retain(|id, _| is_listed(id));
        self.watch.peers_said_leaving.retain(|id, _| is_listed(id));
        self.watch.unreachable_until.retain(|id, _| is_listed(id));
        self.watch.found_unreachable.retain(|id, _| is_listed(id));
    }
}
