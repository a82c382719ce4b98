//! The limits that backend servers named, and what this instance may send under them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::DeclaredLimit;
use crate::FleetMembers;
use crate::IncarnationId;
use crate::LimitParameters;
use crate::LimitShare;
use crate::Now;
use crate::RequestId;
use crate::RequestRate;
use crate::ServerLife;

/// How long a grant holds: a request that its process sends later, after standing still,
/// would count in a span for which others were granted as much.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// How long the others are told that a limit is no more: several heartbeats, two of which may
/// be lost.
const WITHDRAWAL_TOLD_FOR: Duration = Duration::from_secs(10);

/// How long a word about a life that is listed no more is kept: past any outage after which
/// its entry is back.
const KEPT_UNLISTED: Duration = Duration::from_secs(60);

/// Time beyond which callers are not queued: most that are told to wait for longer never come
/// back, and later ones would wait for turns that nobody takes.
const LONGEST_QUEUE: Duration = Duration::from_secs(5);

/// Most limits that one heartbeat tells, so that its size is bounded where hundreds of
/// servers are limited; they are told by turns.
const MOST_TOLD: usize = 8;

/// What an instance tells the others of a server's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// The server.
    pub server: ServerLife,
    /// Its limit, `None` if it names none any more.
    pub limit: Option<RequestRate>,
    /// Milliseconds since an answer said so.
    pub age_ms: u64,
}

/// A change of what is believed of a server's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// It takes so many requests a second of all instances together.
    Limited(RequestRate),
    /// It names a limit no more.
    Withdrawn,
}

/// What an answer said of a limit.
#[derive(Clone, Copy, Debug)]
struct Word {
    /// The limit, `None` where it named none any more.
    limit: Option<RequestRate>,
    /// When the answer was heard, here or elsewhere.
    heard_at: Now,
    /// Whether it was an answer to this instance.
    is_own: bool,
}

/// What is known of the limit of one life of a server.
#[derive(Clone, Debug)]
struct KnownLimit {
    server: ServerLife,
    /// The latest word.
    word: Word,
    /// When this instance learnt that there is a limit.
    limited_since: Now,
    /// When the others were told last.
    told_at: Option<Now>,
    share: LimitShare,
    /// Until when callers that were refused because of it were told to wait.
    reserved_until: Now,
}

/// A request that may be sent.
#[derive(Clone, Copy, Debug)]
struct Grant {
    life: IncarnationId,
    at: Now,
}

/// The limits by life.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    by_life: BTreeMap<IncarnationId, KnownLimit>,
    grants: HashMap<RequestId, Grant>,
    version: u64,
    terms: LimitParameters,
}

impl ServerLimits {
    /// Changes what the shares of limits go by that are named from now on.
    pub fn set_terms(&mut self, terms: LimitParameters) {
        self.terms = terms;
    }

    /// Notes what an answer to a request, sent at `sent_at`, says; `earned` is drawn by
    /// chance, from 0 to 1.
    ///
    /// Answers overtake each other. An answer is later than all that was heard before its
    /// request was sent; where that can't be said of two answers, the lower limit counts.
    pub fn heard(
        &mut self,
        now: Now,
        server: &ServerLife,
        named: DeclaredLimit,
        sent_at: Now,
        earned: f64,
    ) -> Option<LimitChange> {
        let limit = match named {
            DeclaredLimit::Unreadable => return None,
            DeclaredLimit::Absent => None,
            DeclaredLimit::Of(rate) => Some(rate),
        };
        let known = self.by_life.get(&server.life);
        let is_later = known.is_none_or(|known| sent_at >= known.word.heard_at);
        let is_lower = limit.is_some_and(|limit| {
            let known = known.and_then(|known| known.word.limit);
            known.is_none_or(|known| limit <= known)
        });
        let says_nothing = known.is_none() && limit.is_none();
        if says_nothing || !(is_later || is_lower) {
            return None;
        }
        let word = Word {
            limit,
            heard_at: now,
            is_own: true,
        };
        self.set(now, server, word, earned)
    }

