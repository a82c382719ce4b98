//! Why the crashes of a suspect don't quarantine it.

/// Why the crashes of a suspect don't quarantine it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStanding {
    /// There are too few of them.
    FewCrashes,
    /// It ran well lately, and several crashes at one moment count once.
    RanWellLately,
    /// Another suspect explains some of them.
    Explained,
    /// They do.
    Quarantined,
}

impl SuspectStanding {
    /// Text for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            SuspectStanding::FewCrashes => "few_crashes",
            SuspectStanding::RanWellLately => "ran_well_lately",
            SuspectStanding::Explained => "explained",
            SuspectStanding::Quarantined => "quarantined",
        }
    }
}
