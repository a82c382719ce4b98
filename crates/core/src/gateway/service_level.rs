//! Service level of a request: its priority, objectives and deadline, for placement decisions.

use std::time::Duration;

use crate::Now;
use crate::WorkspaceId;

/// Service level of one request, from its route, its workspace and its caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceLevel {
    /// Name of the route.
    pub route: String,
    /// Workspace of the caller, if any.
    pub workspace: Option<WorkspaceId>,
    /// Priority of the workspace and then of the route.
    pub rank: RequestRank,
    /// Target latency of the answer, or of the first event of a stream, since the arrival.
    pub objective: Duration,
    /// Longest pause between two events of a stream that still counts as in time.
    pub pause_objective: Option<Duration>,
    /// Time at which the request arrived.
    pub arrived: Now,
    /// Deadline of the final answer.
    pub deadline: Now,
}

/// Priority of a request. A lower rank is more urgent; the rank of the workspace takes precedence
/// over that of the route.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestRank {
    /// Rank of the workspace; 0 is the most urgent.
    pub workspace: u8,
    /// Rank of the route; 0 is the most urgent.
    pub route: u8,
}
