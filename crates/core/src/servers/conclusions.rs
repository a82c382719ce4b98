//! Concludes from crashes which of several suspects caused them, for all suspects together.
//!
//! Crash by crash, those that were there are evaluated, the likeliest cause first. A crash doesn't count
//! against a suspect only if a likelier one that was there is quarantined.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::Fingerprint;
use crate::IncarnationId;
use crate::Now;
use crate::ServerCrash;
use crate::Suspect;
use crate::SuspectKind;
use crate::servers::quarantine::INITIAL_QUARANTINE;
use crate::servers::quarantine::Quarantine;
use crate::servers::suspect::CRASH_BURST_WINDOW;
use crate::servers::suspect::crash_bursts;

/// Number of crashes without another explanation that quarantine a suspect. With one, every request
/// that ran next to the real cause would be quarantined; a stream that fails over to a backup engine
/// is involved in two if that engine crashes, too.
pub(super) const QUARANTINE_CRASHES: usize = 3;

/// Number of crashes below which nothing follows for a suspect, nor from it for others.
pub(super) const FEWEST_CRASHES: usize = QUARANTINE_CRASHES - 1;

/// What follows from the crashes of one suspect.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Conclusion {
    /// Its quarantine, if it has one.
    pub quarantine: Option<Quarantine>,
    /// Until when requests are sent one at a time, because one more crash would quarantine them, or
    /// because their crashes would have if no request had run well lately: instances that send at one
    /// moment would crash a server each before they hear of each other.
    pub last_chance_until: Option<Now>,
    /// The suspect that explains most of its crashes.
    pub explained_by: Option<Fingerprint>,
}

/// What follows from the crashes of all suspects.
#[derive(Debug, Default)]
pub(super) struct Conclusions {
    by_suspect: BTreeMap<Fingerprint, Conclusion>,
}

impl Conclusions {
    /// Concludes from all that is known of the suspects.
    pub fn of<'a>(suspects: impl Iterator<Item = (Fingerprint, &'a Suspect)>) -> Self {
        let suspects = suspects.filter(|(_, suspect)| suspect.crashes().len() >= FEWEST_CRASHES);
        let mut evaluation = Evaluation::new(suspects.collect());
        evaluation.evaluate_crash_by_crash();
        evaluation.release_explained();
        let suspects = evaluation.suspects.iter().enumerate();
        let by_suspect =
            suspects.map(|(index, (fingerprint, _))| (*fingerprint, evaluation.conclusion(index)));
        Conclusions {
            by_suspect: by_suspect.collect(),
        }
    }

    /// Returns what follows for a suspect.
    pub fn get(&self, fingerprint: Fingerprint) -> Conclusion {
        self.by_suspect
            .get(&fingerprint)
            .copied()
            .unwrap_or_default()
    }
}

/// A crash with the suspects that were there, by their position.
struct CrashRecord {
    at: Now,
    present: Vec<usize>,
}

/// The suspects, and what has been concluded so far.
struct Evaluation<'a> {
    suspects: Vec<(Fingerprint, &'a Suspect)>,
    records: BTreeMap<IncarnationId, CrashRecord>,
    /// The quarantines by the position of the suspects: those concluded, and those received.
    quarantines: Vec<Option<Quarantine>>,
}

impl<'a> Evaluation<'a> {
    fn new(suspects: Vec<(Fingerprint, &'a Suspect)>) -> Self {
        let mut records: BTreeMap<IncarnationId, CrashRecord> = BTreeMap::new();
        for (index, (_, suspect)) in suspects.iter().enumerate() {
            for crash in suspect.crashes() {
                let record = records.entry(crash.life).or_insert(CrashRecord {
                    at: crash.at,
                    present: Vec::new(),
                });
                record.at = record.at.min(crash.at);
                record.present.push(index);
            }
        }
        let received = suspects.iter().map(|(_, suspect)| {
            let is_enough = suspect.crashes().len() >= QUARANTINE_CRASHES;
            suspect.received_quarantine().filter(|_| is_enough)
        });
        Evaluation {
            quarantines: received.collect(),
            suspects,
            records,
        }
    }

    fn suspect(&self, index: usize) -> &'a Suspect {
        self.suspects[index].1
    }

    /// Evaluates those that were at each crash by what was known by then.
    fn evaluate_crash_by_crash(&mut self) {
        let mut concluded = vec![false; self.suspects.len()];
        let mut order: Vec<(Now, IncarnationId)> = Vec::new();
        order.extend(self.records.iter().map(|(life, record)| (record.at, *life)));
        order.sort_unstable();
        for (at, life) in order {
            let until = at + CRASH_BURST_WINDOW;
            let mut present = self.records[&life].present.clone();
            present.retain(|index| !concluded[*index]);
            present.sort_by_key(|index| likelihood_order(self.suspect(*index), until));
            for index in present {
                if let Some(quarantine) = self.concluded_quarantine(index, until) {
                    concluded[index] = true;
                    let received = self.quarantines[index]
                        .filter(|received| received.until() > quarantine.until());
                    self.quarantines[index] = received.or(Some(quarantine));
                }
            }
        }
    }

