//! Handling of events of backend servers, zones and the list: each change of state is logged
//! once.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::ConfigVerdict;
use iristhread_core::Evacuation;
use iristhread_core::EvacuationChange;
use iristhread_core::EvacuationUpdate;
use iristhread_core::Fingerprint;
use iristhread_core::GatewayConfig;
use iristhread_core::ObservedNotice;
use iristhread_core::Replica;
use iristhread_core::Revision;
use iristhread_core::ServerLife;
use iristhread_core::SessionSignal;
use iristhread_core::SuspectKind;
use iristhread_core::SuspicionUpdate;
use slog::debug;
use slog::info;
use slog::warn;

use super::GatewayThread;
use crate::engines::suspicion_log::log_attribution;
use crate::engines::suspicion_log::log_suspicion;
use crate::peers::heartbeat::ListUpdate;

impl GatewayThread {
    pub(super) fn config(&mut self, config: Arc<GatewayConfig>, source: &str) {
        let version = config.version;
        match self.control.offer_config(config) {
            ConfigVerdict::InForce => {
                info!(self.log, "configuration in force"; "version" => version, "source" => source);
                self.table.send_replace(self.control.table().cloned());
            }
            ConfigVerdict::Stale => {
                debug!(self.log, "configuration not newer";
                    "version" => version, "source" => source);
            }
            ConfigVerdict::Refused(faults) => {
                warn!(self.log, "configuration refused; the last good one stays in force";
                    "version" => version, "source" => source, "faults" => faults.join("; "));
            }
        }
    }

    pub(super) fn evacuations(&mut self, update: EvacuationUpdate, source: &str) {
        let now = self.clock.now();
        let Some(changes) = self.control.offer_evacuations(now, update) else {
            return;
        };
        self.publish_evacuations(&changes, source);
    }

    /// Logs changed evacuations and publishes them to the tasks that send requests.
    pub(super) fn publish_evacuations(&self, changes: &[EvacuationChange], source: &str) {
        for change in changes {
            self.log_evacuation(change, source);
        }
        if changes.is_empty() {
            return;
        }
        let evacuations = self.control.evacuations();
        self.metrics.evacuated_zones(evacuations.count());
        self.evacuations.send_replace(evacuations.clone());
        // The other instances should learn it at once.
        self.immediate_heartbeat.notify_one();
    }

    /// Logs a changed evacuation with the number of listed backend servers in the zone: none may
    /// mean that the name of the zone was mistyped.
    fn log_evacuation(&self, change: &EvacuationChange, source: &str) {
        let (message, zone) = match change {
            EvacuationChange::Began(zone) => ("zone is evacuated: nothing new goes there", zone),
            EvacuationChange::Ended(zone) => ("zone is no longer evacuated", zone),
        };
        info!(self.log, "{}", message; "evacuated_zone" => zone, "source" => source,
            "directory_revision" => %self.control.evacuations().revision(),
            "backend_servers_there" => self.control.listed_in(zone));
    }

    pub(super) fn apply_leaving(&mut self, server: &ServerLife, source: Option<String>) {
        let now = self.clock.now();
        let is_own_notice = source.is_none();
        if let Some(evacuations) = self.control.report_draining(now, server, is_own_notice) {
            self.server_draining(server, source, evacuations);
        }
    }

    /// Logs a new draining notice, advertises it if an answer to this instance contained it, and
    /// moves sessions away from the server.
    fn server_draining(
        &mut self,
        server: &ServerLife,
        source: Option<String>,
        evacuations: Vec<Evacuation>,
    ) {
        info!(self.log, "backend server says that it leaves";
            "backend_server" => &server.id, "source" => &source,
            "list_revision" => %self.control.list().revision());
        if source.is_none() {
            self.immediate_heartbeat.notify_one();
        }
        self.evacuate(evacuations);
    }

    /// Applies the notice of an answer to all later sends of this instance.
    pub(super) fn observe(&mut self, server: &ServerLife, observed: &ObservedNotice) {
        let now = self.clock.now();
        let notice = &observed.notice;
        let was_brittle = self.control.brittle().has(server.life);
        let change = self.control.observe_limit(now, server, observed);
        self.log_brittleness(server, notice, was_brittle);
        self.limit_changed(server, change, None);
        if let Some(rest) = notice.rest() {
            info!(self.log, "backend server rests";
                "backend_server" => &server.id, "rest_ms" => rest.as_millis() as u64,
                "list_revision" => %self.control.list().revision());
        }
        if let Some(evacuations) = self.control.observe_notice(now, server, notice) {
            self.server_draining(server, None, evacuations);
        }
    }

    /// Publishes changed send restrictions, which tasks check before each send. Called after each
    /// message, so that a request is never placed by a list that its task doesn't know.
    pub(super) fn publish_send_restrictions(&mut self) {
        let version = self.control.restrictions_version();
        if version == self.restrictions_version {
            return;
        }
        self.restrictions_version = version;
        let restrictions = self.control.send_restrictions(self.clock.now());
        self.restrictions.send_replace(Arc::new(restrictions));
    }

    /// Handles a backend server's address that belongs to another server: the list is outdated.
    pub(super) fn address_reused(&mut self, server: &ServerLife) {
        if !self.is_current(server) {
            return;
        }
        info!(self.log, "another server has the address of a backend server";
            "backend_server" => &server.id,
            "list_revision" => %self.control.list().revision());
        self.control.unreachable(self.clock.now(), &server.id);
    }

    /// Requests an immediate heartbeat after a suspension of the machine: all ages have grown
    /// meanwhile, so state should be exchanged with the other instances soon.
    pub(super) fn check_suspension(&mut self) {
        if let Some(time) = self.suspensions.suspended_for() {
            warn!(self.log, "the machine was suspended";
                "suspended_ms" => time.as_millis() as u64);
            self.immediate_heartbeat.notify_one();
        }
    }