    /// Notes what another instance tells.
    pub fn apply_advertised(
        &mut self,
        now: Now,
        told: &AdvertisedLimit,
        earned: f64,
    ) -> Option<LimitChange> {
        let heard_at = FleetMembers::confirmed_at(now, Duration::from_millis(told.age_ms));
        let known = self.by_life.get(&told.server.life);
        // Two relays that took the same word from each other would make it younger for ever.
        let is_known = |word: Word| word.heard_at >= heard_at || word.limit == told.limit;
        if known.is_some_and(|known| is_known(known.word)) {
            return None;
        }
        let word = Word {
            limit: told.limit,
            heard_at,
            is_own: false,
        };
        self.set(now, &told.server, word, earned)
    }

    fn set(
        &mut self,
        now: Now,
        server: &ServerLife,
        word: Word,
        earned: f64,
    ) -> Option<LimitChange> {
        let terms = self.terms;
        let entry = self.by_life.entry(server.life);
        let known = entry.or_insert_with(|| KnownLimit {
            server: server.clone(),
            word: Word {
                limit: None,
                ..word
            },
            limited_since: now,
            told_at: None,
            share: LimitShare::new(now, terms, earned),
            reserved_until: Now::ZERO,
        });
        let before = std::mem::replace(&mut known.word, word).limit;
        if before == word.limit {
            return None;
        }
        if before.is_none() {
            known.limited_since = now;
            known.share = LimitShare::new(now, terms, earned);
        }
        known.told_at = None;
        self.version += 1;
        Some(
            word.limit
                .map_or(LimitChange::Withdrawn, LimitChange::Limited),
        )
    }

    /// Whether a server is limited now.
    pub fn has(&self, life: IncarnationId) -> bool {
        self.limit_of(life).is_some()
    }

    /// Its limit.
    pub fn limit_of(&self, life: IncarnationId) -> Option<RequestRate> {
        self.by_life.get(&life)?.word.limit
    }

    /// When this instance learnt that a life has a limit, if it has one.
    pub fn limited_since(&self, life: IncarnationId) -> Option<Now> {
        let known = self.by_life.get(&life)?;
        known.word.limit.map(|_| known.limited_since)
    }

    /// Lives that are limited now.
    pub fn lives(&self) -> BTreeSet<IncarnationId> {
        let limited = self.by_life.iter();
        let limited = limited.filter(|(_, known)| known.word.limit.is_some());
        limited.map(|(life, _)| *life).collect()
    }

    /// Rises whenever another life is limited, or one has another limit.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether something may be sent to a life now, of which the others want `others`: an
    /// unlimited one gets all.
    pub fn request_grant(&mut self, now: Now, life: IncarnationId, others: RequestRate) -> bool {
        let Some(known) = self.by_life.get_mut(&life) else {
            return true;
        };
        let limit = known.word.limit;
        limit.is_none_or(|limit| known.share.request_grant(now, limit, others))
    }

    /// Keeps the grant of a request that is sent a little later.
    pub fn keep_grant(&mut self, now: Now, request: &str, life: IncarnationId) {
        if self.has(life) {
            let grant = Grant { life, at: now };
            self.grants.insert(request.to_owned(), grant);
        }
    }

    /// Uses the grant of a request, if it has one for this life.
    pub fn consume_grant(&mut self, now: Now, request: &str, life: IncarnationId) -> bool {
        let grant = self.grants.remove(request);
        let holds = |grant: &Grant| now.saturating_sub(grant.at) < GRANT_LIFETIME;
        grant.filter(holds).is_some_and(|grant| grant.life == life)
    }

    /// Drops the grant of a request that is not sent.
    pub fn drop_grant(&mut self, request: &str) {
        self.grants.remove(request);
    }

    /// What this instance wishes to send to a life.
    pub fn wanted(&self, now: Now, life: IncarnationId) -> RequestRate {
        let known = self.by_life.get(&life);
        known.map_or(RequestRate::ZERO, |known| known.share.wanted(now))
    }

