//! Answers about the whole fleet, for operators.

use iristhread_core::ConfigVersion;
use iristhread_core::TimelineRecord;
use serde::Deserialize;
use serde::Serialize;

/// Answer of `GET /v1/timeline`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetTimeline {
    /// Records of all instances that answered, in hybrid time.
    pub records: Vec<TimelineRecord>,
    /// Listed instances that did not answer.
    pub unreachable: Vec<String>,
}

/// One line of `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Whether it answered.
    pub is_reached: bool,
    /// Version in force there, 0 for none.
    pub config_version: ConfigVersion,
    /// Milliseconds since the platform confirmed that version, if ever.
    pub config_age_ms: Option<u64>,
    /// Newest refused version with its faults; of the asked instance only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
}

impl InstanceStatus {
    /// The line of an instance that answered.
    pub fn reached(config_version: ConfigVersion, config_age_ms: Option<u64>) -> Self {
        InstanceStatus {
            is_reached: true,
            config_version,
            config_age_ms,
            refused: None,
        }
    }
}
