//! The suspects that an instance knows, a bounded number per workspace.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::Fingerprint;
use crate::Now;
use crate::Suspect;
use crate::SuspectKind;

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

type WorkspaceSuspects = BTreeMap<u128, Suspect>;

/// The suspects by workspace and digest.
#[derive(Debug, Default)]
pub(super) struct SuspectStore {
    workspaces: BTreeMap<u64, WorkspaceSuspects>,
}

impl SuspectStore {
    /// Returns all suspects.
    pub fn iter(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
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

    /// Returns the suspect with a fingerprint.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        let suspects = self.workspaces.get(&fingerprint.workspace)?;
        suspects.get(&fingerprint.content)
    }

    /// Returns the suspect with a fingerprint, to change it.
    pub fn get_mut(&mut self, fingerprint: Fingerprint) -> Option<&mut Suspect> {
        let suspects = self.workspaces.get_mut(&fingerprint.workspace)?;
        suspects.get_mut(&fingerprint.content)
    }

    /// Returns the suspect with a fingerprint; adds it if it is new. `known_good_at` is when it last
    /// ran well.
    pub fn entry(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        kind: SuspectKind,
        known_good_at: Option<Now>,
    ) -> &mut Suspect {
        if self.get(fingerprint).is_none() {
            self.make_room(fingerprint.workspace);
        }
        let suspects = self.workspaces.entry(fingerprint.workspace).or_default();
        let suspect = suspects.entry(fingerprint.content);
        suspect.or_insert_with(|| Suspect::new(now, kind, known_good_at))
    }

    /// Removes suspects whose lifetime has passed; returns whether there were any.
    pub fn expire(&mut self, now: Now) -> bool {
        let before = self.iter().count();
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
        self.iter().count() < before
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
            .min_by_key(|(_, s)| rank(s))
            .map(|(content, _)| *content);
        if let Some(weakest) = weakest {
            suspects.remove(&weakest);
        }
    }
}

/// Order in which suspects are kept and advertised: those with more crashes first; parts of prompts,
/// which come again, before requests that may not; then the latest.
pub(super) fn rank(suspect: &Suspect) -> (usize, bool, Now) {
    let is_part = suspect.kind() != SuspectKind::Content;
    (suspect.crashes().len(), is_part, suspect.changed_at())
}

/// Sorts suspects by rank, the first to advertise first.
pub(super) fn by_rank(mut suspects: Vec<(Fingerprint, &Suspect)>) -> Vec<(Fingerprint, &Suspect)> {
    suspects.sort_by_key(|(_, suspect)| Reverse(rank(suspect)));
    suspects
}

/// Chooses up to `max` suspects to advertise: half of them by rank, and of the others those that were
/// advertised least since they changed, so that none waits for as long as there are stronger ones.
pub(super) fn with_waiting(
    suspects: Vec<(Fingerprint, &Suspect)>,
    max: usize,
) -> Vec<(Fingerprint, &Suspect)> {
    let mut chosen = by_rank(suspects);
    let mut others = chosen.split_off(chosen.len().min(max / 2));
    others.sort_by_key(|(_, suspect)| suspect.advertised_since());
    chosen.extend(others.into_iter().take(max - max / 2));
    chosen
}
