//! Chooses the backup engines of sessions, and the engines that continue sessions when their engine
//! is draining or has failed.

use rand_core::Rng;

use super::Evacuation;
use super::GatewayControl;
use crate::BackendId;
use crate::FailoverTarget;
use crate::ListedState;
use crate::Moving;
use crate::Now;
use crate::OwnRun;
use crate::PlacementRequest;
use crate::Replica;
use crate::ReplicaScore;
use crate::RequestClass;
use crate::RequestId;

/// Fraction of the memory of an engine up to which sessions move there. It may be filled entirely:
/// a session that can't move is lost with its engine, while a preempted session only pauses.
const MOVE_MEMORY_LIMIT: f64 = 1.0;

impl GatewayControl {
    /// Counts a request as sent to a replica other than the first of its ranking.
    pub fn moved(&mut self, now: Now, request: &str, replica: BackendId) {
        self.note_send(now, &replica);
        let incarnation = self.list.replica(&replica).map(Replica::life);
        self.backoffs.gone(request);
        // The first send is reported as well; its timing began with the placement.
        let is_resent = |run: &OwnRun| run.has_begun || run.replica != replica;
        if self.runs.get(request).is_some_and(is_resent) {
            self.speeds.runs.forget(request);
            self.note_suspected_resend(request);
        }
        if let Some(incarnation) = incarnation {
            self.backoffs.sent(now, incarnation, request);
        }
        if let Some(run) = self.runs.get_mut(request) {
            run.replica = replica;
            run.life = incarnation;
            run.sent_at = now;
            run.has_begun = false;
            run.begun_at = None;
        }
    }

    /// Fails a session over to its backup engine; `None` if it has no usable backup.
    pub fn fail_over(&mut self, now: Now, request: &str) -> Option<FailoverTarget> {
        if !self.may_retry(now, request) {
            return None;
        }
        let run = self.runs.get(request)?;
        if run.moving != Moving::Stays {
            // The copy to the target of the move was never completed.
            return None;
        }
        let backup = self.list.replica(run.backup.as_deref()?)?.clone();
        self.fail_over_to(now, request, backup)
    }

    /// Restarts a stream without a backup on another engine after its engine failed; `None` if no
    /// engine takes it or the retry budget is spent.
    pub fn restart_stream(&mut self, now: Now, request: &str) -> Option<FailoverTarget> {
        if !self.may_retry(now, request) {
            return None;
        }
        let run = self.runs.get(request)?;
        let from = run.replica.clone();
        let mut ask = run.ask.clone();
        ask.prompt_tokens += run.generated;
        // Callers have read a part of a stream with events: it may use the room kept for moves.
        let limit = match run.generated {
            0 => self.placement_limit(now, &ask),
            _ => self.parameters.memory_limit,
        };
        let scores = self.scores(now, &ask, Some(&from)).into_iter();
        let fitting = scores.filter(|score| score.memory <= limit).collect();
        let (fitting, _) = self.skip_limited(now, fitting);
        let first = fitting.into_iter().next()?;
        if !self.spend_retry(&ask.service) {
            return None;
        }
        self.note_send(now, &first.replica.id);
        self.limits.keep_grant(now, request, first.replica.life());
        let target = self.fail_over_to(now, request, first.replica)?;
        let run = self.runs.get_mut(request)?;
        run.has_begun = false;
        Some(target)
    }

    /// Chooses the replica of another try of a request that has no part of an answer yet, as if it
    /// were placed now; `None` if no replica other than those in `tried` accepts it.
    pub fn place_again(
        &mut self,
        now: Now,
        request: &str,
        tried: &[Replica],
    ) -> Option<FailoverTarget> {
        let ask = self.runs.get(request)?.ask.clone();
        let limit = self.placement_limit(now, &ask);
        let scores = self.scores(now, &ask, None).into_iter();
        let is_tried =
            |score: &ReplicaScore| tried.iter().any(|t| t.is_same_server(&score.replica));
        let fitting = scores.filter(|score| score.memory <= limit && !is_tried(score));
        let (fitting, _) = self.skip_limited(now, fitting.collect());
        let first = fitting.into_iter().next()?.replica;
        self.limits.keep_grant(now, request, first.life());
        self.fail_over_to(now, request, first)
    }

