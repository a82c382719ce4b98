//! All backend servers of the configuration, with an index by model.

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

/// Engines per model that one instance looks at: enough for two good choices,
/// and a cost per decision that does not grow with the fleet.
const ENGINES_PER_MODEL: usize = 16;

/// Views by name, and per model the subset that this instance uses.
#[derive(Debug)]
pub struct BackendRegistry {
    instance: InstanceId,
    zone: ZoneId,
    views: BTreeMap<BackendId, BackendView>,
    by_model: HashMap<String, Vec<BackendId>>,
    subset: usize,
}

impl BackendRegistry {
    /// An empty book of one instance.
    pub fn new(instance: InstanceId, zone: ZoneId) -> Self {
        BackendRegistry {
            instance,
            zone,
            views: BTreeMap::new(),
            by_model: HashMap::new(),
            subset: ENGINES_PER_MODEL,
        }
    }

    /// Takes over a configuration; beliefs about servers that stay are kept.
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

    /// Own zone first, then the others, each by rendezvous rank for this
    /// instance, so that subsets of different instances overlap evenly.
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

    /// Engines of the subset for a model.
    pub(crate) fn subset(&self, model: &str) -> impl Iterator<Item = &BackendView> {
        let names = self.by_model.get(model).map_or(&[][..], Vec::as_slice);
        names.iter().filter_map(|name| self.views.get(name))
    }

    /// Names and addresses of the engines whose reports this instance needs.
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

    /// One view.
    pub fn view(&self, name: &str) -> Option<&BackendView> {
        self.views.get(name)
    }

    /// All views by name.
    pub fn views(&self) -> impl Iterator<Item = (&BackendId, &BackendView)> {
        self.views.iter()
    }

    pub(crate) fn view_mut(&mut self, name: &str) -> Option<&mut BackendView> {
        self.views.get_mut(name)
    }

    /// Notes a report; returns whether it is the first of another life.
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

    /// Runners of a plain service that may get new work: own zone first, the
    /// least used first.
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
    /// The last report, if any.
    pub fn last_report(&self) -> Option<&LoadReport> {
        self.report.as_ref()
    }

    /// The backend server as configured.
    pub fn server(&self) -> &BackendServer {
        &self.server
    }

    /// Requests of this instance there.
    pub fn own_requests(&self) -> u32 {
        self.own_sessions()
    }

    /// What rules it out now, if anything.
    pub fn why_ruled_out(&self, now: Now) -> Option<&'static str> {
        self.ruled_out(now)
    }
}
