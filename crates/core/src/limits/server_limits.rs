//! The rate limits that backend servers declared, and what this instance may send under them.

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

/// Lifetime of a grant: a request that is sent later, because the process was suspended, would
/// count in a period for which other instances were granted as much.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// How long the withdrawal of a limit is advertised: several heartbeats, two of which may be
/// lost.
const WITHDRAWAL_ADVERTISED_FOR: Duration = Duration::from_secs(10);

/// How long the limit of an incarnation that is no longer listed is kept: longer than any outage
/// after which its entry returns.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// Maximum time until a reserved turn: most callers that are told to wait longer never retry, and
/// later callers would wait for turns that nobody uses.
const MAX_RESERVED_WAIT: Duration = Duration::from_secs(5);

/// Maximum number of limits in one heartbeat, so that its size is bounded where hundreds of
/// servers are limited; they are advertised in rotation.
const MAX_ADVERTISED_PER_HEARTBEAT: usize = 8;

/// The limit of a server as instances advertise it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// The incarnation of the server.
    pub server: ServerLife,
    /// Its limit; `None` if it no longer declares one.
    pub limit: Option<RequestRate>,
    /// Milliseconds since an answer declared it.
    pub age_ms: u64,
}

/// A change of a server's limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The server accepts this rate of requests from all instances together.
    Limited(RequestRate),
    /// The server no longer declares a limit.
    Withdrawn,
}

/// The limit that an answer declared.
#[derive(Clone, Copy, Debug)]
struct Observation {
    /// The limit; `None` if the answer declared none any more.
    limit: Option<RequestRate>,
    /// When the answer was received, by this instance or by another one.
    observed_at: Now,
    /// Whether this instance received the answer.
    is_own: bool,
}

/// State of the limit of one server incarnation.
#[derive(Clone, Debug)]
struct LimitEntry {
    server: ServerLife,
    /// The latest observation.
    observation: Observation,
    /// When this instance learnt that the server is limited.
    limited_since: Now,
    /// When the limit was last advertised to the other instances.
    advertised_at: Option<Now>,
    share: LimitShare,
    /// Until when refused callers were told to wait for their turns.
    reserved_until: Now,
}

/// Permission to send a request to an incarnation.
#[derive(Clone, Copy, Debug)]
struct Grant {
    incarnation: IncarnationId,
    at: Now,
}

/// The limits of backend servers, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    by_incarnation: BTreeMap<IncarnationId, LimitEntry>,
    grants: HashMap<RequestId, Grant>,
    version: u64,
    parameters: LimitParameters,
}

impl ServerLimits {
    /// Sets the parameters of the shares of limits that are declared from now on.
    pub fn set_terms(&mut self, parameters: LimitParameters) {
        self.parameters = parameters;
    }

    /// Applies the limit that an answer to a request declares; the request was sent at `sent_at`.
    /// `credit` is the initial credit of the share, drawn at random from 0 to 1.
    ///
    /// Answers may arrive out of order. An answer is later than everything that was received
    /// before its request was sent; if neither of two answers is later, the lower limit applies.
    pub fn heard(
        &mut self,
        now: Now,
        server: &ServerLife,
        declared: DeclaredLimit,
        sent_at: Now,
        credit: f64,
    ) -> Option<LimitChange> {
        let limit = match declared {
            DeclaredLimit::Unreadable => return None,
            DeclaredLimit::Absent => None,
            DeclaredLimit::Of(rate) => Some(rate),
        };
        let known = self.by_incarnation.get(&server.life);
        let is_later = known.is_none_or(|known| sent_at >= known.observation.observed_at);
        let is_lower = limit.is_some_and(|limit| {
            let known = known.and_then(|known| known.observation.limit);
            known.is_none_or(|known| limit <= known)
        });
        let is_irrelevant = known.is_none() && limit.is_none();
        if is_irrelevant || !(is_later || is_lower) {
            return None;
        }
        let observation = Observation {
            limit,
            observed_at: now,
            is_own: true,
        };
        self.set(now, server, observation, credit)
    }

