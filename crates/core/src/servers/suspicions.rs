//! Which contents of requests are suspected to end the backend servers that run them, to
//! the knowledge of one instance and of those that it hears.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;
use crate::IncarnationId;
use crate::Now;
use crate::ServerCrash;
use crate::Suspect;
use crate::servers::suspect::moments;

/// Ends that nothing else explains from which on a content is quarantined: with one, each
/// request that was beside another cause would be; a stream that goes on at a copy is in
/// two when that engine ends, too.
const ENDS_TO_QUARANTINE: usize = 3;

/// Quarantine after ends at one moment, which may have had another cause: as long as
/// callers and balancers take to settle after one.
const FIRST_QUARANTINE: Duration = Duration::from_secs(5);

/// How much longer it is with each further moment: after the third, 180 s, in which
/// callers that wait up to 39 s come back no more.
const QUARANTINE_GROWTH: u32 = 6;

/// Longest quarantine: a repaired server is noticed within the hour.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Moments after which the quarantine grows no longer.
const MOST_MOMENTS: u32 = 5;

/// Contents remembered per workspace, so that none can make the others' be forgotten.
/// About 200 bytes each.
const MOST_PER_WORKSPACE: usize = 64;

/// Contents remembered in all: a megabyte.
const MOST_SUSPECTS: usize = 4_096;

/// How long a content with less than two ends is remembered: callers come back within
/// their patience, of which the longest is 39 s.
const SLIGHT_REMEMBERED: Duration = Duration::from_secs(120);

/// How long the others are: past the longest quarantine.
const REMEMBERED: Duration = Duration::from_secs(7_200);

/// How long news are told with each heartbeat: three of the slowest, of which two may be
/// lost.
const NEWS_TOLD_FOR: Duration = Duration::from_secs(3);

/// Time between two tellings of what is no news, for instances that have just started or
/// were cut off.
const RETOLD_EVERY: Duration = Duration::from_secs(1);

/// Contents told at most with one heartbeat; about 100 bytes each.
const MOST_TOLD: usize = 12;

/// Ends told at most of one content: twice those that it takes to quarantine it.
const MOST_ENDS_TOLD: usize = 6;

/// Added to the age of a proof that is heard, for the way of a heartbeat: without it, a
/// proof that is passed on would get younger and speak against later ends.
const HEARTBEAT_TRANSIT: Duration = Duration::from_millis(100);

/// What is to be done with a content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is sent.
    Allowed,
    /// It is not sent until then.
    Quarantined {
        /// Ends under it.
        ends: usize,
        /// When the quarantine ends.
        until: Now,
    },
}

/// An end, as instances tell each other.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdvertisedCrash {
    /// The life that ended.
    pub life: IncarnationId,
    /// Milliseconds since it was seen.
    pub age_ms: u64,
}

/// A suspected content, as instances tell each other.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdvertisedSuspect {
    /// The content.
    pub fingerprint: Fingerprint,
    /// Latest ends under it.
    pub ends: Vec<AdvertisedCrash>,
    /// Milliseconds since a request with it ran well.
    pub proof_age_ms: Option<u64>,
}

/// A belief that has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionUpdate {
    /// A server ended under a request of this instance.
    Ended {
        /// The content.
        fingerprint: Fingerprint,
        /// Ends under it that are known.
        ends: usize,
    },
    /// A content is quarantined from now on.
    Quarantined {
        /// The content.
        fingerprint: Fingerprint,
        /// Ends under it.
        ends: usize,
        /// When the quarantine ends.
        until: Now,
    },
    /// A content that was suspected ran well.
    Cleared {
        /// The content.
        fingerprint: Fingerprint,
    },
}

type Contents = BTreeMap<u128, Suspect>;

/// The suspected contents by workspace.
#[derive(Debug, Default)]
pub struct Suspicions {
    workspaces: BTreeMap<u64, Contents>,
    retold_at: Option<Now>,
    news: Vec<SuspicionUpdate>,
}

