//! Voters under random faults: committed entries stay committed.

mod simulation;

use simulation::{Simulation, ms};

/// One random run: 6 s of faults, then everything is repaired and the logs are compared.
fn simulate(seed: u64) -> Simulation {
    let directory = seed.is_multiple_of(3);
    let size = [3, 5, 5, 4][seed as usize / 3 % 4];
    let voters: Vec<u16> = (0..size).collect();
    let mut simulation = Simulation::new(seed, size, &voters, directory);
    simulation.loss = [0.0, 0.1, 0.3][seed as usize / 12 % 3];
    simulation.late = seed.is_multiple_of(2);
    simulation.snapshots = seed % 5 < 2;
    simulation.run(ms(2600));
    let careless = seed % 10 == 9;
    while simulation.now < ms(8600) {
        let who = simulation.sample_below(u64::from(size)) as u16;
        let down = |w: &Simulation, but: u16| {
            let state_losses = |n: &simulation::Node| {
                n.replica.as_ref().is_none_or(|c| {
                    use hollowpaddle_consensus::ReplicaStatus::{
                        DiskFailed, Recovering, WithoutState,
                    };
                    matches!(c.status(), WithoutState | DiskFailed | Recovering)
                })
            };
            w.nodes.iter().enumerate().filter(|(i, n)| *i as u16 == but || state_losses(n)).count()
        };
        match simulation.sample_below(12) {
            0..=2 if careless || directory || down(&simulation, who) * 2 < size as usize => {
                simulation.crash(who);
                let after = ms(simulation.sample_below(800));
                simulation.start_after(who, after);
            }
            3 => {
                let time = ms(simulation.sample_below(2500));
                simulation.pause(who, time);
            }
            4 | 5 => {
                let other = simulation.sample_below(u64::from(size)) as u16;
                simulation.cuts.insert((who, other));
            }
            6 => simulation.isolate(who),
            7 => {
                simulation.cuts.clear();
                let ring: Vec<(u16, u16)> = (0..size).map(|a| (a, (a + 1) % size)).collect();
                simulation.only(&ring);
            }
            8 | 9 => simulation.cuts.clear(),
            10 if directory && down(&simulation, who) * 2 < size as usize => {
                simulation.nodes[who as usize].disk_fails = true
            }
            11 if directory && simulation.nodes[who as usize].disk_fails => {
                simulation.nodes[who as usize].disk_fails = false;
            }
            _ => {}
        }
        for _ in 0..4 {
            for at in 0..size {
                let bytes =
                    vec![simulation.sample_below(256) as u8; simulation.sample_below(20) as usize];
                let id = simulation.propose(at, bytes.clone());
                // A proposer without an answer repeats the proposal, at the same node or another.
                if simulation.happens(0.3) {
                    let other = simulation.sample_below(u64::from(size)) as u16;
                    simulation.repeat(other, id, bytes);
                }
            }
            let step = 20 + simulation.sample_below(60);
            simulation.for_ms(step);
        }
    }
    simulation.heal_and_assert_consistent(seed);
    // No disk lies in these runs: a directory with fewer records than peers know of would mean that a message was sent
    // before its record was on disk.
    assert!(!simulation.state_losses.iter().any(|why| why.contains("more records")), "seed {seed}");
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

/// `cargo test --release -p hollowpaddle-consensus --test agreement -- --ignored`.
#[test]
#[ignore = "minutes; run it by name after a change of the machine"]
fn committed_entries_stay_committed_for_38000_more_seeds() {
    check_seeds(2000..40_000);
}
