//! What the control thread does with the limits that backend servers name.

use iristhread_core::AdvertisedLimit;
use iristhread_core::LimitChange;
use iristhread_core::Ranking;
use iristhread_core::ServerLife;
use slog::info;

use super::GatewayThread;

/// A request was sent under a limit.
const GRANTED: &str = "granted";

/// It was not, since the share of this instance was used.
const WITHHELD: &str = "withheld";

impl GatewayThread {
    pub(super) fn limits_heard(&mut self, limits: Vec<AdvertisedLimit>, source: &str) {
        let now = self.clock.now();
        for (server, change) in self.control.apply_peer_limits(now, limits) {
            self.limit_changed(&server, Some(change), Some(source));
        }
        self.tell_stops();
    }

    /// `source` is the peer that told it, `None` for an answer to this instance.
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
            self.news.notify_one();
        }
    }

    pub(super) fn may_send(&mut self, server: &ServerLife, request: &str) -> bool {
        let may_send = self.control.may_send(self.clock.now(), server, request);
        self.metrics
            .limit_asked(if may_send { GRANTED } else { WITHHELD });
        self.tell_wants();
        may_send
    }

    pub(super) fn count_passed_over(&self, ranking: &Ranking) {
        for _ in &ranking.passed_over {
            self.metrics.limit_asked(WITHHELD);
        }
    }

    /// The shares of the others go by what this instance wants.
    pub(super) fn tell_wants(&self) {
        if self.control.is_demand_update(self.clock.now()) {
            self.news.notify_one();
        }
    }

    /// Counts what the limits in force allow all instances together.
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

/// The better servers that take no more now; `None` for logs where there are none.
pub(super) fn passed_over(ranking: &Ranking) -> Option<String> {
    let passed_over = &ranking.passed_over;
    (!passed_over.is_empty()).then(|| format!("{passed_over:?}"))
}
