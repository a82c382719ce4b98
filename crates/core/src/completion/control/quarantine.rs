//! Requests that end the backend servers that run them, on the completion interface.

use std::time::Duration;

use super::Control;
use crate::BackendId;
use crate::Command;
use crate::Fingerprint;
use crate::LifeId;
use crate::Now;
use crate::RAN_WELL_AFTER;
use crate::Refusal;
use crate::RequestId;
use crate::ServerEnd;
use crate::SuspicionNews;
use crate::ToldSuspect;
use crate::Verdict;
use crate::membership::rendezvous::weight;

/// Backend servers have no name for each of their lives here: ends of one name that are
/// seen within this time are one. Two instances see an end within milliseconds, and no
/// server is back and ends again so soon.
const SAME_CRASH_WINDOW_MS: u64 = 1_000;

impl Control {
    /// Notes that a backend server ended under a request that had run there for a time
    /// since its first token.
    pub(super) fn server_crashed(
        &mut self,
        now: Now,
        backend: &BackendId,
        fingerprint: Fingerprint,
        ran_for: Duration,
        commands: &mut Vec<Command>,
    ) {
        if ran_for >= RAN_WELL_AFTER {
            return;
        }
        let end = ServerEnd {
            life: self.incarnation_of(backend),
            at: now,
        };
        let proven_at = self.known_good.proven_at(fingerprint);
        self.suspicions
            .server_ended(now, fingerprint, proven_at, end);
        self.exchange_with_peers(commands);
    }

    fn incarnation_of(&self, backend: &BackendId) -> LifeId {
        weight(backend, &(self.wall_ms / SAME_CRASH_WINDOW_MS).to_string())
    }

    /// Takes what a peer suspects.
    pub(super) fn receive_suspects(&mut self, now: Now, suspects: &[ToldSuspect]) {
        for told in suspects {
            let proven_at = self.known_good.proven_at(told.fingerprint);
            self.suspicions.hear(now, proven_at, told);
        }
    }

    /// Notes that a request ran well.
    pub(super) fn ran_well(&mut self, now: Now, fingerprint: Fingerprint) {
        self.known_good.note(now, fingerprint);
        self.suspicions.ran_well(now, fingerprint);
    }

    /// Notes progress of a request; what goes on for a while runs well.
    pub(super) fn observe_progress(&mut self, now: Now, request: &RequestId) {
        let Some(running) = self.running.get_mut(request) else {
            return;
        };
        let begun_at = *running.begun_at.get_or_insert(now);
        let fingerprint = running.fingerprint;
        let is_news = !self.known_good_requests.contains(request);
        if is_news && now.saturating_sub(begun_at) >= RAN_WELL_AFTER {
            self.known_good_requests.insert(request.clone());
            self.ran_well(now, fingerprint);
        }
    }

    /// Refuses what is quarantined; a request that has itself run well goes on.
    ///
    /// # Errors
    ///
    /// The refusal; nothing was sent.
    pub fn check_quarantine(
        &self,
        now: Now,
        request: &RequestId,
        fingerprint: Fingerprint,
    ) -> Result<(), Refusal> {
        let Verdict::Quarantined { ends, until } = self.suspicions.verdict(fingerprint) else {
            return Ok(());
        };
        if now >= until || self.known_good_requests.contains(request) {
            return Ok(());
        }
        Err(Refusal::quarantined(ends, until - now))
    }

    /// What a peer should know of suspicions.
    pub fn known_suspects(&self, now: Now) -> Vec<ToldSuspect> {
        self.suspicions.known(now)
    }

    /// The suspicions that have changed since this was asked last.
    pub fn suspicion_news(&mut self) -> Vec<SuspicionNews> {
        self.suspicions.take_news()
    }
}
