//! The limits that backend servers name, on the completion interface. Instances tell each
//! other no loads there: the others are taken to wish for as much as this one does.

use std::time::Duration;

use rand_core::Rng;

use super::Control;
use crate::HeardNotice;
use crate::LimitTerms;
use crate::LoadReport;
use crate::NamedLimit;
use crate::Now;
use crate::RequestRate;
use crate::ServerLife;
use crate::membership::rendezvous::weight;

/// Time over which wishes are counted per instance: where many share the requests, each sees
/// few.
const DEMAND_WINDOW_PER_INSTANCE: Duration = Duration::from_millis(250);

/// Shortest such time.
const MIN_DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Longest such time: shares follow a burst this late.
const MAX_DEMAND_WINDOW: Duration = Duration::from_secs(10);

impl Control {
    /// Notes what an answer says of its server's limit.
    pub(super) fn observe_limit_notice(&mut self, now: Now, backend: &str, heard: &HeardNotice) {
        let limit = heard.notice.limit;
        if limit == NamedLimit::NotTold && !heard.tells_limits {
            return;
        }
        let Some(server) = self.server_incarnation(backend) else {
            return;
        };
        let window = self.demand_window();
        self.limits.set_terms(LimitTerms {
            window,
            ..LimitTerms::default()
        });
        let earned = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        self.limits
            .heard(now, &server, limit, heard.sent_at, earned);
    }

    /// Whether something may be sent to a backend server now as far as its limit goes; what
    /// may be sent counts as sent.
    pub(super) fn wish(&mut self, now: Now, backend: &str) -> bool {
        let Some(server) = self.server_incarnation(backend) else {
            return true;
        };
        if !self.limits.has(server.life) {
            return true;
        }
        let others = self.demand_of_others(now, &server);
        self.limits.wish(now, server.life, others)
    }

    /// Time until this instance may send something to a limited server; `None` if it may now.
    pub(super) fn turn_in(&self, now: Now, backend: &str) -> Option<Duration> {
        let server = self.server_incarnation(backend)?;
        let others = self.demand_of_others(now, &server);
        self.limits.turn_in(now, server.life, others)
    }

    /// A report that counts from the start again is of another life, which named no limit.
    pub(super) fn reported(&mut self, now: Now, backend: &str, report: LoadReport) {
        let is_new_incarnation = self.backends.report(now, backend, report, &self.estimator);
        if let Some(server) = self
            .server_incarnation(backend)
            .filter(|_| is_new_incarnation)
        {
            self.limits.forget(server.life);
        }
    }

    /// One wish more than was counted, since rare ones are forgotten between two.
    fn demand_of_others(&self, now: Now, server: &ServerLife) -> RequestRate {
        let one = RequestRate::of_per_s(1.0 / self.demand_window().as_secs_f64());
        let own = self.limits.wanted(now, server.life).plus(one);
        own.times(self.instances().saturating_sub(1))
    }

    fn demand_window(&self) -> Duration {
        let window = DEMAND_WINDOW_PER_INSTANCE * self.instances();
        window.clamp(MIN_DEMAND_WINDOW, MAX_DEMAND_WINDOW)
    }

    fn instances(&self) -> u32 {
        u32::try_from(self.roster.entries().count()).unwrap_or(u32::MAX)
    }

    /// A server that has another address is another one.
    fn server_incarnation(&self, backend: &str) -> Option<ServerLife> {
        let view = self.backends.view(backend)?;
        let address = view.server().address.to_string();
        Some(ServerLife {
            id: backend.to_owned(),
            life: weight(backend, &address),
        })
    }
}
