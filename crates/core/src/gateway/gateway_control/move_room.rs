//! Keeps memory of the engines free of new sessions for those that must move off leaving engines.
//! Nothing is kept while the setting `move_reserve` is 0.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::GatewayControl;
use crate::BackendId;
use crate::MoveDemand;
use crate::Moving;
use crate::Now;
use crate::OwnRun;
use crate::RequestId;

/// Fraction of `memory_limit` that the learned need may take at most: after a departure of most of
/// the engines, a reserve for another one like it would refuse all callers.
const MAX_RESERVED: f64 = 0.5;

/// How long an engine that refused a move for lack of room is not tried for others. Sessions end
/// continuously, on an engine with tens of slots several times a second.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(400);

/// Change of the kept share of memory that is reported.
const REPORTED_CHANGE: f64 = 0.1;

/// Minimum time between two reports about a service.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Memory of the engines of one service that new sessions may not use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MoveHeadroom {
    /// The service.
    pub service: String,
    /// Kept share of the memory of its serving engines.
    pub share: f64,
    /// Tokens that departures of its engines have needed at once lately.
    pub needed_tokens: f64,
    /// Tokens of the sessions that must move and have no target, of all instances.
    pub claimed_tokens: u64,
    /// Number of its serving engines.
    pub engines: usize,
}

/// A session that must move and for which no engine has room.
#[derive(Clone, Debug, PartialEq)]
pub struct UnplacedMove {
    /// ID of its request.
    pub request: RequestId,
    /// The engine that it must leave.
    pub engine: BackendId,
    /// Tokens of its prompt and its output so far.
    pub tokens: u64,
    /// Number of engines that were considered.
    pub candidates: usize,
    /// Lowest share of memory that one of them would use with the session, if there is any.
    pub best_memory: Option<f64>,
}

/// State of the moves of this instance and of the room kept for all moves.
#[derive(Debug, Default)]
pub(super) struct MoveRoom {
    demand: MoveDemand,
    /// Engines that accepted work at the last change of the list, with their services.
    serving: BTreeMap<BackendId, String>,
    /// End of the backoff of engines that refused a move.
    no_room_until: BTreeMap<BackendId, Now>,
    unplaced: Vec<UnplacedMove>,
    /// Sessions for which `unplaced` was filled once.
    reported_moves: BTreeSet<RequestId>,
    had_claims: bool,
    /// Kept shares by service, as reported last.
    reported_shares: BTreeMap<String, (Now, f64)>,
}

impl GatewayControl {
    /// Returns the share of the memory of a service's engines that new sessions may not use, because
    /// it is kept for moves.
    pub fn memory_headroom(&mut self, now: Now, service: &str) -> f64 {
        self.move_headroom(now, service).share
    }

    /// Returns the memory kept for moves, for each service whose sessions can move.
    pub fn move_headrooms(&mut self, now: Now) -> Vec<MoveHeadroom> {
        let Some(table) = self.table.clone().filter(|_| self.keeps_move_room()) else {
            return Vec::new();
        };
        let services = table.config().services.iter().map(|s| s.name.as_str());
        let movable = services.filter(|service| table.can_move(service));
        movable
            .map(|service| self.move_headroom(now, service))
            .collect()
    }

    /// Returns those of `headrooms` to log: those that differ by more than a tenth of the memory from
    /// what was returned last.
    pub fn changed_headrooms(
        &mut self,
        now: Now,
        mut headrooms: Vec<MoveHeadroom>,
    ) -> Vec<MoveHeadroom> {
        let reported = &mut self.move_room.reported_shares;
        headrooms.retain(|headroom| {
            let last = reported.get(&headroom.service).copied();
            let is_early = last.is_some_and(|(at, _)| now.saturating_sub(at) < REPORT_INTERVAL);
            let known = last.map_or(0.0, |(_, share)| share);
            let is_changed = (headroom.share - known).abs() > REPORTED_CHANGE;
            let is_reported = is_changed && !is_early;
            if is_reported {
                reported.insert(headroom.service.clone(), (now, headroom.share));
            }
            is_reported
        });
        headrooms
    }

    /// Records that an engine refused a move for lack of room. For a moment it is no target of
    /// other moves of this instance.
    pub fn move_refused(&mut self, now: Now, engine: BackendId) {
        if self.keeps_move_room() {
            let until = now + NO_ROOM_BACKOFF;
            self.move_room.no_room_until.insert(engine, until);
        }
    }

    /// Returns the number of sessions of this instance that must move and have no target.
    pub fn seeking_sessions(&self) -> usize {
        self.seeking_runs().count()
    }

    /// Takes the sessions for which no engine had room; each is returned once.
    pub fn take_unplaced_moves(&mut self) -> Vec<UnplacedMove> {
        std::mem::take(&mut self.move_room.unplaced)
    }

