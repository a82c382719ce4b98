//! Decides which bytes a process may hold for others, so that their sum stays below its limit.
//!
//! Each holder claims its bytes before it reads them. A claim that doesn't fit is met by bodies that
//! are retained only in case their sessions move, then waits if room is about to come back, and is
//! refused otherwise. Small requests may use room that large ones leave free.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::HeldMemory;
use crate::MemoryKind;
use crate::Now;
use crate::RequestRank;
use crate::WorkspaceId;
use crate::memory::memory_turnover::MemoryTurnover;

/// Identifies a granted claim.
pub type ClaimId = u64;

/// Identifies a claim that waits for room.
pub type WaiterId = u64;

/// Part of the limit that a process uses at most. The rest is a margin for what it can't count.
const USED_PART: f64 = 0.88;

/// Bytes that a process needs for itself: code, tables, buffers of the platform's answers.
const MIN_OWN_BYTES: u64 = 20 << 20;

/// Room for growth of what a process was seen to need for itself.
const OWN_MARGIN_BYTES: u64 = 8 << 20;

/// Part of an earlier need that still counts at the next measurement.
const OWN_DECAY: f64 = 0.98;

/// Least capacity, for a process whose own need exceeds its limit.
const MIN_CAPACITY_BYTES: u64 = 4 << 20;

/// Largest holder that may use the whole capacity. Usual requests are smaller.
const SMALL_BYTES: u64 = 64 << 10;

/// Part of the capacity up to which large bodies of requests are read.
const BODIES_PART: f64 = 0.7;

/// Part of the capacity up to which other large holders are granted: what has run already goes
/// before what has not begun.
const LARGE_PART: f64 = 0.8;

/// Part of the capacity that one kind of connection buffers may hold.
const CONNECTIONS_PART: f64 = 0.25;

/// Number of claims that wait from which on no body does.
const MAX_WAITING: usize = 256;

/// For whom bytes are held.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemoryOwner {
    /// Workspace of the request, empty if there is none.
    pub workspace: WorkspaceId,
    /// Rank of the request.
    pub rank: RequestRank,
}

/// A claim to hold bytes.
#[derive(Clone, Debug)]
pub struct MemoryAsk {
    /// What the bytes are held for.
    pub kind: MemoryKind,
    /// Number of bytes.
    pub bytes: u64,
    /// For whom.
    pub owner: MemoryOwner,
}

/// Why a claim was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryShortage {
    /// Bytes that were asked for.
    pub asked_bytes: u64,
    /// Bytes that were free for this claim.
    pub free_bytes: u64,
    /// Time after which as much is expected to be free.
    pub retry_after: Duration,
}

/// The decision about a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The bytes may be held until the claim is released.
    Granted(ClaimId),
    /// These retained claims are to be given up; then the claim is made again.
    GiveUp(Vec<ClaimId>),
    /// The claim waits; [`MemoryBudget::take_granted`] returns it once it fits.
    Waits(WaiterId),
    /// The bytes may not be held.
    Refused(MemoryShortage),
}

#[derive(Clone, Debug)]
struct Claim {
    ask: MemoryAsk,
    /// Whether it is held only in case that it is needed again.
    is_retained: bool,
}

#[derive(Clone, Debug)]
struct Waiter {
    id: WaiterId,
    ask: MemoryAsk,
}

