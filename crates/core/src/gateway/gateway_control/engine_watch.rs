//! Queries engines directly while the platform's list is stale: engines that are draining report
//! it, and engines that are gone do not accept connections.

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

/// Time between two connection checks of an engine that holds backups of sessions of this instance.
const BACKUP_PROBE_INTERVAL: Duration = Duration::from_millis(900);

/// Time for which an unreachable replica gets no requests. During an outage of the list there is no
/// other sign that a replica is gone, and a network partition may heal.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(4);

/// Time for which it is advertised that an engine is draining: several heartbeats, as some may be
/// lost.
const DRAINING_ADVERTISED_FOR: Duration = Duration::from_secs(10);

/// Time for which an answer shows that this instance reaches a replica, whatever a peer reports: the
/// time between two reports of the progress of a stream.
const ANSWER_COUNTS_FOR: Duration = Duration::from_secs(1);

/// Time for which it is advertised that a replica is unreachable: two heartbeats. An instance that
/// finds it unreachable again advertises it again.
const UNREACHABLE_ADVERTISED_FOR: Duration = Duration::from_secs(2);

/// Engines to be checked now.
#[derive(Clone, Debug, Default)]
pub struct EngineChecks {
    /// Engines to query whether they are draining.
    pub query: Vec<Replica>,
    /// Engines whose reachability is to be checked.
    pub probe: Vec<Replica>,
}

/// Observations of engines by this instance, and draining notices that peers report.
#[derive(Debug, Default)]
pub(super) struct EngineWatch {
    said_leaving: BTreeMap<BackendId, Now>,
    peers_said_leaving: BTreeMap<BackendId, Now>,
    probed_at: BTreeMap<BackendId, Now>,
    unreachable_until: BTreeMap<BackendId, Now>,
    found_unreachable: BTreeMap<BackendId, Now>,
    answered_at: BTreeMap<BackendId, Now>,
}

impl EngineWatch {
    /// Records that a replica sent an answer, or a part of one, to this instance.
    pub(super) fn answered(&mut self, now: Now, id: &str) {
        self.forget_connections(id);
        self.answered_at.insert(id.to_owned(), now);
    }

    fn has_answered_lately(&self, now: Now, id: &str) -> bool {
        let at = self.answered_at.get(id);
        at.is_some_and(|at| now.saturating_sub(*at) < ANSWER_COUNTS_FOR)
    }

    /// Removes the observations of a replica.
    pub(super) fn forget(&mut self, id: &str) {
        self.said_leaving.remove(id);
        self.peers_said_leaving.remove(id);
        self.probed_at.remove(id);
        self.unreachable_until.remove(id);
        self.found_unreachable.remove(id);
        self.answered_at.remove(id);
    }

    /// Removes what connections of this instance to a replica have shown.
    fn forget_connections(&mut self, id: &str) {
        self.unreachable_until.remove(id);
        self.found_unreachable.remove(id);
    }

    /// Returns whether a replica was found unreachable recently.
    pub(super) fn is_unreachable(&self, now: Now, id: &str) -> bool {
        let until = self.unreachable_until.get(id);
        until.is_some_and(|until| now < *until)
    }
}

impl GatewayControl {
    /// Returns the checks that are due; none while the list is confirmed, since each check
    /// has a cost. Each engine is queried by one instance of its zone, which advertises the result.
    /// Each instance itself checks the engines that hold backups of its sessions.
    pub fn engine_checks(&mut self, now: Now) -> EngineChecks {
        if !self.is_list_stale {
            self.watch.probed_at.clear();
            return EngineChecks::default();
        }
        let names: Vec<String> = self.peers.neighbours().cloned().collect();
        let own = self.parameters.instance.clone();
        let is_in_queried_zone =
            |zone: &str| zone == self.parameters.zone || !self.peers.knows_zone(zone);
        let is_assigned = |replica: &Replica| {
            let names = names.iter().map(String::as_str).chain([own.as_str()]);
            is_in_queried_zone(&replica.availability_zone)
                && rendezvous_rank(&replica.id, names).first() == Some(&own.as_str())
        };
        let engines = self.serving_engines(now);
        // Engines that are backing off are not queried either.
        let engines: Vec<Replica> = engines
            .into_iter()
            .filter(|replica| !self.backoffs.is_backing_off(now, replica.life()))
            .collect();
        let query = engines
            .iter()
            .filter(|replica| is_assigned(replica))
            .cloned();
        EngineChecks {
            query: query.collect(),
            probe: self.backups_to_probe(now, &engines),
        }
    }

