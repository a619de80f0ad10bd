//! Each account can fail: a bank for each way to come back badly is told of under its own heading and no other, and the
//! same bank with no fault has nothing told of it, on the same day.

mod scripted;

use std::rc::Rc;

use hollowpaddle_rehearsal::checker::Violation;
use hollowpaddle_rehearsal::plan::Plan;
use hollowpaddle_rehearsal::report::Report;
use hollowpaddle_rehearsal::run::play_plan_virtual;
use hollowpaddle_rehearsal::scenario::Scenario;
use scripted::{Fault, Scripted};

/// All are killed and come back, a node drains, and then some are frozen for a while.
const DAY: &str = r#"
name = "broken bank"
length_s = 24

[fleet]
zones = ["a", "b"]
nodes = 12
cell_size = 3
cross_zone_ms = 3

[[fleet.kinds]]
name = "std"
speed = 1.5
cores = 2
slots = 40
queue = 20
crowding_loss = 0.0
connections = 800

[balancers]
count = 4
notice_s = 0.5

[[classes]]
name = "reading"
share = 0.6
work_ms = 40
aim_ms = 900
deadline_ms = 1500
effect = "safe"

[[classes]]
name = "alarm"
share = 0.4
work_ms = 40
aim_ms = 900
deadline_ms = 1500
effect = "unsafe"

[load]
of_capacity = 0.25
swing = 0.0

[list]
notice_s = 0.5
add_s = 0.2
period_ms = 100
call_ms = 5

[expect]
full_service_s = 2
connects_times = 60
list_calls_times = 8
attempts_times = 1.6
stale = 0

[[faults]]
kind = "balancer-kill"
start_s = 4
length_s = 1
share = 1.0

[[faults]]
kind = "drain"
start_s = 4.2
length_s = 6
nodes = [3]

[[faults]]
kind = "balancer-pause"
start_s = 16
length_s = 1.2
share = 0.5
"#;

fn play(fault: Fault) -> Report {
    let day = Scenario::read("broken.toml", DAY).unwrap_or_else(|e| panic!("{e}"));
    let plan = Plan::generate(&day, 3);
    let of = |plan| play_plan_virtual(&day, plan, Rc::new(Scripted(fault))).expect("it plays");
    Report::with_control(&of(plan.clone()), &of(plan.control_run()))
}

#[test]
fn the_correct_bank_has_nothing_told_of_it() {
    let report = play(Fault::None);
    assert!(report.is_clean() && report.missed_expectations().is_empty(), "{}", report.text());
    let account = report.recovery.as_ref().expect("there is a twin");
    // The day gives each fault something to go wrong with.
    assert!(account.episodes.len() == 2 && account.episodes[0].lowest < 0.2, "{}", report.text());
}

#[test]
fn each_bad_way_to_come_back_is_told_under_its_own_heading() {
    let all = [
        (Fault::ReconnectsInStep, "connects"),
        (Fault::SpendsAlone, "attempts at the busiest upstream"),
        (Fault::NeverWholeAgain, "no full service"),
        (Fault::DeafToDrains, "stale sends"),
    ];
    for (fault, heading) in all {
        let report = play(fault);
        let missed = report.missed_expectations();
        assert!(!missed.is_empty(), "{fault:?}: {}", report.text());
        assert!(missed.iter().all(|m| m.starts_with(heading)), "{fault:?}: {missed:#?}");
    }
}

#[test]
fn one_that_forgets_that_it_was_frozen_loses_what_waited() {
    let report = play(Fault::ForgetsItWasFrozen);
    let names: Vec<&str> = report.violations.keys().copied().collect();
    assert_eq!(names, [Violation::Lost.name()], "{}", report.text());
}
