//! The requests of one instance that wait for room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::Now;
use crate::PlacementRequest;
use crate::RequestId;
use crate::RequestRank;
use crate::WorkspaceId;
use crate::WorkspaceShares;

/// Time in which the other instances receive what this one has placed. Within it, an instance takes
/// its part of the room that appeared once.
const ROUND: Duration = Duration::from_millis(200);

/// Minimum time between two attempts to place waiting requests, unless one of the own requests has
/// ended: each attempt scores all engines.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(50);

/// A request that waits for room.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// The placement request.
    pub ask: PlacementRequest,
    /// Time after which it can no longer be served in time.
    pub until: Now,
    /// Whether its content was refused before.
    pub is_retry: bool,
    number: u64,
}

/// Position in the order: retries first, then by rank, by the part of its fair share that the
/// workspace uses, and by arrival.
type Position = (bool, RequestRank, u64, Now, u64);

impl WaitingRequest {
    fn position(&self, shares: &WorkspaceShares) -> Position {
        let part = shares.part_in_use(workspace_of(&self.ask)).max(0.0);
        // The bits of floats that are not negative have the order of the floats.
        let level = &self.ask.level;
        (
            !self.is_retry,
            level.rank,
            part.to_bits(),
            level.arrived,
            self.number,
        )
    }
}

/// Returns the workspace of a request; those without one count as one.
pub(crate) fn workspace_of(ask: &PlacementRequest) -> &str {
    ask.level.workspace.as_deref().unwrap_or_default()
}

/// What this instance has taken of the room within [`ROUND`].
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    started_at: Now,
    taken_tokens: f64,
    /// Whether the instance has taken its chance of a request that is larger than its part.
    has_drawn: bool,
}

/// The waiting requests of one instance, and its part of the room that appears.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    requests: BTreeMap<RequestId, WaitingRequest>,
    next_number: u64,
    rounds: BTreeMap<String, Round>,
    /// Earliest time of the next attempt to place some.
    next_attempt: Now,
}

impl WaitingRequests {
    /// Adds a request unless `max_waiting` wait already; returns whether it was added.
    pub fn push(
        &mut self,
        max_waiting: usize,
        ask: PlacementRequest,
        until: Now,
        is_retry: bool,
    ) -> bool {
        if self.requests.len() >= max_waiting {
            return false;
        }
        let number = self.next_number;
        self.next_number += 1;
        let waiting = WaitingRequest {
            ask,
            until,
            is_retry,
            number,
        };
        let request = waiting.ask.request.clone();
        self.requests.insert(request, waiting);
        true
    }

    /// Removes a request.
    pub fn remove(&mut self, request: &str) -> Option<WaitingRequest> {
        self.requests.remove(request)
    }

    /// Removes and returns the requests for which `is_over` returns true.
    pub fn take(&mut self, is_over: impl Fn(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let over = self.requests.values().filter(|waiting| is_over(waiting));
        let mut over: Vec<WaitingRequest> = over.cloned().collect();
        over.sort_by_key(|waiting| waiting.number);
        for waiting in &over {
            self.requests.remove(&waiting.ask.request);
        }
        over
    }

    /// Returns the number of waiting requests.
    pub fn count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the services that requests wait for.
    pub fn services(&self) -> BTreeSet<String> {
        let requests = self.requests.values();
        requests.map(|w| w.ask.service.clone()).collect()
    }

    /// Returns the requests that wait for a service, in order.
    pub fn ordered(&self, service: &str, shares: &WorkspaceShares) -> Vec<&WaitingRequest> {
        let mut ordered: Vec<&WaitingRequest> = self.of_service(service).collect();
        ordered.sort_by_cached_key(|waiting| waiting.position(shares));
        ordered
    }

    /// Returns the requests that come before a new one, or before one that has just begun to wait.
    pub fn before(
        &self,
        ask: &PlacementRequest,
        is_retry: bool,
        shares: &WorkspaceShares,
    ) -> Vec<&WaitingRequest> {
        let new = WaitingRequest {
            ask: ask.clone(),
            until: Duration::MAX,
            is_retry,
            number: self.next_number,
        };
        let position = new.position(shares);
        self.of_service(&new.ask.service)
            .filter(|waiting| waiting.ask.request != ask.request)
            .filter(|waiting| waiting.position(shares) < position)
            .collect()
    }

    /// Returns the tokens that requests wait for by service and workspace.
    pub fn tokens_by_workspace(&self) -> BTreeMap<(String, WorkspaceId), f64> {
        let mut tokens: BTreeMap<(String, WorkspaceId), f64> = BTreeMap::new();
        for WaitingRequest { ask, .. } in self.requests.values() {
            let key = (ask.service.clone(), workspace_of(ask).to_owned());
            *tokens.entry(key).or_default() += ask.memory_tokens();
        }
        tokens
    }

    /// Returns whether waiting requests are to be tried now, and counts that as done.
    pub fn begin_attempt(&mut self, now: Now) -> bool {
        if self.requests.is_empty() || now < self.next_attempt {
            return false;
        }
        self.next_attempt = now + ATTEMPT_INTERVAL;
        true
    }

    /// Lets the next attempt take place at once, because memory was freed.
    pub fn room_appeared(&mut self) {
        self.next_attempt = Now::ZERO;
    }

    /// Returns whether a request may use room now. This instance takes a part of the room: its own
    /// waiting tokens by those of all. Where less than one request is left of the part, it takes
    /// one with that chance, so that all instances together take as much as there is. `room` is the
    /// free tokens of the engines that have room for the request, `others` the tokens that requests
    /// of other instances wait for, `draw` a random number from 0 to 1.
    pub fn may_take(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        room: f64,
        others: f64,
        draw: f64,
    ) -> bool {
        let size = ask.memory_tokens();
        let waiting = self.of_service(&ask.service);
        let mut waiting: f64 = waiting.map(|waiting| waiting.ask.memory_tokens()).sum();
        if !self.requests.contains_key(&ask.request) {
            waiting += size;
        }
        let round = self.current_round(now, &ask.service);
        if others <= 0.0 {
            return true;
        }
        // What was taken in this round counts as still waiting, and as room.
        let own = waiting + round.taken_tokens;
        let part = (room + round.taken_tokens) * own / (own + others) - round.taken_tokens;
        if part >= size {
            return true;
        }
        !std::mem::replace(&mut round.has_drawn, true) && draw * size < part
    }

    /// Counts a request as placed by this instance in the current round.
    pub fn taken(&mut self, ask: &PlacementRequest) {
        if let Some(round) = self.rounds.get_mut(&ask.service) {
            round.taken_tokens += ask.memory_tokens();
        }
    }

    /// Returns the round of a service, a new one if the last is over.
    fn current_round(&mut self, now: Now, service: &str) -> &mut Round {
        let round = self.rounds.entry(service.to_owned()).or_default();
        if now.saturating_sub(round.started_at) >= ROUND {
            *round = Round {
                started_at: now,
                ..Round::default()
            };
        }
        round
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &WaitingRequest> {
        let requests = self.requests.values();
        requests.filter(move |waiting| waiting.ask.service == service)
    }
}
