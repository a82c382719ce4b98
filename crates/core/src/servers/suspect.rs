//! A suspected request or part of a prompt: backend servers crashed while they ran such requests.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::AdvertisedQuarantine;
use crate::IncarnationId;
use crate::Now;
use crate::servers::quarantine::Quarantine;

/// Time after the first event at which a stream counts as known-good on its server: a poison
/// request crashes its server soon after the server has begun to run it.
pub const KNOWN_GOOD_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of crashes stored per suspect; the latest are kept.
const MAX_CRASHES: usize = 32;

/// Crashes within this time are one crash burst: many servers that are killed together crash within
/// milliseconds of each other, and instances observe it up to a heartbeat apart.
pub(crate) const CRASH_BURST_WINDOW: Duration = Duration::from_millis(250);

/// Difference by which two instances may date the same good run: some heartbeats.
const GOOD_RUN_TOLERANCE: Duration = Duration::from_secs(1);

/// How long a suspect that ran well is assumed to be sent by many callers: their requests are on
/// many servers at once, and all of these may crash for another reason.
const KNOWN_GOOD_LIFETIME: Duration = Duration::from_secs(60);

/// Number of crashes by which one request or workspace can be quarantined itself. More of them say
/// nothing about a part that it shares with others.
const ENOUGH_OF_ONE_SOURCE: usize = 3;

/// Number of requests or workspaces that have to share a part for it to be the cause.
const PART_SOURCES: usize = 2;

/// The crash of one incarnation of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerCrash {
    /// The incarnation.
    pub life: IncarnationId,
    /// When the crash was first observed.
    pub at: Now,
}

/// What is suspected, from the least special to the most special.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SuspectKind {
    /// A part of prompts at this position, in all workspaces together.
    PartInFleet(u8),
    /// A part of prompts at this position, in one workspace.
    Part(u8),
    /// Requests with the same content.
    Content,
}

/// State of one suspect.
#[derive(Clone, Debug)]
pub struct Suspect {
    kind: SuspectKind,
    /// Crashes that count, oldest first.
    crashes: Vec<ServerCrash>,
    /// Digest of the request, or of the workspace for a part in the fleet, by which the part was at
    /// a crash. Empty for contents.
    sources: BTreeMap<IncarnationId, u32>,
    /// When a request with this fingerprint last ran well.
    known_good_at: Option<Now>,
    /// When this state last changed.
    changed_at: Now,
    /// How often it was advertised since.
    advertised_since: u32,
    /// The longest quarantine that other instances advertised.
    received_quarantine: Option<AdvertisedQuarantine>,
    /// Number of changes from which something may follow.
    revision: u64,
}

impl Suspect {
    /// Creates a state without crashes; `known_good_at` is when a request last ran well.
    pub fn new(now: Now, kind: SuspectKind, known_good_at: Option<Now>) -> Self {
        Suspect {
            kind,
            crashes: Vec::new(),
            sources: BTreeMap::new(),
            known_good_at,
            changed_at: now,
            advertised_since: 0,
            received_quarantine: None,
            revision: 0,
        }
    }

    /// Number of changes from which something may follow.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// What is suspected.
    pub fn kind(&self) -> SuspectKind {
        self.kind
    }

    /// Records a crash; returns whether it is new and counts. A suspect that ran well after a crash
    /// did not cause it.
    pub fn add_crash(&mut self, now: Now, crash: ServerCrash) -> bool {
        if self
            .known_good_at
            .is_some_and(|good_at| crash.at <= good_at)
        {
            return false;
        }
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.life == crash.life)
        {
            // An instance that receives it later estimates a later time.
            if crash.at < known.at {
                known.at = crash.at;
                self.revision += 1;
            }
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.note_change(now);
        self.revision += 1;
        true
    }

    /// Records by which request or workspace a part was at a crash. Where there were several, all
    /// instances keep the same one.
    pub fn add_source(&mut self, life: IncarnationId, source: u32) {
        if self.has_crashed(life) {
            let known = self.sources.get(&life).copied();
            let least = known.map_or(source, |known| known.min(source));
            if known != Some(least) {
                self.sources.insert(life, least);
                self.revision += 1;
            }
        }
    }

    /// By which request or workspace a part was at a crash; 0 for contents.
    pub fn source(&self, life: IncarnationId) -> u32 {
        self.sources.get(&life).copied().unwrap_or_default()
    }

    /// Records that a request ran well at `at`; returns whether this cleared crashes that
    /// counted.
    pub fn record_good_run(&mut self, now: Now, at: Now) -> bool {
        if self
            .known_good_at
            .is_none_or(|known| at > known + GOOD_RUN_TOLERANCE)
        {
            // Those who advertised it may not have known of this run.
            self.received_quarantine = None;
        }
        let before = self.crashes.len();
        if self.known_good_at < Some(at) {
            self.known_good_at = Some(at);
            self.revision += u64::from(before > 0);
        }
        self.crashes
            .retain(|crash| Some(crash.at) > self.known_good_at);
        let is_cleared = self.crashes.len() < before;
        if is_cleared {
            let crashes = &self.crashes;
            self.sources
                .retain(|life, _| crashes.iter().any(|crash| crash.life == *life));
            self.note_change(now);
        }
        is_cleared
    }

