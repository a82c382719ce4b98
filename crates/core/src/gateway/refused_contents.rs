//! Contents of requests that were refused lately for lack of room, by this instance or by others: a
//! request with such a content is a retry.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Fingerprint;
use crate::FleetMembers;
use crate::Now;

/// How long after its Retry-After a refused caller is still expected: connections and heartbeats
/// may each take about a second.
const RETRY_MARGIN: Duration = Duration::from_secs(2);

/// Upper bound of the time for which a content that another instance refused is kept. Callers that
/// are told to wait longer rarely come back.
const MAX_VALIDITY: Duration = Duration::from_secs(30);

/// Maximum number of contents, so that forged or very many refusals don't exhaust the memory.
const MAX_CONTENTS: usize = 4_096;

/// Maximum number of contents in one heartbeat: about 1 kB.
pub const MAX_REFUSED_PER_HEARTBEAT: usize = 64;

/// Number of heartbeats that carry a refusal: two of them may be lost.
const ADVERTISED_TIMES: u8 = 3;

/// Two reports of the same content within this time are of the same refusal: no caller is told to
/// come back sooner.
const SAME_REFUSAL_WITHIN: Duration = Duration::from_millis(300);

/// A refused content as instances advertise it to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdvertisedRefusal {
    /// Digest of the content and its workspace.
    pub content: u64,
    /// Milliseconds since the refusal.
    pub age_ms: u64,
    /// Milliseconds from the refusal until the content is forgotten.
    pub valid_ms: u64,
}

/// Refused contents to advertise.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ToldRefusals {
    /// Those that this instance refused, for all instances.
    pub own: Vec<AdvertisedRefusal>,
    /// Those that its zone refused, for the other zones; empty if it is not a relay.
    pub zone: Vec<AdvertisedRefusal>,
}

/// Instance that refused a content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RefusedBy {
    This,
    Zone,
    OtherZone,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    by: RefusedBy,
    refused_at: Now,
    valid_until: Now,
    /// Number of heartbeats that carried it.
    advertised: u8,
    /// Whether its retry was placed here. It is kept so that a late heartbeat doesn't restore it.
    is_served: bool,
}

impl Entry {
    /// Whether its caller is to come back, as refused by another instance.
    fn waits_elsewhere(&self) -> bool {
        self.by != RefusedBy::This && !self.is_served
    }
}

/// Contents refused for lack of room, until their callers can no longer come back.
#[derive(Clone, Debug, Default)]
pub struct RefusedContents {
    entries: HashMap<u64, Entry>,
    by_end: BTreeSet<(Now, u64)>,
}

impl RefusedContents {
    /// Records a refusal by this instance, whose caller was told to come back after `retry_after`.
    pub fn refused_here(&mut self, now: Now, fingerprint: Fingerprint, retry_after: Duration) {
        let entry = Entry {
            by: RefusedBy::This,
            refused_at: now,
            valid_until: now + retry_after + RETRY_MARGIN,
            advertised: 0,
            is_served: false,
        };
        self.set(content_of(fingerprint), entry);
    }

    /// Applies refusals that another instance advertises. Only those of instances in the same zone
    /// are advertised further, by relays; `is_remote` is whether the sender is in another zone.
    pub fn apply_advertised(
        &mut self,
        now: Now,
        advertised: &[AdvertisedRefusal],
        is_remote: bool,
    ) {
        let by = match is_remote {
            true => RefusedBy::OtherZone,
            false => RefusedBy::Zone,
        };
        for refusal in advertised.iter().take(MAX_REFUSED_PER_HEARTBEAT) {
            let refused_at = FleetMembers::confirmed_at(now, Duration::from_millis(refusal.age_ms));
            let validity = Duration::from_millis(refusal.valid_ms).min(MAX_VALIDITY);
            let valid_until = refused_at + validity;
            let is_known = |entry: &Entry| refused_at <= entry.refused_at + SAME_REFUSAL_WITHIN;
            if valid_until <= now || self.entries.get(&refusal.content).is_some_and(is_known) {
                continue;
            }
            let entry = Entry {
                by,
                refused_at,
                valid_until,
                advertised: 0,
                is_served: false,
            };
            self.set(refusal.content, entry);
        }
    }

    /// Records that a request with this content was placed.
    pub fn served(&mut self, fingerprint: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&content_of(fingerprint)) {
            entry.is_served = true;
        }
    }

    /// Returns whether a request with this content was refused, and no retry placed here yet.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&content_of(fingerprint));
        entry.is_some_and(|entry| !entry.is_served)
    }

    /// Returns the refusals for the next heartbeat.
    pub fn told(&mut self, now: Now, is_relay: bool) -> ToldRefusals {
        let is_due = |entry: &Entry| {
            let is_shared = match entry.by {
                RefusedBy::This => true,
                RefusedBy::Zone => is_relay,
                RefusedBy::OtherZone => false,
            };
            is_shared && entry.advertised < ADVERTISED_TIMES && now < entry.valid_until
        };
        let mut due: Vec<(&u64, &mut Entry)> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| is_due(entry))
            .collect();
        due.sort_by_key(|(content, entry)| (entry.advertised, entry.refused_at, **content));
        due.truncate(MAX_REFUSED_PER_HEARTBEAT);
        let mut told = ToldRefusals::default();
        for (content, entry) in due {
            entry.advertised += 1;
            let validity = entry.valid_until.saturating_sub(entry.refused_at);
            let refusal = AdvertisedRefusal {
                content: *content,
                age_ms: now.saturating_sub(entry.refused_at).as_millis() as u64,
                valid_ms: validity.as_millis() as u64,
            };
            if entry.by == RefusedBy::This {
                told.own.push(refusal);
            }
            if is_relay {
                told.zone.push(refusal);
            }
        }
        told
    }

    /// Returns the number of callers refused by other instances who were told to come back between
    /// two times. `to` plus two seconds must not overflow.
    pub fn count_due_elsewhere(&self, from: Now, to: Now) -> usize {
        let ends = (from + RETRY_MARGIN, 0)..=(to + RETRY_MARGIN, u64::MAX);
        let contents = self.by_end.range(ends).map(|(_, content)| content);
        let entries = contents.filter_map(|content| self.entries.get(content));
        entries.filter(|entry| entry.waits_elsewhere()).count()
    }

    /// Returns the number of contents stored.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Removes the contents whose callers can no longer come back.
    pub fn expire(&mut self, now: Now) {
        while let Some((end, content)) = self.by_end.first().copied()
            && end <= now
        {
            self.by_end.pop_first();
            self.entries.remove(&content);
        }
    }

    /// Stores an entry. If there are too many, the one that ends first is removed.
    fn set(&mut self, content: u64, entry: Entry) {
        if let Some(before) = self.entries.insert(content, entry) {
            self.by_end.remove(&(before.valid_until, content));
        }
        self.by_end.insert((entry.valid_until, content));
        if self.entries.len() > MAX_CONTENTS
            && let Some((_, first)) = self.by_end.pop_first()
        {
            self.entries.remove(&first);
        }
    }
}

/// Returns the digest under which a content is stored and advertised. Half of the fingerprint is
/// enough: a collision only makes a first try count as a retry.
fn content_of(fingerprint: Fingerprint) -> u64 {
    (fingerprint.content >> 64) as u64 ^ fingerprint.workspace
}
