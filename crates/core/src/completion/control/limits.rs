//! Rate limits that backend servers declare, on the completion interface. Instances don't
//! advertise their loads to each other there, so each other instance is assumed to have the same
//! demand as this one.

use std::time::Duration;

use rand_core::Rng;

use super::Control;
use crate::DeclaredLimit;
use crate::LimitParameters;
use crate::LoadReport;
use crate::Now;
use crate::ObservedNotice;
use crate::RequestRate;
use crate::ServerLife;
use crate::membership::rendezvous::weight;

/// Window over which demand is counted, per instance of the fleet. With more instances, each one
/// sees fewer requests and needs a longer window.
const DEMAND_WINDOW_PER_INSTANCE: Duration = Duration::from_millis(250);

/// Minimum of the window.
const MIN_DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Maximum of the window: the shares follow a burst with up to this delay.
const MAX_DEMAND_WINDOW: Duration = Duration::from_secs(10);

impl Control {
    /// Applies what an answer states about the limit of its server.
    pub(super) fn observe_limit_notice(&mut self, now: Now, backend: &str, heard: &ObservedNotice) {
        let limit = heard.notice.limit;
        if limit == DeclaredLimit::Absent && !heard.reports_limits {
            return;
        }
        let Some(server) = self.server_incarnation(backend) else {
            return;
        };
        let window = self.demand_window();
        self.limits.set_terms(LimitParameters {
            window,
            ..LimitParameters::default()
        });
        let earned = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        self.limits
            .heard(now, &server, limit, heard.sent_at, earned);
    }

    /// Counts the demand for one request and returns whether the limit of the backend server
    /// allows sending it now. An allowed request counts as sent.
    pub(super) fn try_acquire(&mut self, now: Now, backend: &str) -> bool {
        let Some(server) = self.server_incarnation(backend) else {
            return true;
        };
        if !self.limits.has(server.life) {
            return true;
        }
        let others = self.demand_of_others(now, &server);
        self.limits.request_grant(now, server.life, others)
    }

    /// Returns the time until this instance may send to a limited server; `None` if it may send
    /// now.
    pub(super) fn time_until_allowed(&self, now: Now, backend: &str) -> Option<Duration> {
        let server = self.server_incarnation(backend)?;
        let others = self.demand_of_others(now, &server);
        self.limits.time_until_turn(now, server.life, others)
    }

    /// Applies a load report. A report whose sequence starts again belongs to a new incarnation,
    /// which has not declared a limit yet.
    pub(super) fn reported(&mut self, now: Now, backend: &str, report: LoadReport) {
        let is_new_incarnation = self.backends.report(now, backend, report, &self.estimator);
        if let Some(server) = self
            .server_incarnation(backend)
            .filter(|_| is_new_incarnation)
        {
            self.limits.forget(server.life);
        }
    }

    /// Estimates the demand of the other instances. One request is added to the own demand that was
    /// counted, because rare requests fall out of the window before the next one.
    fn demand_of_others(&self, now: Now, server: &ServerLife) -> RequestRate {
        let one = RequestRate::from_per_s(1.0 / self.demand_window().as_secs_f64());
        let own = self.limits.wanted(now, server.life).plus(one);
        own.times(self.instances().saturating_sub(1))
    }

    fn demand_window(&self) -> Duration {
        let window = DEMAND_WINDOW_PER_INSTANCE * self.instances();
        window.clamp(MIN_DEMAND_WINDOW, MAX_DEMAND_WINDOW)
    }

    fn instances(&self) -> u32 {
        u32::try_from(self.instance_list.entries().count()).unwrap_or(u32::MAX)
    }

    /// Identifies a server by its name and address: a server at another address is a different one.
    fn server_incarnation(&self, backend: &str) -> Option<ServerLife> {
        let view = self.backends.view(backend)?;
        let address = view.server().address.to_string();
        Some(ServerLife {
            id: backend.to_owned(),
            life: weight(backend, &address),
        })
    }
}
