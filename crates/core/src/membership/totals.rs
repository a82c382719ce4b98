//! Figures of one instance that are summed up over the fleet.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::IncarnationId;
use crate::WorkspaceId;

/// Time that tokens or answers of a backend server took, beside the time that they would have
/// taken at a usual server of its service under the same load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SpeedSample {
    /// Time that they took, in milliseconds.
    pub measured_ms: u32,
    /// Expected time in milliseconds.
    pub expected_ms: u32,
}

/// Memory of the engines that the requests of one workspace occupy or wait for.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceUse {
    /// Tokens in memory of its running sessions.
    pub running_tokens: u64,
    /// Tokens that its waiting requests need.
    pub waiting_tokens: u64,
}

/// Figures that each instance advertises to the others, which sum them up. A relay advertises the
/// sums of its availability zone to the other zones.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Totals {
    /// Speed samples by incarnation of a backend server.
    pub speeds: BTreeMap<IncarnationId, SpeedSample>,
    /// Memory by service and workspace.
    pub workspaces: BTreeMap<(String, WorkspaceId), WorkspaceUse>,
    /// Tokens by service of the sessions that must move and have no target.
    pub seeking_tokens: BTreeMap<String, u64>,
}

impl Totals {
    /// Returns whether there is nothing to advertise.
    pub fn is_empty(&self) -> bool {
        self.speeds.is_empty() && self.workspaces.is_empty() && self.seeking_tokens.is_empty()
    }

    /// Adds the figures of another instance or zone.
    pub fn add(&mut self, other: &Totals) {
        for (incarnation, sample) in &other.speeds {
            let sum = self.speeds.entry(*incarnation).or_default();
            sum.measured_ms = sum.measured_ms.saturating_add(sample.measured_ms);
            sum.expected_ms = sum.expected_ms.saturating_add(sample.expected_ms);
        }
        for (key, used) in &other.workspaces {
            let sum = self.workspaces.entry(key.clone()).or_default();
            sum.running_tokens = sum.running_tokens.saturating_add(used.running_tokens);
            sum.waiting_tokens = sum.waiting_tokens.saturating_add(used.waiting_tokens);
        }
        for (service, tokens) in &other.seeking_tokens {
            let sum = self.seeking_tokens.entry(service.clone()).or_default();
            *sum = sum.saturating_add(*tokens);
        }
    }
}
