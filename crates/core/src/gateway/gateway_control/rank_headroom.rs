//! Memory of engines that is kept free for requests of a more urgent rank.

use super::GatewayControl;
use crate::Now;
use crate::OwnRun;
use crate::PlacementRequest;
use crate::RunEnd;

/// Largest fraction of an engine's memory that is kept free: at least as much is left to each rank,
/// so that none starves.
const MAX_HEADROOM: f64 = 0.5;

impl GatewayControl {
    /// Returns the fraction of an engine's memory that is kept free of a request, for requests of
    /// more urgent ranks that are expected.
    pub fn rank_headroom(&self, now: Now, ask: &PlacementRequest) -> f64 {
        if !self.parameters.rank_reserve {
            return 0.0;
        }
        let Some(engine) = self.engine_traits(&ask.service) else {
            return 0.0;
        };
        let engines = self.count_serving(now, &ask.service).max(1);
        let instances = self.peers.count() + 1;
        let need = self
            .rank_demand
            .more_urgent(now, &ask.service, ask.level.rank);
        let tokens = need.headroom_tokens(instances as f64 / engines as f64);
        let usable = self.parameters.memory_limit.min(1.0);
        (tokens / engine.memory_tokens.max(1) as f64).min(MAX_HEADROOM * usable)
    }

    /// Counts the end of a run. Only runs that began show for how long requests hold memory.
    pub(super) fn note_end_of_rank(&mut self, now: Now, run: &OwnRun, end: RunEnd) {
        let held = now.saturating_sub(run.sent_at);
        match end {
            RunEnd::Refused => self.rank_demand.refused(now, &run.ask),
            RunEnd::Failed => self.rank_demand.ended(now, &run.ask, None),
            RunEnd::Withdrawn if !run.has_begun => self.rank_demand.ended(now, &run.ask, None),
            RunEnd::Answered | RunEnd::Unproven | RunEnd::Withdrawn => {
                self.rank_demand.ended(now, &run.ask, Some(held));
            }
        }
    }
}
