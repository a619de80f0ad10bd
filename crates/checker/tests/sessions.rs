//! The account of vans, on traces written by hand.

use hollowpaddle_checker::{SessionReport, TimingTolerance, check};
use hollowpaddle_scenario::plan::Plan;
use hollowpaddle_scenario::record::{At, AttemptOutcome, Line, Observation};
use hollowpaddle_scenario::scenario::Scenario;

const DAY: &str = r#"
name = "by hand"
length_s = 60

[fleet]
zones = ["a", "b"]
nodes = 8
cell_size = 2

[[fleet.kinds]]
name = "std"

[[classes]]
name = "keyed"
work_ms = 100
aim_ms = 1000
deadline_ms = 2000
effect = "keyed"

[[classes]]
name = "safe"
work_ms = 100
aim_ms = 1000
deadline_ms = 2000
effect = "safe"

[load]
of_capacity = 0.2

[vans]
count = 4
forgotten_s = 10
move_share = 1
moves_at_s = 10
moves_over_s = 40
again_share = 1
again_within_ms = 8000
"#;

/// Runs of requests at nodes, in seconds; nodes 0 and 2 are one pod, 4 and 6 another, 1 and 3 a third.
fn sessions(runs: &[(f64, u32, usize)]) -> SessionReport {
    let (scenario, plan) = scenario_and_plan();
    let mut lines = Vec::new();
    for (attempt, &(s, request, node)) in (0..).zip(runs) {
        let at = At((s * 1e6) as u64);
        let mut record = |seen| lines.push(Line { at, seen });
        let (balancer, start, dark, work_ms) = (0, 1, false, 100.0);
        record(Observation::Attempt {
            attempt,
            request,
            node,
            balancer,
            start,
            first: at,
            dark,
            work_ms,
        });
        record(Observation::Ran { attempt });
        record(Observation::Ended { attempt, outcome: AttemptOutcome::Abandoned });
    }
    let result = check(&scenario, &plan, &lines, TimingTolerance::LIVE);
    result.sessions.expect("it has vans")
}

fn scenario_and_plan() -> (Scenario, Plan) {
    let scenario = Scenario::read("by-hand.toml", DAY).expect("sound");
    let plan = Plan::generate(&scenario, 1);
    (scenario, plan)
}

/// A request that is pressed again, and the press.
fn resubmission() -> (u32, u32) {
    let (_, plan) = scenario_and_plan();
    let again = plan.arrivals.iter().enumerate().find(|(n, a)| a.original as usize != *n);
    let (again, arrival) = again.expect("one is");
    (arrival.original, again as u32)
}

/// So many requests of one van, of a class.
fn requests_of_one_session(class: usize, count: usize) -> Vec<u32> {
    let (_, plan) = scenario_and_plan();
    let request_of_session = |(n, a): (usize, &hollowpaddle_scenario::plan::Arrival)| {
        let is_of_session =
            a.class == class && a.session.is_some_and(|v| v.0 == 0) && a.original as usize == n;
        is_of_session.then_some(n as u32)
    };
    plan.arrivals.iter().enumerate().filter_map(request_of_session).take(count).collect()
}

#[test]
fn an_effect_ran_twice_only_if_it_ran_in_two_cells() {
    let (first, again) = resubmission();
    let apart = sessions(&[(1.0, first, 0), (2.0, again, 4)]);
    assert_eq!((apart.effects, apart.ran_twice, apart.duplicates.len()), (1, 1, 1));
    let duplicate = &apart.duplicates[0];
    assert_eq!(
        (duplicate.original, duplicate.runs[1].request, duplicate.runs[1].node),
        (first, again, 4)
    );
    let one_cell = sessions(&[(1.0, first, 0), (2.0, again, 2)]);
    assert_eq!((one_cell.effects, one_cell.ran_twice), (1, 0));
    // Two effects in two pods are two effects.
    let [one, other] = requests_of_one_session(0, 2)[..] else { panic!("two") };
    let two = sessions(&[(1.0, one, 0), (2.0, other, 4)]);
    assert_eq!((two.effects, two.ran_twice), (2, 0));
    // Whoever changes nothing may run where it likes.
    let safe = requests_of_one_session(1, 1)[0];
    assert_eq!(sessions(&[(1.0, safe, 0), (1.5, safe, 4)]).ran_twice, 0);
}

#[test]
fn runs_are_counted_by_previous_cell_and_by_cells_that_know_the_session() {
    let all = requests_of_one_session(1, 5);
    let at = |runs: &[(f64, usize)]| {
        let runs: Vec<_> = runs.iter().zip(&all).map(|((s, node), r)| (*s, *r, *node)).collect();
        let s = sessions(&runs);
        (s.runs, s.in_previous_cell, s.in_unknown_cells)
    };
    assert_eq!(at(&[(1.0, 0)]), (1, 1.0, 1), "its first is nobody's to choose");
    assert_eq!(at(&[(1.0, 0), (2.0, 2), (3.0, 0)]), (3, 1.0, 1), "one pod");
    assert_eq!(at(&[(1.0, 0), (2.0, 4), (3.0, 0)]), (3, 0.0, 2), "known where it was before");
    assert_eq!(at(&[(1.0, 0), (2.0, 4), (3.0, 4), (4.0, 4), (5.0, 1)]), (5, 0.5, 3));
    assert_eq!(at(&[(1.0, 0), (11.0, 0), (20.9, 0)]), (3, 1.0, 2), "forgotten after 10 s");
}

#[test]
fn a_scenario_without_sessions_has_no_session_report() {
    let text = &DAY[..DAY.find("[vans]").expect("there")];
    let scenario = Scenario::read("by-hand.toml", text).expect("sound");
    let plan = Plan::generate(&scenario, 1);
    assert_eq!(check(&scenario, &plan, &[], TimingTolerance::LIVE).sessions, None);
}
