//! Reports on sessions that must move and on the memory that is kept for them.

use slog::info;

use super::GatewayThread;
use crate::gateway::gateway_message::FailedMove;

impl GatewayThread {
    /// Chooses another target for a session.
    pub(super) fn move_failed(&mut self, failed: FailedMove) {
        let now = self.clock.now();
        if let Some(target) = failed.without_room {
            self.control.move_refused(now, target);
        }
        let evacuation = self.control.evacuate(now, &failed.request, &failed.tried);
        self.evacuate(evacuation.into_iter().collect());
    }

    /// Reports the sessions that must move and the memory that is kept for them: after each choice
    /// of targets, and so with each tick.
    pub(super) fn report_moves(&mut self) {
        self.report_unplaced_moves();
        self.observe_move_room();
    }

    /// Logs the sessions for which no engine has room. If they are the first, the other
    /// instances learn it at once, so that they don't fill the room that appears.
    fn report_unplaced_moves(&mut self) {
        for unplaced in self.control.take_unplaced_moves() {
            info!(self.log, "no engine has room for a session that must move";
                "request" => &unplaced.request,
                "backend_server" => &unplaced.engine,
                "tokens" => unplaced.tokens,
                "candidates" => unplaced.candidates,
                "best_memory_share" => unplaced.best_memory,
                "list_revision" => %self.control.list().revision());
        }
        if self.control.claims_appeared() {
            self.immediate_heartbeat.notify_one();
        }
    }

    /// Updates the gauges of the memory kept for moves, and logs a large change of it.
    fn observe_move_room(&mut self) {
        let now = self.clock.now();
        let headrooms = self.control.move_headrooms(now);
        let highest = headrooms.iter().map(|headroom| headroom.share);
        let highest = highest.fold(0.0, f64::max);
        let seeking = self.control.seeking_sessions();
        self.metrics.moves_room().set(highest, seeking);
        for headroom in self.control.changed_headrooms(now, headrooms) {
            info!(self.log, "memory kept for moves";
                "service" => &headroom.service,
                "memory_share" => headroom.share,
                "needed_tokens" => headroom.needed_tokens,
                "claimed_tokens" => headroom.claimed_tokens,
                "engines" => headroom.engines,
                "instances_counted" => self.control.peers());
        }
    }
}
