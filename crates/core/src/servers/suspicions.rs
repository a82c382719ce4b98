//! Requests and parts of prompts that are suspected to crash the backend servers that run them
//! (poison requests), from the observations of this instance and those that other instances
//! advertise.

use std::cell::OnceCell;
use std::time::Duration;

use crate::AdvertisedCrash;
use crate::AdvertisedPart;
use crate::AdvertisedQuarantine;
use crate::AdvertisedSuspect;
use crate::Explanation;
use crate::Fingerprint;
use crate::Now;
use crate::QuarantineCause;
use crate::ServerCrash;
use crate::Suspect;
use crate::SuspectKind;
use crate::SuspectStanding;
use crate::SuspectedRequest;
use crate::SuspicionUpdate;
use crate::Verdict;
use crate::servers::conclusions::Conclusion;
use crate::servers::conclusions::Conclusions;
use crate::servers::conclusions::FEWEST_CRASHES;
use crate::servers::conclusions::QUARANTINE_CRASHES;
use crate::servers::quarantine::Quarantine;
use crate::servers::suspect_store;
use crate::servers::suspect_store::SuspectStore;

/// How long a change is advertised with each heartbeat: for three intervals of the slowest
/// heartbeats, of which two may be lost.
const UPDATE_ADVERTISED_FOR: Duration = Duration::from_secs(3);

/// Interval at which unchanged suspects are advertised again, for instances that have just started
/// or were disconnected.
const READVERTISE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of suspects in one heartbeat; about 100 bytes each.
const MAX_ADVERTISED_PER_HEARTBEAT: usize = 12;

/// Maximum number of advertised crashes per suspect: twice the number that quarantines it.
const MAX_ADVERTISED_CRASHES: usize = 6;

/// Added to the age of a received known-good run for the transit of a heartbeat: without it, a
/// run that is forwarded would appear younger with each hop and clear later crashes.
const HEARTBEAT_TRANSIT: Duration = Duration::from_millis(100);

/// The suspects and their state.
#[derive(Debug, Default)]
pub struct Suspicions {
    suspects: SuspectStore,
    /// What follows from their state; empty after a change.
    conclusions: OnceCell<Conclusions>,
    readvertised_at: Option<Now>,
    updates: Vec<SuspicionUpdate>,
}

impl Suspicions {
    /// Records that a server crashed while it ran a request of this instance. `known_good_at` is
    /// when a request with this fingerprint last ran well.
    pub fn server_ended(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        known_good_at: Option<Now>,
        crash: ServerCrash,
    ) {
        let request = SuspectedRequest::without_parts(fingerprint);
        self.server_crashed_under(now, request, |_| known_good_at, crash);
    }

    /// Records that a server crashed while it ran a request of this instance. `known_good_at` returns
    /// when a request with a fingerprint last ran well.
    pub fn server_crashed_under(
        &mut self,
        now: Now,
        request: SuspectedRequest<'_>,
        known_good_at: impl Fn(Fingerprint) -> Option<Now>,
        crash: ServerCrash,
    ) {
        let before = self.verdicts(request.fingerprints());
        for (fingerprint, kind, source) in request.suspects() {
            let known_good_at = known_good_at(fingerprint);
            let added = self.change(now, fingerprint, kind, known_good_at, |suspect| {
                let is_new = suspect.add_crash(now, crash);
                if kind != SuspectKind::Content {
                    suspect.add_source(crash.life, source);
                }
                is_new.then(|| suspect.crashes().len())
            });
            if let Some(ends) = added {
                self.updates.push(SuspicionUpdate::Ended {
                    fingerprint,
                    kind,
                    ends,
                });
            }
        }
        self.note_quarantines(before);
    }

    /// Records that a request ran well: it was answered, or its stream continued for long enough.
    pub fn ran_well(&mut self, now: Now, fingerprint: Fingerprint) {
        let Some(suspect) = self.suspects.get_mut(fingerprint) else {
            return;
        };
        if suspect.record_good_run(now, now) {
            let kind = suspect.kind();
            self.conclusions.take();
            self.updates
                .push(SuspicionUpdate::Cleared { fingerprint, kind });
        }
    }

    /// Applies a suspect that another instance advertises. `known_good_at` is when a request with
    /// this fingerprint last ran well at this instance.
    pub fn hear(&mut self, now: Now, known_good_at: Option<Now>, advertised: &AdvertisedSuspect) {
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let fingerprint = advertised.fingerprint;
        let kind = advertised.kind();
        let before = self.verdicts(std::iter::once(fingerprint));
        let received = advertised.proof_age_ms.map(at);
        let received = received.map(|good_at| good_at.saturating_sub(HEARTBEAT_TRANSIT));
        let latest_good_at = received.max(known_good_at);
        let is_cleared = self.change(now, fingerprint, kind, known_good_at, |suspect| {
            let is_cleared =
                latest_good_at.is_some_and(|good_at| suspect.record_good_run(now, good_at));
            for crash in &advertised.ends {
                let (life, at) = (crash.life, at(crash.age_ms));
                suspect.add_crash(now, ServerCrash { life, at });
            }
            for (life, source) in advertised.sources() {
                suspect.add_source(life, source);
            }
            if let Some(quarantine) = advertised.quarantine {
                suspect.receive_quarantine(quarantine, received);
            }
            is_cleared
        });
        if is_cleared {
            self.updates
                .push(SuspicionUpdate::Cleared { fingerprint, kind });
        }
        self.note_quarantines(before);
    }

