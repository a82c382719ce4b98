//! Attributes crashes of backend servers to the requests that ran there, and stops sending requests
//! that are suspected to cause them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GatewayControl;
use crate::AdvertisedSuspect;
use crate::BackendId;
use crate::Fingerprint;
use crate::IncarnationId;
use crate::KNOWN_GOOD_AFTER;
use crate::ListedState;
use crate::Now;
use crate::PlacementRequest;
use crate::PromptPart;
use crate::PromptParts;
use crate::QuarantineCause;
use crate::Refusal;
use crate::Replica;
use crate::RequestId;
use crate::ServerCrash;
use crate::ServerLife;
use crate::SuspectedRequest;
use crate::SuspicionUpdate;
use crate::rendezvous_rank;

/// Time for which a broken run waits for the confirmation that its server has crashed: its entry is
/// removed after three heartbeats of 1.2 s, or changes when the server restarts some seconds later.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of broken runs that wait for confirmation: enough for all runs of an instance
/// when an availability zone fails.
const MAX_UNCONFIRMED: usize = 1_024;

/// Time within which a request that is sent as a probe should end or prove to run well.
const PROBE: Duration = Duration::from_secs(10);

/// A run whose connection was lost or stalled; its server may have crashed.
#[derive(Clone, Debug)]
struct BrokenRun {
    fingerprint: Fingerprint,
    parts: PromptParts,
    replica: BackendId,
    incarnation: IncarnationId,
    at: Now,
}

impl BrokenRun {
    fn request(&self) -> SuspectedRequest<'_> {
        SuspectedRequest {
            fingerprint: self.fingerprint,
            parts: &self.parts,
        }
    }
}

/// What became of a report that the connection of a run was lost or stalled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenRunVerdict {
    /// The run had ended already, or has run well: it crashed nothing.
    NotSuspected,
    /// The server was draining and closed its connections as announced.
    ServerDrains,
    /// The server is known to have crashed.
    Crashed,
    /// The crash of the server is not confirmed yet.
    Unconfirmed,
    /// Too many runs wait for a confirmation already.
    Dropped,
}

impl BrokenRunVerdict {
    /// Text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            BrokenRunVerdict::NotSuspected => "not_suspected",
            BrokenRunVerdict::ServerDrains => "server_drains",
            BrokenRunVerdict::Crashed => "crashed",
            BrokenRunVerdict::Unconfirmed => "unconfirmed",
            BrokenRunVerdict::Dropped => "dropped",
        }
    }
}

/// Broken runs that wait for the confirmation of a crash, and the current probe.
#[derive(Debug, Default)]
pub(super) struct BrokenRuns {
    unconfirmed: Vec<BrokenRun>,
    /// Until when a request is being sent as a probe after its quarantine.
    probed_until: Option<Now>,
    /// Contents that are sent one at a time, each with the request that is under way.
    last_chances: BTreeMap<Fingerprint, RequestId>,
}

impl GatewayControl {
    /// Records that the connection of a run was lost or stalled. The run is ignored if the replica
    /// was draining or the run had made progress for long enough.
    pub fn note_broken_run(
        &mut self,
        now: Now,
        request: &str,
        replica: &Replica,
    ) -> BrokenRunVerdict {
        let run = self.runs.get(request);
        let Some(run) = run.filter(|run| !run.has_run_well(now)) else {
            return BrokenRunVerdict::NotSuspected;
        };
        let broken = BrokenRun {
            fingerprint: run.ask.fingerprint,
            parts: run.ask.parts.clone(),
            replica: replica.id.clone(),
            incarnation: replica.life(),
            at: now,
        };
        let listed = self.list.replica(&replica.id);
        if listed.is_some_and(|listed| listed.life() != broken.incarnation) {
            // The replica has restarted already.
            self.attribute(now, &broken);
            return BrokenRunVerdict::Crashed;
        }
        if self.list.state(&replica.id).is_leaving() {
            return BrokenRunVerdict::ServerDrains;
        }
        let waiting = &self.broken_runs.unconfirmed;
        let is_same_run = |known: &BrokenRun| {
            (known.fingerprint, known.incarnation) == (broken.fingerprint, broken.incarnation)
        };
        if waiting.iter().any(is_same_run) {
            return BrokenRunVerdict::Unconfirmed;
        }
        if waiting.len() >= MAX_UNCONFIRMED {
            return BrokenRunVerdict::Dropped;
        }
        self.broken_runs.unconfirmed.push(broken);
        BrokenRunVerdict::Unconfirmed
    }

