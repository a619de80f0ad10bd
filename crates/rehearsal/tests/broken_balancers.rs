//! The checker reports each violation: a balancer with one fault is caught under that violation's
//! name and no other, and the correct balancer passes the same scenario.

mod scripted;

use std::rc::Rc;

use hollowpaddle_rehearsal::checker::Violation;
use hollowpaddle_rehearsal::report::Report;
use hollowpaddle_rehearsal::run::run_virtual;
use hollowpaddle_rehearsal::scenario::Scenario;
use scripted::{Fault, Scripted};

/// A short scenario in which nodes sometimes answer with errors, some drain, and some die and
/// restart cold.
const SCENARIO: &str = r#"
name = "short"
length_s = 14

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
cold_from = 0.2
cold_s = 6
error_rate = 0.02
connections = 400

[balancers]
count = 2

[[classes]]
name = "reading"
share = 0.4
work_ms = 40
aim_ms = 500
deadline_ms = 1500
effect = "safe"

[[classes]]
name = "alarm"
share = 0.3
work_ms = 40
aim_ms = 500
deadline_ms = 1500
effect = "unsafe"

[[classes]]
name = "log"
share = 0.3
work_ms = 40
aim_ms = 500
deadline_ms = 1500
effect = "keyed"
group = "cell"
window_ms = 400

[load]
of_capacity = 0.3

[list]
notice_s = 0.5
add_s = 0.2
period_ms = 100
call_ms = 5

[rules]
drain_grace_ms = 500
ask_every_ms = 2000

[[faults]]
kind = "drain"
start_s = 3
length_s = 5
nodes = [1, 2]

[[faults]]
kind = "die"
start_s = 4
length_s = 1
nodes = [5]

[[faults]]
kind = "spoil"
start_s = 11
length_s = 1
answers = 0.5
share = 1.0
"#;

fn run_scenario(fault: Fault) -> Report {
    let scenario = Scenario::read("short.toml", SCENARIO).expect("a valid scenario");
    Report::of(&run_virtual(&scenario, 5, Rc::new(Scripted(fault))).expect("the run completes"))
}

#[test]
fn the_correct_balancer_passes() {
    let report = run_scenario(Fault::None);
    assert!(report.is_clean(), "{}", report.text());
    // The scenario triggers each fault.
    assert!(report.service.counts.requests > 500, "{}", report.text());
    assert!(report.service.counts.failed > 5, "{}", report.text());
    assert!(report.service.overall > 0.8, "{}", report.text());
}

