//! Requests that end the backend servers that run them: which ends are attributed to which
//! request, and what is sent no more.

use std::time::Duration;

use super::GatewayControl;
use crate::AdvertisedSuspect;
use crate::BackendId;
use crate::Fingerprint;
use crate::IncarnationId;
use crate::KNOWN_GOOD_AFTER;
use crate::ListedState;
use crate::Now;
use crate::Refusal;
use crate::Replica;
use crate::RequestId;
use crate::ServerCrash;
use crate::ServerLife;
use crate::SuspicionUpdate;
use crate::Verdict;
use crate::rendezvous_rank;

/// How long a broken run waits for a word that its server has ended: an entry goes after
/// three heartbeats of 1.2 s, or changes when the server is back after some seconds.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Broken runs that wait for it: all of an instance's when an availability zone goes.
const MAX_UNCONFIRMED: usize = 1_024;

/// Time in which a request that is sent as a probe should end or go on well.
const PROBE: Duration = Duration::from_secs(10);

/// A run that broke off; its server may have ended.
#[derive(Clone, Debug)]
struct BrokenRun {
    fingerprint: Fingerprint,
    replica: BackendId,
    life: IncarnationId,
    at: Now,
}

/// What this instance makes of broken runs.
#[derive(Debug, Default)]
pub(super) struct BrokenRuns {
    unconfirmed: Vec<BrokenRun>,
    /// The content that is probed after its quarantine, and until when.
    probe: Option<(Fingerprint, Now)>,
}

impl GatewayControl {
    /// Notes that the run of a request broke off or fell silent at a replica. Not when the
    /// replica was leaving, or the run had gone well for a while.
    pub fn note_broken_run(&mut self, now: Now, request: &str, replica: &Replica) {
        let Some(run) = self.runs.get(request) else {
            return;
        };
        if run.has_run_well(now) {
            return;
        }
        let broken = BrokenRun {
            fingerprint: run.ask.fingerprint,
            replica: replica.id.clone(),
            life: replica.life(),
            at: now,
        };
        let listed = self.list.replica(&replica.id);
        if listed.is_some_and(|listed| listed.life() != broken.life) {
            // It is back already.
            return self.attribute(now, &broken);
        }
        if self.list.state(&replica.id).is_leaving() {
            return;
        }
        let waiting = &self.broken_runs.unconfirmed;
        let waits = |known: &BrokenRun| {
            (known.fingerprint, known.life) == (broken.fingerprint, broken.life)
        };
        if waiting.len() < MAX_UNCONFIRMED && !waiting.iter().any(waits) {
            self.broken_runs.unconfirmed.push(broken);
        }
    }

    /// Notes that nothing listens any more where a backend server was.
    pub fn server_ended(&mut self, now: Now, server: &ServerLife) {
        self.confirm(now, |_, broken| broken.life == server.life);
    }

    /// Looks whether the list tells of an end that broken runs wait for.
    pub(super) fn confirm_by_list(&mut self, now: Now) {
        self.confirm(now, |control, broken| {
            match control.list.replica(&broken.replica) {
                Some(listed) => listed.life() != broken.life,
                None => control.list.state(&broken.replica) == ListedState::Removed,
            }
        });
    }

    fn confirm(&mut self, now: Now, is_confirmed: impl Fn(&Self, &BrokenRun) -> bool) {
        let unconfirmed = std::mem::take(&mut self.broken_runs.unconfirmed);
        let (ended, open): (Vec<BrokenRun>, Vec<BrokenRun>) = unconfirmed
            .into_iter()
            .filter(|broken| now.saturating_sub(broken.at) < CONFIRMATION_TIMEOUT)
            .partition(|broken| is_confirmed(self, broken));
        self.broken_runs.unconfirmed = open;
        for broken in &ended {
            self.attribute(now, broken);
        }
    }