    /// Counts a session as running on `replica` again, since its backup could not be used, and
    /// drops the backup.
    pub fn failover_failed(&mut self, request: &str, replica: BackendId) {
        let incarnation = self.list.replica(&replica).map(Replica::life);
        if let Some(run) = self.runs.get_mut(request) {
            run.replica = replica;
            run.life = incarnation;
            run.backup = None;
        }
    }

    /// Counts a session as running on `replica` and chooses its next backup engine.
    pub fn fail_over_to(
        &mut self,
        now: Now,
        request: &str,
        replica: Replica,
    ) -> Option<FailoverTarget> {
        let run = self.runs.get(request)?;
        let from = run.replica.clone();
        let mut ask = run.ask.clone();
        ask.prompt_tokens += run.generated;
        ask.max_tokens = ask.max_tokens.saturating_sub(run.generated);
        let next = self.choose_backup_excluding(now, &ask, &replica, Some(&from));
        let run = self.runs.get_mut(request)?;
        run.moving = Moving::Stays;
        run.begun_at = None;
        run.replica = replica.id.clone();
        run.life = Some(replica.life());
        run.backup = next.as_ref().map(|replica| replica.id.clone());
        run.backup_life = next.as_ref().map(Replica::life);
        Some(FailoverTarget {
            replica,
            backup: next,
            from,
        })
    }

    pub(super) fn choose_backup(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        first: &Replica,
    ) -> Option<Replica> {
        self.choose_backup_excluding(now, ask, first, None)
    }

    /// Returns the engine with the most free memory other than `first` and `also`. The backup of a
    /// session in a remote zone is placed in the local zone if there is room, since the remote
    /// zone may be cut off.
    fn choose_backup_excluding(
        &mut self,
        now: Now,
        ask: &PlacementRequest,
        first: &Replica,
        also: Option<&str>,
    ) -> Option<Replica> {
        let table = self.table.as_ref()?;
        let service = table.config().service(&ask.service)?;
        let can_back_up = service.engine.as_ref().is_some_and(|e| e.can_back_up);
        let is_stream = ask.class == RequestClass::Stream;
        if !is_stream || !can_back_up || ask.likely_tokens() < self.parameters.least_copied_tokens {
            return None;
        }
        let limit = self.parameters.copy_limit;
        let scores = self.scores(now, ask, Some(&first.id));
        // If the other engines are full, room on an engine that has just started is needed for
        // sessions.
        let taken: f64 = scores.iter().map(|score| score.memory).sum();
        if taken > limit * scores.len() as f64 {
            return None;
        }
        let fits = |s: &ReplicaScore| s.memory <= limit && Some(s.replica.id.as_str()) != also;
        let fitting = scores.into_iter().filter(fits).map(|score| score.replica);
        let mut fitting: Vec<Replica> = fitting.collect();
        if first.availability_zone != self.parameters.zone {
            // The sort is stable: the best of each zone stays the first of it.
            fitting.sort_by_key(|replica| replica.availability_zone != self.parameters.zone);
        }
        self.sort_limited_last(&mut fitting);
        fitting.into_iter().next()
    }

    /// Applies a change of the list: moves sessions without a backup off draining engines, and
    /// drops backups on draining engines.
    pub(super) fn replicas_changed(&mut self, now: Now) -> Vec<Evacuation> {
        self.note_departures(now);
        self.confirm_by_list(now);
        self.reset_new_incarnations();
        self.forget_removed();
        self.forget_cold();
        self.pauses
            .retain(|id, _| self.list.state(id) != ListedState::Removed);
        let table = self.table.clone();
        let can_move = |service: &str| table.as_ref().is_some_and(|table| table.can_move(service));
        let least_moved = self.parameters.least_copied_tokens;
        let mut to_move = Vec::new();
        for (request, run) in &mut self.runs {
            let is_leaving = |id: &BackendId| self.list.state(id).is_leaving();
            if run.backup.as_ref().is_some_and(is_leaving) {
                run.backup = None;
            }
            let has_backup = run.backup.is_some();
            let is_session = run.ask.class == RequestClass::Stream;
            let stays = run.moving == Moving::Stays;
            // A short answer completes before a draining engine stops.
            let is_long = run.ask.likely_tokens().max(run.generated) >= least_moved;
            let needs_move = is_session && is_long && !has_backup && stays;
            let needs_move = needs_move && is_leaving(&run.replica);
            if needs_move && can_move(&run.ask.service) {
                to_move.push(request.clone());
            }
        }
        self.sort_moves(&mut to_move);
        to_move
            .into_iter()
            .filter_map(|request| self.evacuate(now, &request, &[]))
            .collect()
    }

