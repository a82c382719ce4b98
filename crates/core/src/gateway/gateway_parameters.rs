//! Parameters of the gateway's decisions, taken from the settings.

use std::collections::BTreeMap;

use crate::InstanceId;
use crate::RegionId;
use crate::ZoneId;

/// Parameters of the gateway's decisions.
#[derive(Clone, Debug)]
pub struct GatewayParameters {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Retries that each request adds to the retry budget, over all instances.
    pub retry_ratio: f64,
    /// Additional retries allowed within the window that the operators define, over all
    /// instances.
    pub retry_extra: f64,
    /// Minimum number of instances by which `retry_extra` is divided, used while an instance
    /// does not know how many instances there are.
    pub min_sharers: u32,
    /// Fraction of an engine's memory up to which it is given new sessions.
    pub memory_limit: f64,
    /// Fraction of an engine's memory up to which it is given new backups.
    pub copy_limit: f64,
    /// Minimum expected output tokens for a session to get a backup.
    pub least_copied_tokens: u32,
    /// Whether the speed of backend servers is learned and counts when one is chosen.
    pub learn_speeds: bool,
    /// Relative difference in speed up to which backend servers count as equally fast.
    pub speed_tolerance: f64,
    /// Fraction of the memory that the moves off draining engines have needed lately that is kept
    /// free of new sessions.
    pub move_reserve: f64,
    /// Whether memory is kept free for requests of a more urgent rank.
    pub rank_reserve: bool,
    /// Maximum number of requests that wait for room; with 0 they are refused at once.
    pub max_waiting: usize,
    /// Whether the Retry-After of a refusal for lack of room follows from the forecast of room, and
    /// memory is kept free for the retries of refused callers.
    pub forecast_retry_after: bool,
    /// The region of each availability zone.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Seed of the random number generator.
    pub seed: u64,
}