impl Suspicions {
    /// Notes that a server ended under a request of this instance, whose content last ran
    /// well at a time.
    pub fn server_ended(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        known_good_at: Option<Now>,
        end: ServerCrash,
    ) {
        let before = self.verdict(fingerprint);
        let suspect = self.entry(now, fingerprint, known_good_at);
        if !suspect.add_crash(now, end) {
            return;
        }
        let ends = suspect.ends().len();
        self.news.push(SuspicionUpdate::Ended { fingerprint, ends });
        self.note_change(fingerprint, before);
    }

    /// Notes that a request ran well: it was answered, or its stream went on for long.
    pub fn ran_well(&mut self, now: Now, fingerprint: Fingerprint) {
        let contents = self.workspaces.get_mut(&fingerprint.workspace);
        let suspect = contents.and_then(|contents| contents.get_mut(&fingerprint.content));
        if suspect.is_some_and(|suspect| suspect.prove(now, now)) {
            self.news.push(SuspicionUpdate::Cleared { fingerprint });
        }
    }

    /// Takes what another instance tells of a content that last ran well here at a time.
    pub fn hear(&mut self, now: Now, known_good_at: Option<Now>, told: &AdvertisedSuspect) {
        let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
        let fingerprint = told.fingerprint;
        let before = self.verdict(fingerprint);
        let suspect = self.entry(now, fingerprint, known_good_at);
        let heard = told.proof_age_ms.map(at);
        let heard = heard.map(|proven| proven.saturating_sub(HEARTBEAT_TRANSIT));
        let known_good_at = heard.max(known_good_at);
        let is_cleared = known_good_at.is_some_and(|proven| suspect.prove(now, proven));
        for end in &told.ends {
            let (life, at) = (end.life, at(end.age_ms));
            suspect.add_crash(now, ServerCrash { life, at });
        }
        if is_cleared {
            self.news.push(SuspicionUpdate::Cleared { fingerprint });
        }
        self.note_change(fingerprint, before);
    }

    fn note_change(&mut self, fingerprint: Fingerprint, before: Verdict) {
        if let (Verdict::Allowed, Verdict::Quarantined { ends, until }) =
            (before, self.verdict(fingerprint))
        {
            self.news.push(SuspicionUpdate::Quarantined {
                fingerprint,
                ends,
                until,
            });
        }
    }

