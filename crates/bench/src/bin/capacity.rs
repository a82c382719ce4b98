//! Slopes for docs/CAPACITY.md: state and time of the decisions by size, bytes
//! of messages, and what instances cost while they do nothing but agree.

use std::time::Duration;
use std::time::Instant;

use iristhread_bench::FleetSize;
use iristhread_bench::NOW;
use iristhread_bench::ProcessCost;
use iristhread_core::Control;
use iristhread_core::Event;
use iristhread_core::KeyIndex;
use iristhread_testbed::Scene;

const TARGET: FleetSize = FleetSize {
    engines: 10_000,
    workspaces: 1_500,
    models: 37,
    instances: 2_700,
    zones: 10,
};

/// Span over which idle instances are watched.
const IDLE: Duration = Duration::from_secs(10);

/// Documents published one after the other in the burst.
const BURST: usize = 20;

type Failure = Box<dyn std::error::Error>;

#[tokio::main]
async fn main() -> Result<(), Failure> {
    println!("## Decisions\n");
    println!(
        "| engines | workspaces | instances | document KiB | adopt ms | parse ms | tick µs | report µs | state KiB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (engines, workspaces, instances) in [
        (15, 10, 9),
        (100, 100, 90),
        (1_000, 1_500, 270),
        (10_000, 1_500, 2_700),
    ] {
        decisions(FleetSize {
            engines,
            workspaces,
            instances,
            ..TARGET
        })?;
    }
    println!("\n## Instances as processes, idle and in a burst of changes\n");
    println!(
        "| instances, engines (one zone) | reads/s idle | µs of a core per s idle | bytes/s in+out idle | reads/s in {BURST} changes | bytes/s in the burst | restart of all: reads | resident KiB |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (instances, engines) in [(1, 1), (3, 1), (9, 1), (3, 8)] {
        instances_at_rest(instances, engines).await?;
    }
    Ok(())
}

fn decisions(size: FleetSize) -> Result<(), Failure> {
    let own = std::process::id();
    let document = size.document();
    let text = serde_json::to_string(&document)?;
    let parse_ms = best(5, || {
        let parsed: Result<iristhread_core::Document, _> = serde_json::from_str(&text);
        drop(parsed.map(|document| KeyIndex::new(&document)));
    });
    let before = ProcessCost::of(own).resident_kib;
    let mut control = size.control(0);
    let state_kib = ProcessCost::of(own).resident_kib.saturating_sub(before);
    let adopt_ms = best(3, || drop(size.control(0)));
    let tick_us = 1e3 * best(200, || drop(control.handle(NOW, 0, Event::Tick)));
    let report_us = 1e3 * report_ms(&mut control);
    println!(
        "| {} | {} | {} | {} | {adopt_ms:.2} | {parse_ms:.2} | {tick_us:.1} | {report_us:.1} | {state_kib} |",
        size.engines,
        size.workspaces,
        size.instances,
        text.len() / 1_024,
    );
    Ok(())
}

fn report_ms(control: &mut Control) -> f64 {
    let watched = control.backends().watched();
    let mut sequence = 1;
    best(200, || {
        sequence += 1;
        let (backend, _) = watched[sequence as usize % watched.len()].clone();
        let report = iristhread_core::LoadReport {
            sequence,
            memory_tokens: 10_000,
            ..Default::default()
        };
        control.handle(NOW, 0, Event::Report { backend, report });
    })
}

/// Median time of a few runs, milliseconds.
fn best(runs: usize, mut work: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..runs)
        .map(|_| {
            let start = Instant::now();
            work();
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[runs / 2]
}

async fn instances_at_rest(instances: usize, engines: usize) -> Result<(), Failure> {
    let builder = Scene::builder(1)
        .instances_per_zone(instances)
        .engines_per_zone(engines);
    let mut scene = builder.start().await?;
    let names = scene.instance_names();
    let pids: Vec<u32> = names.iter().map(|name| scene.process(name).id()).collect();
    let idle = watch(&scene, &pids, IDLE).await?;
    let resident = pids
        .iter()
        .map(|pid| ProcessCost::of(*pid).resident_kib)
        .sum::<u64>();
    let start = Instant::now();
    let before = (scene.platform_reads().await?, loopback_bytes());
    for _ in 0..BURST {
        let version = scene.publish_document().await?;
        scene.in_force(version, &names).await?;
    }
    let burst_s = start.elapsed().as_secs_f64();
    let burst_reads = (scene.platform_reads().await? - before.0) as f64 / burst_s;
    let burst_bytes = (loopback_bytes() - before.1) as f64 / burst_s / instances as f64;
    let reads = scene.platform_reads().await?;
    for name in &names {
        scene.restart(name).await?;
    }
    scene.list_instances(&[]).await?;
    scene.in_force(1, &names).await?;
    let restart_reads = scene.platform_reads().await? - reads;
    println!(
        "| {instances}, {engines} | {:.2} | {:.0} | {:.0} | {burst_reads:.1} | {burst_bytes:.0} (with the watching) | {restart_reads} | {} |",
        idle.0,
        idle.1 / instances as f64,
        idle.2 / instances as f64,
        resident / instances as u64,
    );
    Ok(())
}

/// Reads a second, microseconds of a core a second and bytes a second of all.
async fn watch(scene: &Scene, pids: &[u32], span: Duration) -> Result<(f64, f64, f64), Failure> {
    let reads = scene.platform_reads().await?;
    let bytes = loopback_bytes();
    let before: Vec<ProcessCost> = pids.iter().map(|pid| ProcessCost::of(*pid)).collect();
    tokio::time::sleep(span).await;
    let mut cost = ProcessCost::default();
    for (pid, before) in pids.iter().zip(before) {
        cost.add_since(before, ProcessCost::of(*pid));
    }
    let seconds = span.as_secs_f64();
    let bytes = (loopback_bytes() - bytes) as f64 / seconds;
    let reads = (scene.platform_reads().await? - reads) as f64 / seconds;
    Ok((reads, cost.cpu().as_secs_f64() * 1e6 / seconds, bytes))
}

/// Bytes that the loopback device has carried: those of all processes here, so
/// nothing else may run beside this.
fn loopback_bytes() -> u64 {
    let table = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let first = line.and_then(|line| line.split_whitespace().next());
    first.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}
