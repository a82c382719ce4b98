//! Ways to find the requests that end the engines that run them, on a model of a fleet:
//! engines that end under them, sessions lost beside them, and proper requests that are
//! refused by mistake. Prints a table for docs/design/0013.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use iristhread_core::Fingerprint;
use iristhread_core::Now;
use iristhread_core::ServerCrash;
use iristhread_core::Suspicions;
use iristhread_core::Verdict;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

const ENGINES: usize = 14;
const SECONDS: u64 = 100;
const SEEDS: u64 = 20;
const STEP: Duration = Duration::from_millis(50);
const STEPS_PER_S: u64 = 20;

/// Time until an engine that ended is back.
const RESTART: Duration = Duration::from_secs(3);

/// Proper requests a second, and their lengths.
const PROPER_PER_S: f64 = 13.0;
const SHORT: Duration = Duration::from_millis(300);
const LONG: Duration = Duration::from_secs(7);

/// Share of the proper short requests that look alike.
const ALIKE_SHARE: f64 = 0.3;

/// Contents: of those at fault, of those alike; all others are counted up from there.
const AT_FAULT: u128 = 0;
const ALIKE: u128 = 1;

/// What the fleet meets.
#[derive(Clone, Copy)]
struct Scene {
    /// Time from the send of a request at fault to the end of its engine.
    fuse: Duration,
    /// Requests at fault a second, of one content.
    at_fault_per_s: f64,
    /// Seconds between two losses of power of a third of the engines.
    power_loss_every_s: u64,
}

const SCENES: [Scene; 4] = [
    Scene {
        fuse: Duration::from_millis(100),
        at_fault_per_s: 2.0,
        power_loss_every_s: 30,
    },
    Scene {
        fuse: Duration::from_millis(800),
        at_fault_per_s: 2.0,
        power_loss_every_s: 30,
    },
    Scene {
        fuse: Duration::from_millis(800),
        at_fault_per_s: 8.0,
        power_loss_every_s: 8,
    },
    Scene {
        fuse: Duration::from_millis(800),
        at_fault_per_s: 0.0,
        power_loss_every_s: 8,
    },
];

#[derive(Clone, Copy, Eq, PartialEq)]
enum Way {
    Nothing,
    /// Each end counts for all that ran there.
    Counts,
    /// For what had not run there for a second.
    CountsNew,
    /// The product's.
    Explains,
}

const WAYS: [(&str, Way, usize); 5] = [
    ("none", Way::Nothing, 0),
    ("each end counts for all there", Way::Counts, 3),
    ("for what ran under a second there", Way::CountsNew, 2),
    ("for what ran under a second there", Way::CountsNew, 3),
    (
        "and not where a stronger suspect explains it",
        Way::Explains,
        3,
    ),
];

struct Run {
    content: u128,
    engine: usize,
    begun: Now,
    ends: Now,
}

#[derive(Default)]
struct Figures {
    engines_ended: u64,
    sessions_lost: u64,
    proper_refused: u64,
}

struct World {
    scene: Scene,
    way: Way,
    ends_needed: usize,
    now: Now,
    down_until: Vec<Now>,
    lives: Vec<u64>,
    runs: Vec<Run>,
    counted: BTreeMap<u128, BTreeSet<u64>>,
    book: Suspicions,
    next: u128,
    random: Pcg32,
    figures: Figures,
}

fn fingerprint(content: u128) -> Fingerprint {
    Fingerprint {
        workspace: 1,
        content,
    }
}

