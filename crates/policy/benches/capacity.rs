//! Measures the cost of the module by the numbers of upstreams and classes: memory, the longest event, a request and an
//! idle second. Run with `cargo bench -p hollowpaddle-policy --bench capacity`. The numbers of upstreams, classes, classes
//! in use and rounds after `--` select a single row.

#[path = "../tests/allocation/mod.rs"]
mod allocation;
#[path = "../tests/service_fleet/mod.rs"]
mod service_fleet;

use allocation::{Counting, bytes_in_use};
use hollowpaddle_policy::interface::SignedDuration;
use service_fleet::{CLASSES_IN_USE, ServiceFleet, settings};

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Number of rounds. Each figure is the least over all rounds, since the machine interrupts some of them.
const ROUNDS: u32 = 20;
/// Most times that a new module applies the list.
const LOADS: u32 = 7;
/// Requests of a round, and before the first round.
const REQUESTS: u64 = 1000;
/// Length of an idle round in seconds.
const IDLE_SECONDS: u32 = 2;

fn row(upstreams: u32, classes: usize, used: usize, rounds: u32) -> String {
    let load = || ServiceFleet::new(upstreams, settings(classes, 0), used).1.longest;
    let list = (0..rounds.min(LOADS)).map(|_| load()).min().unwrap_or_default();
    let before = bytes_in_use();
    let (mut fleet, _) = ServiceFleet::new(upstreams, settings(classes, 0), used);
    fleet.run(REQUESTS);
    let (mut request, mut longest) = (f64::MAX, f64::MAX);
    for _ in 0..rounds {
        let cost = fleet.run(REQUESTS);
        request = request.min(cost.spent.as_secs_f64() * 1e6 / REQUESTS as f64);
        longest = longest.min(cost.longest.as_secs_f64() * 1e6);
    }
    fleet.rest(SignedDuration(5_000_000));
    let (mut idle, mut longest_idle) = (f64::MAX, f64::MAX);
    for _ in 0..rounds {
        let cost = fleet.rest(SignedDuration(i64::from(IDLE_SECONDS) * 1_000_000));
        idle = idle.min(cost.spent.as_secs_f64() * 1e6 / f64::from(IDLE_SECONDS));
        longest_idle = longest_idle.min(cost.longest.as_secs_f64() * 1e6);
    }
    let memory = (bytes_in_use() - before) as f64 / 1e6;
    let list = list.as_secs_f64() * 1e6;
    let refused = 100.0 * fleet.refused as f64 / (fleet.refused + fleet.served) as f64;
    format!(
        "| {upstreams} | {classes} | {used} | {memory:.2} | {request:.2} | {longest:.0} | {idle:.0} | {longest_idle:.0} | {list:.0} | {refused:.1} |"
    )
}

fn main() {
    // `cargo test` also builds benches and runs them with this argument.
    if std::env::args().any(|a| a == "--test") {
        return;
    }
    println!(
        "| upstreams | classes | in use | memory, MB | request and answer, sweeps included, us | longest event, us | idle second, us | longest idle event, us | longest part of the list, us | refused, % |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let numbers: Vec<u32> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    if let [upstreams, classes, used, rounds] = numbers[..] {
        println!("{}", row(upstreams, classes as usize, used as usize, rounds));
        return;
    }
    for (classes, used) in [(3, 3), (1300, 3), (1300, CLASSES_IN_USE)] {
        for upstreams in [64, 1000, 10_000, 39_000] {
            println!("{}", row(upstreams, classes, used, ROUNDS));
        }
    }
}
