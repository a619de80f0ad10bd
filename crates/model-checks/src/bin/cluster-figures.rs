//! Measures a whole cluster and prints the results as tables:
//! `cargo run --release -p hollowpaddle-model-checks --bin cluster-figures [SIZE...]`.
//!
//! Each row shows the median and the worst of all its runs, with seeds 1 to 5.

use std::time::Duration;

use hollowpaddle_model_checks::figures::{
    Load, commit_change, load_since_reset, measure_catch_up, measure_change, measure_failover,
    measure_full_restart, measure_load, settled_cluster,
};
use hollowpaddle_model_checks::simulated_cluster::{SimulationConfig, ms};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn median_and_worst(all: &mut [Duration]) -> String {
    all.sort_unstable();
    match all {
        [] => "none".into(),
        all => format!("{}, {}", all[all.len() / 2].as_millis(), all[all.len() - 1].as_millis()),
    }
}

/// Returns the resident memory of this process, in KiB; 0 if the system does not report it.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn config(seed: u64, size: u16, loss: f64) -> SimulationConfig {
    SimulationConfig { loss, ..SimulationConfig::without_faults(seed, size) }
}

fn main() {
    let mut sizes: Vec<u16> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    if sizes.is_empty() {
        sizes = vec![5, 36, 300];
    }
    // Measured first: memory that earlier measurements freed would not be returned to the system.
    let resident_before = resident_kib();
    let size = sizes.iter().copied().max().unwrap_or(5);
    if let Some(cluster) = settled_cluster(config(1, size, 0.0)) {
        let kib = resident_kib().saturating_sub(resident_before) / u64::from(size);
        println!(
            "Memory: {kib} KiB a balancer of {size}, including its share of the simulated network, after {} ms.\n",
            cluster.now.as_millis()
        );
    }
    let mut violations = Vec::new();
    println!(
        "| balancers | lost | to commit | commit to in force at 99 % | at all | new leader | longest contradiction |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for size in &sizes {
        for loss in [0.0, 0.1, 0.3] {
            let (mut commit_times, mut at_99_percent, mut all, mut failover_times) =
                (vec![], vec![], vec![], vec![]);
            let mut longest_contradiction = Duration::ZERO;
            let mut unfinished = 0;
            for seed in SEEDS {
                let Some(mut cluster) = settled_cluster(config(seed, *size, loss)) else {
                    unfinished += 1;
                    continue;
                };
                for number in 0..6 {
                    match measure_change(&mut cluster, number) {
                        Some([commit, in_force_99, in_force_all]) => {
                            commit_times.push(commit);
                            at_99_percent.push(in_force_99);
                            all.push(in_force_all);
                        }
                        None => unfinished += 1,
                    }
                    let pause = ms(500 + cluster.random_below(500));
                    cluster.run_for(pause);
                }
                for number in 10..13 {
                    match measure_failover(&mut cluster, number) {
                        Some(time) => failover_times.push(time),
                        None => unfinished += 1,
                    }
                }
                longest_contradiction =
                    longest_contradiction.max(cluster.checker.longest_contradiction);
                violations.extend(
                    cluster
                        .checker
                        .violations
                        .iter()
                        .map(|f| format!("{size}, {loss}, {seed}: {f}")),
                );
            }
            println!(
                "| {size} | {} % | {} | {} | {} | {} | {} |{}",
                loss * 100.0,
                median_and_worst(&mut commit_times),
                median_and_worst(&mut at_99_percent),
                median_and_worst(&mut all),
                median_and_worst(&mut failover_times),
                longest_contradiction.as_millis(),
                if unfinished > 0 { format!(" {unfinished} unfinished") } else { String::new() }
            );
        }
    }
    println!(
        "\nDatagrams and bytes a second and balancer: mean, busiest balancer, worst second of any."
    );
    println!("| balancers | lost | phase | datagrams | bytes |");
    println!("| ---: | ---: | --- | ---: | ---: |");
    for size in &sizes {
        for loss in [0.0, 0.1] {
            let Some(mut cluster) = settled_cluster(config(1, *size, loss)) else { continue };
            let row = |phase: &str, l: Load| {
                let format_values = |a: [f64; 3]| format!("{:.1}, {:.1}, {:.0}", a[0], a[1], a[2]);
                println!(
                    "| {size} | {} % | {phase} | {} | {} |",
                    loss * 100.0,
                    format_values(l.datagrams),
                    format_values(l.bytes)
                );
            };
            row("at rest", measure_load(&mut cluster, ms(20_000)));
            cluster.reset_traffic();
            let started_at = cluster.now;
            for number in 100..110 {
                commit_change(&mut cluster, number, ms(10_000));
                cluster.run_for(ms(400));
            }
            row("ten revisions", load_since_reset(&cluster, cluster.now - started_at));
            cluster.reset_traffic();
            let started_at = cluster.now;
            if let Some(leader) = cluster.leader() {
                cluster.crash(leader);
                cluster.start_after(leader, ms(500));
            }
            cluster.run_for(ms(10_000));
            row("leader killed", load_since_reset(&cluster, cluster.now - started_at));
            violations
                .extend(cluster.checker.violations.iter().map(|f| format!("{size}, {loss}: {f}")));
        }
    }
    println!(
        "\nCatching up with 1,000 revisions (40 a second): until the newest is in force, ms (median, worst)."
    );
    println!(
        "| balancers | cut off, 0 % lost | cut off, 10 % lost | state lost, 0 % lost | state lost, 10 % lost |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for size in &sizes {
        let mut row = format!("| {size} |");
        for (loses_state, loss) in [(false, 0.0), (false, 0.1), (true, 0.0), (true, 0.1)] {
            let mut times = Vec::new();
            let seeds = if *size > 100 { 1..=2 } else { SEEDS };
            for seed in seeds {
                let Some(mut cluster) = settled_cluster(config(seed, *size, loss)) else {
                    continue;
                };
                times.extend(measure_catch_up(&mut cluster, 1000, loses_state));
                violations.extend(
                    cluster
                        .checker
                        .violations
                        .iter()
                        .map(|f| format!("{size}, {loss}, {seed}: {f}")),
                );
            }
            row += &format!(" {} |", median_and_worst(&mut times));
        }
        println!("{row}");
    }
    println!(
        "\nAll crash at once in the middle of the second step, and restart without state within 1 s; ms (median, worst)."
    );
    println!(
        "| balancers | lost | leases restored, 99 % | all | revisions before, still there (each run) |"
    );
    println!("| ---: | ---: | ---: | ---: | --- |");
    for size in &sizes {
        for loss in [0.0, 0.1] {
            let (mut at_99_percent, mut all, mut retained) = (vec![], vec![], vec![]);
            for seed in SEEDS {
                let Some(mut cluster) = settled_cluster(config(seed, *size, loss)) else {
                    continue;
                };
                for number in 0..4 {
                    measure_change(&mut cluster, number);
                }
                if let Some(restart) = measure_full_restart(&mut cluster, 5) {
                    at_99_percent.push(restart.leases_restored[0]);
                    all.push(restart.leases_restored[1]);
                    retained.push(format!("{}, {}", restart.revisions[0], restart.revisions[1]));
                }
                violations.extend(
                    cluster
                        .checker
                        .violations
                        .iter()
                        .map(|f| format!("{size}, {loss}, {seed}, full restart: {f}")),
                );
            }
            println!(
                "| {size} | {} % | {} | {} | {} |",
                loss * 100.0,
                median_and_worst(&mut at_99_percent),
                median_and_worst(&mut all),
                retained.join("; ")
            );
        }
    }
    for violation in &violations {
        println!("VIOLATION {violation}");
    }
    std::process::exit(i32::from(!violations.is_empty()));
}
