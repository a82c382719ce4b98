//! How urgent a request is to the engine that runs it.

/// Least urgent that an engine knows; 0 is the most.
const LOWEST_PRIORITY: u8 = 9;

/// Urgency of a request of a workspace of a rank, 0 the most urgent.
///
/// The rank of the route is left out. An engine admits the more urgent first, and when
/// its memory runs out it displaces the newest of the least urgent, which it then reads
/// anew. With short answers ranked above long ones, each burst of them would displace long
/// sessions in the middle of their streams.
pub fn engine_priority(workspace_rank: u8) -> u8 {
    workspace_rank.min(LOWEST_PRIORITY)
}
