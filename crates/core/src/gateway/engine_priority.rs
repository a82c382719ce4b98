//! Maps the rank of a workspace to a scheduling priority of the engine.

/// Lowest priority that an engine accepts; 0 is the highest.
const LOWEST_PRIORITY: u8 = 9;

/// Returns the engine priority of a request from the rank of its workspace; 0 is the highest.
///
/// The rank of the route is ignored. An engine admits requests of higher priority first. When
/// it runs out of memory, it preempts the newest request of the lowest priority and later
/// recomputes its prompt. If short answers ranked above long ones, each burst of short requests
/// would preempt long sessions in the middle of their streams.
pub fn engine_priority(workspace_rank: u8) -> u8 {
    workspace_rank.min(LOWEST_PRIORITY)
}
