//! What strikes, when and for how long: a function of the seed.

use std::time::Duration;

use iristhread_core::Now;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

/// How long a run lasts after the start.
pub const LENGTH_MS: u64 = 24_000;

/// Nothing strikes before: the fleet finds itself.
const CALM_MS: u64 = 4_000;

/// Longest fault.
const LONGEST_MS: u64 = 4_000;

/// Whom a fault strikes.
#[derive(Clone, Copy, Debug)]
pub struct Who {
    pub count: usize,
    /// Those that read the directory now before others.
    pub readers_first: bool,
}

/// What strikes.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A new version is confirmed.
    Publish,
    /// Processes stand still.
    Freeze(Who),
    /// Processes end; others begin after the time.
    Kill(Who),
    /// Calls to the directory get no answer.
    CutFromStore(Who),
    /// Nothing passes between these and all others.
    CutFromPeers(Who),
    /// Nothing passes between a zone and the others.
    CutZone(usize),
    /// All open connections fall silent for good; new ones work.
    Silence,
    /// The directory answers nobody.
    StoreDown,
}

/// A fault at a moment.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub at: Now,
    pub lasts: Duration,
    pub fault: Fault,
}

/// All that strikes in one run, the first last.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    steps: Vec<Step>,
}

impl Plan {
    /// Steps in any order.
    pub fn new(mut steps: Vec<Step>) -> Plan {
        steps.sort_by_key(|step| std::cmp::Reverse(step.at));
        Plan { steps }
    }

    /// The plan of a seed: rounds of a few faults at once, with changes in the midst.
    pub fn of(seed: u64, instances: usize) -> Plan {
        let mut random = Pcg32::seed_from_u64(seed ^ 0x5eed);
        let mut draw = |most: u64| u64::from(random.next_u32()) % most.max(1);
        let mut steps = Vec::new();
        let mut at = CALM_MS;
        while at < LENGTH_MS - 3_000 {
            for _ in 0..=draw(4) {
                let who = Who {
                    count: 1 + draw(instances as u64 * 2 / 3) as usize,
                    readers_first: draw(2) == 0,
                };
                let fault = match draw(12) {
                    0..=2 => Fault::Freeze(who),
                    3 | 4 => Fault::Kill(who),
                    5..=7 => Fault::CutFromStore(who),
                    8 => Fault::CutFromPeers(who),
                    9 => Fault::CutZone(draw(3) as usize),
                    10 => Fault::Silence,
                    _ => Fault::StoreDown,
                };
                steps.push(step(at + draw(700), 100 + draw(LONGEST_MS), fault));
            }
            for _ in 0..=draw(3) {
                steps.push(step(at + draw(3_000), 0, Fault::Publish));
            }
            at += 500 + draw(4_000);
        }
        Plan::new(steps)
    }

    /// What strikes until now.
    pub fn due(&mut self, now: Now) -> Vec<Step> {
        let mut due = Vec::new();
        while self.steps.last().is_some_and(|step| step.at <= now) {
            due.extend(self.steps.pop());
        }
        due
    }
}

/// One step, in milliseconds.
pub fn step(at_ms: u64, lasts_ms: u64, fault: Fault) -> Step {
    Step {
        at: Duration::from_millis(at_ms),
        lasts: Duration::from_millis(lasts_ms),
        fault,
    }
}