    /// Returns the number of broken runs whose servers may have crashed without a confirmation.
    pub fn unconfirmed_crashes(&self) -> usize {
        self.broken_runs.unconfirmed.len()
    }

    /// Records that nothing listens any more at the address of a backend server.
    pub fn server_ended(&mut self, now: Now, server: &ServerLife) {
        self.confirm(now, |_, broken| broken.incarnation == server.life);
    }

    /// Confirms the crashes of broken runs whose server was replaced or removed in the list.
    pub(super) fn confirm_by_list(&mut self, now: Now) {
        self.confirm(now, |control, broken| {
            match control.list.replica(&broken.replica) {
                Some(listed) => listed.life() != broken.incarnation,
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
            life: broken.incarnation,
            at: broken.at,
        };
        let known_good_at = |fingerprint| self.known_good.at(fingerprint);
        self.suspicions
            .server_crashed_under(now, broken.request(), known_good_at, end);
    }

    /// Applies the suspicions that a peer advertises.
    pub fn apply_peer_suspects(&mut self, now: Now, advertised: &[AdvertisedSuspect]) {
        for advertised in advertised {
            let known_good_at = self.known_good.at(advertised.fingerprint);
            self.suspicions.hear(now, known_good_at, advertised);
        }
    }

    /// Returns the suspicions to advertise now.
    pub fn advertised_suspects(&mut self, now: Now) -> Vec<AdvertisedSuspect> {
        self.suspicions.told(now)
    }

    /// Takes the changes of suspicions since the last call.
    pub fn suspicion_updates(&mut self) -> Vec<SuspicionUpdate> {
        self.suspicions.take_news()
    }

    /// Returns the requests of this instance with a fingerprint, of their content or of a part of
    /// their prompt, that have not started: they are queued at their engines and would crash these
    /// as well.
    pub fn unstarted_with(&self, fingerprint: Fingerprint) -> Vec<RequestId> {
        let runs = self.runs.iter();
        let unstarted = runs.filter(|(_, run)| {
            let mut fingerprints = run.ask.suspected().fingerprints();
            !run.has_begun && !run.is_proven && fingerprints.any(|own| own == fingerprint)
        });
        unstarted.map(|(request, _)| request.clone()).collect()
    }

    /// Returns the number of suspected fingerprints.
    pub fn suspected(&self) -> usize {
        self.suspicions.count()
    }

    /// Returns the number of quarantined contents.
    pub fn quarantined(&self) -> usize {
        self.suspicions.quarantined()
    }

    /// Returns the number of quarantined parts of prompts.
    pub fn quarantined_parts(&self) -> usize {
        self.suspicions.quarantined_parts()
    }

    /// Records that a request ran well, and so its content and the parts of its prompt.
    pub fn ran_well(&mut self, now: Now, request: SuspectedRequest<'_>) {
        self.known_good.note(now, request);
        for fingerprint in request.fingerprints() {
            self.suspicions.ran_well(now, fingerprint);
        }
    }

    /// Returns whether a request in progress may be sent to another replica.
    pub fn may_resend(&self, request: &str) -> bool {
        let Some(run) = self.runs.get(request) else {
            return true;
        };
        run.is_proven || self.suspicions.causes(run.ask.suspected()).is_empty()
    }

    /// Refuses a request while its content or a part of its prompt is quarantined. After the
    /// quarantine, one instance of all sends one such request as a probe.
    pub(super) fn check_quarantine(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
    ) -> Result<(), Refusal> {
        let causes = self.suspicions.causes(ask.suspected());
        let Some(last) = causes.iter().max_by_key(|cause| cause.until) else {
            return self.check_last_chance(now, ask);
        };
        let is_probed = self
            .broken_runs
            .probed_until
            .is_some_and(|until| now < until);
        if now >= last.until && !is_probed && self.probes(ask, &causes) {
            self.broken_runs.probed_until = Some(now + PROBE);
            return Ok(());
        }
        Err(Refusal::quarantined(last, last.until.saturating_sub(now)))
    }

    /// Refuses a request whose content would be quarantined after one more crash, unless this instance
    /// is the one to send such requests and sends none now. Zones that don't hear each other have one
    /// each.
    fn check_last_chance(&mut self, now: Now, ask: &PlacementRequest) -> Result<(), Refusal> {
        let cause = self.suspicions.last_chance(ask.fingerprint);
        let Some(cause) = cause.filter(|cause| now < cause.until) else {
            return Ok(());
        };
        let sent = self.broken_runs.last_chances.get(&ask.fingerprint);
        let is_under_way = sent.is_some_and(|request| self.runs.contains_key(request));
        let topic = format!("{:032x}", ask.fingerprint.content);
        let may_send = match self.hears_other_zones() {
            true => self.is_first_for(&topic),
            false => self.is_first_in_zone_for(&topic),
        };
        if is_under_way || !may_send {
            return Err(Refusal::quarantined(&cause, cause.until - now));
        }
        let runs = &self.runs;
        let last_chances = &mut self.broken_runs.last_chances;
        last_chances.retain(|_, request| runs.contains_key(request));
        last_chances.insert(ask.fingerprint, ask.request.clone());
        Ok(())
    }

    /// Returns whether this instance is the one to probe a request after its quarantines. All
    /// instances that receive each other's heartbeats agree on one; an instance that receives fewer
    /// than half of the other zones probes none. A part is probed by the same instance for all
    /// workspaces.
    fn probes(&self, ask: &PlacementRequest, causes: &[QuarantineCause]) -> bool {
        let is_cause = |part: &&PromptPart| {
            let mut causes = causes.iter().map(|cause| cause.fingerprint);
            causes.any(|cause| cause == part.in_workspace || cause == part.in_fleet)
        };
        let parts = ask.parts.iter().filter(is_cause);
        let topic = parts.map(|part| part.in_fleet.content).min();
        let topic = topic.unwrap_or(ask.fingerprint.content);
        self.is_first_for(&format!("{topic:032x}"))
    }

    /// Returns whether this instance is the one of all that acts on a topic, as for `probes`.
    pub(super) fn is_first_for(&self, topic: &str) -> bool {
        let own = &self.parameters.zone;
        let zones = self.parameters.regions.keys().map(String::as_str);
        let first = rendezvous_rank(topic, zones).first().copied();
        self.hears_other_zones()
            && first.is_none_or(|zone| zone == own)
            && self.is_first_in_zone_for(topic)
    }

    /// Returns whether this instance receives heartbeats of at least half of the other zones.
    fn hears_other_zones(&self) -> bool {
        let own = &self.parameters.zone;
        let zones = self.parameters.regions.keys();
        let others = zones.filter(|zone| *zone != own);
        let live = others.clone().filter(|zone| self.peers.knows_zone(zone));
        live.count() * 2 >= others.count()
    }

    /// Returns whether this instance is the one of its zone that acts on a topic.
    fn is_first_in_zone_for(&self, topic: &str) -> bool {
        let instance = self.parameters.instance.as_str();
        let names = self.peers.neighbours().map(String::as_str);
        let rank = rendezvous_rank(topic, names.chain([instance]));
        rank.first() == Some(&instance)
    }
}

impl crate::OwnRun {
    /// Returns whether the run has made progress for at least `KNOWN_GOOD_AFTER` on its current
    /// replica, or is confirmed to run well already.
    pub(super) fn has_run_well(&self, now: Now) -> bool {
        let since = |begun: Now| now.saturating_sub(begun) >= KNOWN_GOOD_AFTER;
        self.is_proven || self.begun_at.is_some_and(since)
    }
}