    /// Whether `server` is the present incarnation. Late messages about an earlier incarnation do
    /// not apply to the present one.
    pub(super) fn is_current(&self, server: &ServerLife) -> bool {
        let is_current = self.control.is_current(server);
        if !is_current {
            debug!(self.log, "ignoring a message about an earlier incarnation of a backend server";
                "backend_server" => &server.id);
        }
        is_current
    }

    pub(super) fn unreachable(&mut self, server: &ServerLife) {
        if !self.is_current(server) {
            return;
        }
        info!(self.log, "backend server can't be reached";
            "backend_server" => &server.id,
            "list_revision" => %self.control.list().revision());
        self.refused_connection(&server.id);
        self.control.unreachable(self.clock.now(), &server.id);
    }

    pub(super) fn failed(&mut self, server: &ServerLife) {
        if !self.is_current(server) {
            return;
        }
        info!(self.log, "attempt at a backend server failed"; "backend_server" => &server.id);
        self.control.failed(self.clock.now(), &server.id);
    }

    /// Signals sessions whose engine has restarted, so that they are not searched for there.
    pub(super) fn signal_orphaned(&mut self) {
        for request in self.control.take_orphaned() {
            info!(self.log, "engine of a request has restarted"; "request" => &request);
            if let Some(signals) = self.signals.get(&request) {
                // The session may have ended in the meantime.
                let _ = signals.send(SessionSignal::EngineRestarted);
            }
        }
    }

    pub(super) fn refused_connection(&mut self, replica: &str) {
        let now = self.clock.now();
        if self.control.refused_connection(now, replica) {
            info!(self.log, "advertising that a backend server can't be reached";
                "backend_server" => replica);
            self.immediate_heartbeat.notify_one();
        }
    }

    pub(super) fn set_list_stale(&mut self, is_stale: bool) {
        if self.control.set_list_stale(is_stale) {
            let message = match is_stale {
                true => "list of backend servers is no longer confirmed",
                false => "list of backend servers is confirmed again",
            };
            info!(self.log, "{}", message;
                "list_revision" => %self.control.list().revision());
        }
    }

    /// Updates the era metric, and logs which entries are missing and which came back if the
    /// directory was restored from an older copy.
    pub(super) fn log_era_change(&self, before: Revision, source: &str) {
        let now = self.clock.now();
        let list = self.control.list();
        let revision = list.revision();
        self.metrics.directory_era(revision.era);
        if revision.era == before.era || before.is_none() {
            return;
        }
        warn!(self.log, "directory came back from an older copy";
            "from" => %before, "to" => %revision, "source" => source,
            "lacking" => format!("{:?}", list.lapsed()),
            "back" => format!("{:?}", list.unconfirmed(now)));
    }

    /// Publishes whether a list is known and moves sessions as the applied list demands.
    pub(super) fn list_applied(&mut self, evacuations: Vec<Evacuation>) {
        self.list_known
            .send_replace(!self.control.list().revision().is_none());
        self.evacuate(evacuations);
    }

    pub(super) fn apply_list_update(&mut self, update: ListUpdate, source: &str) {
        let now = self.clock.now();
        let before = self.control.list().revision();
        if update.revision <= before {
            return;
        }
        if update.after > before {
            debug!(self.log, "list update ignored: earlier changes are missing";
                "revision" => %before, "after" => %update.after, "source" => source);
            return;
        }
        info!(self.log, "list of backend servers changed";
            "revision" => %update.revision, "source" => source,
            "outage_ended_ms" => update.outage_ended_ms,
            "changes" => update.summary());
        if let Some(ago) = update.outage_ended_ms {
            let ago = Duration::from_millis(ago);
            self.control.outage_ended(now.saturating_sub(ago));
        }
        let evacuations = self
            .control
            .change_replicas(now, update.revision, update.changes);
        self.evacuate(evacuations);
    }

    /// Records that the connection of a run was lost or stalled, and logs what is known of its
    /// server by then.
    pub(super) fn run_broken(&mut self, request: &str, server: &Replica) {
        let now = self.clock.now();
        let verdict = self.control.note_broken_run(now, request, server);
        info!(self.log, "run broke off at a backend server";
            "request" => request,
            "backend_server" => &server.id,
            "crash" => verdict.as_str(),
            "unconfirmed_crashes" => self.control.unconfirmed_crashes());
    }

    /// Logs changed suspicions and advertises them at once.
    pub(super) fn publish_suspicion_updates(&mut self) {
        for notice in self.control.attribution_notices() {
            log_attribution(&self.log, &notice);
        }
        let updates = self.control.suspicion_updates();
        if !updates.is_empty() {
            self.immediate_heartbeat.notify_one();
        }
        for update in updates {
            if let SuspicionUpdate::Ended { kind, .. } = update
                && kind == SuspectKind::Content
            {
                self.metrics.server_crashed();
            }
            log_suspicion(&self.log, self.clock.now(), &update);
            if let SuspicionUpdate::Quarantined { fingerprint, .. } = update {
                self.withdraw(fingerprint);
            }
        }
    }

    /// Withdraws the requests with a quarantined fingerprint that wait at engines: they would crash
    /// them as well.
    fn withdraw(&self, fingerprint: Fingerprint) {
        for request in self.control.unstarted_with(fingerprint) {
            if let Some(signals) = self.signals.get(&request) {
                // The request may have ended in the meantime, and plain calls take no signals.
                let _ = signals.send(SessionSignal::Withdraw);
            }
        }
    }
}
