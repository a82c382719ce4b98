//! Suspected requests as instances advertise them to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;
use crate::IncarnationId;

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
}

/// What instances advertise about suspects besides what those of an earlier version understand.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SuspectAppendix {
    /// The quarantines, each with the position of its suspect in the list.
    quarantines: Vec<(u8, AdvertisedQuarantine)>,
}

impl SuspectAppendix {
    /// Returns the appendix of a list of suspects.
    pub fn of(suspects: &[AdvertisedSuspect]) -> Self {
        let positions = (0_u8..).zip(suspects);
        let quarantines = positions.filter_map(|(position, s)| Some((position, s.quarantine?)));
        SuspectAppendix {
            quarantines: quarantines.collect(),
        }
    }

    /// Returns whether it adds nothing.
    pub fn is_empty(&self) -> bool {
        self.quarantines.is_empty()
    }

    /// Adds the appendix to the list that it was made of. Positions that the list doesn't have are
    /// ignored.
    pub fn add_to(self, suspects: &mut [AdvertisedSuspect]) {
        for (position, quarantine) in self.quarantines {
            if let Some(suspect) = suspects.get_mut(usize::from(position)) {
                suspect.quarantine = Some(quarantine);
            }
        }
    }
}
