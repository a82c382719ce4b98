//! Resources with their declared and observed state, and a log of their changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use iristhread_api::Resource;
use iristhread_api::ResourceEvent;
use iristhread_api::ResourceKind;
use tokio::sync::watch;

/// Maximum number of changes kept; a watch from an earlier version has to list the resources again.
const MAX_CHANGES: usize = 4_096;

/// Resources by kind and name.
pub type Resources = BTreeMap<&'static str, BTreeMap<String, Resource>>;

#[derive(Debug, Default)]
struct State {
    version: u64,
    current: Resources,
    changes: VecDeque<(u64, &'static str, ResourceEvent)>,
}

/// Some changes after the requested version are no longer kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionTooOld {
    /// Oldest version that a watch can start from.
    pub oldest: u64,
}

/// The change log of one instance. Its version is the number of changes that this instance has
/// logged.
#[derive(Debug)]
pub struct ResourceLog {
    state: Mutex<State>,
    versions: watch::Sender<u64>,
}

impl Default for ResourceLog {
    fn default() -> Self {
        ResourceLog {
            state: Mutex::default(),
            versions: watch::channel(0).0,
        }
    }
}

impl ResourceLog {
    /// Replaces the resources and logs each change.
    pub fn update(&self, resources: Resources) {
        let mut state = self.lock();
        for (_, kind) in ResourceKind::ALL {
            let before = state.current.remove(kind).unwrap_or_default();
            let after = resources.get(kind).cloned().unwrap_or_default();
            state.log_changes(kind, &before, &after);
            state.current.insert(kind, after);
        }
        let version = state.version;
        drop(state);
        self.versions.send_if_modified(|seen| {
            let changed = *seen != version;
            *seen = version;
            changed
        });
    }

    /// Returns the version to watch from, and all resources of a kind.
    pub fn list(&self, kind: &str) -> (u64, Vec<Resource>) {
        let state = self.lock();
        let of_kind = state.current.get(kind);
        let items = of_kind.map(|items| items.values().cloned().collect());
        (state.version, items.unwrap_or_default())
    }

    /// Returns the changes to resources of a kind after a version.
    ///
    /// # Errors
    ///
    /// [`VersionTooOld`] if some of them are no longer kept.
    pub fn changes(&self, kind: &str, after: u64) -> Result<Vec<ResourceEvent>, VersionTooOld> {
        let state = self.lock();
        let kept_from = state.version - state.changes.len() as u64;
        if after < kept_from {
            return Err(VersionTooOld { oldest: kept_from });
        }
        let matching = state
            .changes
            .iter()
            .filter(|(v, k, _)| *v > after && *k == kind);
        Ok(matching.map(|(_, _, change)| change.clone()).collect())
    }

    /// Returns a receiver that is notified of each new version.
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.versions.subscribe()
    }

    /// Whether any watch is open.
    pub fn is_watched(&self) -> bool {
        self.versions.receiver_count() > 0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn log_changes(
        &mut self,
        kind: &'static str,
        before: &BTreeMap<String, Resource>,
        after: &BTreeMap<String, Resource>,
    ) {
        for (name, resource) in after {
            if before.get(name) != Some(resource) {
                let resource = resource.clone();
                self.log(kind, |resource_version| ResourceEvent::Applied {
                    resource_version,
                    resource,
                });
            }
        }
        for name in before.keys().filter(|name| !after.contains_key(*name)) {
            let name = name.clone();
            self.log(kind, |resource_version| ResourceEvent::Deleted {
                resource_version,
                name,
            });
        }
    }

    fn log(&mut self, kind: &'static str, change: impl FnOnce(u64) -> ResourceEvent) {
        self.version += 1;
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes
            .push_back((self.version, kind, change(self.version)));
    }
}
