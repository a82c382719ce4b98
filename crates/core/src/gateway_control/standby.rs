//! Standby copies: sessions that run without a copy get one on another engine,
//! so that they outlive an engine that goes without a word.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Evacuation;
use super::GatewayControl;
use crate::BackendId;
use crate::ListedState;
use crate::Moving;
use crate::Now;
use crate::OwnRun;
use crate::Replica;
use crate::RequestClass;
use crate::RequestId;

/// Share of an engine's memory up to which it takes standby copies: what is
/// left holds the sessions of engines that leave together.
const STANDBY_LIMIT: f64 = 0.6;

/// Share of an engine's memory above which it keeps no standby copies: running
/// sessions would be displaced, and read anew.
const YIELD_LIMIT: f64 = 0.8;

/// Standby copies begun at one tick: a first copy takes 0.2 s of a link, and
/// the instances all share the links.
const BEGUN_AT_ONCE: usize = 2;

/// Pause after a standby copy that could not be made; by then others have ended.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

impl GatewayControl {
    /// Sessions that should get a standby copy now, those with the most to lose
    /// first.
    pub(super) fn stand_by(&mut self, now: Now) -> Vec<Evacuation> {
        if !self.list_is_lost {
            return Vec::new();
        }
        let table = self.table.clone();
        let can_move = |service: &str| table.as_ref().is_some_and(|table| table.can_move(service));
        let least = self.terms.least_copied_tokens;
        let lacks_copy = |run: &OwnRun| {
            let is_long = run.ask.likely_tokens().max(run.generated) >= least;
            let stays = run.moving == Moving::Stays && run.backup.is_none();
            let is_session = run.ask.class == RequestClass::Stream && run.has_begun;
            is_session && is_long && stays && run.standby_after <= now
        };
        let mut lacking: Vec<(u32, RequestId)> = self
            .runs
            .iter()
            .filter(|(_, run)| lacks_copy(run) && can_move(&run.ask.service))
            .filter(|(_, run)| self.list.state(&run.replica) == ListedState::Serving)
            .map(|(request, run)| (run.ask.prompt_tokens + run.generated, request.clone()))
            .collect();
        lacking.sort_by(|a, b| b.cmp(a));
        lacking.truncate(BEGUN_AT_ONCE);
        let begun = lacking
            .into_iter()
            .map(|(_, request)| self.begin_standby(now, request));
        begun.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    /// Notes that no standby copy of a session could be made.
    pub fn standby_failed(&mut self, now: Now, request: &str) {
        if let Some(run) = self.runs.get_mut(request)
            && run.moving == Moving::StandsBy
        {
            run.moving = Moving::Stays;
            run.backup = None;
            run.standby_after = now + RETRY_PAUSE;
        }
    }

    /// Standby copies that give way to running sessions; their memory is free at
    /// once.
    pub(super) fn yield_standbys(&mut self, now: Now) -> Vec<RequestId> {
        let keepers: BTreeSet<BackendId> = self
            .runs
            .values()
            .filter(|run| run.moving == Moving::StandsBy)
            .filter_map(|run| run.backup.clone())
            .collect();
        let crowded: BTreeSet<BackendId> = keepers
            .into_iter()
            .filter(|keeper| self.memory_share(keeper) > YIELD_LIMIT)
            .collect();
        let mut dropped = Vec::new();
        for (request, run) in &mut self.runs {
            let is_crowded = run.backup.as_ref().is_some_and(|id| crowded.contains(id));
            if run.moving == Moving::StandsBy && is_crowded {
                run.moving = Moving::Stays;
                run.backup = None;
                run.standby_after = now + RETRY_PAUSE;
                dropped.push(request.clone());
            }
        }
        dropped.sort();
        dropped
    }

    /// Share of the memory of a replica that all instances have taken, as far as
    /// known.
    fn memory_share(&self, id: &BackendId) -> f64 {
        let table = self.table.as_ref();
        let service = self.list.replica(id).map(|replica| &replica.service);
        let service = table.and_then(|table| table.config().service(service?));
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return 0.0;
        };
        let mut load = self.shares().get(id).copied().unwrap_or_default();
        load.add(&self.peers.on(id));
        load.memory_tokens() as f64 / engine.memory_tokens.max(1) as f64
    }

    fn begin_standby(&mut self, now: Now, request: RequestId) -> Option<Evacuation> {
        let target = self.standby_target(now, &request)?;
        let run = self.runs.get_mut(&request)?;
        run.moving = Moving::StandsBy;
        run.backup = Some(target.id.clone());
        Some(Evacuation { request, target })
    }

    fn standby_target(&mut self, now: Now, request: &str) -> Option<Replica> {
        let run = self.runs.get(request)?;
        let from: BackendId = run.replica.clone();
        let mut ask = run.ask.clone();
        ask.prompt_tokens += run.generated;
        let zone = self.list.replica(&from)?.availability_zone.clone();
        let scores = self.scores_seen_from(now, &ask, Some(&from), &zone);
        let fitting = scores.into_iter().filter(|s| s.memory <= STANDBY_LIMIT);
        self.one_of_the_better(fitting.map(|score| score.replica).collect(), &zone)
    }
}
