//! Registry of the configured backend servers, indexed by model.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use crate::BackendId;
use crate::BackendKind;
use crate::BackendServer;
use crate::BackendView;
use crate::Document;
use crate::InstanceId;
use crate::LengthEstimator;
use crate::LoadReport;
use crate::Now;
use crate::ZoneId;
use crate::rendezvous_rank;

/// Engines per model that one instance considers. This leaves enough for two good choices and
/// keeps the cost of a decision independent of the size of the fleet.
const ENGINES_PER_MODEL: usize = 16;

/// Backend views by name and, for each model, the subset of engines that this instance uses.
#[derive(Debug)]
pub struct BackendRegistry {
    instance: InstanceId,
    zone: ZoneId,
    views: BTreeMap<BackendId, BackendView>,
    by_model: HashMap<String, Vec<BackendId>>,
    subset: usize,
}

impl BackendRegistry {
    /// Creates an empty registry for an instance in `zone`.
    pub fn new(instance: InstanceId, zone: ZoneId) -> Self {
        BackendRegistry {
            instance,
            zone,
            views: BTreeMap::new(),
            by_model: HashMap::new(),
            subset: ENGINES_PER_MODEL,
        }
    }

    /// Applies a configuration. The state of a server is kept if its name and address stay the
    /// same.
    pub fn adopt(&mut self, document: &Document) {
        let mut old = std::mem::take(&mut self.views);
        for server in &document.backend_servers {
            let same = |view: &BackendView| view.server.address == server.address;
            let mut view = old
                .remove(&server.name)
                .filter(same)
                .unwrap_or_else(|| BackendView::new(server.clone()));
            view.server = server.clone();
            self.views.insert(server.name.clone(), view);
        }
        self.by_model.clear();
        for model in &document.models {
            let subset = self.subset_of(&model.name, document);
            self.by_model.insert(model.name.clone(), subset);
        }
    }

    /// Selects the engines of a model: those of the local zone first, then the others. Each group
    /// is ordered by rendezvous rank for this instance, so that the subsets of different
    /// instances overlap evenly.
    fn subset_of(&self, model: &str, document: &Document) -> Vec<BackendId> {
        let topic = format!("{}/{model}", self.instance);
        let serves = |server: &&BackendServer| {
            server.kind == BackendKind::Engine && server.models.iter().any(|m| m == model)
        };
        let (local, remote): (Vec<_>, Vec<_>) = document
            .backend_servers
            .iter()
            .filter(serves)
            .partition(|server| server.availability_zone == self.zone);
        let ranked = |list: Vec<&BackendServer>| -> Vec<BackendId> {
            let names = list.iter().map(|server| server.name.as_str());
            let rank = rendezvous_rank(&topic, names);
            rank.into_iter().map(str::to_owned).collect()
        };
        let mut subset = ranked(local);
        subset.extend(ranked(remote));
        subset.truncate(self.subset);
        subset
    }

    /// Returns the engines that this instance uses for a model.
    pub(crate) fn subset(&self, model: &str) -> impl Iterator<Item = &BackendView> {
        let names = self.by_model.get(model).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.views.get(name))
    }

    /// Returns the names and addresses of the engines whose load reports this instance needs.
    pub fn watched(&self) -> Vec<(BackendId, SocketAddr)> {
        let mut names: Vec<&BackendId> = self.by_model.values().flatten().collect();
        names.sort();
        names.dedup();
        let with_address = |name: &BackendId| {
            let view = self.views.get(name)?;
            Some((name.clone(), view.server.address))
        };
        names.into_iter().filter_map(with_address).collect()
    }

    /// Returns the view of the named backend server, if it is configured.
    pub fn view(&self, name: &str) -> Option<&BackendView> {
        self.views.get(name)
    }

    /// Iterates over all views in the order of their names.
    pub fn views(&self) -> impl Iterator<Item = (&BackendId, &BackendView)> {
        self.views.iter()
    }

    pub(crate) fn view_mut(&mut self, name: &str) -> Option<&mut BackendView> {
        self.views.get_mut(name)
    }

    /// Applies a load report. Returns whether it is the first one of a new incarnation.
    pub fn report(
        &mut self,
        now: Now,
        name: &str,
        report: LoadReport,
        estimator: &LengthEstimator,
    ) -> bool {
        let view = self.views.get_mut(name);
        view.is_some_and(|view| view.take_report(now, report, estimator))
    }

    /// Returns the runners of a plain service that accept new work. Runners on probation come last;
    /// then the local zone comes first, and within a zone the runner with the fewest sessions.
    pub fn runners(&self, now: Now, service: &str) -> Vec<&BackendServer> {
        let runs = |view: &&BackendView| {
            view.server.service.as_deref() == Some(service) && view.ruled_out(now).is_none()
        };
        let mut views: Vec<&BackendView> = self.views.values().filter(runs).collect();
        views.sort_by_key(|view| {
            let is_remote = view.server.availability_zone != self.zone;
            (view.on_probation(), is_remote, view.own_sessions())
        });
        views.into_iter().map(|view| &view.server).collect()
    }
}

impl BackendView {
    /// Returns the last load report, if any.
    pub fn last_report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// Returns the backend server as configured.
    pub fn server(&self) -> &BackendServer {
        &self.server
    }

    /// Returns the number of requests that this instance runs on the server.
    pub fn own_requests(&self) -> u32 {
        self.own_sessions()
    }

    /// Returns why the server can't take new work now, or `None` if it can.
    pub fn why_ruled_out(&self, now: Now) -> Option<&'static str> {
        self.ruled_out(now)
    }
}
