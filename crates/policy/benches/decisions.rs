//! Measures the cost of a request in the module, from its arrival to its answer, by the number of upstreams and the load.

mod fleet;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet::{Fleet, Module, scanning};
use hollowpaddle_policy::policy::Balancer;

fn of<M: Module>(c: &mut Criterion, name: &str, sizes: &[u32]) {
    let mut group = c.benchmark_group(name);
    group.sample_size(10);
    for load in [0.6, 1.3] {
        for &n in sizes {
            let mut fleet = Fleet::<M>::new(n, load);
            // Run until the module has learned its estimates.
            fleet.run(u64::from(n) * 200);
            group.bench_function(BenchmarkId::new(format!("load {load}"), n), |b| {
                b.iter_custom(|requests| fleet.run(requests).0);
            });
        }
    }
    group.finish();
}

fn decisions(c: &mut Criterion) {
    of::<Balancer>(c, "kept", &[64, 256, 1024, 4096, 10_000]);
    of::<scanning::policy::Balancer>(c, "scanned", &[64, 256, 1024]);
}

criterion_group!(benches, decisions);
criterion_main!(benches);
