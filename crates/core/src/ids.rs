//! Type aliases for the identifiers that cross module borders.

use std::time::Duration;

/// Monotonic time since the start of the process that drives the decisions.
pub type Now = Duration;

/// Identifies one caller request; unique over all instances.
pub type RequestId = String;

/// Identifies one generation; it keeps its id over all attempts.
pub type GenerationId = String;

/// Counts the attempts of one generation, from 1.
pub type Attempt = u32;

/// Name of an instance as the platform lists it.
pub type InstanceId = String;

/// Distinguishes two lives of the process behind one [`InstanceId`].
pub type Incarnation = String;

/// Name of an availability zone.
pub type ZoneId = String;

/// Name of a region, which holds availability zones.
pub type RegionId = String;

/// Name of a workspace.
pub type WorkspaceId = String;

/// Name of a backend server.
pub type BackendId = String;

/// Tells apart the lives of backend servers, also of those that are back under their name.
pub type IncarnationId = u64;

/// Version of the configuration, assigned by the platform; only grows.
pub type ConfigVersion = u64;