    /// Applies a quarantine that another instance advertises, which knew of a good run at `good_at`. One
    /// that knew of no good run as late as this instance may not have known that the crashes were
    /// those of a request that many callers send.
    pub(crate) fn receive_quarantine(
        &mut self,
        advertised: AdvertisedQuarantine,
        good_at: Option<Now>,
    ) {
        let is_informed = |own: Now| good_at.is_some_and(|at| at + GOOD_RUN_TOLERANCE >= own);
        if !self.known_good_at.is_none_or(is_informed) {
            return;
        }
        let before = self.received_quarantine;
        let known = self.received_quarantine();
        self.received_quarantine = Some(advertised);
        if known.map(|known| known.until()) > self.received_quarantine().map(|new| new.until()) {
            self.received_quarantine = known.map(|known| AdvertisedQuarantine {
                bursts: known.bursts,
                life: known.last.life,
            });
        }
        self.revision += u64::from(self.received_quarantine != before);
    }

    /// The longest quarantine that other instances advertised, unless its crash no longer counts.
    pub(crate) fn received_quarantine(&self) -> Option<Quarantine> {
        let received = self.received_quarantine?;
        let mut crashes = self.crashes.iter();
        let last = crashes.find(|crash| crash.life == received.life)?;
        Some(Quarantine {
            bursts: received.bursts,
            last: *last,
        })
    }

    /// Number of crashes that were known at `until`.
    pub(crate) fn crashes_by(&self, until: Now) -> usize {
        self.crashes.partition_point(|crash| crash.at <= until)
    }

    /// When a request last ran well, if that was recently before the crashes.
    pub(crate) fn lately_good_at(&self) -> Option<Now> {
        let first = self.crashes.first()?;
        let is_recent = |good_at: &Now| first.at.saturating_sub(*good_at) < KNOWN_GOOD_LIFETIME;
        self.known_good_at.filter(is_recent)
    }

    /// The crashes that count, oldest first.
    pub fn crashes(&self) -> &[ServerCrash] {
        &self.crashes
    }

    /// When a request with this fingerprint last ran well.
    pub fn known_good_at(&self) -> Option<Now> {
        self.known_good_at
    }

    /// When this state last changed.
    pub fn changed_at(&self) -> Now {
        self.changed_at
    }

    fn note_change(&mut self, now: Now) {
        self.changed_at = now;
        self.advertised_since = 0;
    }

    /// How often this state was advertised since it last changed.
    pub(super) fn advertised_since(&self) -> u32 {
        self.advertised_since
    }

    /// Records that this state is advertised.
    pub(super) fn note_advertised(&mut self) {
        self.advertised_since = self.advertised_since.saturating_add(1);
    }

    /// Whether an incarnation crashed while it ran a request with this fingerprint.
    pub fn has_crashed(&self, life: IncarnationId) -> bool {
        self.crashes.iter().any(|crash| crash.life == life)
    }

    /// Weight of some of the crashes. If a request with this fingerprint recently ran well, each
    /// crash burst counts once, otherwise each crash. Those of a part count only if several requests
    /// have it, and once for a request that can be quarantined by its own crashes.
    pub fn weight(&self, crashes: &[ServerCrash]) -> usize {
        let Some(first) = crashes.first() else {
            return 0;
        };
        let by_source = self.crashes_by_source(crashes);
        if self.kind != SuspectKind::Content && by_source.len() < PART_SOURCES {
            return 0;
        }
        let ran_recently = |good_at: Now| first.at.saturating_sub(good_at) < KNOWN_GOOD_LIFETIME;
        if self.known_good_at.is_some_and(ran_recently) {
            return crash_bursts(crashes);
        }
        if self.kind == SuspectKind::Content {
            return crashes.len();
        }
        let counted = by_source.values().map(|count| match *count {
            0..ENOUGH_OF_ONE_SOURCE => *count,
            _ => 1,
        });
        counted.sum()
    }

    fn crashes_by_source(&self, crashes: &[ServerCrash]) -> BTreeMap<u32, usize> {
        let mut by_source = BTreeMap::new();
        for crash in crashes {
            *by_source.entry(self.source(crash.life)).or_default() += 1;
        }
        by_source
    }
}

/// Number of crash bursts among crashes, which are ordered oldest first.
pub(crate) fn crash_bursts(crashes: &[ServerCrash]) -> usize {
    let mut count = 0;
    let mut burst_started_at: Option<Now> = None;
    for crash in crashes {
        if burst_started_at.is_none_or(|start| crash.at.saturating_sub(start) > CRASH_BURST_WINDOW)
        {
            count += 1;
            burst_started_at = Some(crash.at);
        }
    }
    count
}
