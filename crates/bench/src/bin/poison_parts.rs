//! Ways to find the parts of prompts that crash the engines which begin on them, on a model of a
//! fleet: engines that crash under them, and sound requests that are refused by mistake. Prints a
//! table for docs/design/0026.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use iristhread_core::Fingerprint;
use iristhread_core::FingerprintInput;
use iristhread_core::KnownGood;
use iristhread_core::Now;
use iristhread_core::PromptParts;
use iristhread_core::ServerCrash;
use iristhread_core::SuspectedRequest;
use iristhread_core::Suspicions;
use rand_core::Rng;
use rand_core::SeedableRng;
use rand_pcg::Pcg32;

const ENGINES: usize = 14;
const SECONDS: u64 = 60;
const SEEDS: u64 = 20;
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_S: u64 = 100;

/// Time before bad requests come.
const CALM: Duration = Duration::from_secs(5);

/// Time until an engine that crashed is back.
const RESTART: Duration = Duration::from_secs(3);

/// Time for which a request waits at its engine, and for which a sound one runs.
const QUEUED: Duration = Duration::from_millis(150);
const RUNS: Duration = Duration::from_millis(300);

/// Number of crashes by which the ways other than the product's refuse a part.
const ENOUGH: usize = 3;

/// Sound requests a second, and the number of parts of which each has one beside the common one.
const SOUND_PER_S: f64 = 13.0;
const OWN_PARTS: u32 = 40;

#[derive(Clone, Copy)]
struct Scene {
    name: &'static str,
    /// Bad parts; each comes in this many requests a second.
    bad_parts: u32,
    bad_per_s: f64,
    /// Time between two losses of power of a third of the engines.
    power_loss_every_s: Option<u64>,
}

const SCENES: [Scene; 4] = [
    Scene {
        name: "one bad part, 6 requests a second",
        bad_parts: 1,
        bad_per_s: 6.0,
        power_loss_every_s: None,
    },
    Scene {
        name: "two bad parts, 3 requests a second each",
        bad_parts: 2,
        bad_per_s: 3.0,
        power_loss_every_s: None,
    },
    Scene {
        name: "two bad parts, 3 requests a second each, and a third of the engines loses power every 8 s",
        bad_parts: 2,
        bad_per_s: 3.0,
        power_loss_every_s: Some(8),
    },
    Scene {
        name: "no bad part, a third of the engines loses power every 2 s",
        bad_parts: 0,
        bad_per_s: 0.0,
        power_loss_every_s: Some(2),
    },
];

#[derive(Clone, Copy, Eq, PartialEq)]
enum Way {
    /// Only whole requests are suspected.
    Contents,
    /// Each part with enough crashes since it ran well.
    Counts,
    /// And that no part with more crashes explains.
    MostCrashes,
    /// The product's.
    LeastGood,
}

const WAYS: [(&str, Way); 4] = [
    ("contents only", Way::Contents),
    (
        "each part with three crashes since it ran well",
        Way::Counts,
    ),
    (
        "unless a part with more crashes explains them",
        Way::MostCrashes,
    ),
    (
        "unless a part that ran well longer ago explains them",
        Way::LeastGood,
    ),
];

struct Run {
    number: u64,
    ids: Vec<String>,
    engine: usize,
    begins: Now,
}

#[derive(Default)]
struct Figures {
    crashes: u64,
    sound: u64,
    sound_refused: u64,
}

struct World {
    scene: Scene,
    way: Way,
    now: Now,
    down_until: Vec<Now>,
    lives: Vec<u64>,
    runs: Vec<Run>,
    counted: BTreeMap<String, BTreeSet<u64>>,
    book: Suspicions,
    good: KnownGood,
    next: u64,
    random: Pcg32,
    figures: Figures,
}

fn parts_of(ids: &[String]) -> PromptParts {
    PromptParts::of(Some("w"), ids.iter().map(String::as_str), None)
}

fn content_of(number: u64) -> Fingerprint {
    Fingerprint::of(&FingerprintInput {
        workspace: Some("w"),
        method: "POST",
        host: "",
        path: "/",
        body: &number.to_le_bytes(),
    })
}

