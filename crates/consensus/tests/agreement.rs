//! Committed entries stay committed under random faults.

mod simulation;

use simulation::{Simulation, ms};

/// Performs one random run: 6 s of faults, then all faults are repaired and the logs are compared.
fn simulate(seed: u64) -> Simulation {
    let directory = seed.is_multiple_of(3);
    let size = [3, 5, 5, 4][seed as usize / 3 % 4];
    let voters: Vec<u16> = (0..size).collect();
    let mut simulation = Simulation::new(seed, size, &voters, directory);
    simulation.loss = [0.0, 0.1, 0.3][seed as usize / 12 % 3];
    simulation.delays_messages = seed.is_multiple_of(2);
    simulation.takes_snapshots = seed % 5 < 2;
    simulation.run(ms(2600));
    let may_lose_majority = seed % 10 == 9;
    while simulation.now < ms(8600) {
        let node_id = simulation.sample_below(u64::from(size)) as u16;
        let count_without_state = |simulation: &Simulation, next: u16| {
            let is_without_state = |n: &simulation::Node| {
                n.replica.as_ref().is_none_or(|c| {
                    use hollowpaddle_consensus::ReplicaStatus::{
                        DiskFailed, Recovering, WithoutState,
                    };
                    matches!(c.status(), WithoutState | DiskFailed | Recovering)
                })
            };
            simulation
                .nodes
                .iter()
                .enumerate()
                .filter(|(i, n)| *i as u16 == next || is_without_state(n))
                .count()
        };
        match simulation.sample_below(12) {
            0..=2
                if may_lose_majority
                    || directory
                    || count_without_state(&simulation, node_id) * 2 < size as usize =>
            {
                simulation.crash(node_id);
                let after = ms(simulation.sample_below(800));
                simulation.start_after(node_id, after);
            }
            3 => {
                let time = ms(simulation.sample_below(2500));
                simulation.pause(node_id, time);
            }
            4 | 5 => {
                let other = simulation.sample_below(u64::from(size)) as u16;
                simulation.cut_links.insert((node_id, other));
            }
            6 => simulation.isolate(node_id),
            7 => {
                simulation.cut_links.clear();
                let ring: Vec<(u16, u16)> = (0..size).map(|a| (a, (a + 1) % size)).collect();
                simulation.keep_only_links(&ring);
            }
            8 | 9 => simulation.cut_links.clear(),
            10 if directory && count_without_state(&simulation, node_id) * 2 < size as usize => {
                simulation.nodes[node_id as usize].disk_fails = true
            }
            11 if directory && simulation.nodes[node_id as usize].disk_fails => {
                simulation.nodes[node_id as usize].disk_fails = false;
            }
            _ => {}
        }
        for _ in 0..4 {
            for at in 0..size {
                let bytes =
                    vec![simulation.sample_below(256) as u8; simulation.sample_below(20) as usize];
                let id = simulation.propose(at, bytes.clone());
                // A proposer that received no answer repeats the proposal, at the same node or another.
                if simulation.sample_bool(0.3) {
                    let other = simulation.sample_below(u64::from(size)) as u16;
                    simulation.repeat(other, id, bytes);
                }
            }
            let step = 20 + simulation.sample_below(60);
            simulation.run_for_ms(step);
        }
    }
    simulation.heal_and_assert_consistent(seed);
    // No disk lies in these runs: a directory with fewer records than peers know of would mean that a message was sent
    // before its record was on disk.
    assert!(
        !simulation.state_losses.iter().any(|reason| reason.contains("more records")),
        "seed {seed}"
    );
    simulation
}

fn check_seeds(seeds: std::ops::Range<u64>) {
    let threads = 3;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            let seeds = seeds.clone();
            scope.spawn(move || {
                for seed in seeds.filter(|s| s % threads == thread) {
                    let failed = std::panic::catch_unwind(|| drop(simulate(seed))).is_err();
                    assert!(!failed, "seed {seed}");
                }
            });
        }
    });
}

#[test]
fn committed_entries_stay_committed() {
    let from = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    check_seeds(from.map_or(0..2000, |s: u64| s..s + 1));
}

/// Run with `cargo test --release -p hollowpaddle-consensus --test agreement -- --ignored`.
#[test]
#[ignore = "takes minutes; run it by name after a change of the state machine"]
fn committed_entries_stay_committed_for_38000_more_seeds() {
    check_seeds(2000..40_000);
}
