//! Councils under drawn faults: what is agreed stays agreed.

mod simulation;

use simulation::{World, ms};

/// One drawn day: 6 s of faults, then everything is whole again.
fn day(seed: u64) -> World {
    let directory = seed.is_multiple_of(3);
    let size = [3, 5, 5, 4][seed as usize / 3 % 4];
    let voters: Vec<u16> = (0..size).collect();
    let mut world = World::new(seed, size, &voters, directory);
    world.loss = [0.0, 0.1, 0.3][seed as usize / 12 % 3];
    world.late = seed.is_multiple_of(2);
    world.snapshots = seed % 5 < 2;
    world.run(ms(2600));
    let careless = seed % 10 == 9;
    while world.now < ms(8600) {
        let who = world.below(u64::from(size)) as u16;
        let down = |w: &World, but: u16| {
            let forgot = |n: &simulation::Node| {
                n.replica.as_ref().is_none_or(|c| {
                    use hollowpaddle_consensus::ReplicaStatus::{Blank, Mute, Waking};
                    matches!(c.status(), Blank | Mute | Waking)
                })
            };
            w.nodes.iter().enumerate().filter(|(i, n)| *i as u16 == but || forgot(n)).count()
        };
        match world.below(12) {
            0..=2 if careless || directory || down(&world, who) * 2 < size as usize => {
                world.crash(who);
                let after = ms(world.below(800));
                world.start_after(who, after);
            }
            3 => {
                let time = ms(world.below(2500));
                world.pause(who, time);
            }
            4 | 5 => {
                let other = world.below(u64::from(size)) as u16;
                world.cuts.insert((who, other));
            }
            6 => world.isolate(who),
            7 => {
                world.cuts.clear();
                let ring: Vec<(u16, u16)> = (0..size).map(|a| (a, (a + 1) % size)).collect();
                world.only(&ring);
            }
            8 | 9 => world.cuts.clear(),
            10 if directory && down(&world, who) * 2 < size as usize => {
                world.nodes[who as usize].disk_fails = true
            }
            11 if directory && world.nodes[who as usize].disk_fails => {
                world.nodes[who as usize].disk_fails = false;
            }
            _ => {}
        }
        for _ in 0..4 {
            for at in 0..size {
                let bytes = vec![world.below(256) as u8; world.below(20) as usize];
                let id = world.propose(at, bytes.clone());
                // Whoever has no answer asks again, there or elsewhere.
                if world.chance(0.3) {
                    let other = world.below(u64::from(size)) as u16;
                    world.repeat(other, id, bytes);
                }
            }
            let step = 20 + world.below(60);
            world.for_ms(step);
        }
    }
    world.heal_and_check(seed);
    // No disk lies on these days: a directory that others know more of would mean that a word left before its record.
    assert!(!world.forgot.iter().any(|why| why.contains("more records")), "seed {seed}");
    world
}

fn days(seeds: std::ops::Range<u64>) {
    let threads = 3;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            let seeds = seeds.clone();
            scope.spawn(move || {
                for seed in seeds.filter(|s| s % threads == thread) {
                    let failed = std::panic::catch_unwind(|| drop(day(seed))).is_err();
                    assert!(!failed, "seed {seed}");
                }
            });
        }
    });
}

#[test]
fn what_is_agreed_stays_agreed() {
    let from = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    days(from.map_or(0..2000, |s: u64| s..s + 1));
}

/// `cargo test --release -p hollowpaddle-consensus --test agreement -- --ignored`.
#[test]
#[ignore = "minutes; run it by name after a change of the machine"]
fn many_more_days() {
    days(2000..40_000);
}