    /// Records that a session that has to move can't be copied at the moment.
    pub fn move_delayed(&mut self, request: &str) {
        if let Some(run) = self.runs.get_mut(request) {
            run.moving = Moving::Seeks;
            run.backup = None;
        }
    }

    /// Retries the moves of sessions for which no engine had room, as other sessions end
    /// continuously.
    pub(super) fn retry_moves(&mut self, now: Now) -> Vec<Evacuation> {
        let seeking = self
            .runs
            .iter()
            .filter(|(_, run)| run.moving == Moving::Seeks);
        let mut seeking: Vec<RequestId> = seeking.map(|(request, _)| request.clone()).collect();
        self.sort_moves(&mut seeking);
        let found = seeking
            .iter()
            .map(|request| self.evacuate(now, request, &[]));
        found.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// Chooses the engine to which a session moves, among the better half of those not in `tried`.
    /// The zone of its current engine is preferred, where moves take half the time.
    pub fn evacuate(&mut self, now: Now, request: &str, tried: &[BackendId]) -> Option<Evacuation> {
        if !self.may_resend(request) {
            return None;
        }
        let run = self.runs.get_mut(request)?;
        run.moving = Moving::Seeks;
        let from = run.replica.clone();
        let mut ask = run.ask.clone();
        ask.prompt_tokens += run.generated;
        let zone = self
            .list
            .replica(&from)
            .map(|r| r.availability_zone.clone());
        let zone = zone.unwrap_or_else(|| self.parameters.zone.clone());
        let scores = self.scores_from_zone(now, &ask, Some(&from), &zone);
        let fits = |score: &ReplicaScore| {
            let is_tried = tried.contains(&score.replica.id);
            let is_full = score.memory > MOVE_MEMORY_LIMIT;
            !is_full && !is_tried && !self.has_refused_move(now, &score.replica.id)
        };
        let memory: Vec<f64> = scores.iter().map(|score| score.memory).collect();
        let fitting = scores.into_iter().filter(fits).map(|score| score.replica);
        let mut fitting: Vec<Replica> = fitting.collect();
        let is_free = |replica: &Replica| !self.limits.has(replica.life());
        if fitting.iter().any(is_free) {
            fitting.retain(is_free);
        }
        let Some(target) = self.pick_from_better_half(fitting, &zone) else {
            self.note_unplaced(request, &memory);
            return None;
        };
        self.note_send(now, &target.id);
        let run = self.runs.get_mut(request)?;
        run.moving = Moving::Moves;
        // Counted on the target from now on, so that not all sessions choose the same engine.
        run.backup = Some(target.id.clone());
        run.backup_life = Some(target.life());
        Some(Evacuation {
            request: request.to_owned(),
            target,
        })
    }

    /// Returns a random engine of the better half, preferring those in `zone`. Instances that move
    /// sessions at the same time do not know of each other's choices yet, and concurrent copies to
    /// one engine wait for each other.
    fn pick_from_better_half(&mut self, ranked: Vec<Replica>, zone: &str) -> Option<Replica> {
        let (local, remote): (Vec<Replica>, Vec<Replica>) = ranked
            .into_iter()
            .partition(|replica| replica.availability_zone == zone);
        let mut choice = if local.is_empty() { remote } else { local };
        choice.truncate(choice.len().div_ceil(2));
        let index = self.random.next_u32() as usize % choice.len().max(1);
        choice.into_iter().nth(index)
    }
}