    /// Changes a suspect, which is added if it is new.
    fn change<T>(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        kind: SuspectKind,
        known_good_at: Option<Now>,
        change: impl FnOnce(&mut Suspect) -> T,
    ) -> T {
        let before = self.suspects.get(fingerprint).map(Suspect::revision);
        let suspect = self.suspects.entry(now, fingerprint, kind, known_good_at);
        let result = change(suspect);
        if before != Some(suspect.revision()) {
            self.conclusions.take();
        }
        result
    }

    /// Returns what follows for a suspect from the state of all.
    fn conclusion(&self, fingerprint: Fingerprint) -> Conclusion {
        let suspect = self.suspects.get(fingerprint);
        if suspect.is_none_or(|suspect| suspect.crashes().len() < FEWEST_CRASHES) {
            return Conclusion::default();
        }
        let conclusions = self
            .conclusions
            .get_or_init(|| Conclusions::of(self.suspects.iter()));
        conclusions.get(fingerprint)
    }

    fn quarantine(&self, fingerprint: Fingerprint) -> Option<Quarantine> {
        self.conclusion(fingerprint).quarantine
    }

    fn verdicts(
        &self,
        fingerprints: impl Iterator<Item = Fingerprint>,
    ) -> Vec<(Fingerprint, Verdict)> {
        let verdicts = fingerprints.map(|fingerprint| (fingerprint, self.verdict(fingerprint)));
        verdicts.collect()
    }

    fn note_quarantines(&mut self, before: Vec<(Fingerprint, Verdict)>) {
        let allowed = before.into_iter();
        let allowed = allowed.filter(|(_, verdict)| *verdict == Verdict::Allowed);
        let begun = allowed.filter_map(|(fingerprint, _)| self.begun_quarantine(fingerprint));
        let begun: Vec<SuspicionUpdate> = begun.collect();
        self.updates.extend(begun);
    }

    fn begun_quarantine(&self, fingerprint: Fingerprint) -> Option<SuspicionUpdate> {
        let suspect = self.suspects.get(fingerprint)?;
        let quarantine = self.quarantine(fingerprint)?;
        Some(SuspicionUpdate::Quarantined {
            fingerprint,
            kind: suspect.kind(),
            ends: suspect.crashes().len(),
            until: quarantine.until(),
            known_good_at: suspect.known_good_at(),
            beside: self.sharing_crashes(suspect).len(),
        })
    }

