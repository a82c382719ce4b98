//! The versions of the published data that an instance holds.

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
    /// Returns whether an instance that held `self` earlier and holds `own` now still lacks a
    /// version that a peer had at the earlier time. The two versions are compared separately:
    /// a list that changes constantly would otherwise hide a stuck configuration.
    pub fn is_stuck(&self, own: &KnownVersions, peers: &KnownVersions) -> bool {
        let is_config_stuck = peers.config > own.config && own.config == self.config;
        let is_list_stuck = peers.list > own.list && own.list == self.list;
        is_config_stuck || is_list_stuck
    }
}
