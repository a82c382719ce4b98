//! How far an instance is with what the platform publishes.

use crate::ConfigVersion;
use crate::Revision;

/// Version of the configuration and revision of the list of backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownVersions {
    /// Version of the configuration, 0 for none.
    pub config: ConfigVersion,
    /// Revision of the list.
    pub list: Revision,
}

impl KnownVersions {
    /// Whether an instance that had this a while ago and has `own` now still lacks
    /// something that a peer had then. Each of the two is judged by itself: a list that
    /// changes all the time would otherwise hide that the configuration is stuck.
    pub fn is_stuck(&self, own: &KnownVersions, peers: &KnownVersions) -> bool {
        let config_is = peers.config > own.config && own.config == self.config;
        let list_is = peers.list > own.list && own.list == self.list;
        config_is || list_is
    }
}