    /// Returns whether this instance has claims to advertise now and had none at the last call.
    pub fn claims_appeared(&mut self) -> bool {
        let has_claims = self.keeps_move_room() && self.seeking_sessions() > 0;
        let had_claims = std::mem::replace(&mut self.move_room.had_claims, has_claims);
        has_claims && !had_claims
    }

    /// Returns the tokens by service of the sessions of this instance that must move and have no
    /// target.
    pub(super) fn own_claims(&self) -> BTreeMap<String, u64> {
        let mut claims = BTreeMap::new();
        if self.keeps_move_room() {
            for run in self.seeking_runs() {
                *claims.entry(run.ask.service.clone()).or_default() += tokens_of(run);
            }
        }
        claims
    }

    /// Learns from the engines that start to leave with the change of the list that was applied.
    pub(super) fn note_departures(&mut self, now: Now) {
        let Some(table) = self.table.clone().filter(|_| self.keeps_move_room()) else {
            self.move_room.serving.clear();
            return;
        };
        let serving = self.list.serving(now);
        let serving = serving.filter(|replica| table.can_move(&replica.service));
        let serving = serving.map(|replica| (replica.id.clone(), replica.service.clone()));
        let before = std::mem::replace(&mut self.move_room.serving, serving.collect());
        let is_leaving = |id: &BackendId| self.list.state(id).is_leaving();
        let left: Vec<_> = before
            .into_iter()
            .filter(|(id, _)| is_leaving(id))
            .collect();
        if left.is_empty() {
            return;
        }
        let own = self.shares();
        for (id, service) in left {
            let tokens = self.total_load(&own, &id).session_tokens;
            self.move_room.demand.departed(now, &service, tokens);
        }
    }

    /// Sorts sessions that must move: those with the most tokens first, since they find room last
    /// and have the most to lose.
    pub(super) fn sort_moves(&self, requests: &mut [RequestId]) {
        requests.sort();
        if self.keeps_move_room() {
            let tokens = |request: &RequestId| self.runs.get(request).map_or(0, tokens_of);
            requests.sort_by_key(|request| Reverse(tokens(request)));
        }
    }

    /// Returns whether an engine has just refused a move for lack of room.
    pub(super) fn has_refused_move(&self, now: Now, engine: &str) -> bool {
        let until = self.move_room.no_room_until.get(engine);
        until.is_some_and(|until| now < *until)
    }

    /// Records that none of the engines has room for a session that must move. `memory` has the
    /// share of memory that each would use with the session.
    pub(super) fn note_unplaced(&mut self, request: &str, memory: &[f64]) {
        let Some(run) = self.runs.get(request) else {
            return;
        };
        if !self.move_room.reported_moves.insert(request.to_owned()) {
            return;
        }
        self.move_room.unplaced.push(UnplacedMove {
            request: request.to_owned(),
            engine: run.replica.clone(),
            tokens: tokens_of(run),
            candidates: memory.len(),
            best_memory: memory.iter().copied().min_by(f64::total_cmp),
        });
    }

    /// Removes ended backoffs and the state of sessions that have ended.
    pub(super) fn forget_moves(&mut self, now: Now) {
        if self.move_room.serving.is_empty() {
            // The configuration or the setting may be newer than the list.
            self.note_departures(now);
        }
        let runs = &self.runs;
        let room = &mut self.move_room;
        room.no_room_until.retain(|_, until| now < *until);
        room.reported_moves
            .retain(|request| runs.contains_key(request));
    }

    fn keeps_move_room(&self) -> bool {
        self.parameters.move_reserve > 0.0
    }

    fn seeking_runs(&self) -> impl Iterator<Item = &OwnRun> {
        let runs = self.runs.values();
        runs.filter(|run| run.moving == Moving::Seeks)
    }

    fn move_headroom(&mut self, now: Now, service: &str) -> MoveHeadroom {
        let mut headroom = MoveHeadroom {
            service: service.to_owned(),
            ..MoveHeadroom::default()
        };
        if !self.keeps_move_room() || self.engine_traits(service).is_none() {
            return headroom;
        }
        headroom.engines = self.count_serving(now, service);
        headroom.needed_tokens = self.move_room.demand.needed(now, service);
        let peer_claims = self.peer_totals.sums().seeking_tokens.get(service).copied();
        let own_claims = self.own_claims().get(service).copied();
        headroom.claimed_tokens = peer_claims
            .unwrap_or_default()
            .saturating_add(own_claims.unwrap_or_default());
        let memory = self.service_memory(now, service).max(1) as f64;
        let reserved = headroom.needed_tokens * self.parameters.move_reserve / memory;
        let reserved = reserved.min(self.parameters.memory_limit * MAX_RESERVED);
        headroom.share = reserved + headroom.claimed_tokens as f64 / memory;
        headroom
    }
}

/// Returns the tokens of the prompt and of the output so far.
fn tokens_of(run: &OwnRun) -> u64 {
    u64::from(run.ask.prompt_tokens) + u64::from(run.generated)
}
