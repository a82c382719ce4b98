//! Attributes crashes of backend servers to the requests that ran there.

use std::collections::BTreeMap;
use std::time::Duration;

use super::AttributionNotice;
use super::GatewayControl;
use super::UnattributedCause;
use super::left_runs::LeftRuns;
use crate::AdvertisedSuspect;
use crate::BackendId;
use crate::Fingerprint;
use crate::IncarnationId;
use crate::KNOWN_GOOD_AFTER;
use crate::ListedState;
use crate::Now;
use crate::OwnRun;
use crate::PlacementRequest;
use crate::PromptParts;
use crate::Replica;
use crate::RequestId;
use crate::ServerCrash;
use crate::ServerLife;
use crate::SuspectedRequest;
use crate::SuspicionUpdate;

/// Time for which a broken run waits for the confirmation that its server has crashed: its entry is
/// removed after three heartbeats of 1.2 s, or changes when the server restarts some seconds later.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(10);

/// The same while the list is not confirmed, or has not settled since.
const OUTAGE_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of broken runs that wait for confirmation: enough for all runs of an instance
/// when an availability zone fails.
const MAX_UNCONFIRMED: usize = 1_024;

/// Time for which it is remembered that a server was draining: longer than runs are remembered.
const DRAINED_RETENTION: Duration = Duration::from_secs(30);

/// A run whose connection was lost or stalled; its server may have crashed.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    pub(super) request: RequestId,
    pub(super) fingerprint: Fingerprint,
    parts: PromptParts,
    pub(super) replica: BackendId,
    pub(super) incarnation: IncarnationId,
    pub(super) at: Now,
}

impl BrokenRun {
    pub(super) fn new(now: Now, ask: &PlacementRequest, replica: &Replica) -> Self {
        BrokenRun {
            request: ask.request.clone(),
            fingerprint: ask.fingerprint,
            parts: ask.parts.clone(),
            replica: replica.id.clone(),
            incarnation: replica.life(),
            at: now,
        }
    }

    /// Whether another run was of the same content on the same incarnation of a server.
    pub(super) fn is_repeated_by(&self, other: &BrokenRun) -> bool {
        (self.fingerprint, self.incarnation) == (other.fingerprint, other.incarnation)
    }

    fn suspected(&self) -> SuspectedRequest<'_> {
        SuspectedRequest {
            fingerprint: self.fingerprint,
            parts: &self.parts,
        }
    }
}

/// What became of a report that the connection of a run was lost or stalled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenRunVerdict {
    /// The run is not known any more: nobody waits for it.
    NotKnown,
    /// The run had made progress for long enough: it crashed nothing.
    RanWell,
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
            BrokenRunVerdict::NotKnown => "not_known",
            BrokenRunVerdict::RanWell => "ran_well",
            BrokenRunVerdict::ServerDrains => "server_drains",
            BrokenRunVerdict::Crashed => "crashed",
            BrokenRunVerdict::Unconfirmed => "unconfirmed",
            BrokenRunVerdict::Dropped => "dropped",
        }
    }
}

/// The probes for runs that were left.
#[derive(Clone, Debug, Default)]
pub struct LeftRunProbes {
    /// Backend servers to probe now.
    pub due: Vec<Replica>,
    /// Whether further probes become due.
    pub awaits_more: bool,
}

/// Broken runs that wait for the confirmation of a crash, and the current probe.
#[derive(Debug, Default)]
pub(super) struct BrokenRuns {
    unconfirmed: Vec<BrokenRun>,
    left: LeftRuns,
    /// Incarnations that were draining, and when they last were.
    drained: BTreeMap<IncarnationId, Now>,
    pub(super) notices: Vec<AttributionNotice>,
    /// Until when a request is being sent as a probe after its quarantine.
    pub(super) probed_until: Option<Now>,
    /// Contents that are sent one at a time, each with the request that is under way.
    pub(super) last_chances: BTreeMap<Fingerprint, RequestId>,
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
        let Some(run) = self.runs.get(request) else {
            return BrokenRunVerdict::NotKnown;
        };
        if run.has_run_well(now) {
            return BrokenRunVerdict::RanWell;
        }
        let broken = BrokenRun::new(now, &run.ask, replica);
        let drained = &self.broken_runs.drained;
        if self.list.state(&replica.id) == ListedState::Leaving
            || drained.contains_key(&broken.incarnation)
        {
            return BrokenRunVerdict::ServerDrains;
        }
        let listed = self.list.replica(&replica.id);
        if listed.is_none_or(|listed| listed.life() != broken.incarnation) {
            // The replica has ended or restarted already.
            self.attribute(now, &broken);
            return BrokenRunVerdict::Crashed;
        }
        let waiting = &self.broken_runs.unconfirmed;
        if waiting.iter().any(|known| known.is_repeated_by(&broken)) {
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
        self.note_draining(now);
        self.confirm(now, |control, broken| {
            match control.list.replica(&broken.replica) {
                Some(listed) => listed.life() != broken.incarnation,
                None => control.list.state(&broken.replica) == ListedState::Removed,
            }
        });
    }

