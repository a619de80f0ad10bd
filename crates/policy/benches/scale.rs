//! Prints the table of `docs/scale.md`: microseconds per request and the longest event, of the scanning module and of the
//! indexed one ("kept"). Run with `cargo bench -p hollowpaddle-policy --bench scale`. A load and a number of upstreams after
//! `--` select a single row of the indexed module.

mod fleet;

use fleet::{Fleet, Module, list, scanning};
use hollowpaddle_policy::interface::{Member, Time};
use hollowpaddle_policy::policy::Balancer;

/// Number of rounds. The longest event is the least over all rounds, since the machine interrupts some of them.
const ROUNDS: u32 = 5;

fn row<M: Module>(n: u32, load: f64) -> String {
    let mut fleet = Fleet::<M>::new(n, load);
    // Run until the module has learned its estimates.
    fleet.run(u64::from(n) * 40);
    let requests = u64::from(n) * 10;
    let rounds: Vec<(f64, f64)> = (0..ROUNDS)
        .map(|_| {
            let (spent, longest) = fleet.run(requests);
            (spent.as_secs_f64() * 1e6 / requests as f64, longest.as_secs_f64() * 1e6)
        })
        .collect();
    let least = |of: fn(&(f64, f64)) -> f64| rounds.iter().map(of).fold(f64::MAX, f64::min);
    let share = 100.0 * fleet.served as f64 / (fleet.served + fleet.refused) as f64;
    format!("{:.2} | {:.0} | {share:.0}", least(|r| r.0), least(|r| r.1))
}

/// Returns the cost of one complete list in microseconds: of an unchanged list, of a list in which all upstreams have
/// restarted, and of an empty list.
fn lists(n: u32) -> String {
    let of = |list: &[Member]| {
        let round = || {
            let mut fleet = Fleet::<Balancer>::new(n, 0.6);
            fleet.run(u64::from(n) * 2);
            fleet.deliver_list(list).as_secs_f64() * 1e6
        };
        (0..ROUNDS).map(|_| round()).fold(f64::MAX, f64::min)
    };
    let (same, anew) = (of(&list(n, None)), of(&list(n, Some(Time(1)))));
    format!("{same:.0} | {anew:.0} | {:.0}", of(&[]))
}

/// Returns the cost of [`Balancer::learned`] in microseconds. The engine calls it within one event for each save.
fn learned(n: u32) -> f64 {
    let mut fleet = Fleet::<Balancer>::new(n, 0.6);
    fleet.run(u64::from(n) * 10);
    let round = || {
        let begin = std::time::Instant::now();
        std::hint::black_box(fleet.module.learned());
        begin.elapsed().as_secs_f64() * 1e6
    };
    (0..ROUNDS).map(|_| round()).fold(f64::MAX, f64::min)
}

fn main() {
    // `cargo test` also builds benches and runs them with this argument.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    let numbers: Vec<f64> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    if let [load, n] = numbers[..] {
        println!("| {load} | {n} | {} |", row::<Balancer>(n as u32, load));
        println!("whole lists, us: {}", lists(n as u32));
        println!("what was learned, us: {:.0}", learned(n as u32));
        return;
    }
    println!(
        "| load | upstreams | scanned: us a request | longest, us | served, % | kept: us a request | longest, us | served, % |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in [0.6, 1.3] {
        for n in [64, 256, 1024, 4096, 10_000] {
            // With more upstreams, the scanning module takes many minutes.
            let was = if load > 1.0 && n > 1024 || n > 4096 {
                "- | - | -".to_string()
            } else {
                row::<scanning::policy::Balancer>(n, load)
            };
            println!("| {load} | {n} | {was} | {} |", row::<Balancer>(n, load));
        }
    }
    println!("\n| upstreams | the same list, us | all started anew, us | none left, us |");
    println!("| --- | --- | --- | --- |");
    for n in [64, 1024, 10_000] {
        println!("| {n} | {} |", lists(n));
    }
    println!("\n| upstreams | what was learned, told in one piece, us |\n| --- | --- |");
    for n in [64, 1024, 10_000] {
        println!("| {n} | {:.0} |", learned(n));
    }
}
