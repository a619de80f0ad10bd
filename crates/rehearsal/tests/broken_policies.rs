//! The checker reports policy violations: a balancer that applies a superseded policy past its
//! lease is caught, and one that falls back to the fallback policy then passes the same scenario.

mod scripted;

use std::rc::Rc;

use hollowpaddle_rehearsal::report::Report;
use hollowpaddle_rehearsal::run::run_virtual;
use hollowpaddle_rehearsal::scenario::Scenario;
use scripted::{Fault, Scripted};

/// Cell 2 is excluded just after the second balancer stops receiving updates, and included when it
/// receives them again.
const SCENARIO: &str = r#"
name = "rules"
length_s = 25

[fleet]
zones = ["a", "b"]
nodes = 12
cell_size = 3
cross_zone_ms = 3

[[fleet.kinds]]
name = "std"
speed = 1.5
cores = 2
slots = 12
queue = 6
connections = 400

[balancers]
count = 3
peers = true

[[classes]]
name = "reading"
work_ms = 40
aim_ms = 500
deadline_ms = 1500
effect = "safe"

[load]
of_capacity = 0.2

[[bank]]
at_s = 6
does = "revision"
document = { out = { pods = [2] } }

[[bank]]
at_s = 22
does = "revision"
document = {}
"#;

fn run_scenario(fault: Fault) -> Report {
    let scenario = Scenario::read("rules.toml", SCENARIO).expect("a valid scenario");
    Report::of(&run_virtual(&scenario, 5, Rc::new(Scripted(fault))).expect("the run completes"))
}

#[test]
fn the_fallback_policy_past_the_lease_passes() {
    let report = run_scenario(Fault::MissesPolicyUpdates);
    let policy_report = report.policy.as_ref().expect("there are policy actions");
    assert!(report.is_clean() && report.policy_is_clean(), "{}", report.text());
    assert_eq!(policy_report.changes, 2, "{}", report.text());
    // The balancer holds its lease for two seconds, in which its sends are observed.
    assert!((0.5..2.0).contains(&policy_report.contradiction_s), "{}", report.text());
    assert!(policy_report.sends > 100, "{}", report.text());
}

#[test]
fn an_expired_lease_that_is_ignored_is_reported() {
    let report = run_scenario(Fault::IgnoresLeaseExpiry);
    let policy_report = report.policy.as_ref().expect("there are policy actions");
    assert!(report.is_clean(), "none of the four rules: {}", report.text());
    assert_eq!(policy_report.broken.len(), 1, "{}", report.text());
    assert!((12.0..15.0).contains(&policy_report.contradiction_s), "{}", report.text());
    assert!(
        policy_report.contradictions.iter().all(|c| c.balancer == 1 && c.cell == 2),
        "{policy_report:?}"
    );
    assert!(report.text().contains("PROMISE BROKEN"), "{}", report.text());
}