    /// What is to be done with a content. Requests that were beside another cause are
    /// told from it by their ends: whatever else had more of them explains those that both
    /// have.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let Some(suspect) = self.suspect(fingerprint) else {
            return Verdict::Allowed;
        };
        if suspect.ends().len() < ENDS_TO_QUARANTINE {
            return Verdict::Allowed;
        }
        let ends = suspect.ends().iter().copied();
        let ends: Vec<ServerCrash> = ends.filter(|e| !self.is_explained(suspect, e)).collect();
        let weight = suspect.weight(&ends);
        let (Some(last), true) = (ends.last(), weight >= ENDS_TO_QUARANTINE) else {
            return Verdict::Allowed;
        };
        Verdict::Quarantined {
            ends: ends.len(),
            until: last.at + quarantine(moments(&ends)),
        }
    }

    fn is_explained(&self, suspect: &Suspect, end: &ServerCrash) -> bool {
        let contents = self.workspaces.values().flat_map(BTreeMap::values);
        let mut stronger = contents.filter(|other| other.ends().len() > suspect.ends().len());
        stronger.any(|other| other.has_ended(end.life))
    }

    /// All that is known, for an instance that asks: the gravest and the latest first.
    pub fn known(&self, now: Now) -> Vec<AdvertisedSuspect> {
        first_told(now, self.suspects().collect())
    }

    /// What the others should know now.
    pub fn told(&mut self, now: Now) -> Vec<AdvertisedSuspect> {
        let is_due = |at: Now| now.saturating_sub(at) >= RETOLD_EVERY;
        let retells = self.retold_at.is_none_or(is_due);
        if retells {
            self.retold_at = Some(now);
        }
        let told = self.suspects().filter(|(_, suspect)| {
            let is_news = now.saturating_sub(suspect.changed_at()) < NEWS_TOLD_FOR;
            is_news || (retells && suspect.ends().len() > 1)
        });
        first_told(now, told.collect())
    }

    /// The beliefs that have changed since this was asked last.
    pub fn take_news(&mut self) -> Vec<SuspicionUpdate> {
        std::mem::take(&mut self.news)
    }

    /// How many contents have ends that count.
    pub fn count(&self) -> usize {
        let suspects = self.suspects();
        suspects.filter(|(_, s)| !s.ends().is_empty()).count()
    }

    /// How many contents are quarantined.
    pub fn quarantined(&self) -> usize {
        let contents = self.suspects().map(|(fingerprint, _)| fingerprint);
        contents
            .filter(|content| self.verdict(*content) != Verdict::Allowed)
            .count()
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Now) {
        for contents in self.workspaces.values_mut() {
            contents.retain(|_, suspect| {
                let lifetime = match suspect.ends().len() {
                    0 | 1 => SLIGHT_REMEMBERED,
                    _ => REMEMBERED,
                };
                now.saturating_sub(suspect.changed_at()) < lifetime
            });
        }
        self.workspaces.retain(|_, contents| !contents.is_empty());
    }

    fn suspects(&self) -> impl Iterator<Item = (Fingerprint, &Suspect)> {
        self.workspaces.iter().flat_map(|(workspace, contents)| {
            contents.iter().map(|(content, suspect)| {
                let fingerprint = Fingerprint {
                    workspace: *workspace,
                    content: *content,
                };
                (fingerprint, suspect)
            })
        })
    }

    fn suspect(&self, fingerprint: Fingerprint) -> Option<&Suspect> {
        let contents = self.workspaces.get(&fingerprint.workspace)?;
        contents.get(&fingerprint.content)
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
        let contents = self.workspaces.entry(fingerprint.workspace).or_default();
        let suspect = contents.entry(fingerprint.content);
        suspect.or_insert_with(|| Suspect::new(now, known_good_at))
    }

    /// Drops the slightest suspicion of a workspace that has its share, or else of the
    /// one that has most.
    fn make_room(&mut self, workspace: u64) {
        let own = self.workspaces.get(&workspace).map_or(0, BTreeMap::len);
        let all: usize = self.workspaces.values().map(BTreeMap::len).sum();
        let largest = || {
            let by_size = self.workspaces.iter();
            by_size.max_by_key(|(_, c)| c.len()).map(|(w, _)| *w)
        };
        let full = match (own >= MOST_PER_WORKSPACE, all >= MOST_SUSPECTS) {
            (true, _) => Some(workspace),
            (false, true) => largest(),
            (false, false) => None,
        };
        let Some(contents) = full.and_then(|full| self.workspaces.get_mut(&full)) else {
            return;
        };
        let slightest = contents
            .iter()
            .min_by_key(|(_, s)| (s.ends().len(), s.changed_at()))
            .map(|(content, _)| *content);
        if let Some(slightest) = slightest {
            contents.remove(&slightest);
        }
    }
}

fn quarantine(moments: usize) -> Duration {
    let moments = u32::try_from(moments).unwrap_or(MOST_MOMENTS);
    let further = moments.clamp(1, MOST_MOMENTS) - 1;
    let time = FIRST_QUARANTINE * QUARANTINE_GROWTH.pow(further);
    time.min(LONGEST_QUARANTINE)
}

fn first_told(now: Now, mut told: Vec<(Fingerprint, &Suspect)>) -> Vec<AdvertisedSuspect> {
    told.sort_by_key(|(_, suspect)| {
        let is_quarantined = suspect.ends().len() >= ENDS_TO_QUARANTINE;
        std::cmp::Reverse((is_quarantined, suspect.changed_at()))
    });
    told.truncate(MOST_TOLD);
    told.into_iter().map(|(f, s)| as_told(now, f, s)).collect()
}

fn as_told(now: Now, fingerprint: Fingerprint, suspect: &Suspect) -> AdvertisedSuspect {
    let age_ms = |at: Now| now.saturating_sub(at).as_millis() as u64;
    let latest = suspect.ends().iter().rev().take(MOST_ENDS_TOLD);
    let ends = latest.map(|end| AdvertisedCrash {
        life: end.life,
        age_ms: age_ms(end.at),
    });
    AdvertisedSuspect {
        fingerprint,
        ends: ends.collect(),
        proof_age_ms: suspect.known_good_at().map(age_ms),
    }
}
