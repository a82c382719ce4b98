//! What the gateway's decisions take from the settings.

use std::collections::BTreeMap;

use crate::InstanceId;
use crate::RegionId;
use crate::ZoneId;

/// Settings of the gateway's decisions.
#[derive(Clone, Debug)]
pub struct GatewayParameters {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Further sends that each request earns, over all instances.
    pub retry_ratio: f64,
    /// Further sends that may come on top within the operators' window, over
    /// all instances.
    pub retry_extra: f64,
    /// Instances among which the extra is shared at least, for as long as an
    /// instance does not know how many there are.
    pub min_sharers: u32,
    /// Share of an engine's memory up to which new sessions start.
    pub memory_limit: f64,
    /// Share of an engine's memory up to which it takes new copies.
    pub copy_limit: f64,
    /// Fewest likely tokens of a session that is worth a copy.
    pub least_copied_tokens: u32,
    /// The region of each availability zone.
    pub regions: BTreeMap<ZoneId, RegionId>,
    /// Seed of every random choice.
    pub seed: u64,
}
