//! State of the platform stand-in: configuration versions, instance list, read budget, faults.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use iristhread_api::ConfigReply;
use iristhread_api::InstancesReply;
use iristhread_api::PlatformFaults;
use iristhread_api::ReadCount;
use iristhread_core::InstanceEntry;

/// Window over which reads are counted against the budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// State of the platform.
#[derive(Debug)]
pub struct PlatformState {
    pub(crate) faults: PlatformFaults,
    pub(crate) count: ReadCount,
    budget_per_s: u64,
    /// Start of the current window, and the reads counted in it.
    window: (Instant, u64),
    versions: BTreeMap<u64, serde_json::Value>,
    instances: InstancesReply,
}

impl PlatformState {
    /// Creates a platform with nothing published and a read budget in reads per second.
    pub fn new(budget_per_s: u64) -> Self {
        PlatformState {
            faults: PlatformFaults::default(),
            count: ReadCount::default(),
            budget_per_s,
            window: (Instant::now(), 0),
            versions: BTreeMap::new(),
            instances: InstancesReply::default(),
        }
    }

    /// Publishes a configuration document and returns its version.
    pub fn publish(&mut self, document: serde_json::Value) -> u64 {
        let version = self.versions.keys().next_back().unwrap_or(&0) + 1;
        self.versions.insert(version, document);
        version
    }

    /// Replaces the instance list.
    pub fn set_instances(&mut self, entries: Vec<InstanceEntry>) {
        self.instances.version += 1;
        self.instances.entries = entries;
    }

    /// The configuration to answer reads with: the version that the `stale_version` fault names, if
    /// it exists, else the newest.
    pub fn config(&self) -> Option<ConfigReply> {
        let newest = self.versions.iter().next_back();
        let stale = self.faults.stale_version;
        let served = match stale.and_then(|version| self.versions.get_key_value(&version)) {
            Some(stale) => Some(stale),
            None => newest,
        };
        served.map(|(version, document)| ConfigReply {
            version: *version,
            document: document.clone(),
        })
    }

    /// The instance list to answer reads with.
    pub fn instances(&self) -> &InstancesReply {
        &self.instances
    }

    /// Counts a read; returns `false` if the budget of the current window is used up.
    pub fn count_read(&mut self, now: Instant) -> bool {
        self.count.reads += 1;
        if now - self.window.0 >= BUDGET_WINDOW {
            self.window = (now, 0);
        }
        self.window.1 += 1;
        let is_allowed = self.window.1 <= self.budget_per_s;
        if !is_allowed {
            self.count.refused += 1;
        }
        is_allowed
    }
}
