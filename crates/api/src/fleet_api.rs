//! Messages for operators about all instances.

use iristhread_core::ConfigVersion;
use iristhread_core::TimelineRecord;
use serde::Deserialize;
use serde::Serialize;

/// Response body of `GET /v1/timeline`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetTimeline {
    /// Records of all instances that answered, ordered by hybrid time.
    pub records: Vec<TimelineRecord>,
    /// Listed instances that did not answer.
    pub unreachable: Vec<String>,
}

/// Status of one instance in the response to `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Whether the instance answered.
    pub is_reached: bool,
    /// Configuration version in force on the instance, 0 if there is none.
    pub config_version: ConfigVersion,
    /// Milliseconds since the platform confirmed that version; `None` if it never did.
    pub config_age_ms: Option<u64>,
    /// Newest refused version with its faults; only set for the instance that serves the request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
}

impl InstanceStatus {
    /// Status of an instance that answered.
    pub fn reached(config_version: ConfigVersion, config_age_ms: Option<u64>) -> Self {
        InstanceStatus {
            is_reached: true,
            config_version,
            config_age_ms,
            refused: None,
        }
    }
}
