//! The platform's lagging list of instances, joined with what peers say.

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

/// Whether an instance is meant to stay.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It is stopping.
    Leaving,
}

/// One line of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceEntry {
    /// Its name.
    pub instance: InstanceId,
    /// Where it stands.
    pub availability_zone: ZoneId,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// Live or leaving.
    pub state: InstanceState,
}

/// What a peer said about itself.
#[derive(Clone, Debug)]
struct Heard {
    incarnation: Incarnation,
    config_version: ConfigVersion,
    at: Now,
}

/// Instances as this process believes them to be.
#[derive(Debug, Default)]
pub struct InstanceList {
    version: u64,
    entries: BTreeMap<InstanceId, InstanceEntry>,
    heard: BTreeMap<InstanceId, Heard>,
}

impl InstanceList {
    /// Takes a list from the platform or a peer; an older one is ignored.
    pub fn offer(&mut self, version: u64, entries: Vec<InstanceEntry>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        let named = entries.into_iter().map(|e| (e.instance.clone(), e));
        self.entries = named.collect();
        self.heard.retain(|id, _| self.entries.contains_key(id));
        true
    }

    /// Notes a message from a listed peer.
    pub fn hear(
        &mut self,
        now: Now,
        instance: &InstanceId,
        incarnation: &Incarnation,
        config_version: ConfigVersion,
    ) {
        let heard = Heard {
            incarnation: incarnation.clone(),
            config_version,
            at: now,
        };
        if self.entries.contains_key(instance) {
            self.heard.insert(instance.clone(), heard);
        }
    }

    /// Version of the list, 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The lines, by name.
    pub fn entries(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.entries.values()
    }

    /// One line.
    pub fn entry(&self, instance: &str) -> Option<&InstanceEntry> {
        self.entries.get(instance)
    }

    /// Live instances of a zone.
    pub fn live_in(&self, zone: &str) -> Vec<&InstanceEntry> {
        let wanted =
            |e: &&InstanceEntry| e.availability_zone == zone && e.state == InstanceState::Live;
        self.entries().filter(wanted).collect()
    }

    /// Time since the instance was last heard, `None` if never.
    pub fn silence(&self, now: Now, instance: &str) -> Option<Duration> {
        let heard = self.heard.get(instance)?;
        Some(now.saturating_sub(heard.at))
    }

    /// What a peer last said: its process life and configuration version.
    pub fn last_said(&self, instance: &str) -> Option<(&Incarnation, ConfigVersion)> {
        let heard = self.heard.get(instance)?;
        Some((&heard.incarnation, heard.config_version))
    }
}
