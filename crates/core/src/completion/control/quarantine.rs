//! Poison requests, which crash the backend servers that run them, on the completion interface.

use std::time::Duration;

use super::Control;
use crate::AdvertisedSuspect;
use crate::BackendId;
use crate::Command;
use crate::IncarnationId;
use crate::KNOWN_GOOD_AFTER;
use crate::Now;
use crate::Refusal;
use crate::RequestId;
use crate::ServerCrash;
use crate::SuspectedRequest;
use crate::SuspicionUpdate;
use crate::membership::rendezvous::weight;

/// Backend servers have no id per incarnation on this interface, so crashes of the same server
/// that are observed within this time count as one. Two instances observe a crash within
/// milliseconds of each other, and no server restarts and crashes again within this time.
const SAME_CRASH_WINDOW_MS: u64 = 1_000;

impl Control {
    /// Records that a backend server crashed under a request that had run there for `ran_for`
    /// since its first token.
    pub(super) fn server_crashed(
        &mut self,
        now: Now,
        backend: &BackendId,
        request: SuspectedRequest<'_>,
        ran_for: Duration,
        commands: &mut Vec<Command>,
    ) {
        if ran_for >= KNOWN_GOOD_AFTER {
            return;
        }
        let end = ServerCrash {
            life: self.incarnation_of(backend),
            at: now,
        };
        let known_good_at = |fingerprint| self.known_good.at(fingerprint);
        self.suspicions
            .server_crashed_under(now, request, known_good_at, end);
        self.exchange_with_peers(commands);
    }

    fn incarnation_of(&self, backend: &BackendId) -> IncarnationId {
        weight(backend, &(self.wall_ms / SAME_CRASH_WINDOW_MS).to_string())
    }

    /// Applies the suspects that a peer advertises.
    pub(super) fn receive_suspects(&mut self, now: Now, suspects: &[AdvertisedSuspect]) {
        for suspect in suspects {
            let known_good_at = self.known_good.at(suspect.fingerprint);
            self.suspicions.hear(now, known_good_at, suspect);
        }
    }

    /// Records that a request is known-good.
    pub(super) fn record_success(&mut self, now: Now, request: SuspectedRequest<'_>) {
        self.known_good.note(now, request);
        for fingerprint in request.fingerprints() {
            self.suspicions.ran_well(now, fingerprint);
        }
    }

    /// Records progress of a request, which becomes known-good once it has run for
    /// [`KNOWN_GOOD_AFTER`].
    pub(super) fn observe_progress(&mut self, now: Now, request: &RequestId) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let first_progress_at = *running.first_progress_at.get_or_insert(now);
        let (fingerprint, parts) = (running.fingerprint, running.parts.clone());
        let is_new = !self.known_good_requests.contains(request);
        if is_new && now.saturating_sub(first_progress_at) >= KNOWN_GOOD_AFTER {
            self.known_good_requests.insert(request.clone());
            let parts = &parts;
            self.record_success(now, SuspectedRequest { fingerprint, parts });
        }
    }

    /// Refuses quarantined requests, except a request that is known-good itself.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a quarantined request; nothing was sent.
    pub fn check_quarantine(
        &self,
        now: Now,
        request: &RequestId,
        suspected: SuspectedRequest<'_>,
    ) -> Result<(), Refusal> {
        let causes = self.suspicions.causes(suspected);
        let Some(last) = causes.iter().max_by_key(|cause| cause.until) else {
            return Ok(());
        };
        if now >= last.until || self.known_good_requests.contains(request) {
            return Ok(());
        }
        Err(Refusal::quarantined(last, last.until - now))
    }

    /// Returns the suspects to advertise to a peer.
    pub fn known_suspects(&self, now: Now) -> Vec<AdvertisedSuspect> {
        self.suspicions.known(now)
    }

    /// Returns the suspicions that have changed since the last call.
    pub fn suspicion_updates(&mut self) -> Vec<SuspicionUpdate> {
        self.suspicions.take_news()
    }
}