    /// Applies a limit that another instance advertises. `credit` is the initial credit of the
    /// share, drawn at random from 0 to 1.
    pub fn apply_advertised(
        &mut self,
        now: Now,
        advertised: &AdvertisedLimit,
        credit: f64,
    ) -> Option<LimitChange> {
        let observed_at = FleetMembers::confirmed_at(now, Duration::from_millis(advertised.age_ms));
        let known = self.by_incarnation.get(&advertised.server.life);
        // Two relays that accepted the same observation from each other would refresh its age for
        // ever.
        let is_known = |observation: Observation| {
            observation.observed_at >= observed_at || observation.limit == advertised.limit
        };
        if known.is_some_and(|known| is_known(known.observation)) {
            return None;
        }
        let observation = Observation {
            limit: advertised.limit,
            observed_at,
            is_own: false,
        };
        self.set(now, &advertised.server, observation, credit)
    }

    fn set(
        &mut self,
        now: Now,
        server: &ServerLife,
        observation: Observation,
        credit: f64,
    ) -> Option<LimitChange> {
        let parameters = self.parameters;
        let slot = self.by_incarnation.entry(server.life);
        let known = slot.or_insert_with(|| LimitEntry {
            server: server.clone(),
            observation: Observation {
                limit: None,
                ..observation
            },
            limited_since: now,
            advertised_at: None,
            share: LimitShare::new(now, parameters, credit),
            reserved_until: Now::ZERO,
        });
        let before = std::mem::replace(&mut known.observation, observation).limit;
        if before == observation.limit {
            return None;
        }
        if before.is_none() {
            known.limited_since = now;
            known.share = LimitShare::new(now, parameters, credit);
        }
        known.advertised_at = None;
        self.version += 1;
        Some(
            observation
                .limit
                .map_or(LimitChange::Withdrawn, LimitChange::Limited),
        )
    }

    /// Whether an incarnation is limited now.
    pub fn has(&self, incarnation: IncarnationId) -> bool {
        self.limit_of(incarnation).is_some()
    }

    /// The limit of an incarnation, if it has one.
    pub fn limit_of(&self, incarnation: IncarnationId) -> Option<RequestRate> {
        self.by_incarnation.get(&incarnation)?.observation.limit
    }

    /// When this instance learnt that an incarnation is limited, if it is.
    pub fn limited_since(&self, incarnation: IncarnationId) -> Option<Now> {
        let known = self.by_incarnation.get(&incarnation)?;
        known.observation.limit.map(|_| known.limited_since)
    }

    /// Returns the limit of an incarnation and when it was observed.
    pub fn in_force(&self, incarnation: IncarnationId) -> Option<(RequestRate, Now)> {
        let observation = self.by_incarnation.get(&incarnation)?.observation;
        Some((observation.limit?, observation.observed_at))
    }

    /// Incarnations that are limited now.
    pub fn lives(&self) -> BTreeSet<IncarnationId> {
        let limited = self.by_incarnation.iter();
        let limited = limited.filter(|(_, known)| known.observation.limit.is_some());
        limited.map(|(incarnation, _)| *incarnation).collect()
    }

    /// Version of the limits; increases with each change of a limit.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Counts a request towards the demand for an incarnation; returns whether it may be sent now.
    /// `others` is the demand of the other instances. Without a limit, every request may be sent.
    pub fn request_grant(
        &mut self,
        now: Now,
        incarnation: IncarnationId,
        others: RequestRate,
    ) -> bool {
        let Some(known) = self.by_incarnation.get_mut(&incarnation) else {
            return true;
        };
        let limit = known.observation.limit;
        limit.is_none_or(|limit| known.share.request_grant(now, limit, others))
    }

    /// Stores the grant of a request that is sent shortly afterwards, if the incarnation has a
    /// limit.
    pub fn keep_grant(&mut self, now: Now, request: &str, incarnation: IncarnationId) {
        if self.has(incarnation) {
            let grant = Grant {
                incarnation,
                at: now,
            };
            self.grants.insert(request.to_owned(), grant);
        }
    }

    /// Removes the grant of a request; returns whether it was valid for this incarnation.
    pub fn consume_grant(&mut self, now: Now, request: &str, incarnation: IncarnationId) -> bool {
        let grant = self.grants.remove(request);
        let holds = |grant: &Grant| now.saturating_sub(grant.at) < GRANT_LIFETIME;
        grant
            .filter(holds)
            .is_some_and(|grant| grant.incarnation == incarnation)
    }

    /// Removes the grant of a request that is not sent.
    pub fn drop_grant(&mut self, request: &str) {
        self.grants.remove(request);
    }

    /// Demand of this instance for an incarnation.
    pub fn wanted(&self, now: Now, incarnation: IncarnationId) -> RequestRate {
        let known = self.by_incarnation.get(&incarnation);
        known.map_or(RequestRate::ZERO, |known| known.share.wanted(now))
    }

