//! Time of one decision, by size of the fleet.
#![allow(missing_docs, reason = "the macro writes the entry point")]

use std::hint::black_box;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use iristhread_bench::FleetSize;
use iristhread_bench::NOW;
use iristhread_core::Event;

/// Engines and workspaces.
const SIZES: [(usize, usize); 5] = [
    (15, 10),
    (100, 10),
    (1_000, 10),
    (1_000, 1_500),
    (10_000, 1_500),
];

/// Requests that run while one more is decided about.
const RUNNING: [usize; 2] = [0, 1_000];

fn size((engines, workspaces): (usize, usize)) -> FleetSize {
    FleetSize {
        engines,
        workspaces,
        models: (engines / 15).clamp(1, 37),
        instances: 9,
        zones: 3,
    }
}

/// A request is submitted, placed, and closed again.
fn placing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("submit, place and close");
    for sizes in SIZES {
        for running in RUNNING {
            let fleet = size(sizes);
            let mut control = fleet.control(running);
            let name = format!(
                "{} engines, {} workspaces, {running} running",
                sizes.0, sizes.1
            );
            let mut number = running;
            group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
                bencher.iter_batched(
                    || {
                        number += 1;
                        fleet.submission(number)
                    },
                    |submission| {
                        let request = submission.request.clone();
                        let workspace = submission.workspace.clone();
                        black_box(control.handle(NOW, 0, Event::Submit(submission)));
                        control.handle(NOW, 0, Event::Closed { request, workspace })
                    },
                    BatchSize::SmallInput,
                );
            });
        }
    }
    group.finish();
}

criterion_group!(benches, placing);
criterion_main!(benches);
