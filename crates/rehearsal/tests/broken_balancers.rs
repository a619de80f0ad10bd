//! The judge can fail: a balancer for each way to break a rule is caught under its own name and no other, and
//! the same balancer with no fault passes, on the same day.

mod scripted;

use std::rc::Rc;

use hollowpaddle_rehearsal::judge::Breach;
use hollowpaddle_rehearsal::report::Report;
use hollowpaddle_rehearsal::run::play_virtual;
use hollowpaddle_rehearsal::scenario::Scenario;
use scripted::{Fault, Scripted};

/// A short day on which nodes answer with errors now and then, some drain, some die and come back cold.
const DAY: &str = r#"
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

fn play(fault: Fault) -> Report {
    let day = Scenario::read("short.toml", DAY).expect("a sound scenario");
    Report::of(&play_virtual(&day, 5, Rc::new(Scripted(fault))).expect("it plays"))
}

#[test]
fn the_correct_one_passes() {
    let report = play(Fault::None);
    assert!(report.is_clean(), "{}", report.text());
    // The day gives each fault something to go wrong with.
    assert!(report.service.counts.asked > 500, "{}", report.text());
    assert!(report.service.counts.failed > 5, "{}", report.text());
    assert!(report.service.whole > 0.8, "{}", report.text());
}

#[test]
fn each_way_to_break_a_rule_is_caught_under_its_own_name_and_no_other() {
    let all = [
        (Fault::Loses, Breach::Lost, 1),
        (Fault::Hangs, Breach::Lost, 1),
        (Fault::AnswersTwice, Breach::AnsweredTwice, 1),
        (Fault::Invents, Breach::ForeignAnswer, 1),
        (Fault::SendsAfterAnswer, Breach::SentAfterAnswer, 1),
        (Fault::ResendsUnsafe, Breach::ResentUnsafe, 2),
        (Fault::ResendsElsewhere, Breach::ResentElsewhere, 2),
        (Fault::ResendsTooLate, Breach::ResentTooLate, 2),
        (Fault::TwoAtOnce, Breach::TwoAtOnce, 2),
        (Fault::TriesTooOften, Breach::TooManyAttempts, 2),
        (Fault::RefusesAfterRun, Breach::RefusedAfterRun, 2),
        (Fault::Alters, Breach::Altered, 2),
        (Fault::DeafToDrains, Breach::SentToDrained, 3),
        (Fault::PushesOver, Breach::PushedOver, 4),
    ];
    let reports: Vec<Report> = std::thread::scope(|scope| {
        let runs: Vec<_> = all.iter().map(|(fault, ..)| scope.spawn(|| play(*fault))).collect();
        runs.into_iter().map(|run| run.join().expect("it plays")).collect()
    });
    let mut wrong = Vec::new();
    for ((fault, breach, rule), report) in all.iter().zip(reports) {
        let names: Vec<&str> = report.breaches.keys().copied().collect();
        if names != [breach.name()] || breach.rule() != *rule {
            wrong.push(format!("{fault:?}: {names:?}\n{}", report.text()));
        }
        // Whoever is told of a breach can see what happened.
        let request = report.findings.iter().find(|f| f.request.is_some());
        assert!(request.is_none_or(|f| !f.history.is_empty()), "{fault:?}");
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn one_that_ends_by_itself_has_crashed_and_what_it_held_is_lost() {
    let report = play(Fault::Crashes);
    assert!(report.has(Breach::Crashed), "{}", report.text());
    let others = report.breaches.keys().filter(|n| !["crashed", "lost"].contains(*n)).count();
    assert_eq!(others, 0, "{}", report.text());
}

#[test]
fn the_same_seed_is_the_same_run_on_any_thread() {
    let run = || std::thread::spawn(|| play(Fault::TriesTooOften).trace_digest);
    let (one, two) = (run(), run());
    assert_eq!(one.join().expect("it plays"), two.join().expect("it plays"));
}