    fn confirm(&mut self, now: Now, is_confirmed: impl Fn(&Self, &BrokenRun) -> bool) {
        let mut left = std::mem::take(&mut self.broken_runs.left);
        let ended_left = left.take_ended(|run| is_confirmed(self, run));
        self.broken_runs.left = left;
        let unconfirmed = std::mem::take(&mut self.broken_runs.unconfirmed);
        let (ended, open): (Vec<BrokenRun>, Vec<BrokenRun>) = unconfirmed
            .into_iter()
            .partition(|broken| is_confirmed(self, broken));
        self.broken_runs.unconfirmed = open;
        for broken in &ended {
            self.attribute(now, broken);
        }
        for run in ended_left {
            self.attribute_left(now, run);
        }
    }

    /// Remembers a run that this instance no longer waits for, unless it ran well.
    pub(super) fn note_left_run(&mut self, now: Now, run: &OwnRun) {
        let listed = self.list.replica(&run.replica);
        let Some(server) = listed.filter(|server| Some(server.life()) == run.life) else {
            return;
        };
        if !run.has_run_well(now) {
            let left = BrokenRun::new(now, &run.ask, server);
            let server = server.clone();
            self.broken_runs.left.add(left, server);
        }
    }

    /// Remembers which servers are draining: afterwards, their entries are removed.
    fn note_draining(&mut self, now: Now) {
        let drained = &mut self.broken_runs.drained;
        drained.retain(|_, at| now.saturating_sub(*at) < DRAINED_RETENTION);
        let listed = self.list.listed();
        let draining = listed.filter(|server| self.list.state(&server.id) == ListedState::Leaving);
        drained.extend(draining.map(|server| (server.life(), now)));
    }

    /// Remembers an attempt that this instance no longer waits for while its request goes on: the time
    /// of the attempt is over.
    pub fn note_left_attempt(&mut self, now: Now, request: &str, server: &Replica) {
        let run = self.runs.get(request);
        if let Some(run) = run.filter(|run| !run.has_run_well(now)) {
            let left = BrokenRun::new(now, &run.ask, server);
            self.broken_runs.left.add(left, server.clone());
        }
    }

    /// Attributes the end of a server to the content of a run that was left, unless the server was
    /// draining: it then ends as announced. Parts of prompts are spared: sound requests share them, and
    /// runs that are left prove none of them sound.
    fn attribute_left(&mut self, now: Now, run: BrokenRun) {
        if self.broken_runs.drained.contains_key(&run.incarnation) {
            return self.note_unattributed(now, run, UnattributedCause::ServerDrained);
        }
        let parts = PromptParts::default();
        self.attribute(now, &BrokenRun { parts, ..run });
    }

    /// Returns the servers to probe for runs that were left.
    pub fn left_run_probes(&mut self, now: Now) -> LeftRunProbes {
        let left = &mut self.broken_runs.left;
        LeftRunProbes {
            due: left.due_probes(now),
            awaits_more: left.awaits_probes(),
        }
    }

    /// Returns whether servers are to be probed, now or later, for runs that were left.
    pub fn awaits_left_run_probes(&self) -> bool {
        self.broken_runs.left.awaits_probes()
    }

    /// Records that a backend server accepted a connection that was opened at `at`.
    pub fn server_accepted(&mut self, server: &ServerLife, at: Now) {
        self.broken_runs.left.server_accepted(server, at);
    }

    /// Whether the outcome of a run with this content is still open: its server may have crashed, or
    /// may crash yet.
    pub(super) fn has_open_outcome(&self, content: Fingerprint) -> bool {
        let broken = &self.broken_runs;
        let mut unconfirmed = broken.unconfirmed.iter();
        broken.left.has(content) || unconfirmed.any(|run| run.fingerprint == content)
    }

    /// Forgets the runs whose servers have not been confirmed to have ended.
    pub(super) fn expire_broken_runs(&mut self, now: Now) {
        let timeout = match self.is_list_uncertain(now) {
            true => OUTAGE_CONFIRMATION_TIMEOUT,
            false => CONFIRMATION_TIMEOUT,
        };
        self.broken_runs.left.expire(now, timeout);
        let is_open = |broken: &BrokenRun| now.saturating_sub(broken.at) < timeout;
        let unconfirmed = std::mem::take(&mut self.broken_runs.unconfirmed);
        let (open, expired): (Vec<BrokenRun>, Vec<BrokenRun>) =
            unconfirmed.into_iter().partition(is_open);
        self.broken_runs.unconfirmed = open;
        for broken in expired {
            self.note_unattributed(now, broken, UnattributedCause::NotConfirmed);
        }
    }

    fn attribute(&mut self, now: Now, broken: &BrokenRun) {
        let end = ServerCrash {
            life: broken.incarnation,
            at: broken.at,
        };
        let known_good_at = |fingerprint| self.known_good.at(fingerprint);
        self.suspicions
            .server_crashed_under(now, broken.suspected(), known_good_at, end);
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
}

impl OwnRun {
    /// Returns whether the run has made progress for at least `KNOWN_GOOD_AFTER` on its current
    /// replica, or is confirmed to run well already.
    pub(super) fn has_run_well(&self, now: Now) -> bool {
        let since = |begun: Now| now.saturating_sub(begun) >= KNOWN_GOOD_AFTER;
        self.is_proven || self.begun_at.is_some_and(since)
    }
}
