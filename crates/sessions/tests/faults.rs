//! Moves a session to another zone and back, with a fault at each step of the protocol in turn. Checks that nothing is
//! executed twice, that the session has one owner, and that its requests are routed again afterwards.

mod sim;

use hollowpaddle_failpoints::{Fault, Points};
use sim::{Findings, Scenario, Simulation};

/// Sends one key in one zone, in the other, in both at once, and in the first again, and then a new key in each zone.
/// Returns the findings and the number of steps, that is of messages.
fn run_with(points: Points, crash: Option<(u64, bool)>, seed: u64) -> (Findings, u64) {
    let mut scenario = Scenario::new(seed);
    (scenario.users, scenario.request_interval, scenario.failpoints) = (1, 0, points);
    let mut simulation = Simulation::new(scenario);
    simulation.crash_at_step = crash;
    let send_key = |simulation: &mut Simulation, at: u64, zone: u16, key: u64| {
        simulation.run_until(at);
        if let Some(balancer) = simulation.random_balancer(zone) {
            simulation.request(balancer, 0, Some(key), false);
        }
    };
    let (first_zone, second_zone) = (0, 1);
    send_key(&mut simulation, 400_000, first_zone, 1);
    send_key(&mut simulation, 420_000, first_zone, 1);
    send_key(&mut simulation, 440_000, second_zone, 1);
    send_key(&mut simulation, 470_000, first_zone, 1);
    send_key(&mut simulation, 470_000, second_zone, 1);
    send_key(&mut simulation, 500_000, second_zone, 2);
    send_key(&mut simulation, 560_000, first_zone, 2);
    send_key(&mut simulation, 560_500, second_zone, 1);
    for n in 0..10 {
        send_key(&mut simulation, 700_000 + 150_000 * n, (n % 2) as u16, 1 + n % 2);
    }
    let steps = simulation.step;
    simulation.run_until(6_000_000);
    let before = simulation.findings.keyed_permitted;
    send_key(&mut simulation, 6_000_000, second_zone, 3);
    simulation.run_until(6_100_000);
    simulation.findings.permitted_after_faults = simulation.findings.keyed_permitted - before;
    (simulation.end(), steps)
}

fn check(findings: &Findings, case: &str) {
    let violation = findings.executed_twice.iter().chain(&findings.ownership_violations).next();
    assert_eq!(violation, None, "{case}");
    assert_eq!(findings.unrouted, 0, "{case}");
    assert_eq!(
        findings.permitted_after_faults, 1,
        "{case}: a new key is not permitted six seconds later"
    );
}

#[test]
fn single_fault_at_each_step_is_harmless() {
    let (findings, steps) = run_with(Points::none(), None, 1);
    check(&findings, "no fault");
    assert!(steps > 60 && findings.repeats_sent + findings.keyed_sent > 8, "{steps} {findings:?}");
    let mut runs = 0;
    for seed in 1..=3 {
        for step in 1..=steps {
            for fault in [Fault::Lose, Fault::Copy, Fault::Crash, Fault::Pause] {
                let plan = hollowpaddle_failpoints::Plan::one(step, fault);
                let (findings, _) = run_with(Points::armed(plan), None, seed);
                check(&findings, &format!("seed {seed}, {fault:?} at step {step}"));
                runs += 1;
            }
            let (findings, _) = run_with(Points::none(), Some((step, true)), seed);
            check(&findings, &format!("seed {seed}, the receiver of step {step} crashes"));
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
        let (findings, _) = run_with(Points::armed(plan), None, 1 + n % 3);
        check(&findings, &format!("{f:?} at {j} and {g:?} at {k}, seed {}", 1 + n % 3));
    }
}
