//! What the platform stand-in holds: versions, lists, read budget, faults.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use iristhread_api::ConfigReply;
use iristhread_api::InstancesReply;
use iristhread_api::PlatformFaults;
use iristhread_api::ReadCount;
use iristhread_core::InstanceEntry;

/// Span over which reads are counted against the budget.
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// State of the platform.
#[derive(Debug)]
pub struct PlatformState {
    pub(crate) faults: PlatformFaults,
    pub(crate) count: ReadCount,
    budget_per_s: u64,
    span: (Instant, u64),
    versions: BTreeMap<u64, serde_json::Value>,
    instances: InstancesReply,
}

impl PlatformState {
    /// A platform with nothing published and a read budget a second.
    pub fn new(budget_per_s: u64) -> Self {
        PlatformState {
            faults: PlatformFaults::default(),
            count: ReadCount::default(),
            budget_per_s,
            span: (Instant::now(), 0),
            versions: BTreeMap::new(),
            instances: InstancesReply::default(),
        }
    }

    /// Publishes a document and returns its version.
    pub fn publish(&mut self, document: serde_json::Value) -> u64 {
        let version = self.versions.keys().next_back().unwrap_or(&0) + 1;
        self.versions.insert(version, document);
        version
    }

    /// Replaces the instance list.
    pub fn list(&mut self, entries: Vec<InstanceEntry>) {
        self.instances.version += 1;
        self.instances.entries = entries;
    }

    /// The configuration that a read is answered with.
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

    /// The instance list that a read is answered with.
    pub fn instances(&self) -> &InstancesReply {
        &self.instances
    }

    /// Counts a read; `false` when the budget of this second is spent.
    pub fn count_read(&mut self, now: Instant) -> bool {
        self.count.reads += 1;
        if now - self.span.0 >= BUDGET_WINDOW {
            self.span = (now, 0);
        }
        self.span.1 += 1;
        let within = self.span.1 <= self.budget_per_s;
        if !within {
            self.count.refused += 1;
        }
        within
    }
}
