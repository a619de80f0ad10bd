//! The judge can fail: a balancer for each way to break a rule is caught under its own name and no other, and
//! the same balancer with no fault passes, on the same day.

mod scripted;

use std::rc::Rc;

use hollowpaddle_rehearsal::checker::Violation;
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
    assert!(report.service.counts.requests > 500, "{}", report.text());
    assert!(report.service.counts.failed > 5, "{}", report.text());
    assert!(report.service.overall > 0.8, "{}", report.text());
}

#[test]
fn each_way_to_break_a_rule_is_caught_under_its_own_name_and_no_other() {
    let all = [
        (Fault::Loses, Violation::Lost, 1),
        (Fault::Hangs, Violation::Lost, 1),
        (Fault::AnswersTwice, Violation::AnsweredTwice, 1),
        (Fault::Invents, Violation::ForeignAnswer, 1),
        (Fault::SendsAfterAnswer, Violation::SentAfterAnswer, 1),
        (Fault::ResendsUnsafe, Violation::ResentUnsafe, 2),
        (Fault::ResendsElsewhere, Violation::ResentElsewhere, 2),
        (Fault::ResendsTooLate, Violation::ResentTooLate, 2),
        (Fault::TwoAtOnce, Violation::TwoAtOnce, 2),
        (Fault::TriesTooOften, Violation::TooManyAttempts, 2),
        (Fault::RefusesAfterRun, Violation::RefusedAfterRun, 2),
        (Fault::Alters, Violation::Altered, 2),
        (Fault::DeafToDrains, Violation::SentToDrained, 3),
        (Fault::PushesOver, Violation::PushedOver, 4),
    ];
    let reports: Vec<Report> = std::thread::scope(|scope| {
        let runs: Vec<_> = all.iter().map(|(fault, ..)| scope.spawn(|| play(*fault))).collect();
        runs.into_iter().map(|run| run.join().expect("it plays")).collect()
    });
    let mut wrong = Vec::new();
    for ((fault, violation, rule), report) in all.iter().zip(reports) {
        let names: Vec<&str> = report.violations.keys().copied().collect();
        if names != [violation.name()] || violation.rule() != *rule {
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
    assert!(report.has(Violation::Crashed), "{}", report.text());
    let others = report.violations.keys().filter(|n| !["crashed", "lost"].contains(*n)).count();
    assert_eq!(others, 0, "{}", report.text());
}

/// The short day, with some of its lines changed.
fn changed(lines: &[(&str, &str)]) -> Scenario {
    let mut day = DAY.to_string();
    for (from, to) in lines {
        assert!(day.contains(from), "{from}");
        day = day.replacen(from, to, 1);
    }
    Scenario::read("changed.toml", &day).expect("a sound scenario")
}

/// What the judge says of the correct balancer and of a broken one on such a day.
fn both(fault: Fault, day: &Scenario) -> [Report; 2] {
    [Fault::None, fault]
        .map(|f| Report::of(&play_virtual(day, 5, Rc::new(Scripted(f))).expect("it plays")))
}

/// The correct one passes, and the broken one is caught under these names and no other.
fn caught(fault: Fault, day: &Scenario, names: &[Violation]) {
    let [well, broken] = both(fault, day);
    assert!(well.is_clean(), "{}", well.text());
    let found: Vec<&str> = broken.violations.keys().copied().collect();
    let names: Vec<&str> = names.iter().map(|b| b.name()).collect();
    assert_eq!(found, names, "{}", broken.text());
}

#[test]
fn one_request_each_from_a_whole_bank_pushes_a_cold_node_over() {
    // A fifth of a core of a tenth: N is 5 requests in 2 s, and 40 balancers know of each start.
    let day = changed(&[
        ("speed = 1.5\ncores = 2", "speed = 0.5\ncores = 1"),
        ("cold_from = 0.2", "cold_from = 0.05"),
        ("count = 2", "count = 40"),
        ("of_capacity = 0.3", "of_capacity = 1.0"),
    ]);
    caught(Fault::OneEach, &day, &[Violation::PushedOver]);
}

#[test]
fn who_sends_on_for_clients_that_have_gone_is_caught() {
    let day = changed(&[("[load]", "[clients]\nleave_share = 0.4\n\n[load]")]);
    let names = [Violation::SentAfterLeaving, Violation::SentForNobody];
    caught(Fault::HoldsForTheGone, &day, &names);
    let day = changed(&[
        ("[load]", "[clients]\nleave_share = 0.4\n\n[load]"),
        ("error_rate = 0.02", "error_rate = 0.2"),
    ]);
    caught(Fault::RetriesForTheGone, &day, &[Violation::SentAfterLeaving]);
}

#[test]
fn who_asks_the_list_no_more_is_caught_by_the_clock_alone() {
    // By what the settings say of asking it would have all day.
    let day = changed(&[
        ("ask_every_ms = 2000", "ask_every_ms = 60000"),
        ("start_s = 3\nlength_s = 5", "start_s = 3\nlength_s = 10"),
    ]);
    caught(Fault::StopsAsking, &day, &[Violation::SentToDrained]);
}

#[test]
fn who_ends_with_requests_in_hand_has_lost_them() {
    let restart =
        "[[faults]]\nkind = \"balancer-restart\"\nstart_s = 6\nlength_s = 1\nshare = 1.0\n\n";
    let day = changed(&[(
        "[[faults]]\nkind = \"drain\"",
        &format!("{restart}[[faults]]\nkind = \"drain\""),
    )]);
    caught(Fault::EndsAtOnce, &day, &[Violation::Lost]);
}

#[test]
fn a_class_or_a_third_of_the_day_that_is_not_served_is_under_its_floor() {
    let day = changed(&[]);
    for (fault, floor) in [(Fault::ShutsOutAClass, "log"), (Fault::TiresOfWork, "third 3")] {
        let [well, broken] = both(fault, &day);
        let under = |r: &Report| r.missed_floors().map(|f| f.scope.clone()).collect::<Vec<_>>();
        assert_eq!(under(&well), Vec::<String>::new(), "{}", well.text());
        assert_eq!(under(&broken), [floor], "{}", broken.text());
        assert!(broken.is_clean() && broken.text().contains("UNDER ITS FLOOR"));
    }
}

#[test]
fn the_same_seed_is_the_same_run_on_any_thread() {
    let run = || std::thread::spawn(|| play(Fault::TriesTooOften).trace_digest);
    let (one, two) = (run(), run());
    assert_eq!(one.join().expect("it plays"), two.join().expect("it plays"));
}
