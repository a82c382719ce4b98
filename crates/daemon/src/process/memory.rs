//! The memory of this process that it holds for others, within its budget.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use bytes::Bytes;
use iristhread_core::ClaimId;
use iristhread_core::ClaimVerdict;
use iristhread_core::MemoryAsk;
use iristhread_core::MemoryBudget;
use iristhread_core::MemoryKind;
use iristhread_core::MemoryShortage;
use iristhread_core::WaiterId;
use slog::Logger;
use slog::info;
use tokio::sync::oneshot;

use crate::process::clock::Clock;

/// Bytes that are given up when others need their memory more.
pub type RetainedBytes = Mutex<Option<Bytes>>;

/// Receives every change of what is held.
pub trait MemoryObserver: Send + Sync {
    /// What is held of one kind, or the capacity, has changed.
    fn changed(&self, budget: &MemoryBudget, kind: MemoryKind);

    /// A claim was refused.
    fn refused(&self, kind: MemoryKind);

    /// Retained bytes were given up.
    fn given_up(&self, count: usize);
}

/// Grants claims within the budget of this process.
pub struct Memory {
    state: Mutex<State>,
    clock: Clock,
    observer: Arc<dyn MemoryObserver>,
    log: Logger,
}

struct State {
    budget: MemoryBudget,
    waiting: HashMap<WaiterId, Waiter>,
    retained: HashMap<ClaimId, Weak<RetainedBytes>>,
}

struct Waiter {
    kind: MemoryKind,
    granted: oneshot::Sender<MemoryClaim>,
}

/// Bytes that may be held until this is dropped.
pub struct MemoryClaim {
    id: ClaimId,
    kind: MemoryKind,
    memory: Arc<Memory>,
}

impl MemoryClaim {
    /// Identifies the claim.
    pub fn id(&self) -> ClaimId {
        self.id
    }
}

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        self.memory.release(self.id, self.kind);
    }
}

/// A claim that was not decided by a refusal.
enum Claimed {
    Granted(MemoryClaim),
    Waits(Wait),
}

/// A claim that waits; dropping it ends the wait.
struct Wait {
    id: WaiterId,
    granted: oneshot::Receiver<MemoryClaim>,
    memory: Arc<Memory>,
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.memory.cancel(self.id);
    }
}

impl Memory {
    /// Creates the budget of a process that may use `limit_bytes` of memory.
    pub fn new(
        limit_bytes: u64,
        clock: Clock,
        observer: Arc<dyn MemoryObserver>,
        log: Logger,
    ) -> Arc<Self> {
        let state = State {
            budget: MemoryBudget::new(limit_bytes),
            waiting: HashMap::new(),
            retained: HashMap::new(),
        };
        Arc::new(Memory {
            state: Mutex::new(state),
            clock,
            observer,
            log,
        })
    }

    /// Claims bytes without waiting.
    ///
    /// # Errors
    ///
    /// [`MemoryShortage`] if they don't fit.
    pub fn try_claim(self: &Arc<Self>, ask: &MemoryAsk) -> Result<MemoryClaim, MemoryShortage> {
        match self.decide(ask, false)? {
            Claimed::Granted(claim) => Ok(claim),
            Claimed::Waits(wait) => Err(wait.give_up(ask)),
        }
    }

    /// Claims bytes; waits for at most `max_wait` if room is about to come back.
    ///
    /// # Errors
    ///
    /// [`MemoryShortage`] if they don't fit.
    pub async fn claim(
        self: &Arc<Self>,
        ask: &MemoryAsk,
        max_wait: Duration,
    ) -> Result<MemoryClaim, MemoryShortage> {
        let mut wait = match self.decide(ask, true)? {
            Claimed::Granted(claim) => return Ok(claim),
            Claimed::Waits(wait) => wait,
        };
        match tokio::time::timeout(max_wait, &mut wait.granted).await {
            Ok(Ok(claim)) => Ok(claim),
            _ => Err(wait.give_up(ask)),
        }
    }

    /// Lets the bytes of a claim be given up when others need its memory.
    pub fn retain(&self, claim: ClaimId, bytes: &Arc<RetainedBytes>) {
        let mut state = self.lock();
        state.budget.retain(claim);
        state.retained.insert(claim, Arc::downgrade(bytes));
        let given_up = state.budget.give_up_for_waiting();
        drop(state);
        self.give_up(&given_up);
    }

    /// No longer lets the bytes of a claim be given up.
    pub fn keep(&self, claim: ClaimId) {
        let mut state = self.lock();
        state.budget.keep(claim);
        state.retained.remove(&claim);
    }

