//! Compares routing policies in virtual time, side by side in one run.

use std::time::Duration;

use iristhread_bench::Deployment;
use iristhread_bench::Figures;
use iristhread_bench::OUTAGE;
use iristhread_bench::PolicyWorld;
use iristhread_bench::Trial;
use iristhread_bench::interval;
use iristhread_core::RoutingPolicy;

mod flags {
    #![allow(missing_docs, reason = "the macro writes the types")]
    xflags::xflags! {
        /// Compare routing policies in virtual time.
        cmd policies {
            /// Seeds per figure (10 if not given).
            optional --seeds count: u64
            /// Span of arrivals in seconds (150 if not given).
            optional --span-s seconds: u64
            /// Loads as shares of capacity, separated by commas.
            optional --loads loads: String
            /// Only the policy of this name.
            optional --only name: String
            /// Engines that die in the middle of the span.
            optional --engines-lost count: usize
        }
    }
}

const POLICIES: [(&str, RoutingPolicy); 5] = [
    ("round robin", RoutingPolicy::RoundRobin),
    ("least outstanding", RoutingPolicy::LeastOutstanding),
    ("two choices", RoutingPolicy::TwoChoices),
    ("ours, never holding back", RoutingPolicy::PredictiveNoHold),
    ("ours", RoutingPolicy::Predictive),
];

const DEFAULT_LOADS: &str = "0.5,0.8,0.95,1.1,1.5";

/// A column of the table.
type Column = (&'static str, fn(&Figures) -> f64);

const COLUMNS: [Column; 9] = [
    ("preempt/1000", Figures::preemptions_per_1000),
    ("stall ms", Figures::mean_stall_ms),
    ("gap p99 ms", |f| f.gap_ms(0.99)),
    ("gap p99.9 ms", |f| f.gap_ms(0.999)),
    ("start p50 ms", |f| f.start_ms(0.5)),
    ("start p95 ms", |f| f.start_ms(0.95)),
    ("served %", |f| f.served_share() * 100.0),
    ("refused %", |f| {
        f.refused as f64 * 100.0 / f.sessions as f64
    }),
    ("Jain", Figures::fairness),
];

fn main() {
    let flags = flags::Policies::from_env_or_exit();
    let seeds = flags.seeds.unwrap_or(10);
    let span = Duration::from_secs(flags.span_s.unwrap_or(150));
    let loads = flags.loads.unwrap_or_else(|| DEFAULT_LOADS.to_owned());
    let engines_lost = flags.engines_lost.unwrap_or(0);
    println!(
        "{seeds} seeds, {} s of arrivals, {engines_lost} engines lost; mean ± 95% interval",
        span.as_secs()
    );
    for deployment in [Deployment::Serra, Deployment::Legnofilo] {
        let capacity = PolicyWorld::capacity_per_s(deployment);
        println!(
            "\n## {deployment:?}: {} engines, capacity {capacity:.1} requests/s",
            deployment.engines()
        );
        for load in loads
            .split(',')
            .filter_map(|load| load.trim().parse::<f64>().ok())
        {
            println!("\n### {:.0}% of capacity\n", load * 100.0);
            print_header();
            for (name, policy) in POLICIES {
                if flags.only.as_deref().is_some_and(|only| only != name) {
                    continue;
                }
                let trial = |seed| Trial {
                    deployment,
                    policy,
                    load,
                    span,
                    seed,
                    engines_lost,
                };
                let runs = run_all((1..=seeds).map(trial).collect());
                print_row(name, &runs);
                if engines_lost > 0 {
                    print_recovery(span, &runs);
                }
            }
        }
    }
}

type Run = (Figures, Vec<f64>);

fn run_all(trials: Vec<Trial>) -> Vec<Run> {
    let threads: Vec<_> = trials
        .into_iter()
        .map(|trial| std::thread::spawn(move || PolicyWorld::new(trial).run()))
        .collect();
    threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect()
}

fn print_header() {
    let names = COLUMNS.map(|(name, _)| name).join(" | ");
    println!("| policy | {names} |");
    println!("|---{}|", "|---".repeat(COLUMNS.len()));
}

fn print_row(name: &str, runs: &[Run]) {
    let cell = |(_, figure): &Column| {
        let values: Vec<f64> = runs.iter().map(|(figures, _)| figure(figures)).collect();
        let (mean, half) = interval(&values);
        if mean < 10.0 {
            format!("{mean:.2} ± {half:.2}")
        } else {
            format!("{mean:.0} ± {half:.0}")
        }
    };
    let cells: Vec<String> = COLUMNS.iter().map(cell).collect();
    println!("| {name} | {} |", cells.join(" | "));
}

/// Worth served a second before the loss, during it, and in spans after it.
fn print_recovery(span: Duration, runs: &[Run]) {
    let outage = OUTAGE.as_secs() as usize;
    let lost_at = span.as_secs() as usize / 2;
    let mean = |from: usize| {
        let of_run = |(_, seconds): &Run| seconds.iter().skip(from).take(outage).sum::<f64>();
        runs.iter().map(of_run).sum::<f64>() / (runs.len() * outage) as f64
    };
    let spans = [
        lost_at - outage,
        lost_at,
        lost_at + outage,
        lost_at + 2 * outage,
    ];
    let [before, during, after, later] = spans.map(mean);
    println!(
        "|  worth/s: {before:.1} before, {during:.1} in the {outage} s of the loss, {after:.1} in the {outage} s after, {later:.1} in the next |"
    );
}
