//! Derives a shared limit for brittle backend servers from their room and their rejections.

use super::GatewayControl;
use crate::BrittleServers;
use crate::DeclaredBound;
use crate::DeclaredLimit;
use crate::LimitChange;
use crate::Now;
use crate::ObservedNotice;
use crate::RequestRate;
use crate::ServerLife;

impl GatewayControl {
    /// Returns the limit that an answer declares or implies. A brittle server implies one when it
    /// begins to be brittle, and keeps it until it says neither.
    pub(super) fn implied_limit(
        &mut self,
        now: Now,
        server: &ServerLife,
        observed: &ObservedNotice,
    ) -> Option<DeclaredLimit> {
        let notice = &observed.notice;
        if notice.brittle == DeclaredBound::Absent {
            let reports = notice.limit != DeclaredLimit::Absent || observed.reports_limits;
            if reports {
                self.brittle.ended(server.life);
            }
            return reports.then_some(notice.limit);
        }
        let replica = self.list.replica(&server.id)?;
        let (service, slots) = (replica.service.clone(), replica.slots);
        let bound = notice.brittle.rejections_per_s();
        let implied =
            bound.and_then(|bound| self.brittle.begins(now, server, &service, slots, bound));
        let declared = notice.limit.rate();
        // Another instance may have lowered it already.
        let in_force = self.limits.in_force(server.life);
        let in_force = in_force.map(|(rate, _)| rate).filter(|_| implied.is_some());
        let lowest = implied.into_iter().chain(declared).chain(in_force).min();
        lowest.map(DeclaredLimit::Of)
    }

    /// Records that a server had no room for a request of this instance; returns the change of its
    /// limit.
    pub fn rejected_for_room(&mut self, now: Now, server: &ServerLife) -> Option<LimitChange> {
        let in_force = self.limits.in_force(server.life)?;
        let others = self.demand_of_others(now, server);
        let demand = others.plus(self.limits.wanted(now, server.life));
        let reduced = self.brittle.rejected(now, server.life, in_force, demand)?;
        self.set_rate(now, server, reduced)
    }

    /// Raises the limits of brittle servers that have rejected nothing for a while; returns the
    /// changes.
    pub fn grow_brittle(&mut self, now: Now) -> Vec<(ServerLife, LimitChange)> {
        if self.brittle.count() == 0 {
            return Vec::new();
        }
        let mut brittle = std::mem::take(&mut self.brittle);
        let rate_of = |life| self.limits.in_force(life);
        let grown = brittle.grown(now, rate_of, |server| self.is_first_for(&server.id));
        let listed = self.list.lives();
        brittle.retain(|life| listed.contains(&life));
        self.brittle = brittle;
        let changes = grown.into_iter().filter_map(|(server, rate)| {
            let change = self.set_rate(now, &server, rate)?;
            Some((server, change))
        });
        changes.collect()
    }

    /// Returns the brittle servers.
    pub fn brittle(&self) -> &BrittleServers {
        &self.brittle
    }

    fn set_rate(
        &mut self,
        now: Now,
        server: &ServerLife,
        rate: RequestRate,
    ) -> Option<LimitChange> {
        let credit = self.chance();
        let declared = DeclaredLimit::Of(rate);
        self.limits.heard(now, server, declared, now, credit)
    }
}
