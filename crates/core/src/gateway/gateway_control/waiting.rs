//! Places the requests that wait for room, in order and by this instance's part of the room.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Admission;
use super::GatewayControl;
use super::admission::NotPlaced;
use crate::Now;
use crate::PlacementRequest;
use crate::Ranking;
use crate::Refusal;
use crate::RegionId;
use crate::RequestId;
use crate::RequestRank;
use crate::WaitingRequest;
use crate::WorkspaceId;
use crate::WorkspaceShares;
use crate::WorkspaceUse;
use crate::workspace_of;

/// What decides on the engines and the memory that a request may use, besides its size. Retries may
/// use more than others, but are tried before them.
type Kind = (RequestRank, Option<BTreeSet<RegionId>>);

/// Least size, in tokens, for which there is no room.
type TooLarge = BTreeMap<Kind, f64>;

fn kind_of(ask: &PlacementRequest) -> Kind {
    (ask.level.rank, ask.homes.clone())
}

impl GatewayControl {
    /// Returns the memory by service and workspace of the requests of this instance, as advertised
    /// to the others. It is empty while no instance has requests that wait, since only they are
    /// ordered by it.
    pub(super) fn own_workspaces(&mut self) -> BTreeMap<(String, WorkspaceId), WorkspaceUse> {
        if self.parameters.max_waiting == 0 {
            return BTreeMap::new();
        }
        let mut others = self.peer_totals.sums().workspaces.values();
        let waits_elsewhere = others.any(|used| used.waiting_tokens > 0);
        if !waits_elsewhere && self.waiting.count() == 0 {
            return BTreeMap::new();
        }
        let mut uses: BTreeMap<(String, WorkspaceId), WorkspaceUse> = BTreeMap::new();
        let runs = self.runs.values();
        for run in runs.filter(|run| run.ask.memory_tokens() > 0.0) {
            let key = (run.ask.service.clone(), workspace_of(&run.ask).to_owned());
            uses.entry(key).or_default().running_tokens += run.memory_tokens();
        }
        for (key, tokens) in self.waiting.tokens_by_workspace() {
            uses.entry(key).or_default().waiting_tokens += tokens as u64;
        }
        uses
    }

    /// Returns whether requests wait that come before a new one and need no more room than it.
    /// Those that need more may have to wait although there is room for the new one.
    pub(super) fn is_preceded(&mut self, now: Now, ask: &PlacementRequest) -> bool {
        if self.waiting.count() == 0 {
            return false;
        }
        let shares = self.workspace_shares(now, &ask.service);
        let size = ask.memory_tokens();
        let is_retry = self.is_retry(ask);
        let before = self.waiting.before(ask, is_retry, &shares);
        let mut sizes = before.iter().map(|waiting| waiting.ask.memory_tokens());
        sizes.any(|waiting_size| waiting_size <= size)
    }

    /// Returns the tokens that requests before a new one wait for. The ranks of those of other
    /// instances aren't known; they count if their workspace comes before, or is the same.
    pub(super) fn tokens_ahead(&mut self, now: Now, ask: &PlacementRequest) -> f64 {
        let shares = self.workspace_shares(now, &ask.service);
        let is_retry = self.is_retry(ask);
        let own = self.waiting.before(ask, is_retry, &shares);
        let own: f64 = own.iter().map(|waiting| waiting.ask.memory_tokens()).sum();
        let part = shares.part_in_use(workspace_of(ask));
        let others = self.peer_totals.sums().workspaces.iter();
        let others = others.filter(|((service, workspace), _)| {
            *service == ask.service && shares.part_in_use(workspace) <= part
        });
        let others: u64 = others.map(|(_, used)| used.waiting_tokens).sum();
        own + others as f64
    }

    /// Places the requests that wait for a service and for which there is room now.
    pub(super) fn place_waiting(
        &mut self,
        now: Now,
        service: &str,
        decided: &mut Vec<(RequestId, Admission)>,
    ) {
        let mut shares = self.workspace_shares(now, service);
        let mut too_large = TooLarge::new();
        while let Some(ask) = self.next_to_try(service, &shares, &too_large) {
            let (kind, size) = (kind_of(&ask), ask.memory_tokens());
            let request = ask.request.clone();
            let workspace = workspace_of(&ask).to_owned();
            match self.place_within_part(now, ask) {
                Ok(ranking) => {
                    self.waiting.remove(&request);
                    shares.use_more(&workspace, size);
                    decided.push((request, Admission::Placed(ranking)));
                }
                Err(NotPlaced::NoMemory) => {
                    too_large.insert(kind, size);
                }
                Err(NotPlaced::Refused(refusal)) => {
                    // No server can take it, with room or without.
                    self.waiting.remove(&request);
                    decided.push((request, Admission::Refused(refusal)));
                }
            }
        }
    }

