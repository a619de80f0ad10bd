//! Prints the figures of a whole bank: `cargo run --release -p hollowpaddle-model-checks --bin cluster-figures [SIZE...]`. Seeds 1 to 5;
//! the median and the worst of all runs of a row.

use std::time::Duration;

use hollowpaddle_model_checks::figures::{
    agreed, catch_up, load, new_leader, ruin, sent, settled, spread,
};
use hollowpaddle_model_checks::world::{Plan, ms};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn sorted(all: &mut [Duration]) -> String {
    all.sort_unstable();
    match all {
        [] => "none".into(),
        all => format!("{}, {}", all[all.len() / 2].as_millis(), all[all.len() - 1].as_millis()),
    }
}

/// Resident memory of this process, in KiB; 0 where the system does not say.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn plan(seed: u64, size: u16, loss: f64) -> Plan {
    Plan { loss, ..Plan::whole(seed, size) }
}

fn main() {
    let mut sizes: Vec<u16> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    if sizes.is_empty() {
        sizes = vec![5, 36, 300];
    }
    // First of all: what was freed before is not given back to the system.
    let before = resident();
    let size = sizes.iter().copied().max().unwrap_or(5);
    if let Some(world) = settled(plan(1, size, 0.0)) {
        let kib = resident().saturating_sub(before) / u64::from(size);
        println!(
            "Memory: {kib} KiB a balancer of {size}, with its part of the played network after {} ms.\n",
            world.now.as_millis()
        );
    }
    let mut faults = Vec::new();
    println!(
        "| balancers | lost | to yes | yes to in force at 99 % | at all | new leader | longest contradiction |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for size in &sizes {
        for loss in [0.0, 0.1, 0.3] {
            let (mut yes, mut near, mut all, mut leads) = (vec![], vec![], vec![], vec![]);
            let mut longest = Duration::ZERO;
            let mut not = 0;
            for seed in SEEDS {
                let Some(mut world) = settled(plan(seed, *size, loss)) else {
                    not += 1;
                    continue;
                };
                for number in 0..6 {
                    match spread(&mut world, number) {
                        Some([a, b, c]) => {
                            yes.push(a);
                            near.push(b);
                            all.push(c);
                        }
                        None => not += 1,
                    }
                    let pause = ms(500 + world.below(500));
                    world.run(pause);
                }
                for number in 10..13 {
                    match new_leader(&mut world, number) {
                        Some(time) => leads.push(time),
                        None => not += 1,
                    }
                }
                longest = longest.max(world.judge.longest);
                faults.extend(
                    world.judge.faults.iter().map(|f| format!("{size}, {loss}, {seed}: {f}")),
                );
            }
            println!(
                "| {size} | {} % | {} | {} | {} | {} | {} |{}",
                loss * 100.0,
                sorted(&mut yes),
                sorted(&mut near),
                sorted(&mut all),
                sorted(&mut leads),
                longest.as_millis(),
                if not > 0 { format!(" {not} did not come to an end") } else { String::new() }
            );
        }
    }
    println!(
        "\nDatagrams and bytes a second and balancer: mean, of the one that sends most, worst second of any."
    );
    println!("| balancers | lost | when | datagrams | bytes |");
    println!("| ---: | ---: | --- | ---: | ---: |");
    for size in &sizes {
        for loss in [0.0, 0.1] {
            let Some(mut world) = settled(plan(1, *size, loss)) else { continue };
            let row = |when: &str, l: hollowpaddle_model_checks::figures::Load| {
                let three = |a: [f64; 3]| format!("{:.1}, {:.1}, {:.0}", a[0], a[1], a[2]);
                println!(
                    "| {size} | {} % | {when} | {} | {} |",
                    loss * 100.0,
                    three(l.datagrams),
                    three(l.bytes)
                );
            };
            row("at rest", load(&mut world, ms(20_000)));
            world.count_anew();
            let began = world.now;
            for number in 100..110 {
                agreed(&mut world, number, ms(10_000));
                world.run(ms(400));
            }
            row("ten revisions", sent(&world, world.now - began));
            world.count_anew();
            let began = world.now;
            if let Some(leader) = world.leader() {
                world.crash(leader);
                world.start_after(leader, ms(500));
            }
            world.run(ms(10_000));
            row("leader killed", sent(&world, world.now - began));
            faults.extend(world.judge.faults.iter().map(|f| format!("{size}, {loss}: {f}")));
        }
    }
    println!(
        "\nOne that was away over 1,000 revisions (40 a second): until it has the newest in force, ms (median, worst)."
    );
    println!(
        "| balancers | cut off, 0 % lost | cut off, 10 % lost | forgot, 0 % lost | forgot, 10 % lost |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for size in &sizes {
        let mut row = format!("| {size} |");
        for (forgets, loss) in [(false, 0.0), (false, 0.1), (true, 0.0), (true, 0.1)] {
            let mut times = Vec::new();
            let seeds = if *size > 100 { 1..=2 } else { SEEDS };
            for seed in seeds {
                let Some(mut world) = settled(plan(seed, *size, loss)) else { continue };
                times.extend(catch_up(&mut world, 1000, forgets));
                faults.extend(
                    world.judge.faults.iter().map(|f| format!("{size}, {loss}, {seed}: {f}")),
                );
            }
            row += &format!(" {} |", sorted(&mut times));
        }
        println!("{row}");
    }
    println!(
        "\nAll killed at once in the middle of the second step, back with nothing within 1 s; ms (median, worst)."
    );
    println!(
        "| balancers | lost | leased again, 99 % | all | revisions before, of those kept (each run) |"
    );
    println!("| ---: | ---: | ---: | ---: | --- |");
    for size in &sizes {
        for loss in [0.0, 0.1] {
            let (mut near, mut all, mut kept) = (vec![], vec![], vec![]);
            for seed in SEEDS {
                let Some(mut world) = settled(plan(seed, *size, loss)) else { continue };
                for number in 0..4 {
                    spread(&mut world, number);
                }
                if let Some(ruin) = ruin(&mut world, 5) {
                    near.push(ruin.leased[0]);
                    all.push(ruin.leased[1]);
                    kept.push(format!("{}, {}", ruin.revisions[0], ruin.revisions[1]));
                }
                faults.extend(
                    world.judge.faults.iter().map(|f| format!("{size}, {loss}, {seed}, ruin: {f}")),
                );
            }
            println!(
                "| {size} | {} % | {} | {} | {} |",
                loss * 100.0,
                sorted(&mut near),
                sorted(&mut all),
                kept.join("; ")
            );
        }
    }
    for fault in &faults {
        println!("FAULT {fault}");
    }
    std::process::exit(i32::from(!faults.is_empty()));
}