    /// Drops what is known of a life that has ended.
    pub fn forget(&mut self, life: IncarnationId) {
        let was_known = self.by_life.remove(&life).is_some();
        self.version += u64::from(was_known);
    }

    /// What this instance wishes for, by server, and as which the others hear it.
    pub fn advertise_demand(&mut self, now: Now) -> Vec<(String, RequestRate)> {
        let limited = self.by_life.values_mut().filter(|k| k.word.limit.is_some());
        let told = limited.map(|known| (known.server.id.clone(), known.share.tell(now)));
        told.filter(|(_, wanted)| !wanted.is_zero()).collect()
    }

    /// What all limited servers together take of all instances.
    pub fn sum(&self) -> RequestRate {
        let limits = self.by_life.values().filter_map(|known| known.word.limit);
        limits.fold(RequestRate::ZERO, RequestRate::plus)
    }

    /// Whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.by_life.is_empty()
    }

    /// Whether the others should hear at once what this instance wishes for.
    pub fn is_news(&self, now: Now) -> bool {
        let mut limited = self.by_life.values().filter(|k| k.word.limit.is_some());
        limited.any(|known| known.share.is_news(now))
    }

    /// What to tell the others now: what this instance was told itself, or by a relay also
    /// what it has heard.
    pub fn told(&mut self, now: Now, is_relay: bool) -> Vec<AdvertisedLimit> {
        let age = |known: &KnownLimit| now.saturating_sub(known.word.heard_at);
        let is_told = |known: &&mut KnownLimit| {
            let is_recent = known.word.limit.is_some() || age(known) < WITHDRAWAL_TOLD_FOR;
            (known.word.is_own || is_relay) && is_recent
        };
        let mut due: Vec<&mut KnownLimit> = self.by_life.values_mut().filter(is_told).collect();
        due.sort_by_key(|known| known.told_at);
        due.truncate(MOST_TOLD);
        let told = due.into_iter().map(|known| {
            known.told_at = Some(now);
            AdvertisedLimit {
                server: known.server.clone(),
                limit: known.word.limit,
                age_ms: age(known).as_millis() as u64,
            }
        });
        told.collect()
    }

    /// Time until this instance may send a life one request more than were told to wait for
    /// it; `None` if it may send now.
    pub fn time_until_turn(
        &self,
        now: Now,
        life: IncarnationId,
        others: RequestRate,
    ) -> Option<Duration> {
        let known = self.by_life.get(&life)?;
        let limit = known.word.limit?;
        if known.share.part(now, limit, others) >= 1.0 {
            return None;
        }
        let first = known.share.time_until_grants(now, limit, others, 1);
        let second = known.share.time_until_grants(now, limit, others, 2);
        let spacing = second.saturating_sub(first);
        let next = (known.reserved_until + spacing).saturating_sub(now);
        Some(first.max(next.min(LONGEST_QUEUE)))
    }

    /// Notes that a caller was told to come back after so long; the next one is told a later
    /// time.
    pub fn reserve_turn(&mut self, now: Now, life: IncarnationId, left: Duration) {
        if let Some(known) = self.by_life.get_mut(&life) {
            known.reserved_until = now + left;
        }
    }

    /// Drops what is known of lives that are long gone, and grants that were not used.
    pub fn expire(&mut self, now: Now, is_listed: impl Fn(IncarnationId) -> bool) {
        self.grants
            .retain(|_, grant| now.saturating_sub(grant.at) < GRANT_LIFETIME);
        let before = self.by_life.len();
        self.by_life.retain(|life, known| {
            let age = now.saturating_sub(known.word.heard_at);
            match known.word.limit {
                Some(_) => is_listed(*life) || age < KEPT_UNLISTED,
                None => age < KEPT_UNLISTED,
            }
        });
        self.version += u64::from(self.by_life.len() != before);
    }
}
