//! Later decisions about sessions: restarts, moves and ends.

use iristhread_core::Evacuation;
use iristhread_core::FailoverTarget;
use iristhread_core::Replica;
use iristhread_core::RunEnd;
use iristhread_core::SessionSignal;
use slog::info;

use super::GatewayThread;

impl GatewayThread {
    pub(super) fn place_again(
        &mut self,
        request: &str,
        tried: &[Replica],
    ) -> Option<FailoverTarget> {
        let target = self.control.place_again(self.clock.now(), request, tried);
        let server = target.as_ref().map(|target| target.replica.id.clone());
        info!(self.log, "backend server chosen for another try";
            "request" => request, "backend_server" => server, "tried" => tried.len(),
            "list_revision" => %self.control.list().revision());
        target
    }

    pub(super) fn restart_stream(&mut self, request: &str) -> Option<FailoverTarget> {
        let target = self.control.restart_stream(self.clock.now(), request);
        let engine = target.as_ref().map(|target| target.replica.id.clone());
        info!(self.log, "restarting a stream that has no backup";
            "request" => request, "backend_server" => engine,
            "list_revision" => %self.control.list().revision());
        target
    }

    pub(super) fn ended(&mut self, request: &str, end: RunEnd) {
        // A running request goes first: another one with its ID may wait, and the load of the
        // running one must not stay.
        if !self.control.is_running(request) && self.withdraw_waiting(request) {
            return;
        }
        self.signals.remove(request);
        self.control.ended(self.clock.now(), request, end);
        self.start_left_run_probes();
    }

    pub(super) fn attempt_left(&mut self, request: &str, server: &Replica) {
        self.control
            .note_left_attempt(self.clock.now(), request, server);
        self.start_left_run_probes();
    }

    fn start_left_run_probes(&self) {
        if self.control.awaits_left_run_probes() {
            self.run_left.notify_one();
        }
    }

    pub(super) fn evacuate(&mut self, evacuations: Vec<Evacuation>) {
        for Evacuation { request, target } in evacuations {
            info!(self.log, "moving a session away from its engine";
                "request" => &request, "target" => &target.id);
            if let Some(signals) = self.signals.get(&request) {
                // The session may have ended in the meantime.
                let _ = signals.send(SessionSignal::MoveTo(target));
            }
        }
        self.report_moves();
    }
}
