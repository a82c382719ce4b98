//! Requests and parts of prompts that are suspected to crash the backend servers that run them
//! (poison requests), from the observations of this instance and those that other instances
//! advertise.

use std::time::Duration;

use crate::AdvertisedCrash;
use crate::AdvertisedPart;
use crate::AdvertisedQuarantine;
use crate::AdvertisedSuspect;
use crate::Explanation;
use crate::Fingerprint;
use crate::Now;
use crate::ServerCrash;
use crate::Suspect;
use crate::SuspectKind;
use crate::SuspectStanding;
use crate::SuspectedRequest;
use crate::servers::crash_reasons;
use crate::servers::crash_reasons::QUARANTINE_CRASHES;
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

/// Whether requests with a fingerprint may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// They may be sent.
    Allowed,
    /// They are not sent until the quarantine ends.
    Quarantined {
        /// Number of crashes that count.
        ends: usize,
        /// When the quarantine ends.
        until: Now,
    },
}

/// A change of the state of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionUpdate {
    /// A server crashed while it ran a request of this instance.
    Ended {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// What is suspected.
        kind: SuspectKind,
        /// Number of known crashes that count.
        ends: usize,
    },
    /// A fingerprint is quarantined from now on.
    Quarantined {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// What is quarantined.
        kind: SuspectKind,
        /// Number of crashes that count.
        ends: usize,
        /// When the quarantine ends.
        until: Now,
        /// When a request with it last ran well.
        known_good_at: Option<Now>,
        /// Number of other suspects that were at some of the crashes and explain none of them.
        beside: usize,
    },
    /// A request with a suspected fingerprint ran well.
    Cleared {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// What was suspected.
        kind: SuspectKind,
    },
}

/// Why requests are quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineCause {
    /// The quarantined fingerprint: of the content of the requests, or of a part of their prompts.
    pub fingerprint: Fingerprint,
    /// What is quarantined.
    pub kind: SuspectKind,
    /// Number of crashes that count.
    pub ends: usize,
    /// When the quarantine ends.
    pub until: Now,
}

/// The suspects and their state.
#[derive(Debug, Default)]
pub struct Suspicions {
    suspects: SuspectStore,
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
            let suspect = self.suspects.entry(now, fingerprint, kind, known_good_at);
            let is_new = suspect.add_crash(now, crash);
            if kind != SuspectKind::Content {
                suspect.add_source(crash.life, source);
            }
            if is_new {
                let ends = suspect.crashes().len();
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
        let suspect = self.suspects.entry(now, fingerprint, kind, known_good_at);
        let received = advertised.proof_age_ms.map(at);
        let received = received.map(|good_at| good_at.saturating_sub(HEARTBEAT_TRANSIT));
        let known_good_at = received.max(known_good_at);
        let is_cleared = known_good_at.is_some_and(|good_at| suspect.record_good_run(now, good_at));
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
        if is_cleared {
            self.updates
                .push(SuspicionUpdate::Cleared { fingerprint, kind });
        }
        self.note_quarantines(before);
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
        let quarantine = self.quarantine(suspect)?;
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
        let quarantine = suspect.and_then(|suspect| self.quarantine(suspect));
        match (suspect, quarantine) {
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
                until: self.quarantine(suspect)?.until(),
            })
        });
        causes.collect()
    }

    /// Returns why requests with this content are sent one at a time, if they are: one more crash
    /// would quarantine them.
    pub fn last_chance(&self, fingerprint: Fingerprint) -> Option<QuarantineCause> {
        let suspect = self.suspects.get(fingerprint)?;
        let until = crash_reasons::last_chance_until(suspect, &self.sharing_crashes(suspect))?;
        Some(QuarantineCause {
            fingerprint,
            kind: suspect.kind(),
            ends: suspect.crashes().len(),
            until,
        })
    }

    /// Returns the number of crashes of a suspect, and why they don't quarantine it; `None` if it has
    /// none.
    pub fn standing(&self, fingerprint: Fingerprint) -> Option<(usize, SuspectStanding)> {
        let suspect = self.suspects.get(fingerprint)?;
        let ends = suspect.crashes().len();
        let standing = match ends {
            0 => return None,
            _ if self.quarantine(suspect).is_some() => SuspectStanding::Quarantined,
            _ if ends < QUARANTINE_CRASHES => SuspectStanding::FewCrashes,
            _ => match self.explanation(suspect) {
                Some(explanation) => SuspectStanding::Explained(explanation),
                None => SuspectStanding::RanWellLately,
            },
        };
        Some((ends, standing))
    }

    /// Returns the suspect that explains most crashes of another one, if any does.
    fn explanation(&self, suspect: &Suspect) -> Option<Explanation> {
        let explained = |other: &Suspect| {
            let (crashes, count) = (suspect.crashes().iter(), suspect.crashes().len());
            crashes
                .filter(|crash| other.explains(suspect, crash, count, Now::MAX))
                .count()
        };
        let others = self.suspects.iter();
        let others = others.map(|(fingerprint, other)| (explained(other), fingerprint, other));
        let explaining = others.filter(|(explained, ..)| *explained > 0);
        let (_, fingerprint, most) = explaining.max_by_key(|(explained, ..)| *explained)?;
        Some(Explanation {
            fingerprint,
            kind: most.kind(),
            ends: most.crashes().len(),
            weight: most.weight(most.crashes()),
            is_held: self.quarantine(most).is_some(),
        })
    }

    fn quarantine(&self, suspect: &Suspect) -> Option<Quarantine> {
        if suspect.crashes().len() < QUARANTINE_CRASHES {
            return None;
        }
        crash_reasons::quarantine(suspect, &self.sharing_crashes(suspect))
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
        self.prioritized(now, self.suspects.iter().collect())
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
            is_recent || (readvertises && suspect.crashes().len() > 1)
        });
        self.prioritized(now, due.collect())
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
        let suspects = self.suspects.iter().map(|(_, suspect)| suspect);
        let suspects = suspects.filter(|suspect| is_counted(suspect.kind()));
        suspects.filter(|s| self.quarantine(s).is_some()).count()
    }

    /// Removes suspects whose lifetime has passed.
    pub fn expire(&mut self, now: Now) {
        self.suspects.expire(now);
    }

    fn prioritized(
        &self,
        now: Now,
        mut suspects: Vec<(Fingerprint, &Suspect)>,
    ) -> Vec<AdvertisedSuspect> {
        suspects.sort_by_key(|(_, suspect)| std::cmp::Reverse(suspect_store::rank(suspect)));
        suspects.truncate(MAX_ADVERTISED_PER_HEARTBEAT);
        let suspects = suspects.into_iter();
        suspects.map(|(f, s)| self.advertised(now, f, s)).collect()
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
        let quarantine = self.quarantine(suspect);
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