    /// Records that a replica reports to this instance (`to_us`) or to a peer that it is draining.
    /// Returns the session moves that follow, or `None` if it was known already.
    pub fn report_draining(
        &mut self,
        now: Now,
        server: &ServerLife,
        to_us: bool,
    ) -> Option<Vec<Evacuation>> {
        let is_new = self.list.mark_draining(now, server);
        if !self.is_current(server) {
            // Kept until the list contains that incarnation; not advertised.
            return None;
        }
        let id = server.id.clone();
        if to_us {
            self.watch.said_leaving.insert(id, now);
        } else if is_new {
            self.watch.peers_said_leaving.insert(id, now);
        }
        is_new.then(|| self.replicas_changed(now))
    }

    /// Returns the replicas that recently reported to this instance that they are draining; for a
    /// relay also those that reported it to a peer.
    pub fn said_leaving(&self, now: Now, is_relay: bool) -> Vec<BackendId> {
        let by_peers = self.watch.peers_said_leaving.iter().filter(|_| is_relay);
        let said = self.watch.said_leaving.iter().chain(by_peers);
        let lately = said.filter(|(_, at)| now.saturating_sub(**at) < DRAINING_ADVERTISED_FOR);
        lately.map(|(id, _)| id.clone()).collect()
    }

    /// Records that a replica is unreachable from this instance: it gets no new requests for
    /// `UNREACHABLE_BACKOFF`, and backups of sessions of this instance there count as lost.
    pub fn unreachable(&mut self, now: Now, id: &str) {
        let until = now + UNREACHABLE_BACKOFF;
        self.watch.unreachable_until.insert(id.to_owned(), until);
        for run in self.runs.values_mut() {
            let holds_backup = run.backup.as_deref() == Some(id);
            if holds_backup && run.moving == Moving::Stays {
                run.backup = None;
            }
        }
    }

    /// Records that a replica did not accept a connection. While the list is stale, and until it
    /// has settled afterwards, there is no other sign that the replica is gone, and the other
    /// instances should not each have to detect it. Returns whether to advertise it.
    pub fn refused_connection(&mut self, now: Now, id: &str) -> bool {
        if !self.is_list_uncertain(now) {
            return false;
        }
        let is_new = !self.watch.is_unreachable(now, id);
        self.watch.found_unreachable.insert(id.to_owned(), now);
        self.unreachable(now, id);
        is_new
    }

    /// Applies the report of a peer of this zone that a replica did not accept a connection. The
    /// peer mostly has the same network connectivity as this instance; what the replica answers
    /// here counts more.
    pub fn apply_peer_unreachable(&mut self, now: Now, id: &str) {
        if self.is_list_uncertain(now) && !self.watch.has_answered_lately(now, id) {
            self.unreachable(now, id);
        }
    }

    /// Withdraws what failed connections have shown about the servers of a service: this instance
    /// reaches none of them, so its own connectivity is the cause.
    pub fn service_cut_off(&mut self, service: &str) {
        let of_service = self.list.listed().filter(|r| r.service == service);
        for replica in of_service {
            self.watch.forget_connections(&replica.id);
            self.pauses.remove(&replica.id);
        }
    }

    pub(super) fn is_list_uncertain(&self, now: Now) -> bool {
        self.is_list_stale || self.list.is_settling(now)
    }

    /// Returns the replicas that recently did not accept a connection of this instance.
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
        let holds_backup = |id: &BackendId| {
            let mut sessions = self.runs.values();
            sessions
                .any(|run| run.ask.class == RequestClass::Stream && run.backup.as_ref() == Some(id))
        };
        let probed_at = &self.watch.probed_at;
        let is_due = |id: &BackendId| {
            let at = probed_at.get(id);
            at.is_none_or(|at| now.saturating_sub(*at) >= BACKUP_PROBE_INTERVAL)
        };
        let due = engines
            .iter()
            .filter(|replica| is_due(&replica.id) && holds_backup(&replica.id));
        let due: Vec<Replica> = due.cloned().collect();
        for replica in &due {
            self.watch.probed_at.insert(replica.id.clone(), now);
        }
        due
    }

    /// Removes the observations of replicas that are no longer listed.
    pub(super) fn forget_removed(&mut self) {
        let list = &self.list;
        let is_listed = |id: &BackendId| list.state(id) != ListedState::Removed;
        self.watch.said_leaving.retain(|id, _| is_listed(id));
        self.watch.peers_said_leaving.retain(|id, _| is_listed(id));
        self.watch.unreachable_until.retain(|id, _| is_listed(id));
        self.watch.found_unreachable.retain(|id, _| is_listed(id));
        self.watch.answered_at.retain(|id, _| is_listed(id));
    }
}
