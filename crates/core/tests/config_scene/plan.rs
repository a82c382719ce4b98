//! The faults of a run with their times and durations: a function of the seed.

use std::time::Duration;

use iristhread_core::Now;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

/// Duration of a run.
pub const LENGTH_MS: u64 = 24_000;

/// Time without faults at the start, in which the instances discover each other.
const START_MS: u64 = 4_000;

/// Longest duration of a fault.
const MAX_FAULT_MS: u64 = 4_000;

/// The instances that a fault affects.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    pub count: usize,
    /// Whether the current readers of the directory are chosen first.
    pub readers_first: bool,
}

/// A fault or a change.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A new version is confirmed.
    Publish,
    /// Processes are suspended.
    Freeze(Targets),
    /// Processes are killed; they are restarted after the duration.
    Kill(Targets),
    /// Calls of some instances to the directory get no answer.
    CutFromStore(Targets),
    /// Network partition between some instances and all others.
    CutFromPeers(Targets),
    /// Network partition between a zone and all others.
    CutZone(usize),
    /// All open connections stall permanently; new ones work.
    StallConnections,
    /// The directory answers no call.
    StoreDown,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub at: Now,
    pub duration: Duration,
    pub fault: Fault,
}

/// All faults of one run, in reverse order of time.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    steps: Vec<Step>,
}

impl Plan {
    /// Creates a plan of steps in any order.
    pub fn new(mut steps: Vec<Step>) -> Plan {
        steps.sort_by_key(|step| std::cmp::Reverse(step.at));
        Plan { steps }
    }

    /// Returns the plan of a seed: rounds of a few concurrent faults, with changes in between.
    pub fn of(seed: u64, instances: usize) -> Plan {
        let mut random = Pcg32::seed_from_u64(seed ^ 0x5eed);
        let mut draw = |most: u64| u64::from(random.next_u32()) % most.max(1);
        let mut steps = Vec::new();
        let mut at = START_MS;
        while at < LENGTH_MS - 3_000 {
            for _ in 0..=draw(4) {
                let targets = Targets {
                    count: 1 + draw(instances as u64 * 2 / 3) as usize,
                    readers_first: draw(2) == 0,
                };
                let fault = match draw(12) {
                    0..=2 => Fault::Freeze(targets),
                    3 | 4 => Fault::Kill(targets),
                    5..=7 => Fault::CutFromStore(targets),
                    8 => Fault::CutFromPeers(targets),
                    9 => Fault::CutZone(draw(3) as usize),
                    10 => Fault::StallConnections,
                    _ => Fault::StoreDown,
                };
                steps.push(step(at + draw(700), 100 + draw(MAX_FAULT_MS), fault));
            }
            for _ in 0..=draw(3) {
                steps.push(step(at + draw(3_000), 0, Fault::Publish));
            }
            at += 500 + draw(4_000);
        }
        Plan::new(steps)
    }

    /// Removes and returns the steps that start until now.
    pub fn due(&mut self, now: Now) -> Vec<Step> {
        let mut due = Vec::new();
        while self.steps.last().is_some_and(|step| step.at <= now) {
            due.extend(self.steps.pop());
        }
        due
    }
}

/// Creates a step from times in milliseconds.
pub fn step(at_ms: u64, duration_ms: u64, fault: Fault) -> Step {
    Step {
        at: Duration::from_millis(at_ms),
        duration: Duration::from_millis(duration_ms),
        fault,
    }
}
