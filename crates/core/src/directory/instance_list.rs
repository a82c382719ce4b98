//! The platform's list of instances, which may lag, joined with the reports of peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigVersion;
use crate::Incarnation;
use crate::InstanceId;
use crate::Now;
use crate::ZoneId;

/// Lifecycle state of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Serves requests.
    Live,
    /// Draining before it stops.
    Leaving,
}

/// One entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: ZoneId,
    /// Address on which it listens for peers.
    pub peer_address: SocketAddr,
    /// Whether the instance is live or draining.
    pub state: InstanceState,
}

/// The last report of a peer about itself.
#[derive(Clone, Debug)]
struct PeerReport {
    incarnation: Incarnation,
    config_version: ConfigVersion,
    at: Now,
}

/// This process's view of the instances.
#[derive(Debug, Default)]
pub struct InstanceList {
    version: u64,
    entries: BTreeMap<InstanceId, InstanceEntry>,
    reports: BTreeMap<InstanceId, PeerReport>,
}

impl InstanceList {
    /// Applies a list from the platform or a peer; returns false for one that is not newer.
    pub fn offer(&mut self, version: u64, entries: Vec<InstanceEntry>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        let by_id = entries.into_iter().map(|e| (e.instance.clone(), e));
        self.entries = by_id.collect();
        self.reports.retain(|id, _| self.entries.contains_key(id));
        true
    }

    /// Records a message from a listed peer; one from an unlisted instance is ignored.
    pub fn hear(
        &mut self,
        now: Now,
        instance: &InstanceId,
        incarnation: &Incarnation,
        config_version: ConfigVersion,
    ) {
        let report = PeerReport {
            incarnation: incarnation.clone(),
            config_version,
            at: now,
        };
        if self.entries.contains_key(instance) {
            self.reports.insert(instance.clone(), report);
        }
    }

    /// Version of the list, 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entries, ordered by name.
    pub fn entries(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.entries.values()
    }

    /// Returns the entry of an instance.
    pub fn entry(&self, instance: &str) -> Option<&InstanceEntry> {
        self.entries.get(instance)
    }

    /// Returns the live instances of a zone.
    pub fn live_in(&self, zone: &str) -> Vec<&InstanceEntry> {
        let is_live_here =
            |e: &&InstanceEntry| e.availability_zone == zone && e.state == InstanceState::Live;
        self.entries().filter(is_live_here).collect()
    }

    /// Returns the time since the last message of the instance, `None` without any.
    pub fn silence(&self, now: Now, instance: &str) -> Option<Duration> {
        let report = self.reports.get(instance)?;
        Some(now.saturating_sub(report.at))
    }

    /// Returns the process incarnation and the configuration version of the last report.
    pub fn last_said(&self, instance: &str) -> Option<(&Incarnation, ConfigVersion)> {
        let report = self.reports.get(instance)?;
        Some((&report.incarnation, report.config_version))
    }
}