impl World {
    fn new(scene: Scene, way: Way, ends_needed: usize, seed: u64) -> Self {
        World {
            scene,
            way,
            ends_needed,
            now: Duration::from_secs(100),
            down_until: vec![Duration::ZERO; ENGINES],
            lives: (0..ENGINES as u64).collect(),
            runs: Vec::new(),
            counted: BTreeMap::new(),
            book: Suspicions::default(),
            next: ALIKE + 1,
            random: Pcg32::seed_from_u64(seed),
            figures: Figures::default(),
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn is_refused(&self, content: u128) -> bool {
        match self.way {
            Way::Nothing => false,
            Way::Counts | Way::CountsNew => {
                let ends = self.counted.get(&content);
                ends.is_some_and(|ends| ends.len() >= self.ends_needed)
            }
            Way::Explains => self.book.verdict(fingerprint(content)) != Verdict::Allowed,
        }
    }

    fn send(&mut self, content: u128, length: Duration) {
        if self.is_refused(content) {
            self.figures.proper_refused += u64::from(content != AT_FAULT);
            return;
        }
        let now = self.now;
        let up: Vec<usize> = (0..ENGINES)
            .filter(|e| self.down_until[*e] <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.next_u32() as usize % up.len()];
        self.runs.push(Run {
            content,
            engine,
            begun: now,
            ends: now + length,
        });
    }

    fn end_engine(&mut self, engine: usize) {
        self.figures.engines_ended += 1;
        self.down_until[engine] = self.now + RESTART;
        let life = self.lives[engine];
        self.lives[engine] += ENGINES as u64;
        let runs = std::mem::take(&mut self.runs);
        let (there, rest): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|r| r.engine == engine);
        self.runs = rest;
        for run in there {
            let is_new = self.now - run.begun < Duration::from_secs(1);
            if self.way == Way::Counts || (self.way == Way::CountsNew && is_new) {
                self.counted.entry(run.content).or_default().insert(life);
            }
            if self.way == Way::Explains && is_new {
                let end = ServerCrash { life, at: self.now };
                self.book
                    .server_ended(self.now, fingerprint(run.content), None, end);
            }
            if run.content != AT_FAULT {
                self.figures.sessions_lost += 1;
                // Its caller or its copy sends it once more.
                let left = run.ends.saturating_sub(self.now);
                self.send(run.content, left);
            }
        }
    }

    fn step(&mut self) {
        let at_step = STEP.as_secs_f64();
        if self.chance() < self.scene.at_fault_per_s * at_step {
            self.send(AT_FAULT, self.scene.fuse);
        }
        if self.chance() < PROPER_PER_S * at_step {
            let is_long = self.chance() < 0.4;
            let is_alike = !is_long && self.chance() < ALIKE_SHARE;
            self.next += 1;
            let content = if is_alike { ALIKE } else { self.next };
            self.send(content, if is_long { LONG } else { SHORT });
        }
        let every_ms = u128::from(self.scene.power_loss_every_s) * 1_000;
        if self.now.as_millis() % every_ms == every_ms / 2 {
            (0..ENGINES / 3).for_each(|engine| self.end_engine(engine));
        }
        self.now += STEP;
        let now = self.now;
        let (over, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|r| r.ends <= now);
        self.runs = rest;
        for run in over {
            match run.content {
                AT_FAULT => {
                    let engine = run.engine;
                    self.runs.push(run);
                    self.end_engine(engine);
                }
                content => {
                    self.counted.remove(&content);
                    self.book.ran_well(now, fingerprint(content));
                }
            }
        }
    }
}

fn main() {
    println!("{ENGINES} engines, {SECONDS} s, mean of {SEEDS} seeds");
    for scene in SCENES {
        println!(
            "\n{} requests at fault a second, each ends its engine after {} ms; a third of the \
             engines loses power every {} s\n",
            scene.at_fault_per_s,
            scene.fuse.as_millis(),
            scene.power_loss_every_s,
        );
        println!("| way | ends needed | engines ended | sessions lost | proper refused |");
        println!("|---|---|---|---|---|");
        for (name, way, ends_needed) in WAYS {
            let figures = played(scene, way, ends_needed);
            let mean = |sum: u64| sum as f64 / SEEDS as f64;
            println!(
                "| {name} | {ends_needed} | {:.1} | {:.1} | {:.2} |",
                mean(figures.engines_ended),
                mean(figures.sessions_lost),
                mean(figures.proper_refused),
            );
        }
    }
}

/// The sums over all seeds.
fn played(scene: Scene, way: Way, ends_needed: usize) -> Figures {
    let mut sum = Figures::default();
    for seed in 0..SEEDS {
        let mut world = World::new(scene, way, ends_needed, seed);
        for _ in 0..SECONDS * STEPS_PER_S {
            world.step();
        }
        sum.engines_ended += world.figures.engines_ended;
        sum.sessions_lost += world.figures.sessions_lost;
        sum.proper_refused += world.figures.proper_refused;
    }
    sum
}