    /// Takes over a measurement of the resident memory of the process.
    pub fn observe_resident(&self, resident_bytes: u64) {
        let mut state = self.lock();
        state.budget.observe_resident(resident_bytes);
        self.observer
            .changed(&state.budget, MemoryKind::RequestBody);
    }

    fn decide(
        self: &Arc<Self>,
        ask: &MemoryAsk,
        may_wait: bool,
    ) -> Result<Claimed, MemoryShortage> {
        loop {
            let mut state = self.lock();
            let now = self.clock.now();
            match state.budget.claim(now, ask.clone(), may_wait) {
                ClaimVerdict::Granted(id) => {
                    self.observer.changed(&state.budget, ask.kind);
                    return Ok(Claimed::Granted(self.granted(id, ask.kind)));
                }
                ClaimVerdict::Waits(id) => {
                    let (sender, granted) = oneshot::channel();
                    let waiter = Waiter {
                        kind: ask.kind,
                        granted: sender,
                    };
                    state.waiting.insert(id, waiter);
                    let memory = self.clone();
                    return Ok(Claimed::Waits(Wait {
                        id,
                        granted,
                        memory,
                    }));
                }
                ClaimVerdict::GiveUp(claims) => {
                    drop(state);
                    self.give_up(&claims);
                }
                ClaimVerdict::Refused(shortage) => {
                    self.record_refusal(&state, ask, shortage);
                    return Err(shortage);
                }
            }
        }
    }

    fn granted(self: &Arc<Self>, id: ClaimId, kind: MemoryKind) -> MemoryClaim {
        let memory = self.clone();
        MemoryClaim { id, kind, memory }
    }

    /// Drops retained bytes. Their claims are released with the last copy of the bytes.
    fn give_up(&self, claims: &[ClaimId]) {
        if claims.is_empty() {
            return;
        }
        let mut state = self.lock();
        let given_up: Vec<_> = claims
            .iter()
            .filter_map(|claim| state.retained.remove(claim))
            .collect();
        drop(state);
        self.observer.given_up(given_up.len());
        for bytes in given_up.iter().filter_map(Weak::upgrade) {
            drop(bytes.lock().unwrap_or_else(PoisonError::into_inner).take());
        }
    }

    fn release(self: &Arc<Self>, claim: ClaimId, kind: MemoryKind) {
        let mut state = self.lock();
        let now = self.clock.now();
        state.budget.release(now, claim);
        state.retained.remove(&claim);
        self.observer.changed(&state.budget, kind);
        self.grant_waiting(state);
    }

    fn cancel(self: &Arc<Self>, waiter: WaiterId) {
        let mut state = self.lock();
        state.waiting.remove(&waiter);
        state.budget.cancel(self.clock.now(), waiter);
        self.grant_waiting(state);
    }

    /// Grants the claims that wait and fit now.
    fn grant_waiting(self: &Arc<Self>, mut state: MutexGuard<'_, State>) {
        let mut granted = Vec::new();
        for (waiter, id) in state.budget.take_granted(self.clock.now()) {
            let Some(waiter) = state.waiting.remove(&waiter) else {
                continue;
            };
            self.observer.changed(&state.budget, waiter.kind);
            granted.push((waiter.granted, self.granted(id, waiter.kind)));
        }
        drop(state);
        for (waiter, claim) in granted {
            // A waiter that has just left drops the claim, which releases it.
            let _ = waiter.send(claim);
        }
    }

    fn record_refusal(&self, state: &State, ask: &MemoryAsk, shortage: MemoryShortage) {
        self.observer.refused(ask.kind);
        info!(self.log, "claim of memory refused";
            "kind" => ask.kind.as_str(),
            "workspace" => &ask.owner.workspace,
            "asked_bytes" => shortage.asked_bytes,
            "free_bytes" => shortage.free_bytes,
            "held_bytes" => state.budget.held().total_bytes(),
            "capacity_bytes" => state.budget.capacity_bytes(),
            "waiting" => state.budget.waiting(),
            "retry_after_ms" => shortage.retry_after.as_millis() as u64);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Wait {
    /// Ends the wait without the bytes.
    fn give_up(&self, ask: &MemoryAsk) -> MemoryShortage {
        let memory = &self.memory;
        let mut state = memory.lock();
        state.waiting.remove(&self.id);
        let shortage = state.budget.cancel(memory.clock.now(), self.id);
        let shortage = shortage.unwrap_or(MemoryShortage {
            asked_bytes: ask.bytes,
            free_bytes: 0,
            retry_after: Duration::from_secs(1),
        });
        memory.record_refusal(&state, ask, shortage);
        shortage
    }
}