    /// Returns the first waiting request that may fit beside those that were found too large.
    fn next_to_try(
        &self,
        service: &str,
        shares: &WorkspaceShares,
        too_large: &TooLarge,
    ) -> Option<PlacementRequest> {
        let ordered = self.waiting.ordered(service, shares);
        let next = ordered.into_iter().find(|waiting| {
            let least = too_large.get(&kind_of(&waiting.ask));
            least.is_none_or(|least| waiting.ask.memory_tokens() < *least)
        });
        next.map(|waiting| waiting.ask.clone())
    }

    /// Refuses the waiting requests whose content is quarantined by now.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Now,
        decided: &mut Vec<(RequestId, Admission)>,
    ) {
        let suspicions = &self.suspicions;
        let quarantine = |waiting: &WaitingRequest| {
            let causes = suspicions.causes(waiting.ask.suspected());
            let last = causes.into_iter().max_by_key(|cause| cause.until)?;
            let left = last.until.saturating_sub(now);
            (!left.is_zero()).then(|| Refusal::quarantined(&last, left))
        };
        let taken = self.waiting.take(|waiting| quarantine(waiting).is_some());
        for waiting in taken {
            if let Some(refusal) = quarantine(&waiting) {
                decided.push((waiting.ask.request, Admission::Refused(refusal)));
            }
        }
    }

    /// Returns whether a new request takes room only as those that wait do, because requests of
    /// other instances wait for it. Their ranks aren't known, so more urgent requests don't.
    pub(super) fn shares_room(&mut self, ask: &PlacementRequest) -> bool {
        let rank = ask.level.rank;
        self.may_wait(ask)
            && self.rank_demand.is_least_urgent(&ask.service, rank)
            && self.waiting_elsewhere(&ask.service) > 0
    }

    /// Places a request if this instance may use as much of the room now.
    pub(super) fn place_within_part(
        &mut self,
        now: Now,
        ask: PlacementRequest,
    ) -> Result<Ranking, NotPlaced> {
        let room = self.room_for(now, &ask);
        let others = self.waiting_elsewhere(&ask.service);
        let draw = self.chance();
        let waiting = &mut self.waiting;
        if room <= 0.0 || !waiting.may_take(now, &ask, room, others as f64, draw) {
            return Err(NotPlaced::NoMemory);
        }
        let ranking = self.place_arrived(now, ask.clone())?;
        self.waiting.taken(&ask);
        Ok(ranking)
    }

    /// Returns the tokens that requests of other instances wait for.
    fn waiting_elsewhere(&mut self, service: &str) -> u64 {
        let others = self.peer_totals.sums().workspaces.iter();
        let others = others.filter(|((of, _), _)| of == service);
        others.map(|(_, used)| used.waiting_tokens).sum()
    }

    /// Returns the free tokens of the engines that have room for a request.
    fn room_for(&mut self, now: Now, ask: &PlacementRequest) -> f64 {
        let limit = self.placement_limit(now, ask);
        let Some(engine) = self.engine_traits(&ask.service) else {
            return 0.0;
        };
        let capacity = engine.memory_tokens.max(1) as f64;
        let own = self.shares();
        let free = self.serving_of(now, &ask.service).map(|replica| {
            let used = self.total_load(&own, &replica.id).memory_tokens() as f64;
            let fits = (used + ask.memory_tokens()) / capacity <= limit;
            if fits { limit * capacity - used } else { 0.0 }
        });
        free.sum()
    }

    /// Returns the fair shares of the memory of a service, by the use at all instances.
    fn workspace_shares(&mut self, now: Now, service: &str) -> WorkspaceShares {
        let mut uses: BTreeMap<WorkspaceId, WorkspaceUse> = BTreeMap::new();
        let own = self.own_workspaces();
        let others = self.peer_totals.sums().workspaces.iter();
        let of_service = others.chain(&own).filter(|((of, _), _)| of == service);
        for ((_, workspace), used) in of_service {
            let sum = uses.entry(workspace.clone()).or_default();
            sum.running_tokens = sum.running_tokens.saturating_add(used.running_tokens);
            sum.waiting_tokens = sum.waiting_tokens.saturating_add(used.waiting_tokens);
        }
        WorkspaceShares::new(self.service_memory(now, service) as f64, &uses)
    }
}
