//! The judge of the rule book can fail: a balancer that goes on past its lease with rules that are no more is caught, and
//! the same one passes that keeps to the charter then, on the same day.

mod scripted;

use std::rc::Rc;

use hollowpaddle_rehearsal::report::Report;
use hollowpaddle_rehearsal::run::play_virtual;
use hollowpaddle_rehearsal::scenario::Scenario;
use scripted::{Fault, Scripted};

/// Pod 2 is put out when the second balancer has just stopped to hear anything, and let in when it hears again.
const DAY: &str = r#"
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

fn play(fault: Fault) -> Report {
    let day = Scenario::read("rules.toml", DAY).expect("a sound scenario");
    Report::of(&play_virtual(&day, 5, Rc::new(Scripted(fault))).expect("it plays"))
}

#[test]
fn one_that_keeps_to_the_charter_past_its_lease_passes() {
    let report = play(Fault::DeafToTheBook);
    let bank = report.policy.as_ref().expect("there are acts");
    assert!(report.is_clean() && report.policy_is_clean(), "{}", report.text());
    assert_eq!(bank.changes, 2, "{}", report.text());
    // It holds its lease for two seconds, and is seen doing so.
    assert!((0.5..2.0).contains(&bank.contradiction_s), "{}", report.text());
    assert!(bank.sends > 100, "{}", report.text());
}

#[test]
fn one_that_ignores_its_lease_is_caught() {
    let report = play(Fault::IgnoresItsLease);
    let bank = report.policy.as_ref().expect("there are acts");
    assert!(report.is_clean(), "none of the four rules: {}", report.text());
    assert_eq!(bank.broken.len(), 1, "{}", report.text());
    assert!((12.0..15.0).contains(&bank.contradiction_s), "{}", report.text());
    assert!(bank.contradictions.iter().all(|c| c.balancer == 1 && c.cell == 2), "{bank:?}");
    assert!(report.text().contains("PROMISE BROKEN"), "{}", report.text());
}