    fn attribute(&mut self, now: Now, broken: &BrokenRun) {
        let end = ServerCrash {
            life: broken.life,
            at: broken.at,
        };
        let known_good_at = self.proven.known_good_at(broken.fingerprint);
        self.suspicions
            .server_ended(now, broken.fingerprint, known_good_at, end);
    }

    /// Takes what a peer suspects.
    pub fn apply_peer_suspects(&mut self, now: Now, told: &[AdvertisedSuspect]) {
        for told in told {
            let known_good_at = self.proven.known_good_at(told.fingerprint);
            self.suspicions.hear(now, known_good_at, told);
        }
    }

    /// What the others should know of suspicions now.
    pub fn advertised_suspects(&mut self, now: Now) -> Vec<AdvertisedSuspect> {
        self.suspicions.told(now)
    }

    /// The suspicions that have changed since this was asked last.
    pub fn suspicion_updates(&mut self) -> Vec<SuspicionUpdate> {
        self.suspicions.take_news()
    }

    /// Sessions of this instance with a content that have not begun: they wait at their
    /// engines, and would end these as well.
    pub fn unstarted_with(&self, fingerprint: Fingerprint) -> Vec<RequestId> {
        let runs = self.runs.iter();
        let waits = runs.filter(|(_, run)| {
            run.ask.fingerprint == fingerprint && !run.has_begun && !run.is_proven
        });
        waits.map(|(request, _)| request.clone()).collect()
    }

    /// Contents that are suspected.
    pub fn suspected(&self) -> usize {
        self.suspicions.count()
    }

    /// Contents that are quarantined.
    pub fn quarantined(&self) -> usize {
        self.suspicions.quarantined()
    }

    /// Notes that a request ran well.
    pub(super) fn ran_well(&mut self, now: Now, fingerprint: Fingerprint) {
        self.proven.note(now, fingerprint);
        self.suspicions.ran_well(now, fingerprint);
    }

    /// Whether a request under way may be sent to a further replica.
    pub fn may_resend(&self, request: &str) -> bool {
        let Some(run) = self.runs.get(request) else {
            return true;
        };
        run.is_proven || self.suspicions.verdict(run.ask.fingerprint) == Verdict::Allowed
    }

    /// Refuses a request whose content is quarantined. After its quarantine one
    /// instance of all sends it once, as a probe.
    pub(super) fn check_quarantine(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
    ) -> Result<(), Refusal> {
        let Verdict::Quarantined { ends, until } = self.suspicions.verdict(fingerprint) else {
            return Ok(());
        };
        let is_probed = self.broken_runs.probe.is_some_and(|(_, until)| now < until);
        if now >= until && !is_probed && self.probes(fingerprint) {
            self.broken_runs.probe = Some((fingerprint, now + PROBE));
            return Ok(());
        }
        Err(Refusal::quarantined(ends, until.saturating_sub(now)))
    }

    /// Whether this is the instance that probes a content: all that hear each other agree
    /// on one, and one that is cut off from the other zones probes none.
    fn probes(&self, fingerprint: Fingerprint) -> bool {
        let topic = format!("{:032x}", fingerprint.content);
        let own = &self.terms.zone;
        let zones = self.terms.regions.keys().map(String::as_str);
        let others = zones.clone().filter(|zone| *zone != own);
        let heard = others.clone().filter(|zone| self.peers.knows_zone(zone));
        if heard.count() * 2 < others.count() {
            return false;
        }
        let first = rendezvous_rank(&topic, zones).first().copied();
        if first.is_some_and(|zone| zone != own) {
            return false;
        }
        let instance = self.terms.instance.as_str();
        let names = self.peers.neighbours().map(String::as_str);
        let rank = rendezvous_rank(&topic, names.chain([instance]));
        rank.first() == Some(&instance)
    }
}

impl crate::OwnRun {
    /// Whether it has gone on well for a while where it runs, or did so before.
    pub(super) fn has_run_well(&self, now: Now) -> bool {
        let since = |begun: Now| now.saturating_sub(begun) >= KNOWN_GOOD_AFTER;
        self.is_proven || self.begun_at.is_some_and(since)
    }
}
