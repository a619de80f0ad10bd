//! Each part of the recovery report detects its fault: a cluster with one recovery fault is
//! reported under that heading and no other, and the correct cluster is reported clean in the same
//! scenario.

mod scripted;

use std::rc::Rc;

use hollowpaddle_rehearsal::checker::Violation;
use hollowpaddle_rehearsal::plan::Plan;
use hollowpaddle_rehearsal::report::Report;
use hollowpaddle_rehearsal::run::run_plan_virtual;
use hollowpaddle_rehearsal::scenario::Scenario;
use scripted::{Fault, Scripted};

/// All balancers are killed and restarted, a node drains, and then some balancers are suspended for
/// a while.
const SCENARIO: &str = r#"
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

fn run_scenario(fault: Fault) -> Report {
    let scenario = Scenario::read("broken.toml", SCENARIO).unwrap_or_else(|e| panic!("{e}"));
    let plan = Plan::generate(&scenario, 3);
    let of = |plan| {
        run_plan_virtual(&scenario, plan, Rc::new(Scripted(fault))).expect("the run completes")
    };
    Report::with_control(&of(plan.clone()), &of(plan.control_run()))
}

#[test]
fn the_correct_cluster_meets_all_expectations() {
    let report = run_scenario(Fault::None);
    assert!(report.is_clean() && report.missed_expectations().is_empty(), "{}", report.text());
    let recovery = report.recovery.as_ref().expect("there is a control run");
    // The scenario triggers each fault.
    assert!(recovery.episodes.len() == 2 && recovery.episodes[0].lowest < 0.2, "{}", report.text());
}

#[test]
fn each_recovery_fault_is_reported_under_its_own_heading() {
    let all = [
        (Fault::ReconnectsAtOnce, "connects"),
        (Fault::SpendsWholeBudgetAlone, "attempts at the busiest upstream"),
        (Fault::RejectsAfterRestart, "no full service"),
        (Fault::IgnoresDrains, "stale sends"),
    ];
    for (fault, heading) in all {
        let report = run_scenario(fault);
        let missed = report.missed_expectations();
        assert!(!missed.is_empty(), "{fault:?}: {}", report.text());
        assert!(missed.iter().all(|m| m.starts_with(heading)), "{fault:?}: {missed:#?}");
    }
}

#[test]
fn a_balancer_that_ignores_its_suspension_loses_waiting_requests() {
    let report = run_scenario(Fault::IgnoresSuspension);
    let names: Vec<&str> = report.violations.keys().copied().collect();
    assert_eq!(names, [Violation::Lost.name()], "{}", report.text());
}
