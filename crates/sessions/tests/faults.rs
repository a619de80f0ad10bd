//! A session that moves to another zone and back, with a fault at each step of the protocol in turn: nothing is executed
//! twice, it has one owner, and it is served again.

mod sim;

use hollowpaddle_failpoints::{Fault, Points};
use sim::{Findings, Scenario, Simulation};

/// Sends one key in one zone, in the other, in both at once, and back; then a new key in each.
fn run_with(points: Points, crash: Option<(u64, bool)>, seed: u64) -> (Findings, u64) {
    let mut scenario = Scenario::new(seed);
    (scenario.users, scenario.interval, scenario.points) = (1, 0, points);
    let mut world = Simulation::new(scenario);
    world.crash_at = crash;
    let press = |world: &mut Simulation, at: u64, zone: u16, key: u64| {
        world.run_until(at);
        if let Some(m) = world.member_of(zone) {
            world.request(m, 0, Some(key), false);
        }
    };
    let (a, b) = (0, 1);
    press(&mut world, 400_000, a, 1);
    press(&mut world, 420_000, a, 1);
    press(&mut world, 440_000, b, 1);
    press(&mut world, 470_000, a, 1);
    press(&mut world, 470_000, b, 1);
    press(&mut world, 500_000, b, 2);
    press(&mut world, 560_000, a, 2);
    press(&mut world, 560_500, b, 1);
    for n in 0..10 {
        press(&mut world, 700_000 + 150_000 * n, (n % 2) as u16, 1 + n % 2);
    }
    let steps = world.step;
    world.run_until(6_000_000);
    let before = world.found.allowed;
    press(&mut world, 6_000_000, b, 3);
    world.run_until(6_100_000);
    world.found.owned_after = world.found.allowed - before;
    (world.end(), steps)
}

fn check(found: &Findings, what: &str) {
    let bad = found.executed_twice.iter().chain(&found.claims).next();
    assert_eq!(bad, None, "{what}");
    assert_eq!(found.unrouted, 0, "{what}");
    assert_eq!(found.owned_after, 1, "{what}: a new key is not sent six seconds later");
}

#[test]
fn single_fault_at_each_step_is_harmless() {
    let (found, steps) = run_with(Points::none(), None, 1);
    check(&found, "no fault");
    assert!(steps > 60 && found.repeats_sent + found.keyed_sent > 8, "{steps} {found:?}");
    let mut runs = 0;
    for seed in 1..=3 {
        for k in 1..=steps {
            for fault in [Fault::Lose, Fault::Copy, Fault::Crash, Fault::Pause] {
                let plan = hollowpaddle_failpoints::Plan::one(k, fault);
                let (found, _) = run_with(Points::armed(plan), None, seed);
                check(&found, &format!("seed {seed}, {fault:?} at step {k}"));
                runs += 1;
            }
            let (found, _) = run_with(Points::none(), Some((k, true)), seed);
            check(&found, &format!("seed {seed}, whom step {k} goes to crashes"));
            runs += 1;
        }
    }
    println!("{steps} steps, {runs} runs");
}

#[test]
fn two_random_faults_are_harmless() {
    let (_, steps) = run_with(Points::none(), None, 1);
    let mut rng = oorandom::Rand64::new(5);
    for n in 0..600 {
        let faults = [Fault::Lose, Fault::Copy, Fault::Crash, Fault::Pause];
        let mut one = || (rng.rand_range(1..steps), faults[rng.rand_range(0..4) as usize]);
        let ((j, f), (k, g)) = (one(), one());
        let plan = hollowpaddle_failpoints::Plan::one(j, f).and(k, g);
        let (found, _) = run_with(Points::armed(plan), None, 1 + n % 3);
        check(&found, &format!("{f:?} at {j} and {g:?} at {k}, seed {}", 1 + n % 3));
    }
}