    /// Whether requests with this fingerprint may be sent.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let suspect = self.suspects.get(fingerprint);
        match (suspect, self.quarantine(fingerprint)) {
            (Some(suspect), Some(quarantine)) => Verdict::Quarantined {
                ends: suspect.crashes().len(),
                until: quarantine.until(),
            },
            _ => Verdict::Allowed,
        }
    }

    /// Returns all quarantines that a request falls under: of its content and of parts of its prompt.
    pub fn causes(&self, request: SuspectedRequest<'_>) -> Vec<QuarantineCause> {
        let causes = request.fingerprints().filter_map(|fingerprint| {
            let suspect = self.suspects.get(fingerprint)?;
            Some(QuarantineCause {
                fingerprint,
                kind: suspect.kind(),
                ends: suspect.crashes().len(),
                until: self.quarantine(fingerprint)?.until(),
            })
        });
        causes.collect()
    }

    /// Returns why requests with this content are sent one at a time, if they are: one more crash
    /// would quarantine them.
    pub fn last_chance(&self, fingerprint: Fingerprint) -> Option<QuarantineCause> {
        let suspect = self.suspects.get(fingerprint)?;
        Some(QuarantineCause {
            fingerprint,
            kind: suspect.kind(),
            ends: suspect.crashes().len(),
            until: self.conclusion(fingerprint).last_chance_until?,
        })
    }

    /// Returns the number of crashes of a suspect, and why they don't quarantine it; `None` if it has
    /// none.
    pub fn standing(&self, fingerprint: Fingerprint) -> Option<(usize, SuspectStanding)> {
        let suspect = self.suspects.get(fingerprint)?;
        let ends = suspect.crashes().len();
        let standing = match ends {
            0 => return None,
            _ if self.quarantine(fingerprint).is_some() => SuspectStanding::Quarantined,
            _ if ends < QUARANTINE_CRASHES => SuspectStanding::FewCrashes,
            _ => match self.explanation(fingerprint) {
                Some(explanation) => SuspectStanding::Explained(explanation),
                None => SuspectStanding::RanWellLately,
            },
        };
        Some((ends, standing))
    }

    /// Returns the suspect that explains most crashes of another one, if any does.
    fn explanation(&self, fingerprint: Fingerprint) -> Option<Explanation> {
        let explained_by = self.conclusion(fingerprint).explained_by?;
        let suspect = self.suspects.get(explained_by)?;
        Some(Explanation {
            fingerprint: explained_by,
            kind: suspect.kind(),
            ends: suspect.crashes().len(),
            weight: suspect.weight(suspect.crashes()),
            is_held: self.quarantine(explained_by).is_some(),
        })
    }

    /// Returns the other suspects that were at one of the crashes of a suspect.
    fn sharing_crashes(&self, suspect: &Suspect) -> Vec<&Suspect> {
        let all = self.suspects.iter().map(|(_, other)| other);
        let others = all.filter(|other| !std::ptr::eq(*other, suspect));
        let is_shared = |other: &&Suspect| {
            let mut crashes = suspect.crashes().iter();
            crashes.any(|crash| other.has_crashed(crash.life))
        };
        others.filter(is_shared).collect()
    }

    /// Returns the known suspects for an instance that requests them, those with most crashes
    /// first, and at most as many as one heartbeat carries.
    pub fn known(&self, now: Now) -> Vec<AdvertisedSuspect> {
        let all = suspect_store::by_rank(self.suspects.iter().collect());
        let strongest = all.into_iter().take(MAX_ADVERTISED_PER_HEARTBEAT);
        let advertised = strongest.map(|(f, s)| self.advertised(now, f, s));
        advertised.collect()
    }

    /// Returns the suspects to advertise to the other instances now.
    pub fn told(&mut self, now: Now) -> Vec<AdvertisedSuspect> {
        let is_due = |at: Now| now.saturating_sub(at) >= READVERTISE_INTERVAL;
        let readvertises = self.readvertised_at.is_none_or(is_due);
        if readvertises {
            self.readvertised_at = Some(now);
        }
        let due = self.suspects.iter().filter(|(_, suspect)| {
            let is_recent = now.saturating_sub(suspect.changed_at()) < UPDATE_ADVERTISED_FOR;
            let is_new = suspect.advertised_since() == 0;
            is_recent || is_new || (readvertises && suspect.crashes().len() > 1)
        });
        let chosen = suspect_store::with_waiting(due.collect(), MAX_ADVERTISED_PER_HEARTBEAT);
        let advertised = chosen.iter().map(|(f, s)| self.advertised(now, *f, s));
        let advertised: Vec<AdvertisedSuspect> = advertised.collect();
        for suspect in &advertised {
            if let Some(suspect) = self.suspects.get_mut(suspect.fingerprint) {
                suspect.note_advertised();
            }
        }
        advertised
    }

    /// Returns and clears the updates since the last call.
    pub fn take_news(&mut self) -> Vec<SuspicionUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Number of fingerprints with crashes that count.
    pub fn count(&self) -> usize {
        let suspects = self.suspects.iter();
        suspects.filter(|(_, s)| !s.crashes().is_empty()).count()
    }

    /// Number of quarantined contents.
    pub fn quarantined(&self) -> usize {
        self.count_quarantined(|kind| kind == SuspectKind::Content)
    }

    /// Number of quarantined parts of prompts; a part in one workspace and the same part in the
    /// fleet count separately.
    pub fn quarantined_parts(&self) -> usize {
        self.count_quarantined(|kind| kind != SuspectKind::Content)
    }

    fn count_quarantined(&self, is_counted: impl Fn(SuspectKind) -> bool) -> usize {
        let suspects = self.suspects.iter();
        let suspects = suspects.filter(|(_, suspect)| is_counted(suspect.kind()));
        suspects
            .filter(|(f, _)| self.quarantine(*f).is_some())
            .count()
    }

    /// Removes suspects whose lifetime has passed.
    pub fn expire(&mut self, now: Now) {
        if self.suspects.expire(now) {
            self.conclusions.take();
        }
    }

    fn advertised(
        &self,
        now: Now,
        fingerprint: Fingerprint,
        suspect: &Suspect,
    ) -> AdvertisedSuspect {
        let age_ms = |at: Now| now.saturating_sub(at).as_millis() as u64;
        let latest = suspect.crashes().iter().rev().take(MAX_ADVERTISED_CRASHES);
        let ends = latest.clone().map(|crash| AdvertisedCrash {
            life: crash.life,
            age_ms: age_ms(crash.at),
        });
        let sources = latest.map(|crash| suspect.source(crash.life));
        let quarantine = self.quarantine(fingerprint);
        AdvertisedSuspect {
            fingerprint,
            ends: ends.collect(),
            proof_age_ms: suspect.known_good_at().map(age_ms),
            quarantine: quarantine.map(|quarantine| AdvertisedQuarantine {
                bursts: quarantine.bursts,
                life: quarantine.last.life,
            }),
            part: AdvertisedPart::of(suspect.kind(), sources.collect()),
        }
    }
}
