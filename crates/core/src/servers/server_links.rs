//! The connections of this instance to backend servers, by service.
//!
//! An instance that can't connect to a server knows only that its own connection failed. If it
//! reaches other servers of the service, the server is the likely cause; if it reaches none, its
//! own network connectivity is. In the second case nothing is concluded about the servers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::BackendId;
use crate::Now;

/// Number of servers of one service that must be unreachable in a row before the connectivity of
/// this instance counts as the cause. Fewer suffice if the service has fewer servers.
const CUT_AFTER_SERVERS: usize = 2;

/// Time for which a failed connection counts: failures further apart than this are unlikely to have
/// one cause.
const FAILURE_LIFETIME: Duration = Duration::from_secs(5);

/// Time between two probes of a service that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Servers by which the connectivity to a service is checked at a time. More than one, since some
/// may have failed unnoticed.
const CHECKED_SERVERS: usize = 3;

/// Change of the reachability of a service from this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// This instance reaches none of its servers any more.
    CutOff,
    /// This instance reaches a server again after this time.
    Restored(Duration),
}

/// The connections to the servers of one service.
#[derive(Debug, Default)]
struct ServiceLink {
    /// Servers whose latest connection attempt failed, and when.
    failed: BTreeMap<BackendId, Now>,
    /// The server that accepted the latest connection, and when.
    connected: Option<(BackendId, Now)>,
    cut_since: Option<Now>,
    probed_at: Option<Now>,
    probes: usize,
}

impl ServiceLink {
    /// Returns the number of servers that failed since a server last accepted a connection.
    fn failed_in_a_row(&self) -> usize {
        let connected_at = self.connected.as_ref().map(|(_, at)| *at);
        let is_later = |at: &&Now| connected_at.is_none_or(|connected_at| **at > connected_at);
        self.failed.values().filter(is_later).count()
    }
}

/// The connections of one instance to backend servers.
#[derive(Debug, Default)]
pub struct ServerLinks {
    services: BTreeMap<String, ServiceLink>,
}

impl ServerLinks {
    /// Records that a server of a service accepted a connection.
    pub fn connected(&mut self, now: Now, service: &str, server: &str) -> Option<LinkChange> {
        let link = self.link(service);
        link.failed.remove(server);
        link.connected = Some((server.to_owned(), now));
        let since = link.cut_since.take()?;
        Some(LinkChange::Restored(now.saturating_sub(since)))
    }

    /// Records that a server accepted no connection. `listed` is the number of servers of the
    /// service.
    pub fn failed(
        &mut self,
        now: Now,
        service: &str,
        server: &str,
        listed: usize,
    ) -> Option<LinkChange> {
        let link = self.link(service);
        link.failed
            .retain(|_, at| now.saturating_sub(*at) < FAILURE_LIFETIME);
        link.failed.insert(server.to_owned(), now);
        let is_cut = link.failed_in_a_row() >= CUT_AFTER_SERVERS.min(listed.max(1));
        if !is_cut || link.cut_since.is_some() {
            return None;
        }
        link.cut_since = Some(now);
        Some(LinkChange::CutOff)
    }

    /// Returns whether this instance reaches no server of a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        let link = self.services.get(service);
        link.is_some_and(|link| link.cut_since.is_some())
    }

    /// Returns the services of which this instance reaches no server.
    pub fn cut_off_services(&self) -> Vec<String> {
        let cut = self.services.iter();
        let cut = cut.filter(|(_, link)| link.cut_since.is_some());
        cut.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services that are due for a probe, each with the number of its probes so far,
    /// so that the probes take its servers in turn.
    pub fn due_probes(&mut self, now: Now) -> Vec<(String, usize)> {
        let is_due = |link: &ServiceLink| {
            let waited = link.probed_at.map(|at| now.saturating_sub(at));
            link.cut_since.is_some() && waited.is_none_or(|waited| waited >= PROBE_INTERVAL)
        };
        let due = self.services.iter_mut().filter(|(_, link)| is_due(link));
        due.map(|(service, link)| {
            link.probed_at = Some(now);
            link.probes += 1;
            (service.clone(), link.probes)
        })
        .collect()
    }

    /// Returns the servers by which to check whether a service is reachable: first the one that
    /// accepted the latest connection, then those that have not failed lately.
    pub fn servers_to_check(&self, service: &str, others: &[BackendId]) -> Vec<BackendId> {
        let link = self.services.get(service);
        let connected = link.and_then(|link| link.connected.as_ref());
        let has_failed = |id: &BackendId| link.is_some_and(|link| link.failed.contains_key(id));
        let mut servers: Vec<BackendId> = others.to_vec();
        servers.sort_by_key(|id| {
            let is_latest = connected.is_some_and(|(latest, _)| latest == id);
            (!is_latest, has_failed(id))
        });
        servers.truncate(CHECKED_SERVERS);
        servers
    }

    fn link(&mut self, service: &str) -> &mut ServiceLink {
        self.services.entry(service.to_owned()).or_default()
    }
}
