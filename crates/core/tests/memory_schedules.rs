//! Generated schedules of claims, in which holders come, grow, leave, are retained and wait, and the
//! process needs more or less for itself.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use iristhread_core::ClaimId;
use iristhread_core::ClaimVerdict;
use iristhread_core::MemoryAsk;
use iristhread_core::MemoryBudget;
use iristhread_core::MemoryKind;
use iristhread_core::MemoryOwner;
use iristhread_core::Now;
use iristhread_core::RequestRank;
use iristhread_core::WaiterId;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::Config as ProptestConfig;
use proptest::test_runner::RngSeed;

/// Number of schedules by default; the environment variable PROPTEST_CASES overrides it.
const SCHEDULES: u32 = 300;

const LIMIT_BYTES: u64 = 110 << 20;

/// Size up to which a holder counts as small.
const SMALL_BYTES: u64 = 64 << 10;

/// Part of the capacity that large holders leave free.
const SMALL_PART: f64 = 0.2;

const SIZES: [u64; 6] = [1, 17_000, SMALL_BYTES, 250_000, 1 << 20, 4 << 20];

const KINDS: [MemoryKind; 3] = [
    MemoryKind::RequestBody,
    MemoryKind::Answer,
    MemoryKind::Events,
];

#[derive(Clone, Debug)]
enum Step {
    Claim {
        kind: usize,
        size: usize,
        workspace: u8,
        rank: u8,
        may_wait: bool,
    },
    /// A holder gives its bytes back.
    Release {
        number: usize,
    },
    /// A holder may be given up from now on.
    Retain {
        number: usize,
    },
    /// A holder is needed again.
    Keep {
        number: usize,
    },
    /// A claim no longer waits.
    Cancel {
        number: usize,
    },
    /// What the process needs for itself was measured.
    Measure {
        own_mb: u64,
    },
    Pass {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let claim = (0..KINDS.len(), 0..SIZES.len(), 0..4_u8, 0..3_u8, 0..2_u8);
    prop_oneof![
        6 => claim.prop_map(|(kind, size, workspace, rank, wait)| Step::Claim {
            kind, size, workspace, rank, may_wait: wait == 1,
        }),
        2 => (0..64_usize).prop_map(|number| Step::Release { number }),
        2 => (0..64_usize).prop_map(|number| Step::Retain { number }),
        1 => (0..64_usize).prop_map(|number| Step::Keep { number }),
        1 => (0..8_usize).prop_map(|number| Step::Cancel { number }),
        1 => (5..60_u64).prop_map(|own_mb| Step::Measure { own_mb }),
        1 => (1..2_000_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// What the process holds, as its holders know it.
struct Process {
    budget: MemoryBudget,
    now: Now,
    held: BTreeMap<ClaimId, MemoryAsk>,
    retained: BTreeSet<ClaimId>,
    waiting: BTreeMap<WaiterId, MemoryAsk>,
}

impl Process {
    fn new() -> Process {
        Process {
            budget: MemoryBudget::new(LIMIT_BYTES),
            now: Now::ZERO,
            held: BTreeMap::new(),
            retained: BTreeSet::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Claim {
                kind,
                size,
                workspace,
                rank,
                may_wait,
            } => {
                let owner = MemoryOwner {
                    workspace: format!("w{workspace}"),
                    rank: RequestRank {
                        workspace: rank,
                        route: 0,
                    },
                };
                let ask = MemoryAsk {
                    kind: KINDS[kind],
                    bytes: SIZES[size],
                    owner,
                };
                self.claim(ask, may_wait);
            }
            Step::Release { number } => {
                if let Some(id) = nth(self.held.keys(), number) {
                    self.release(id);
                }
            }
            Step::Retain { number } => {
                if let Some(id) = nth(self.held.keys(), number) {
                    self.budget.retain(id);
                    self.retained.insert(id);
                    let given_up = self.budget.give_up_for_waiting();
                    self.give_up(given_up);
                }
            }
            Step::Keep { number } => {
                if let Some(id) = nth(self.retained.iter(), number) {
                    self.budget.keep(id);
                    self.retained.remove(&id);
                }
            }
            Step::Cancel { number } => {
                if let Some(id) = nth(self.waiting.keys(), number) {
                    assert!(self.budget.cancel(self.now, id).is_some());
                    self.waiting.remove(&id);
                    self.take_granted();
                }
            }
            Step::Measure { own_mb } => {
                let resident = self.budget.held().total_bytes() + (own_mb << 20);
                self.budget.observe_resident(resident);
            }
            Step::Pass { ms } => self.now += Duration::from_millis(ms),
        }
        self.check();
    }

    fn claim(&mut self, ask: MemoryAsk, may_wait: bool) {
        loop {
            match self.budget.claim(self.now, ask.clone(), may_wait) {
                ClaimVerdict::Granted(id) => return self.granted(id, ask),
                ClaimVerdict::GiveUp(claims) => self.give_up(claims),
                ClaimVerdict::Waits(id) => {
                    assert!(may_wait);
                    self.waiting.insert(id, ask);
                    return;
                }
                ClaimVerdict::Refused(shortage) => {
                    assert!(shortage.free_bytes < ask.bytes || !self.waiting.is_empty());
                    assert!(shortage.retry_after > Duration::ZERO);
                    return self.check_refusal(&ask);
                }
            }
        }
    }

    /// A usual request is refused only if small holders have the part that large ones leave free.
    fn check_refusal(&self, ask: &MemoryAsk) {
        let capacity = self.budget.capacity_bytes() as f64;
        let total = self.budget.held().total_bytes() as f64;
        let small = self.held.values().filter(|ask| ask.bytes <= SMALL_BYTES);
        let small: u64 = small.map(|ask| ask.bytes).sum();
        // A capacity that has just shrunk may be full of what was granted before.
        let was_full = total - small as f64 > capacity * (1.0 - SMALL_PART);
        if ask.bytes <= SMALL_BYTES && !was_full {
            assert!(small + SMALL_BYTES >= (capacity * SMALL_PART) as u64);
        }
    }

    fn granted(&mut self, id: ClaimId, ask: MemoryAsk) {
        let total = self.budget.held().total_bytes();
        assert!(total <= self.budget.capacity_bytes(), "{total} bytes held");
        assert!(self.held.insert(id, ask).is_none());
    }

    fn give_up(&mut self, claims: Vec<ClaimId>) {
        for id in claims {
            assert!(self.retained.contains(&id), "a needed claim is given up");
            self.release(id);
        }
    }

    fn release(&mut self, id: ClaimId) {
        self.budget.release(self.now, id);
        self.held.remove(&id);
        self.retained.remove(&id);
        self.take_granted();
    }

    fn take_granted(&mut self) {
        for (waiter, id) in self.budget.take_granted(self.now) {
            let ask = self.waiting.remove(&waiter).unwrap();
            self.granted(id, ask);
        }
    }

    fn check(&self) {
        let held: u64 = self.held.values().map(|ask| ask.bytes).sum();
        assert_eq!(held, self.budget.held().total_bytes());
        assert_eq!(self.waiting.len(), self.budget.waiting());
    }

    /// Ends all holders; whoever waits gets its memory.
    fn end(&mut self) {
        while let Some(id) = nth(self.held.keys(), 0) {
            self.release(id);
        }
        self.check();
        assert_eq!(self.budget.held().total_bytes(), 0);
        assert_eq!(self.budget.waiting(), 0, "room for all that wait");
        for kind in MemoryKind::ALL {
            assert_eq!(self.budget.held().of_kind(kind), 0);
        }
    }
}

fn nth<'a>(ids: impl ExactSizeIterator<Item = &'a u64>, number: usize) -> Option<u64> {
    let count = ids.len();
    let mut ids = ids;
    ids.nth(number.checked_rem(count)?).copied()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: std::env::var("PROPTEST_CASES")
            .ok()
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(SCHEDULES),
        rng_seed: RngSeed::Fixed(82),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn what_is_held_never_exceeds_the_budget(steps in vec(step(), 1..200)) {
        let mut process = Process::new();
        for step in steps {
            process.step(step);
        }
        process.end();
    }
}

fn body(bytes: u64, workspace: &str, rank: u8) -> MemoryAsk {
    MemoryAsk {
        kind: MemoryKind::RequestBody,
        bytes,
        owner: MemoryOwner {
            workspace: workspace.to_owned(),
            rank: RequestRank {
                workspace: rank,
                route: 0,
            },
        },
    }
}

/// Fills a budget with bodies of 4 MiB of one workspace; returns their claims.
fn filled(budget: &mut MemoryBudget, workspace: &str) -> Vec<ClaimId> {
    let mut claims = Vec::new();
    while let ClaimVerdict::Granted(id) =
        budget.claim(Now::ZERO, body(4 << 20, workspace, 1), false)
    {
        claims.push(id);
    }
    claims
}

#[test]
fn the_least_urgent_and_then_the_largest_workspace_gives_up_first() {
    let mut budget = MemoryBudget::new(LIMIT_BYTES);
    let urgent = budget.claim(Now::ZERO, body(4 << 20, "urgent", 0), false);
    let small = budget.claim(Now::ZERO, body(4 << 20, "small", 1), false);
    let large = filled(&mut budget, "large");
    for verdict in [urgent, small] {
        let ClaimVerdict::Granted(id) = verdict else {
            panic!("{verdict:?}");
        };
        budget.retain(id);
    }
    large.iter().for_each(|id| budget.retain(*id));
    let next = budget.claim(Now::ZERO, body(4 << 20, "next", 1), false);
    assert_eq!(next, ClaimVerdict::GiveUp(vec![large[0]]));
}

/// Guards against bodies that are given up for claims that they make no room for.
#[test]
fn connections_beyond_their_part_cost_no_body() {
    let mut budget = MemoryBudget::new(LIMIT_BYTES);
    let held = filled(&mut budget, "a");
    held.iter().for_each(|id| budget.retain(*id));
    let connection = MemoryAsk {
        kind: MemoryKind::Connection,
        ..body(12 << 10, "", 0)
    };
    loop {
        match budget.claim(Now::ZERO, connection.clone(), false) {
            ClaimVerdict::Granted(_) => {}
            ClaimVerdict::GiveUp(claims) => {
                let connections = budget.held().of_kind(MemoryKind::Connection);
                assert!(
                    connections < budget.capacity_bytes() / 4 - (12 << 10),
                    "{claims:?}"
                );
                claims.iter().for_each(|id| budget.release(Now::ZERO, *id));
            }
            ClaimVerdict::Refused(_) => break,
            ClaimVerdict::Waits(_) => panic!("it may not wait"),
        }
    }
    assert!(budget.held().of_kind(MemoryKind::RequestBody) > 0);
}

#[test]
fn a_large_body_waits_only_while_memory_comes_back() {
    let mut budget = MemoryBudget::new(LIMIT_BYTES);
    let held = filled(&mut budget, "a");
    let later = Duration::from_secs(30);
    let refused = budget.claim(later, body(4 << 20, "b", 1), true);
    assert!(matches!(refused, ClaimVerdict::Refused(_)), "{refused:?}");
    budget.release(later, held[0]);
    budget.release(later, held[1]);
    let taken = budget.claim(later, body(8 << 20, "b", 1), true);
    assert!(matches!(taken, ClaimVerdict::Granted(_)), "{taken:?}");
    let waits = budget.claim(later, body(4 << 20, "c", 1), true);
    assert!(matches!(waits, ClaimVerdict::Waits(_)), "{waits:?}");
}

#[test]
fn refused_callers_return_when_as_much_has_come_back() {
    let mut budget = MemoryBudget::new(LIMIT_BYTES);
    let held = filled(&mut budget, "a");
    let later = Duration::from_secs(30);
    budget.release(later, held[0]);
    filled(&mut budget, "a");
    let refused = budget.claim(later, body(2 << 20, "b", 1), false);
    let ClaimVerdict::Refused(shortage) = refused else {
        panic!("{refused:?}");
    };
    // 4 MiB came back in 5 s.
    assert!(shortage.retry_after <= Duration::from_millis(2_500));
    assert!(shortage.retry_after >= Duration::from_millis(300));
}