/// The bytes that a process may hold for others.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit_bytes: u64,
    own_bytes: u64,
    held: HeldMemory,
    claims: BTreeMap<ClaimId, Claim>,
    waiting: Vec<Waiter>,
    turnover: MemoryTurnover,
    next_id: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `limit_bytes` of memory.
    pub fn new(limit_bytes: u64) -> Self {
        MemoryBudget {
            limit_bytes,
            own_bytes: MIN_OWN_BYTES,
            held: HeldMemory::default(),
            claims: BTreeMap::new(),
            waiting: Vec::new(),
            turnover: MemoryTurnover::default(),
            next_id: 0,
        }
    }

    /// Returns the bytes that may be held in sum.
    pub fn capacity_bytes(&self) -> u64 {
        let used = (self.limit_bytes as f64 * USED_PART) as u64;
        let capacity = used.saturating_sub(self.own_bytes);
        capacity.max(MIN_CAPACITY_BYTES)
    }

    /// Returns what is held.
    pub fn held(&self) -> &HeldMemory {
        &self.held
    }

    /// Returns the number of claims that wait for room.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes over a measurement of the resident memory of the process. What it doesn't hold for
    /// others is its own need.
    pub fn observe_resident(&mut self, resident_bytes: u64) {
        let own = resident_bytes.saturating_sub(self.held.total_bytes()) + OWN_MARGIN_BYTES;
        let earlier = (self.own_bytes as f64 * OWN_DECAY) as u64;
        self.own_bytes = own.max(earlier).max(MIN_OWN_BYTES);
    }

    /// Decides about a claim. One that may wait does so only if `may_wait`.
    pub fn claim(&mut self, now: Now, ask: MemoryAsk, may_wait: bool) -> ClaimVerdict {
        let free_bytes = self.free_for(&ask);
        let missing = ask.bytes.saturating_sub(free_bytes);
        if missing == 0 && !self.is_after_a_waiter(&ask) {
            return ClaimVerdict::Granted(self.grant(now, ask));
        }
        if let Some(retained) = self.retained_for(&ask) {
            return ClaimVerdict::GiveUp(retained);
        }
        if may_wait && self.is_worth_waiting(now, &ask) {
            return ClaimVerdict::Waits(self.enqueue(ask));
        }
        ClaimVerdict::Refused(MemoryShortage {
            asked_bytes: ask.bytes,
            free_bytes,
            retry_after: self.turnover.time_until(now, missing + self.queued_bytes()),
        })
    }

    /// Gives back the bytes of a claim.
    pub fn release(&mut self, now: Now, claim: ClaimId) {
        let Some(Claim { ask, .. }) = self.claims.remove(&claim) else {
            return;
        };
        self.held.remove(ask.kind, &ask.owner.workspace, ask.bytes);
        if is_large(&ask) {
            self.turnover.released(now, ask.bytes);
        }
    }

    /// Marks a claim as held only in case that it is needed again; it may be given up for others.
    pub fn retain(&mut self, claim: ClaimId) {
        self.set_retained(claim, true);
    }

    /// Marks a claim as needed; it is not given up.
    pub fn keep(&mut self, claim: ClaimId) {
        self.set_retained(claim, false);
    }

    /// Returns the retained claims that are to be given up for the next one that waits.
    pub fn give_up_for_waiting(&mut self) -> Vec<ClaimId> {
        let Some(index) = self.next_waiter() else {
            return Vec::new();
        };
        let ask = self.waiting[index].ask.clone();
        self.retained_for(&ask).unwrap_or_default()
    }

    /// Grants the claims that wait and fit now, in order. Small ones pass large ones that don't fit.
    pub fn take_granted(&mut self, now: Now) -> Vec<(WaiterId, ClaimId)> {
        let mut granted = Vec::new();
        while let Some(index) = self.first_that_fits() {
            let waiter = self.waiting.remove(index);
            granted.push((waiter.id, self.grant(now, waiter.ask)));
        }
        granted
    }

    /// Ends the wait of a claim. Returns why it is refused.
    pub fn cancel(&mut self, now: Now, waiter: WaiterId) -> Option<MemoryShortage> {
        let index = self.waiting.iter().position(|w| w.id == waiter)?;
        let ask = self.waiting.remove(index).ask;
        let free_bytes = self.free_for(&ask);
        let missing = ask.bytes.saturating_sub(free_bytes);
        Some(MemoryShortage {
            asked_bytes: ask.bytes,
            free_bytes,
            retry_after: self.turnover.time_until(now, missing),
        })
    }

    fn grant(&mut self, now: Now, ask: MemoryAsk) -> ClaimId {
        let id = self.next_id();
        self.held.add(ask.kind, &ask.owner.workspace, ask.bytes);
        if is_large(&ask) {
            self.turnover.granted(now, ask.bytes);
        }
        let is_retained = false;
        self.claims.insert(id, Claim { ask, is_retained });
        id
    }

    fn set_retained(&mut self, claim: ClaimId, is_retained: bool) {
        if let Some(claim) = self.claims.get_mut(&claim) {
            claim.is_retained = is_retained;
        }
    }

    /// Returns the bytes that are free for a claim.
    fn free_for(&self, ask: &MemoryAsk) -> u64 {
        self.free_in_sum(ask).min(self.free_of_kind(ask.kind))
    }

    fn free_in_sum(&self, ask: &MemoryAsk) -> u64 {
        let most = part(self.capacity_bytes(), sum_part(ask));
        most.saturating_sub(self.held.total_bytes())
    }

    fn free_of_kind(&self, kind: MemoryKind) -> u64 {
        let Some(kind_part) = kind_part(kind) else {
            return u64::MAX;
        };
        let most = part(self.capacity_bytes(), kind_part);
        most.saturating_sub(self.held.of_kind(kind))
    }

    /// Whether a claim that goes first waits already. Small claims pass all that wait.
    fn is_after_a_waiter(&self, ask: &MemoryAsk) -> bool {
        let position = self.position(ask);
        is_large(ask)
            && self
                .waiting
                .iter()
                .any(|waiter| self.position(&waiter.ask) <= position)
    }

    /// Order of claims that wait: what has run already goes first, then by rank, then by what the
    /// workspace holds.
    fn position(&self, ask: &MemoryAsk) -> (bool, RequestRank, u64) {
        let is_body = ask.kind == MemoryKind::RequestBody;
        let held = self.held.of_workspace(&ask.owner.workspace);
        (is_body, ask.owner.rank, held)
    }

    fn next_waiter(&self) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        let first = waiting.min_by_key(|(_, w)| (self.position(&w.ask), w.id));
        first.map(|(index, _)| index)
    }

    fn first_that_fits(&self) -> Option<usize> {
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_cached_key(|index| {
            let waiter = &self.waiting[*index];
            (self.position(&waiter.ask), waiter.id)
        });
        let mut is_large_passed = false;
        order.into_iter().find(|index| {
            let ask = &self.waiting[*index].ask;
            let fits = ask.bytes <= self.free_for(ask) && !(is_large(ask) && is_large_passed);
            is_large_passed |= is_large(ask);
            fits
        })
    }

    /// Whether room for a claim is about to come back. What has run already waits in any case.
    fn is_worth_waiting(&self, now: Now, ask: &MemoryAsk) -> bool {
        if ask.kind != MemoryKind::RequestBody {
            return true;
        }
        let needed = self.queued_bytes() + ask.bytes;
        self.waiting.len() < MAX_WAITING && self.turnover.comes_back(now) >= needed
    }

    fn queued_bytes(&self) -> u64 {
        self.waiting.iter().map(|waiter| waiter.ask.bytes).sum()
    }

    fn enqueue(&mut self, ask: MemoryAsk) -> WaiterId {
        let id = self.next_id();
        self.waiting.push(Waiter { id, ask });
        id
    }

    /// Returns the retained claims that make room for a claim, `None` if they can't or need not:
    /// those of the least urgent rank first, then of the workspace that holds most, then the largest.
    fn retained_for(&mut self, ask: &MemoryAsk) -> Option<Vec<ClaimId>> {
        let missing = ask.bytes.saturating_sub(self.free_in_sum(ask));
        if missing == 0 || ask.bytes > self.free_of_kind(ask.kind) {
            return None;
        }
        let retained = self.claims.iter().filter(|(_, claim)| claim.is_retained);
        let mut retained: Vec<(ClaimId, &Claim)> = retained.map(|(id, c)| (*id, c)).collect();
        retained.sort_by_key(|(id, claim)| {
            let owner = &claim.ask.owner;
            let held = self.held.of_workspace(&owner.workspace);
            (std::cmp::Reverse((owner.rank, held, claim.ask.bytes)), *id)
        });
        let mut chosen = Vec::new();
        let mut freed = 0;
        for (id, claim) in retained {
            if freed >= missing {
                break;
            }
            freed += claim.ask.bytes;
            chosen.push(id);
        }
        if freed < missing {
            return None;
        }
        for id in &chosen {
            self.set_retained(*id, false);
        }
        Some(chosen)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

fn is_large(ask: &MemoryAsk) -> bool {
    ask.bytes > SMALL_BYTES
}

/// Part of the capacity up to which the sum of all holders may grow by a claim.
fn sum_part(ask: &MemoryAsk) -> f64 {
    match (is_large(ask), ask.kind) {
        (false, _) => 1.0,
        (true, MemoryKind::RequestBody) => BODIES_PART,
        (true, _) => LARGE_PART,
    }
}

/// Part of the capacity that all holders of a kind may have, `None` if only their sum is limited.
fn kind_part(kind: MemoryKind) -> Option<f64> {
    match kind {
        MemoryKind::Connection | MemoryKind::Head | MemoryKind::Carried => Some(CONNECTIONS_PART),
        MemoryKind::RequestBody | MemoryKind::Answer | MemoryKind::Events => None,
    }
}

fn part(bytes: u64, part: f64) -> u64 {
    (bytes as f64 * part) as u64
}
