//! Maps the rank of a workspace to a scheduling priority of the engine.

/// Lowest priority that an engine accepts; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;

/// Returns the engine priority of a request from the rank of its workspace; 0 is the highest.
///
/// The rank of the route is left out. An engine admits the more urgent first, and when
/// its memory runs out it preempts the newest of the lowest priority, and reads its prompt
/// anew. With short answers ranked above long ones, each burst of them would displace long
/// sessions in the middle of their streams.
pub fn engine_priority(workspace_rank: u8) -> u8 {
    workspace_rank.min(LOWEST_PRIORITY)
}
