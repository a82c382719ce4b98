//! A suspected request fingerprint: backend servers crashed while they ran such a request.

use std::time::Duration;

use crate::AdvertisedQuarantine;
use crate::IncarnationId;
use crate::Now;
use crate::servers::quarantine::Quarantine;

/// Time after the first event at which a stream counts as known-good on its server: a poison
/// request crashes its server soon after the server has burst_started_at to run it.
pub const KNOWN_GOOD_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of crashes stored per fingerprint; the latest are kept.
const MAX_CRASHES: usize = 32;

/// Crashes within this time are one crash burst: many servers that are killed together crash within
/// milliseconds of each other, and instances observe it up to a heartbeat apart.
pub(crate) const CRASH_BURST_WINDOW: Duration = Duration::from_millis(250);

/// Difference by which two instances may date the same good run: some heartbeats.
const GOOD_RUN_TOLERANCE: Duration = Duration::from_secs(1);

/// How long a fingerprint that ran well is assumed to be sent by many callers: their requests are
/// on many servers at once, and all of these may crash for another reason.
const KNOWN_GOOD_LIFETIME: Duration = Duration::from_secs(60);

/// The crash of one incarnation of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerCrash {
    /// The incarnation.
    pub life: IncarnationId,
    /// When the crash was first observed.
    pub at: Now,
}

/// State of one suspected request fingerprint.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// Crashes that count, oldest first.
    crashes: Vec<ServerCrash>,
    /// When a request with this fingerprint last ran well.
    known_good_at: Option<Now>,
    /// When this state last changed.
    changed_at: Now,
    /// The longest quarantine that other instances told.
    told_quarantine: Option<AdvertisedQuarantine>,
}

impl Suspect {
    /// Creates a state without crashes; `known_good_at` is when a request last ran well.
    pub fn new(now: Now, known_good_at: Option<Now>) -> Self {
        Suspect {
            crashes: Vec::new(),
            known_good_at,
            changed_at: now,
            told_quarantine: None,
        }
    }

    /// Records a crash; returns whether it is new and counts. A fingerprint that ran well after a
    /// crash did not cause it.
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
            known.at = known.at.min(crash.at);
            return false;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.changed_at = now;
        true
    }

    /// Records that a request ran well at `at`; returns whether this cleared crashes that
    /// counted.
    pub fn record_good_run(&mut self, now: Now, at: Now) -> bool {
        if self
            .known_good_at
            .is_none_or(|known| at > known + GOOD_RUN_TOLERANCE)
        {
            // Those who told it may not have known of this run.
            self.told_quarantine = None;
        }
        self.known_good_at = self.known_good_at.max(Some(at));
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| Some(crash.at) > self.known_good_at);
        let is_cleared = self.crashes.len() < before;
        if is_cleared {
            self.changed_at = now;
        }
        is_cleared
    }

    /// Applies a quarantine that another instance told, which knew of a good run at `good_at`. One
    /// that knew of no good run as late as this instance may not have known that the crashes were
    /// those of a request that many callers send.
    pub(crate) fn hear_quarantine(&mut self, told: AdvertisedQuarantine, good_at: Option<Now>) {
        let is_informed = |own: Now| good_at.is_some_and(|at| at + GOOD_RUN_TOLERANCE >= own);
        if !self.known_good_at.is_none_or(is_informed) {
            return;
        }
        let known = self.told_quarantine();
        self.told_quarantine = Some(told);
        if known.map(|known| known.until()) > self.told_quarantine().map(|new| new.until()) {
            self.told_quarantine = known.map(|known| AdvertisedQuarantine {
                bursts: known.bursts,
                life: known.last.life,
            });
        }
    }

    /// The longest quarantine that other instances told, unless its crash no longer counts.
    pub(crate) fn told_quarantine(&self) -> Option<Quarantine> {
        let told = self.told_quarantine?;
        let mut crashes = self.crashes.iter();
        let last = crashes.find(|crash| crash.life == told.life)?;
        Some(Quarantine {
            bursts: told.bursts,
            last: *last,
        })
    }

    /// Whether this suspect explains a crash of another one, of which `count` crashes were known at
    /// `until`: it was there and had more crashes by then.
    pub(crate) fn explains(&self, crash: &ServerCrash, count: usize, until: Now) -> bool {
        let known = self.crashes.partition_point(|own| own.at <= until);
        known > count && self.has_crashed(crash.life)
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

    /// Whether an incarnation crashed while it ran a request with this fingerprint.
    pub fn has_crashed(&self, life: IncarnationId) -> bool {
        self.crashes.iter().any(|crash| crash.life == life)
    }

    /// Weight of some of the crashes. If a request with this fingerprint recently ran well, each
    /// crash burst counts once, otherwise each crash.
    pub fn weight(&self, crashes: &[ServerCrash]) -> usize {
        let Some(first) = crashes.first() else {
            return 0;
        };
        let ran_recently = |good_at: Now| first.at.saturating_sub(good_at) < KNOWN_GOOD_LIFETIME;
        match self.known_good_at.is_some_and(ran_recently) {
            true => crash_bursts(crashes),
            false => crashes.len(),
        }
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
