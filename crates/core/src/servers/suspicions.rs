//! Requests that are suspected to crash the backend servers that run them (poison requests), from
//! the observations of this instance and those that other instances advertise.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::AdvertisedCrash;
use crate::AdvertisedQuarantine;
use crate::AdvertisedSuspect;
use crate::Fingerprint;
use crate::Now;
use crate::ServerCrash;
use crate::Suspect;
use crate::servers::quarantine::Quarantine;
use crate::servers::suspect::CRASH_BURST_WINDOW;
use crate::servers::suspect::crash_bursts;

/// Number of crashes without another explanation that quarantine a fingerprint. With one, every
/// request that ran next to the real cause would be quarantined; a stream that fails over to a
/// backup engine is involved in two if that engine crashes, too.
const QUARANTINE_CRASHES: usize = 3;

/// Maximum number of suspects stored per workspace, so that no workspace can evict those of the
/// others. About 200 bytes each.
const MAX_PER_WORKSPACE: usize = 64;

/// Maximum number of suspects stored in total: one megabyte.
const MAX_SUSPECTS: usize = 4_096;

/// How long a suspect with less than two crashes is kept: callers retry within their timeouts, of
/// which the longest is 39 s.
const WEAK_SUSPECT_LIFETIME: Duration = Duration::from_secs(120);

/// How long other suspects are kept: longer than the maximum quarantine.
const SUSPECT_LIFETIME: Duration = Duration::from_secs(7_200);

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
        /// Number of known crashes that count.
        ends: usize,
    },
    /// A fingerprint is quarantined from now on.
    Quarantined {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Number of crashes that count.
        ends: usize,
        /// When the quarantine ends.
        until: Now,
    },
    /// A request with a suspected fingerprint ran well.
    Cleared {
        /// The fingerprint.
        fingerprint: Fingerprint,
    },
}

type WorkspaceSuspects = BTreeMap<u128, Suspect>;

