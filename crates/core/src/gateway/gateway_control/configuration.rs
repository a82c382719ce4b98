//! The configuration in force.

use std::sync::Arc;

use super::GatewayControl;
use crate::ConfigVersion;
use crate::GatewayConfig;
use crate::RouteTable;

/// Result of offering a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigVerdict {
    /// The configuration is in force now.
    InForce,
    /// The configuration is not newer than the one in force.
    Stale,
    /// Validation failed with these errors; the previous configuration stays in force.
    Refused(Vec<String>),
}

impl GatewayControl {
    /// Applies a configuration if it is newer and valid.
    pub fn offer_config(&mut self, config: Arc<GatewayConfig>) -> ConfigVerdict {
        if config.version <= self.config_version() {
            return ConfigVerdict::Stale;
        }
        let faults = config.faults();
        if !faults.is_empty() {
            return ConfigVerdict::Refused(faults);
        }
        self.table = Some(Arc::new(RouteTable::new(config)));
        ConfigVerdict::InForce
    }

    /// Returns the version of the configuration in force, 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }
}