    /// Removes the limit of an incarnation that has ended.
    pub fn forget(&mut self, incarnation: IncarnationId) {
        let was_known = self.by_incarnation.remove(&incarnation).is_some();
        self.version += u64::from(was_known);
    }

    /// Returns the demand of this instance by server id, and records it as advertised to the
    /// others.
    pub fn advertise_demand(&mut self, now: Now) -> Vec<(String, RequestRate)> {
        let limited = self
            .by_incarnation
            .values_mut()
            .filter(|k| k.observation.limit.is_some());
        let advertised = limited.map(|known| (known.server.id.clone(), known.share.tell(now)));
        advertised.filter(|(_, demand)| !demand.is_zero()).collect()
    }

    /// Sum of the limits of all servers.
    pub fn sum(&self) -> RequestRate {
        let limits = self
            .by_incarnation
            .values()
            .filter_map(|known| known.observation.limit);
        limits.fold(RequestRate::ZERO, RequestRate::plus)
    }

    /// Whether no limits are stored.
    pub fn is_empty(&self) -> bool {
        self.by_incarnation.is_empty()
    }

    /// Whether a demand has risen enough to be advertised immediately.
    pub fn is_news(&self, now: Now) -> bool {
        let mut limited = self
            .by_incarnation
            .values()
            .filter(|k| k.observation.limit.is_some());
        limited.any(|known| known.share.is_news(now))
    }

    /// Returns the limits to advertise now: those that this instance observed itself and, if it is
    /// a relay, also those that it received from other instances.
    pub fn told(&mut self, now: Now, is_relay: bool) -> Vec<AdvertisedLimit> {
        let age = |known: &LimitEntry| now.saturating_sub(known.observation.observed_at);
        let is_advertised = |known: &&mut LimitEntry| {
            let is_recent =
                known.observation.limit.is_some() || age(known) < WITHDRAWAL_ADVERTISED_FOR;
            (known.observation.is_own || is_relay) && is_recent
        };
        let mut due: Vec<&mut LimitEntry> = self
            .by_incarnation
            .values_mut()
            .filter(is_advertised)
            .collect();
        due.sort_by_key(|known| known.advertised_at);
        due.truncate(MAX_ADVERTISED_PER_HEARTBEAT);
        let advertised = due.into_iter().map(|known| {
            known.advertised_at = Some(now);
            AdvertisedLimit {
                server: known.server.clone(),
                limit: known.observation.limit,
                age_ms: age(known).as_millis() as u64,
            }
        });
        advertised.collect()
    }

    /// Time until this instance may send an incarnation one request more than those that were told
    /// to wait for it; `None` if the incarnation has no limit or grants every request now.
    pub fn time_until_turn(
        &self,
        now: Now,
        incarnation: IncarnationId,
        others: RequestRate,
    ) -> Option<Duration> {
        let known = self.by_incarnation.get(&incarnation)?;
        let limit = known.observation.limit?;
        if known.share.part(now, limit, others) >= 1.0 {
            return None;
        }
        let first = known.share.time_until_grants(now, limit, others, 1);
        let second = known.share.time_until_grants(now, limit, others, 2);
        let spacing = second.saturating_sub(first);
        let next = (known.reserved_until + spacing).saturating_sub(now);
        Some(first.max(next.min(MAX_RESERVED_WAIT)))
    }

    /// Records that a caller was told to retry after `left`; the next one is told a later time.
    pub fn reserve_turn(&mut self, now: Now, incarnation: IncarnationId, left: Duration) {
        if let Some(known) = self.by_incarnation.get_mut(&incarnation) {
            known.reserved_until = now + left;
        }
    }

    /// Removes the limits of incarnations that have been gone for long, and expired grants.
    pub fn expire(&mut self, now: Now, is_listed: impl Fn(IncarnationId) -> bool) {
        self.grants
            .retain(|_, grant| now.saturating_sub(grant.at) < GRANT_LIFETIME);
        let before = self.by_incarnation.len();
        self.by_incarnation.retain(|incarnation, known| {
            let age = now.saturating_sub(known.observation.observed_at);
            match known.observation.limit {
                Some(_) => is_listed(*incarnation) || age < UNLISTED_RETENTION,
                None => age < UNLISTED_RETENTION,
            }
        });
        self.version += u64::from(self.by_incarnation.len() != before);
    }
}
