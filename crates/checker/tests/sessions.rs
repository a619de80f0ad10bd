//! The account of vans, on traces written by hand.

use hollowpaddle_checker::{Exactness, Sessions, judge};
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
fn sessions(runs: &[(f64, u32, usize)]) -> Sessions {
    let (scenario, plan) = drawn();
    let mut lines = Vec::new();
    for (attempt, &(s, request, node)) in (0..).zip(runs) {
        let at = At((s * 1e6) as u64);
        let mut saw = |seen| lines.push(Line { at, seen });
        let (balancer, start, dark, work_ms) = (0, 1, false, 100.0);
        saw(Observation::Attempt {
            attempt,
            request,
            node,
            balancer,
            start,
            first: at,
            dark,
            work_ms,
        });
        saw(Observation::Ran { attempt });
        saw(Observation::Ended { attempt, fate: AttemptOutcome::Abandoned });
    }
    let verdict = judge(&scenario, &plan, &lines, Exactness::LIVE);
    verdict.sessions.expect("it has vans")
}

fn drawn() -> (Scenario, Plan) {
    let scenario = Scenario::read("by-hand.toml", DAY).expect("sound");
    let plan = Plan::draw(&scenario, 1);
    (scenario, plan)
}

/// A request that is pressed again, and the press.
fn pressed() -> (u32, u32) {
    let (_, plan) = drawn();
    let again = plan.arrivals.iter().enumerate().find(|(n, a)| a.first as usize != *n);
    let (again, arrival) = again.expect("one is");
    (arrival.first, again as u32)
}

/// So many requests of one van, of a class.
fn of_one_van(class: usize, count: usize) -> Vec<u32> {
    let (_, plan) = drawn();
    let mine = |(n, a): (usize, &hollowpaddle_scenario::plan::Arrival)| {
        let is_mine = a.class == class && a.van.is_some_and(|v| v.0 == 0) && a.first as usize == n;
        is_mine.then_some(n as u32)
    };
    plan.arrivals.iter().enumerate().filter_map(mine).take(count).collect()
}

#[test]
fn a_key_that_ran_in_two_pods_ran_twice_and_one_that_ran_twice_in_one_did_not() {
    let (first, again) = pressed();
    let apart = sessions(&[(1.0, first, 0), (2.0, again, 4)]);
    assert_eq!((apart.effects, apart.ran_twice, apart.twice.len()), (1, 1, 1));
    let twice = &apart.twice[0];
    assert_eq!((twice.first, twice.runs[1].request, twice.runs[1].node), (first, again, 4));
    let one_pod = sessions(&[(1.0, first, 0), (2.0, again, 2)]);
    assert_eq!((one_pod.effects, one_pod.ran_twice), (1, 0));
    // Two effects in two pods are two effects.
    let [one, other] = of_one_van(0, 2)[..] else { panic!("two") };
    let two = sessions(&[(1.0, one, 0), (2.0, other, 4)]);
    assert_eq!((two.effects, two.ran_twice), (2, 0));
    // Whoever changes nothing may run where it likes.
    let safe = of_one_van(1, 1)[0];
    assert_eq!(sessions(&[(1.0, safe, 0), (1.5, safe, 4)]).ran_twice, 0);
}

#[test]
fn a_van_is_at_its_pod_where_its_run_before_was_and_a_stranger_where_it_was_not_of_late() {
    let all = of_one_van(1, 5);
    let at = |runs: &[(f64, usize)]| {
        let runs: Vec<_> = runs.iter().zip(&all).map(|((s, node), r)| (*s, *r, *node)).collect();
        let s = sessions(&runs);
        (s.runs, s.at_their_pod, s.as_strangers)
    };
    assert_eq!(at(&[(1.0, 0)]), (1, 1.0, 1), "its first is nobody's to choose");
    assert_eq!(at(&[(1.0, 0), (2.0, 2), (3.0, 0)]), (3, 1.0, 1), "one pod");
    assert_eq!(at(&[(1.0, 0), (2.0, 4), (3.0, 0)]), (3, 0.0, 2), "known where it was before");
    assert_eq!(at(&[(1.0, 0), (2.0, 4), (3.0, 4), (4.0, 4), (5.0, 1)]), (5, 0.5, 3));
    assert_eq!(at(&[(1.0, 0), (11.0, 0), (20.9, 0)]), (3, 1.0, 2), "forgotten after 10 s");
}

#[test]
fn a_day_without_vans_has_no_account_of_them() {
    let text = &DAY[..DAY.find("[vans]").expect("there")];
    let scenario = Scenario::read("by-hand.toml", text).expect("sound");
    let plan = Plan::draw(&scenario, 1);
    assert_eq!(judge(&scenario, &plan, &[], Exactness::LIVE).sessions, None);
}