impl World {
    fn new(scene: Scene, way: Way, seed: u64) -> Self {
        World {
            scene,
            way,
            now: Duration::from_secs(100),
            down_until: vec![Duration::ZERO; ENGINES],
            lives: (0..ENGINES as u64).collect(),
            runs: Vec::new(),
            counted: BTreeMap::new(),
            book: Suspicions::default(),
            good: KnownGood::default(),
            next: 0,
            random: Pcg32::seed_from_u64(seed),
            figures: Figures::default(),
        }
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn is_refused(&self, number: u64, ids: &[String]) -> bool {
        let crashes = |id: &String| self.counted.get(id).map_or(0, BTreeSet::len);
        match self.way {
            Way::Contents => false,
            Way::Counts => ids.iter().any(|id| crashes(id) >= ENOUGH),
            Way::MostCrashes => ids.iter().any(|id| self.unexplained(id) >= ENOUGH),
            Way::LeastGood => {
                let parts = parts_of(ids);
                let (fingerprint, parts) = (content_of(number), &parts);
                let causes = self.book.causes(SuspectedRequest { fingerprint, parts });
                !causes.is_empty()
            }
        }
    }

    fn unexplained(&self, id: &String) -> usize {
        let Some(own) = self.counted.get(id) else {
            return 0;
        };
        let others = self
            .counted
            .values()
            .filter(|other| other.len() > own.len());
        let others: Vec<&BTreeSet<u64>> = others.collect();
        let is_explained = |life: &&u64| others.iter().any(|other| other.contains(life));
        own.iter().filter(|life| !is_explained(life)).count()
    }

    fn send(&mut self, ids: Vec<String>, is_sound: bool) {
        self.next += 1;
        let is_refused = self.is_refused(self.next, &ids);
        self.figures.sound += u64::from(is_sound);
        if is_refused {
            self.figures.sound_refused += u64::from(is_sound);
            return;
        }
        let up = (0..ENGINES).filter(|engine| self.down_until[*engine] <= self.now);
        let up: Vec<usize> = up.collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.next_u32() as usize % up.len()];
        self.runs.push(Run {
            number: self.next,
            ids,
            engine,
            begins: self.now + QUEUED,
        });
    }

    fn crash(&mut self, engine: usize) {
        self.figures.crashes += 1;
        self.down_until[engine] = self.now + RESTART;
        let life = self.lives[engine];
        self.lives[engine] += ENGINES as u64;
        let runs = std::mem::take(&mut self.runs);
        let (there, rest): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|run| run.engine == engine);
        self.runs = rest;
        let crash = ServerCrash { life, at: self.now };
        for run in there {
            for id in &run.ids {
                self.counted.entry(id.clone()).or_default().insert(life);
            }
            let parts = parts_of(&run.ids);
            let (fingerprint, parts) = (content_of(run.number), &parts);
            let request = SuspectedRequest { fingerprint, parts };
            let good = |fingerprint| self.good.at(fingerprint);
            self.book
                .server_crashed_under(self.now, request, good, crash);
        }
    }

    fn ran_well(&mut self, run: &Run) {
        for id in &run.ids {
            self.counted.remove(id);
        }
        let parts = parts_of(&run.ids);
        let (fingerprint, parts) = (content_of(run.number), &parts);
        let request = SuspectedRequest { fingerprint, parts };
        self.good.note(self.now, request);
        for fingerprint in request.fingerprints() {
            self.book.ran_well(self.now, fingerprint);
        }
    }

    fn step(&mut self, elapsed: Duration) {
        if self.chance() < SOUND_PER_S * STEP.as_secs_f64() {
            let own = self.random.next_u32() % OWN_PARTS;
            self.send(vec!["common".to_owned(), format!("own{own}")], true);
        }
        for bad in 0..self.scene.bad_parts {
            if elapsed > CALM && self.chance() < self.scene.bad_per_s * STEP.as_secs_f64() {
                self.send(vec!["common".to_owned(), format!("bad{bad}")], false);
            }
        }
        let every_ms = self.scene.power_loss_every_s.map(|s| u128::from(s) * 1_000);
        if every_ms.is_some_and(|every| self.now.as_millis() % every == every / 2) {
            (0..ENGINES / 3).for_each(|engine| self.crash(engine));
        }
        self.now += STEP;
        let is_bad = |run: &&Run| run.ids[1].starts_with("bad") && run.begins <= self.now;
        let crashing = self.runs.iter().filter(is_bad).map(|run| run.engine);
        let crashing: BTreeSet<usize> = crashing.collect();
        crashing.into_iter().for_each(|engine| self.crash(engine));
        let now = self.now;
        let (over, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.begins + RUNS <= now);
        self.runs = rest;
        over.iter().for_each(|run| self.ran_well(run));
    }
}

fn main() {
    println!("{ENGINES} engines, {SECONDS} s, mean of {SEEDS} seeds");
    for scene in SCENES {
        println!("\n{}\n", scene.name);
        println!("| way | engines crashed | sound requests refused, in a hundred |");
        println!("|---|---|---|");
        for (name, way) in WAYS {
            let sum = played(scene, way);
            let crashes = sum.crashes as f64 / SEEDS as f64;
            let refused = 100.0 * sum.sound_refused as f64 / sum.sound as f64;
            println!("| {name} | {crashes:.1} | {refused:.2} |");
        }
    }
}

/// The sums over all seeds.
fn played(scene: Scene, way: Way) -> Figures {
    let mut sum = Figures::default();
    for seed in 0..SEEDS {
        let mut world = World::new(scene, way, seed);
        for step in 0..SECONDS * STEPS_PER_S {
            world.step(STEP * u32::try_from(step).unwrap_or(u32::MAX));
        }
        sum.crashes += world.figures.crashes;
        sum.sound += world.figures.sound;
        sum.sound_refused += world.figures.sound_refused;
    }
    sum
}
