//! What the control thread does with news of backend servers and zones: each change of
//! a belief is logged once.

use std::sync::Arc;
use std::time::Duration;

use iristhread_core::ConfigVerdict;
use iristhread_core::Evacuation;
use iristhread_core::EvacuationChange;
use iristhread_core::EvacuationUpdate;
use iristhread_core::Fingerprint;
use iristhread_core::GatewayConfig;
use iristhread_core::ObservedNotice;
use iristhread_core::Revision;
use iristhread_core::ServerLife;
use iristhread_core::SessionSignal;
use iristhread_core::SuspicionUpdate;
use slog::debug;
use slog::info;
use slog::warn;

use super::GatewayThread;
use crate::engines::suspicion_log::log_suspicion;
use crate::peers::heartbeat::ListNews;

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

    pub(super) fn evacuations(&mut self, news: EvacuationUpdate, source: &str) {
        let now = self.clock.now();
        let Some(changes) = self.control.offer_evacuations(now, news) else {
            return;
        };
        self.tell_evacuations(&changes, source);
    }

    /// Logs what is different and tells it those who send.
    pub(super) fn tell_evacuations(&self, changes: &[EvacuationChange], source: &str) {
        for change in changes {
            self.log_evacuation(change, source);
        }
        if changes.is_empty() {
            return;
        }
        let evacuations = self.control.evacuations();
        self.metrics.evacuated_zones(evacuations.count());
        self.evacuations.send_replace(evacuations.clone());
        // The others should know it at once.
        self.news.notify_one();
    }

    /// A zone without listed backend servers may be a name that was mistyped.
    fn log_evacuation(&self, change: &EvacuationChange, source: &str) {
        let (message, zone) = match change {
            EvacuationChange::Began(zone) => ("zone is evacuated: nothing new goes there", zone),
            EvacuationChange::Ended(zone) => ("zone is no longer evacuated", zone),
        };
        info!(self.log, "{}", message; "evacuated_zone" => zone, "source" => source,
            "directory_revision" => %self.control.evacuations().revision(),
            "backend_servers_there" => self.control.listed_in(zone));
    }

    pub(super) fn leaves(&mut self, server: &ServerLife, source: Option<String>) {
        let now = self.clock.now();
        let to_us = source.is_none();
        if let Some(evacuations) = self.control.report_draining(now, server, to_us) {
            self.said_it_leaves(server, source, evacuations);
        }
        self.tell_stops();
    }

    fn said_it_leaves(
        &mut self,
        server: &ServerLife,
        source: Option<String>,
        evacuations: Vec<Evacuation>,
    ) {
        info!(self.log, "backend server says that it leaves";
            "backend_server" => &server.id, "source" => &source,
            "list_revision" => %self.control.list().revision());
        if source.is_none() {
            self.news.notify_one();
        }
        self.evacuate(evacuations);
    }

    /// What an answer said binds this instance from now on.
    pub(super) fn noticed(&mut self, server: &ServerLife, heard: &ObservedNotice) {
        let now = self.clock.now();
        let notice = &heard.notice;
        let change = self.control.observe_limit(now, server, heard);
        self.limit_changed(server, change, None);
        if let Some(rest) = notice.rest() {
            info!(self.log, "backend server rests";
                "backend_server" => &server.id, "rest_ms" => rest.as_millis() as u64,
                "list_revision" => %self.control.list().revision());
        }
        if let Some(evacuations) = self.control.observe_notice(now, server, notice) {
            self.said_it_leaves(server, None, evacuations);
        }
        self.tell_stops();
    }

    /// What is sent checks this before each send.
    pub(super) fn tell_stops(&mut self) {
        let version = self.control.restrictions_version();
        if version == self.restrictions_version {
            return;
        }
        self.restrictions_version = version;
        let stops = self.control.send_restrictions(self.clock.now());
        self.stops.send_replace(Arc::new(stops));
    }

    /// The address of a backend server has another: the list is late.
    pub(super) fn another_there(&mut self, server: &ServerLife) {
        if !self.is_current(server) {
            return;
        }
        info!(self.log, "another has the address of a backend server";
            "backend_server" => &server.id,
            "list_revision" => %self.control.list().revision());
        self.control.unreachable(self.clock.now(), &server.id);
    }

    /// All ages have gone on meanwhile; the others should be heard and told soon.
    pub(super) fn notice_suspension(&mut self) {
        if let Some(time) = self.suspensions.suspended_for() {
            warn!(self.log, "the machine was suspended";
                "suspended_ms" => time.as_millis() as u64);
            self.news.notify_one();
        }
    }

    /// Late news of an earlier life speak of nothing that is there now.
    pub(super) fn is_current(&self, server: &ServerLife) -> bool {
        let is_current = self.control.is_current(server);
        if !is_current {
            debug!(self.log, "news of an earlier life of a backend server";
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
        info!(self.log, "backend server failed a try"; "backend_server" => &server.id);
        self.control.failed(self.clock.now(), &server.id);
    }

    /// Sessions are not looked for at engines that have started anew.
    pub(super) fn tell_orphaned(&mut self) {
        for request in self.control.take_orphaned() {
            info!(self.log, "engine of a request has started anew"; "request" => &request);
            if let Some(signals) = self.signals.get(&request) {
                // It may have ended in the meantime.
                let _ = signals.send(SessionSignal::EngineRestarted);
            }
        }
    }

    pub(super) fn refused_connection(&mut self, replica: &str) {
        let now = self.clock.now();
        if self.control.refused_connection(now, replica) {
            info!(self.log, "others are told that a backend server can't be reached";
                "backend_server" => replica);
            self.news.notify_one();
        }
    }

    pub(super) fn set_list_stale(&mut self, is_lost: bool) {
        if self.control.set_list_stale(is_lost) {
            let message = match is_lost {
                true => "list of backend servers is no longer confirmed",
                false => "list of backend servers is confirmed again",
            };
            info!(self.log, "{}", message;
                "list_revision" => %self.control.list().revision());
        }
    }

    /// The directory came back from an older copy: what it lacks and what it brings back.
    pub(super) fn tell_era(&self, before: Revision, source: &str) {
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

    pub(super) fn list_taken(&mut self, evacuations: Vec<Evacuation>) {
        self.list_known
            .send_replace(!self.control.list().revision().is_none());
        self.evacuate(evacuations);
    }

    pub(super) fn list_news(&mut self, news: ListNews, source: &str) {
        let now = self.clock.now();
        let before = self.control.list().revision();
        if news.revision <= before {
            return;
        }
        if news.after > before {
            debug!(self.log, "changes of the list are missing in between";
                "revision" => %before, "after" => %news.after, "source" => source);
            return;
        }
        info!(self.log, "list of backend servers changed";
            "revision" => %news.revision, "source" => source,
            "outage_ended_ms" => news.outage_ended_ms,
            "changes" => news.summary());
        if let Some(ago) = news.outage_ended_ms {
            let ago = Duration::from_millis(ago);
            self.control.outage_ended(now.saturating_sub(ago));
        }
        let evacuations = self
            .control
            .change_replicas(now, news.revision, news.changes);
        self.evacuate(evacuations);
    }

    /// Logs what has changed of the suspicions; the others should know it at once.
    pub(super) fn tell_suspicions(&mut self) {
        let news = self.control.suspicion_updates();
        if !news.is_empty() {
            self.news.notify_one();
        }
        for news in news {
            if matches!(news, SuspicionUpdate::Ended { .. }) {
                self.metrics.server_ended();
            }
            log_suspicion(&self.log, self.clock.now(), &news);
            if let SuspicionUpdate::Quarantined { fingerprint, .. } = news {
                self.withdraw(fingerprint);
            }
        }
    }

    /// What waits at engines would end them as well.
    fn withdraw(&self, fingerprint: Fingerprint) {
        for request in self.control.unstarted_with(fingerprint) {
            if let Some(signals) = self.signals.get(&request) {
                // It may have ended in the meantime, and calls take no signals.
                let _ = signals.send(SessionSignal::Withdraw);
            }
        }
    }
}