/// The suspected fingerprints by workspace.
#[derive(Debug, Default)]
pub struct Suspicions {
    workspaces: BTreeMap<u64, WorkspaceSuspects>,
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
        let before = self.verdict(fingerprint);
        let suspect = self.entry(now, fingerprint, known_good_at);
        if !suspect.add_crash(now, crash) {
            return;
        }
        let ends = suspect.crashes().len();
        self.updates
            .push(SuspicionUpdate::Ended { fingerprint, ends });
        self.note_quarantine(fingerprint, before);
    }

    /// Records that a request ran well: it was answered, or its stream continued for long enough.
    pub fn ran_well(&mut self, now: Now, fingerprint: Fingerprint) {
        let suspects = self.workspaces.get_mut(&fingerprint.workspace);
        let suspect = suspects.and_then(|suspects| suspects.get_mut(&fingerprint.content));
        if suspect.is_some_and(|suspect| suspect.record_good_run(now, now)) {
            self.updates.push(SuspicionUpdate::Cleared { fingerprint });
        }
    }

    /// Applies a suspect that another instance advertises. `known_good_at` is when a request with
    /// this fingerprint last ran well at this instance.
    pub fn hear(&mut self, now: Now, known_good_at: Option<Now>, advertised: &AdvertisedSuspect) {
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let fingerprint = advertised.fingerprint;
        let before = self.verdict(fingerprint);
        let suspect = self.entry(now, fingerprint, known_good_at);
        let received = advertised.proof_age_ms.map(at);
        let received = received.map(|good_at| good_at.saturating_sub(HEARTBEAT_TRANSIT));
        let known_good_at = received.max(known_good_at);
        let is_cleared = known_good_at.is_some_and(|good_at| suspect.record_good_run(now, good_at));
        for crash in &advertised.ends {
            let (life, at) = (crash.life, at(crash.age_ms));
            suspect.add_crash(now, ServerCrash { life, at });
        }
        if let Some(told) = advertised.quarantine {
            suspect.hear_quarantine(told, received);
        }
        if is_cleared {
            self.updates.push(SuspicionUpdate::Cleared { fingerprint });
        }
        self.note_quarantine(fingerprint, before);
    }

    fn note_quarantine(&mut self, fingerprint: Fingerprint, before: Verdict) {
        if let (Verdict::Allowed, Verdict::Quarantined { ends, until }) =
            (before, self.verdict(fingerprint))
        {
            self.updates.push(SuspicionUpdate::Quarantined {
                fingerprint,
                ends,
                until,
            });
        }
    }

    /// Whether requests with this fingerprint may be sent.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let suspect = self.suspect(fingerprint);
        let quarantine = suspect.and_then(|suspect| self.quarantine(suspect));
        match (suspect, quarantine) {
            (Some(suspect), Some(quarantine)) => Verdict::Quarantined {
                ends: suspect.crashes().len(),
                until: quarantine.until(),
            },
            _ => Verdict::Allowed,
        }
    }

    /// Returns the quarantine that follows from what this instance knows, or the one that others
    /// told if it is longer. The crashes that led to it stay its reason: crashes of other suspects
    /// that come later end it only if they explain all of them.
    fn quarantine(&self, suspect: &Suspect) -> Option<Quarantine> {
        if suspect.crashes().len() < QUARANTINE_CRASHES {
            return None;
        }
        let others = self.sharing_crashes(suspect);
        let is_beside = |crash: &ServerCrash| {
            let count = suspect.crashes().len();
            others
                .iter()
                .any(|other| other.explains(crash, count, Now::MAX))
        };
        if suspect.crashes().iter().all(is_beside) {
            return None;
        }
        let concluded = concluded_quarantine(suspect, &others);
        let quarantines = concluded.into_iter().chain(suspect.told_quarantine());
        quarantines.max_by_key(Quarantine::until)
    }

    /// Returns the other suspects that were at one of the crashes of a suspect.
    fn sharing_crashes(&self, suspect: &Suspect) -> Vec<&Suspect> {
        let all = self.workspaces.values().flat_map(BTreeMap::values);
        let others = all.filter(|other| !std::ptr::eq(*other, suspect));
        let is_shared = |other: &&Suspect| {
            let mut crashes = suspect.crashes().iter();
            crashes.any(|crash| other.has_crashed(crash.life))
        };
        others.filter(is_shared).collect()
    }

    /// Returns the known suspects for an instance that requests them, those with enough crashes for
    /// a quarantine first, then the latest, and at most as many as one heartbeat carries.
    pub fn known(&self, now: Now) -> Vec<AdvertisedSuspect> {
        self.prioritized(now, self.suspects().collect())
    }

    /// Returns the suspects to advertise to the other instances now.
    pub fn told(&mut self, now: Now) -> Vec<AdvertisedSuspect> {
        let is_due = |at: Now| now.saturating_sub(at) >= READVERTISE_INTERVAL;
        let readvertises = self.readvertised_at.is_none_or(is_due);
        if readvertises {
            self.readvertised_at = Some(now);
        }
        let due = self.suspects().filter(|(_, suspect)| {
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
        let suspects = self.suspects();
        suspects.filter(|(_, s)| !s.crashes().is_empty()).count()
    }

    /// Number of quarantined fingerprints.
    pub fn quarantined(&self) -> usize {
        let fingerprints = self.suspects().map(|(fingerprint, _)| fingerprint);
        fingerprints
            .filter(|fingerprint| self.verdict(*fingerprint) != Verdict::Allowed)
            .count()
    }

    /// Removes suspects whose lifetime has passed.
    pub fn expire(&mut self, now: Now) {
        for suspects in self.workspaces.values_mut() {
            suspects.retain(|_, suspect| {
                let lifetime = match suspect.crashes().len() {
                    0 | 1 => WEAK_SUSPECT_LIFETIME,
                    _ => SUSPECT_LIFETIME,
                };
                now.saturating_sub(suspect.changed_at()) < lifetime
            });
        }
        self.workspaces.retain(|_, suspects| !suspects.is_empty());
    }

    fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.workspaces.iter().flat_map(|(workspace, suspects)| {
            suspects.iter().map(|(content, suspect)| {
                let fingerprint = Fingerprint {
                    workspace: *workspace,
                    content: *content,
                };
                (fingerprint, suspect)
            })
        })
    }

    fn suspect(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        let suspects = self.workspaces.get(&fingerprint.workspace)?;
        suspects.get(&fingerprint.content)
    }

    fn entry(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        known_good_at: Option<Now>,
    ) -> &mut Suspect {
        if self.suspect(fingerprint).is_none() {
            self.make_room(fingerprint.workspace);
        }
        let suspects = self.workspaces.entry(fingerprint.workspace).or_default();
        let suspect = suspects.entry(fingerprint.content);
        suspect.or_insert_with(|| Suspect::new(now, known_good_at))
    }

    /// Removes the weakest suspect of `workspace` if it has reached its maximum, or of the
    /// workspace with the most suspects if the total is reached.
    fn make_room(&mut self, workspace: u64) {
        let own = self.workspaces.get(&workspace).map_or(0, BTreeMap::len);
        let all: usize = self.workspaces.values().map(BTreeMap::len).sum();
        let largest = || {
            let by_size = self.workspaces.iter();
            by_size.max_by_key(|(_, c)| c.len()).map(|(w, _)| *w)
        };
        let full = match (own >= MAX_PER_WORKSPACE, all >= MAX_SUSPECTS) {
            (true, _) => Some(workspace),
            (false, true) => largest(),
            (false, false) => None,
        };
        let Some(suspects) = full.and_then(|full| self.workspaces.get_mut(&full)) else {
            return;
        };
        let weakest = suspects
            .iter()
            .min_by_key(|(_, s)| (s.crashes().len(), s.changed_at()))
            .map(|(content, _)| *content);
        if let Some(weakest) = weakest {
            suspects.remove(&weakest);
        }
    }

    /// Returns suspects as advertised, those with enough crashes for a quarantine first, then the
    /// latest.
    fn prioritized(
        &self,
        now: Now,
        mut suspects: Vec<(Fingerprint, &Suspect)>,
    ) -> Vec<AdvertisedSuspect> {
        suspects.sort_by_key(|(_, suspect)| {
            let is_quarantined = suspect.crashes().len() >= QUARANTINE_CRASHES;
            std::cmp::Reverse((is_quarantined, suspect.changed_at()))
        });
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
        let ends = latest.map(|crash| AdvertisedCrash {
            life: crash.life,
            age_ms: age_ms(crash.at),
        });
        let quarantine = self.quarantine(suspect);
        AdvertisedSuspect {
            fingerprint,
            ends: ends.collect(),
            proof_age_ms: suspect.known_good_at().map(age_ms),
            quarantine: quarantine.map(|quarantine| AdvertisedQuarantine {
                bursts: quarantine.bursts,
                life: quarantine.last.life,
            }),
        }
    }
}