#[test]
fn each_fault_is_reported_as_its_own_violation_only() {
    let all = [
        (Fault::NeverAnswers, Violation::Lost, 1),
        (Fault::ClosesWithoutAnswer, Violation::Lost, 1),
        (Fault::AnswersTwice, Violation::AnsweredTwice, 1),
        (Fault::ForgesAnswers, Violation::ForeignAnswer, 1),
        (Fault::SendsAfterAnswer, Violation::SentAfterAnswer, 1),
        (Fault::ResendsUnsafe, Violation::ResentUnsafe, 2),
        (Fault::ResendsElsewhere, Violation::ResentElsewhere, 2),
        (Fault::ResendsTooLate, Violation::ResentTooLate, 2),
        (Fault::TwoAtOnce, Violation::TwoAtOnce, 2),
        (Fault::ExceedsMaxAttempts, Violation::TooManyAttempts, 2),
        (Fault::RejectsAfterRun, Violation::RefusedAfterRun, 2),
        (Fault::AltersBody, Violation::Altered, 2),
        (Fault::IgnoresDrains, Violation::SentToDrained, 3),
        (Fault::OverloadsColdNodes, Violation::OverloadedDuringWarmUp, 4),
    ];
    let reports: Vec<Report> = std::thread::scope(|scope| {
        let runs: Vec<_> =
            all.iter().map(|(fault, ..)| scope.spawn(|| run_scenario(*fault))).collect();
        runs.into_iter().map(|run| run.join().expect("the run completes")).collect()
    });
    let mut wrong = Vec::new();
    for ((fault, violation, rule), report) in all.iter().zip(reports) {
        let names: Vec<&str> = report.violations.keys().copied().collect();
        if names != [violation.name()] || violation.rule() != *rule {
            wrong.push(format!("{fault:?}: {names:?}\n{}", report.text()));
        }
        // A reported violation shows the history of its request.
        let request = report.findings.iter().find(|f| f.request.is_some());
        assert!(request.is_none_or(|f| !f.history.is_empty()), "{fault:?}");
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn an_exit_is_reported_as_a_crash_with_lost_requests() {
    let report = run_scenario(Fault::Crashes);
    assert!(report.has(Violation::Crashed), "{}", report.text());
    let others = report.violations.keys().filter(|n| !["crashed", "lost"].contains(*n)).count();
    assert_eq!(others, 0, "{}", report.text());
}

/// The short scenario, with some of its lines changed.
fn changed(lines: &[(&str, &str)]) -> Scenario {
    let mut scenario = SCENARIO.to_string();
    for (from, to) in lines {
        assert!(scenario.contains(from), "{from}");
        scenario = scenario.replacen(from, to, 1);
    }
    Scenario::read("changed.toml", &scenario).expect("a valid scenario")
}

/// Returns the reports of the correct and the faulty balancer for a scenario.
fn run_correct_and_broken(fault: Fault, scenario: &Scenario) -> [Report; 2] {
    [Fault::None, fault].map(|f| {
        Report::of(&run_virtual(scenario, 5, Rc::new(Scripted(f))).expect("the run completes"))
    })
}

/// Asserts that the correct balancer passes and the faulty one has exactly these violations.
fn assert_caught(fault: Fault, scenario: &Scenario, names: &[Violation]) {
    let [well, broken] = run_correct_and_broken(fault, scenario);
    assert!(well.is_clean(), "{}", well.text());
    let found: Vec<&str> = broken.violations.keys().copied().collect();
    let names: Vec<&str> = names.iter().map(|b| b.name()).collect();
    assert_eq!(found, names, "{}", broken.text());
}

#[test]
fn one_request_from_each_balancer_overloads_a_cold_node() {
    // A fifth of a core of a tenth: N is 5 requests in 2 s, and 40 balancers know of each start.
    let scenario = changed(&[
        ("speed = 1.5\ncores = 2", "speed = 0.5\ncores = 1"),
        ("cold_from = 0.2", "cold_from = 0.05"),
        ("count = 2", "count = 40"),
        ("of_capacity = 0.3", "of_capacity = 1.0"),
    ]);
    assert_caught(Fault::SendsOneToEachColdNode, &scenario, &[Violation::OverloadedDuringWarmUp]);
}

#[test]
fn sends_for_departed_clients_are_reported() {
    let scenario = changed(&[("[load]", "[clients]\nleave_share = 0.4\n\n[load]")]);
    let names = [Violation::SentAfterClientLeft, Violation::ForwardedWithoutClient];
    assert_caught(Fault::DelaysForDepartedClients, &scenario, &names);
    let scenario = changed(&[
        ("[load]", "[clients]\nleave_share = 0.4\n\n[load]"),
        ("error_rate = 0.02", "error_rate = 0.2"),
    ]);
    assert_caught(Fault::RetriesForDepartedClients, &scenario, &[Violation::SentAfterClientLeft]);
}

#[test]
fn a_balancer_that_stops_polling_the_list_is_reported_by_time_alone() {
    // The polling interval in the settings would allow stale sends during the whole run.
    let scenario = changed(&[
        ("ask_every_ms = 2000", "ask_every_ms = 60000"),
        ("start_s = 3\nlength_s = 5", "start_s = 3\nlength_s = 10"),
    ]);
    assert_caught(Fault::StopsPollingList, &scenario, &[Violation::SentToDrained]);
}

#[test]
fn a_stop_without_draining_loses_requests() {
    let restart =
        "[[faults]]\nkind = \"balancer-restart\"\nstart_s = 6\nlength_s = 1\nshare = 1.0\n\n";
    let scenario = changed(&[(
        "[[faults]]\nkind = \"drain\"",
        &format!("{restart}[[faults]]\nkind = \"drain\""),
    )]);
    assert_caught(Fault::StopsWithoutDraining, &scenario, &[Violation::Lost]);
}

#[test]
fn an_unserved_class_or_third_of_the_run_is_below_its_floor() {
    let scenario = changed(&[]);
    for (fault, floor) in [(Fault::RejectsOneClass, "log"), (Fault::RejectsInLastThird, "third 3")]
    {
        let [well, broken] = run_correct_and_broken(fault, &scenario);
        let under = |r: &Report| r.missed_floors().map(|f| f.scope.clone()).collect::<Vec<_>>();
        assert_eq!(under(&well), Vec::<String>::new(), "{}", well.text());
        assert_eq!(under(&broken), [floor], "{}", broken.text());
        assert!(broken.is_clean() && broken.text().contains("UNDER ITS FLOOR"));
    }
}

#[test]
fn the_same_seed_gives_the_same_run_on_any_thread() {
    let run = || std::thread::spawn(|| run_scenario(Fault::ExceedsMaxAttempts).trace_digest);
    let (one, two) = (run(), run());
    assert_eq!(one.join().expect("the run completes"), two.join().expect("the run completes"));
}
