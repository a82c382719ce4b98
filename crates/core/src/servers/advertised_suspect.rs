//! Suspected requests and parts of prompts as instances advertise them to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;
use crate::IncarnationId;
use crate::SuspectKind;

/// A crash as instances advertise it to each other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdvertisedCrash {
    /// The incarnation that crashed.
    pub life: IncarnationId,
    /// Milliseconds since the crash was observed.
    pub age_ms: u64,
}

/// A quarantine as instances advertise it to each other. It refers to a crash instead of a time, so
/// that it doesn't get longer on its way.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvertisedQuarantine {
    /// Number of crash bursts that it follows from.
    pub bursts: u32,
    /// The incarnation of the latest crash that it follows from, one of those of the suspect.
    pub life: IncarnationId,
}

/// What makes a suspect a part of prompts, as instances advertise it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvertisedPart {
    /// Whether it is the part in all workspaces together, and not that in one of them.
    pub is_in_fleet: bool,
    /// Position of the part in the prompts; the first is 0.
    pub position: u8,
    /// Digests of the request, or of the workspace for a part in the fleet, by which the part was at
    /// each of the crashes.
    pub sources: Vec<u32>,
}

impl AdvertisedPart {
    /// Returns the part of a suspect of a kind; `None` for contents.
    pub(crate) fn of(kind: SuspectKind, sources: Vec<u32>) -> Option<Self> {
        let (is_in_fleet, position) = match kind {
            SuspectKind::PartInFleet(position) => (true, position),
            SuspectKind::Part(position) => (false, position),
            SuspectKind::Content => return None,
        };
        Some(AdvertisedPart {
            is_in_fleet,
            position,
            sources,
        })
    }
}

/// A suspect as instances advertise it to each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdvertisedSuspect {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// The latest crashes, latest first.
    pub ends: Vec<AdvertisedCrash>,
    /// Milliseconds since a request with this fingerprint ran well.
    pub proof_age_ms: Option<u64>,
    /// Its quarantine, if it has one. Not part of the encoding; see [`SuspectAppendix`].
    #[serde(skip)]
    pub quarantine: Option<AdvertisedQuarantine>,
    /// What makes it a part of prompts; `None` for requests with the same content. Not part of the
    /// encoding, as `quarantine`.
    #[serde(skip)]
    pub part: Option<AdvertisedPart>,
}

impl AdvertisedSuspect {
    /// What is suspected.
    pub(crate) fn kind(&self) -> SuspectKind {
        match &self.part {
            Some(part) if part.is_in_fleet => SuspectKind::PartInFleet(part.position),
            Some(part) => SuspectKind::Part(part.position),
            None => SuspectKind::Content,
        }
    }

    /// Returns by what a part was at its crashes; nothing for contents.
    pub(crate) fn sources(&self) -> impl Iterator<Item = (IncarnationId, u32)> + '_ {
        let sources = self.part.iter().flat_map(|part| part.sources.iter());
        let lives = self.ends.iter().map(|crash| crash.life);
        lives.zip(sources.copied())
    }
}

/// What instances advertise about suspects besides what those of an earlier version understand: the
/// parts of prompts, and the quarantines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SuspectAppendix {
    parts: Vec<(AdvertisedSuspect, AdvertisedPart)>,
    /// The quarantines, each with the position of its suspect in the list: first the contents, then
    /// the parts.
    quarantines: Vec<(u8, AdvertisedQuarantine)>,
}

impl SuspectAppendix {
    /// Divides suspects into those that instances of an earlier version understand, and the rest.
    pub fn divide(suspects: Vec<AdvertisedSuspect>) -> (Vec<AdvertisedSuspect>, Self) {
        let is_content = |suspect: &AdvertisedSuspect| suspect.part.is_none();
        let (contents, parts): (Vec<_>, Vec<_>) = suspects.into_iter().partition(is_content);
        let positions = (0_u8..).zip(contents.iter().chain(&parts));
        let quarantines = positions.filter_map(|(position, s)| Some((position, s.quarantine?)));
        let quarantines = quarantines.collect();
        let parts = parts.into_iter();
        let parts = parts.filter_map(|suspect| Some((suspect.clone(), suspect.part?)));
        let appendix = SuspectAppendix {
            parts: parts.collect(),
            quarantines,
        };
        (contents, appendix)
    }

    /// Returns whether it adds nothing.
    pub fn is_empty(&self) -> bool {
        self.quarantines.is_empty() && self.parts.is_empty()
    }

    /// Returns all suspects that [`divide`](Self::divide) has divided. Positions that the list
    /// doesn't have are ignored.
    pub fn join(self, contents: Vec<AdvertisedSuspect>) -> Vec<AdvertisedSuspect> {
        let parts = self
            .parts
            .into_iter()
            .map(|(suspect, part)| AdvertisedSuspect {
                part: Some(part),
                ..suspect
            });
        let mut suspects: Vec<AdvertisedSuspect> = contents.into_iter().chain(parts).collect();
        for (position, quarantine) in self.quarantines {
            if let Some(suspect) = suspects.get_mut(usize::from(position)) {
                suspect.quarantine = Some(quarantine);
            }
        }
        suspects
    }
}
