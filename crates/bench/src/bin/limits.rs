//! Ways to share the limit that a server names among instances, on a model of a fleet: the
//! most that reaches the server in 4 s, worst of the seeds, and the mean part of the limit
//! that is used. Prints a table for docs/design/0016.

use std::time::Duration;

use iristhread_bench::LimitFleet;
use iristhread_bench::LimitTrial;
use iristhread_bench::LimitWay;
use iristhread_bench::Trouble;
use iristhread_core::LimitParameters;

const SEEDS: u64 = 20;

const TIME: Duration = Duration::from_secs(30);

/// Instances, and of how many one asks.
const FLEETS: [(usize, usize); 4] = [(9, 1), (40, 3), (300, 1), (300, 3)];

const LIMITS_PER_S: [f64; 3] = [0.3, 4.0, 40.0];

/// What happens, and how many times the limit is wanted.
const TROUBLES: [(&str, Trouble, f64); 7] = [
    ("none", Trouble::None, 3.0),
    ("burst of 3", Trouble::Burst(3.0), 3.0),
    ("burst of 10", Trouble::Burst(10.0), 3.0),
    ("halves", Trouble::Halves, 3.0),
    ("restarts", Trouble::Restarts, 3.0),
    (
        "burst of 8 from half of the limit",
        Trouble::Burst(8.0),
        0.5,
    ),
    ("ten times the limit is wanted", Trouble::None, 10.0),
];

const THREADS: usize = 8;

fn earned(window_ms: u64, allocated_fraction: f64) -> LimitWay {
    LimitWay::Earned(terms(window_ms, allocated_fraction))
}

fn terms(window_ms: u64, allocated_fraction: f64) -> LimitParameters {
    LimitParameters {
        window: Duration::from_millis(window_ms),
        allocated_fraction,
    }
}

/// A row of the table.
#[derive(Clone, Copy)]
struct Row {
    trial: LimitTrial,
    name: &'static str,
}

/// A way and whether news of wishes is told at once.
type Way = (&'static str, LimitWay, bool);

fn main() {
    let ways = [
        ("equal, by chance", LimitWay::EqualByChance, false),
        ("bucket by demand", LimitWay::BucketByDemand, true),
        (
            "chance 1 s 0.8",
            LimitWay::ByChance(terms(1_000, 0.8)),
            true,
        ),
        ("earned 2 s 0.8, beats only", earned(2_000, 0.8), false),
        ("earned 2 s 0.8", earned(2_000, 0.8), true),
        ("earned 1 s 0.7", earned(1_000, 0.7), true),
        ("earned 1 s 0.8", earned(1_000, 0.8), true),
        ("earned 1 s 0.9", earned(1_000, 0.9), true),
        ("earned 0.5 s 0.7", earned(500, 0.7), true),
        ("earned 0.5 s 0.8", earned(500, 0.8), true),
    ];
    let names: Vec<&str> = ways.iter().map(|(name, _, _)| *name).collect();
    println!(
        "| trouble | instances, of which ask | N | bound | {} |",
        names.join(" | ")
    );
    println!("|{}", "---|".repeat(4 + names.len()));
    let rows = rows();
    let cells: Vec<Vec<Cell>> = std::thread::scope(|scope| {
        let running: Vec<_> = rows
            .chunks(rows.len().div_ceil(THREADS))
            .map(|chunk| scope.spawn(|| chunk.iter().map(|row| played(row, &ways)).collect()))
            .collect();
        let done = running.into_iter().map(|thread| thread.join());
        done.flat_map(|cells: std::thread::Result<Vec<Vec<Cell>>>| cells.unwrap_or_default())
            .collect()
    });
    for (row, cells) in rows.iter().zip(&cells) {
        let LimitTrial {
            instances,
            asking_one_in,
            limit_per_s,
            ..
        } = row.trial;
        let asking = instances.div_ceil(asking_one_in);
        let texts: Vec<String> = cells.iter().map(Cell::text).collect();
        println!(
            "| {} | {instances}, {asking} | {limit_per_s} | {} | {} |",
            row.name,
            row.trial.allowed(),
            texts.join(" | ")
        );
    }
    let sums = (0..ways.len()).map(|way| {
        let over: usize = cells.iter().map(|cells| cells[way].over).sum();
        let used: f64 = cells.iter().map(|cells| cells[way].used).sum();
        format!("{over}, {:.2}", used / rows.len() as f64)
    });
    let sums: Vec<String> = sums.collect();
    println!(
        "| runs over the bound, mean part used | | | | {} |",
        sums.join(" | ")
    );
}

fn rows() -> Vec<Row> {
    let mut rows = Vec::new();
    for (name, trouble, times) in TROUBLES {
        for (instances, asking_one_in) in FLEETS {
            for limit_per_s in LIMITS_PER_S {
                let trial = LimitTrial {
                    instances,
                    asking_one_in,
                    limit_per_s,
                    wanted_per_s: times * limit_per_s,
                    trouble,
                    tells_news: false,
                    time: TIME,
                };
                rows.push(Row { trial, name });
            }
        }
    }
    rows
}

fn played(row: &Row, ways: &[Way]) -> Vec<Cell> {
    let cell = |(_, way, tells_news): &Way| {
        let trial = LimitTrial {
            tells_news: *tells_news,
            ..row.trial
        };
        let outcomes = (0..SEEDS).map(|seed| LimitFleet::play(trial, *way, seed));
        let outcomes: Vec<_> = outcomes.collect();
        let bound = trial.allowed();
        let over = outcomes.iter().filter(|outcome| outcome.most > bound);
        let used: f64 = outcomes.iter().map(|outcome| outcome.used).sum();
        Cell {
            most: outcomes.iter().map(|o| o.most).max().unwrap_or_default(),
            over: over.count(),
            used: used / SEEDS as f64,
        }
    };
    ways.iter().map(cell).collect()
}

/// What the runs of one way led to.
struct Cell {
    most: usize,
    over: usize,
    used: f64,
}

impl Cell {
    fn text(&self) -> String {
        match self.over {
            0 => format!("{}, {:.2}", self.most, self.used),
            over => format!("**{}** ({over}), {:.2}", self.most, self.used),
        }
    }
}
