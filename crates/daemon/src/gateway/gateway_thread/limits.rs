//! Limits that backend servers declare, as handled by the control thread.

use iristhread_core::AdvertisedLimit;
use iristhread_core::LimitChange;
use iristhread_core::Ranking;
use iristhread_core::ServerLife;
use iristhread_core::ServerNotice;
use slog::info;

use super::GatewayThread;

/// Metric label: a send was allowed by the server's limit.
const GRANTED: &str = "granted";

/// Metric label: a send was withheld because this instance has used its share of the limit.
const WITHHELD: &str = "withheld";

impl GatewayThread {
    pub(super) fn limits_received(&mut self, limits: Vec<AdvertisedLimit>, source: &str) {
        let now = self.clock.now();
        for (server, change) in self.control.apply_peer_limits(now, limits) {
            self.limit_changed(&server, Some(change), Some(source));
        }
    }

    /// Logs a changed limit. `source` is the peer that advertised it, `None` for an answer to this
    /// instance.
    pub(super) fn limit_changed(
        &self,
        server: &ServerLife,
        change: Option<LimitChange>,
        source: Option<&str>,
    ) {
        let Some(change) = change else {
            return;
        };
        let now = self.clock.now();
        let others = self.control.demand_of_others(now, server);
        let (message, per_s) = match change {
            LimitChange::Limited(rate) => ("backend server names a limit", Some(rate.per_s())),
            LimitChange::Withdrawn => ("backend server names a limit no more", None),
        };
        info!(self.log, "{}", message;
            "backend_server" => &server.id,
            "limit_per_s" => per_s,
            "source" => source,
            "others_want_per_s" => others.per_s(),
            "instances_counted" => self.control.peers(),
            "in_force" => self.control.limits().lives().len());
        if source.is_none() {
            self.immediate_heartbeat.notify_one();
        }
    }

    /// Logs that a server began or ceased to say that it is brittle.
    pub(super) fn log_brittleness(
        &self,
        server: &ServerLife,
        notice: &ServerNotice,
        was_brittle: bool,
    ) {
        let brittle = self.control.brittle();
        let message = match (was_brittle, brittle.has(server.life)) {
            (false, true) => "backend server says that it is brittle",
            (true, false) => "backend server is no longer brittle",
            _ => return,
        };
        info!(self.log, "{}", message;
            "backend_server" => &server.id,
            "rejections_per_s" => notice.brittle.rejections_per_s(),
            "brittle_servers" => brittle.count());
    }

    /// Lowers the limit of a brittle server that had no room for a request.
    pub(super) fn rejected_for_room(&mut self, server: &ServerLife) {
        let change = self.control.rejected_for_room(self.clock.now(), server);
        self.limit_changed(server, change, None);
    }

    /// Raises the limits of brittle servers that have rejected nothing for a while.
    pub(super) fn grow_brittle(&mut self) {
        for (server, change) in self.control.grow_brittle(self.clock.now()) {
            self.limit_changed(&server, Some(change), None);
        }
    }

    pub(super) fn may_send(&mut self, server: &ServerLife, request: &str) -> bool {
        let may_send = self.control.may_send(self.clock.now(), server, request);
        self.metrics
            .limit_checked(if may_send { GRANTED } else { WITHHELD });
        self.notify_demand_update();
        may_send
    }

    pub(super) fn count_skipped(&self, ranking: &Ranking) {
        for _ in &ranking.passed_over {
            self.metrics.limit_checked(WITHHELD);
        }
    }

    /// Requests an immediate heartbeat if the demand of this instance has changed: the shares of
    /// the other instances depend on it.
    pub(super) fn notify_demand_update(&self) {
        if self.control.is_demand_update(self.clock.now()) {
            self.immediate_heartbeat.notify_one();
        }
    }

    /// Adds to the metrics what the limits in force allowed all instances together since the last
    /// call.
    pub(super) fn count_limits(&mut self) {
        let now = self.clock.now();
        let time = now.saturating_sub(self.limits_counted_at);
        self.limits_counted_at = now;
        let limits = self.control.limits();
        self.metrics.limited(limits.lives().len());
        let allowed = limits.sum().per_s() * time.as_secs_f64();
        self.metrics.limits_allow(allowed);
    }
}

/// Formats for the log the better-ranked servers that were skipped because they take no more
/// requests now; `None` if there are none.
pub(super) fn passed_over(ranking: &Ranking) -> Option<String> {
    let passed_over = &ranking.passed_over;
    (!passed_over.is_empty()).then(|| format!("{passed_over:?}"))
}
