//! What the traffic threads see of the configuration in force.

use std::sync::Arc;

use iristhread_core::ConfigVersion;
use iristhread_core::Document;
use iristhread_core::KeyIndex;

/// One version of the configuration with its index of keys.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// Version in force, 0 for none.
    pub version: ConfigVersion,
    /// The configuration.
    pub document: Arc<Document>,
    /// Owners of bearer keys.
    pub keys: KeyIndex,
}

impl ConfigView {
    /// The view of a configuration that came into force.
    pub fn new(version: ConfigVersion, document: Arc<Document>) -> Self {
        ConfigView {
            version,
            keys: KeyIndex::new(&document),
            document,
        }
    }
}
