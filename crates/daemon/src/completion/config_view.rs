//! The configuration in force, as the traffic threads read it.

use std::sync::Arc;

use iristhread_core::ConfigVersion;
use iristhread_core::Document;
use iristhread_core::KeyIndex;

/// One version of the configuration with an index of its keys.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// Version in force; 0 if none is.
    pub version: ConfigVersion,
    /// The configuration.
    pub document: Arc<Document>,
    /// Index from bearer keys to their owners.
    pub keys: KeyIndex,
}

impl ConfigView {
    /// Creates the view of a configuration and indexes its keys.
    pub fn new(version: ConfigVersion, document: Arc<Document>) -> Self {
        ConfigView {
            version,
            keys: KeyIndex::new(&document),
            document,
        }
    }
}