/// Returns the quarantine that follows from the crashes of a suspect. It begins at the first crash by
/// which there were enough that no other suspect explained by then: requests that only ran next to
/// the real cause are distinguished from it by their crashes.
fn concluded_quarantine(suspect: &Suspect, others: &[&Suspect]) -> Option<Quarantine> {
    let crashes = suspect.crashes();
    let unexplained_at = |count: usize| -> Vec<ServerCrash> {
        let (known, _) = crashes.split_at(count);
        let at = known.last().map_or(Now::ZERO, |crash| crash.at) + CRASH_BURST_WINDOW;
        let is_explained =
            |crash: &&ServerCrash| others.iter().any(|other| other.explains(crash, count, at));
        let unexplained = known.iter().filter(|crash| !is_explained(crash));
        unexplained.copied().collect()
    };
    let counts = QUARANTINE_CRASHES..=crashes.len();
    let (count, mut reasons) = counts
        .map(|count| (count, unexplained_at(count)))
        .find(|(_, reasons)| suspect.weight(reasons) >= QUARANTINE_CRASHES)?;
    reasons.extend_from_slice(&crashes[count..]);
    Some(Quarantine {
        bursts: u32::try_from(crash_bursts(&reasons)).unwrap_or(u32::MAX),
        last: *reasons.last()?,
    })
}