    /// Returns the quarantine that follows from the crashes of a suspect that were known by `until`.
    /// Later ones extend it.
    fn concluded_quarantine(&self, index: usize, until: Now) -> Option<Quarantine> {
        let suspect = self.suspect(index);
        let (known, later) = suspect.crashes().split_at(suspect.crashes_by(until));
        let mut reasons = self.unexplained(index, known, until);
        if suspect.weight(&reasons) < QUARANTINE_CRASHES {
            return None;
        }
        reasons.extend_from_slice(later);
        Some(Quarantine {
            bursts: u32::try_from(crash_bursts(&reasons)).unwrap_or(u32::MAX),
            last: *reasons.last()?,
        })
    }

    /// Ends the quarantines of suspects that were at no crash without a likelier one that stays
    /// quarantined. Crashes of others that come later end no quarantine otherwise: the crashes that
    /// led to it stay its reason.
    fn release_explained(&mut self) {
        let mut order: Vec<usize> = (0..self.suspects.len()).collect();
        order.sort_by_key(|index| likelihood_order(self.suspect(*index), Now::MAX));
        for index in order {
            let crashes = self.suspect(index).crashes();
            if self.unexplained(index, crashes, Now::MAX).is_empty() {
                self.quarantines[index] = None;
            }
        }
    }

    fn conclusion(&self, index: usize) -> Conclusion {
        let quarantine = self.quarantines[index];
        Conclusion {
            quarantine,
            last_chance_until: match quarantine {
                Some(_) => None,
                None => self.last_chance_until(index),
            },
            explained_by: self.main_explanation(index),
        }
    }

    /// What ran well lately is sent by many callers, and several of their requests may be at one burst
    /// of crashes: it is sent as ever after fewer than three crashes, and one at a time after more,
    /// until it runs well again.
    fn last_chance_until(&self, index: usize) -> Option<Now> {
        let suspect = self.suspect(index);
        let reasons = self.unexplained(index, suspect.crashes(), Now::MAX);
        let last = reasons.last()?;
        let is_close = match suspect.lately_good_at() {
            Some(_) => reasons.len() >= QUARANTINE_CRASHES,
            None => suspect.weight(&reasons) + 1 == QUARANTINE_CRASHES,
        };
        is_close.then(|| last.at + INITIAL_QUARANTINE)
    }

    fn unexplained(&self, index: usize, crashes: &[ServerCrash], until: Now) -> Vec<ServerCrash> {
        let unexplained = crashes
            .iter()
            .filter(|crash| self.explanations(index, crash, until).next().is_none());
        unexplained.copied().collect()
    }

    /// Returns those that explain a crash of a suspect by what was known at `until`: the likelier causes
    /// that were there and are quarantined.
    fn explanations(
        &self,
        index: usize,
        crash: &ServerCrash,
        until: Now,
    ) -> impl Iterator<Item = usize> + '_ {
        let suspect = self.suspect(index);
        let present = self.records.get(&crash.life).into_iter();
        let present = present.flat_map(|record| record.present.iter().copied());
        let held = present.filter(|other| self.quarantines[*other].is_some());
        held.filter(move |other| {
            let other = self.suspect(*other);
            // A part in the fleet was there whenever its parts in the workspaces were, which are
            // distinguished.
            let is_sum = matches!(other.kind(), SuspectKind::PartInFleet(_));
            !is_sum && likelihood_order(other, until) < likelihood_order(suspect, until)
        })
    }

    fn main_explanation(&self, index: usize) -> Option<Fingerprint> {
        let mut explained: BTreeMap<usize, usize> = BTreeMap::new();
        for crash in self.suspect(index).crashes() {
            for other in self.explanations(index, crash, Now::MAX) {
                *explained.entry(other).or_default() += 1;
            }
        }
        let (most, _) = explained.into_iter().max_by_key(|(_, count)| *count)?;
        Some(self.suspects[most].0)
    }
}

/// Order of suspects by what was known at `until`, the likeliest cause first: the one that ran well
/// longest ago; among equals the one with more crashes, and last the more special one.
fn likelihood_order(
    suspect: &Suspect,
    until: Now,
) -> (Option<Now>, Reverse<usize>, Reverse<SuspectKind>) {
    let known = suspect.crashes_by(until);
    (
        suspect.lately_good_at(),
        Reverse(known),
        Reverse(suspect.kind()),
    )
}
