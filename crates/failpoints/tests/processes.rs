//! Points in real processes: this program, started once more, reads its plan from the environment.

use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};
use std::{env, fs, thread};

use hollowpaddle_failpoints::{Fault, Kind, Lasts, Plan, Points, Settings, VARIABLE, read_trace};
use proptest::prelude::*;

/// Tells the test's own program, started once more, what to do.
const ROLE: &str = "FAULTPOINTS_ROLE";

/// In the process that is struck. Does nothing in the test's own process.
#[test]
fn child() {
    let Ok(role) = env::var(ROLE) else { return };
    let points = Points::from_environment().expect("a plan");
    match role.as_str() {
        "five writes" => {
            for n in 0..5 {
                print!("{n}: {:?} ", points.meet("write", Kind::Write));
            }
        }
        "abort" => {
            points.meet("write", Kind::Write);
            std::process::abort();
        }
        "two threads" => {
            let ticks = thread::spawn(|| {
                let (begun, mut last, mut longest) =
                    (Instant::now(), Instant::now(), Duration::ZERO);
                while begun.elapsed() < Duration::from_millis(900) {
                    thread::sleep(Duration::from_millis(2));
                    longest = longest.max(last.elapsed());
                    last = Instant::now();
                }
                longest
            });
            thread::sleep(Duration::from_millis(20));
            assert_eq!(points.meet("step", Kind::Step), None, "it has stood still");
            println!("stood still for {} ms", ticks.join().expect("it ticks").as_millis());
        }
        other => panic!("no role {other}"),
    }
}

fn run(role: &str, plan: &str) -> Output {
    let own = env::current_exe().expect("this program");
    let mut command = Command::new(own);
    command.args(["--exact", "child", "--nocapture"]).env(ROLE, role).env(VARIABLE, plan);
    command.output().expect("it starts")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn it_ends_at_its_point_by_sigkill_and_its_trace_is_whole() {
    let dir = tempfile::tempdir().expect("a directory");
    let trace = dir.path().join("trace");
    let said = format!("name=write,nth=3,fault=crash;trace={}", trace.display());
    let output = run("five writes", &said);
    assert_eq!(output.status.signal(), Some(9), "{output:?}");
    assert!(!text(&output).contains("0: None"), "what was not flushed is gone: {}", text(&output));
    let passed = read_trace(&trace).expect("a trace");
    let faults: Vec<_> = passed.iter().map(|p| (p.number, p.name, p.kind, p.fault)).collect();
    let write = |n, fault| (n, "write", Kind::Write, fault);
    assert_eq!(faults, [write(1, None), write(2, None), write(3, Some(Fault::Crash))]);
}

#[test]
fn an_end_of_its_own_is_not_taken_for_a_planned_one() {
    let output = run("abort", "number=9,fault=crash");
    assert_eq!(output.status.signal(), Some(6), "{output:?}");
}

#[test]
fn faults_of_files_are_given_to_the_caller_and_nothing_happens_without_a_plan() {
    let output = run("five writes", "number=2,fault=no-space;name=write,from=4,fault=io");
    let said = "0: None 1: Some(NoSpace) 2: None 3: Some(Io) 4: Some(Io) ";
    assert!(text(&output).contains(said), "{output:?}");
    let output = run("five writes", "");
    assert!(text(&output).contains("3: None 4: None "), "{output:?}");
}

#[test]
fn a_pause_stops_all_threads() {
    let output = run("two threads", "name=step,fault=pause;pause_ms=400");
    let text = text(&output);
    let ms = text.split("stood still for ").nth(1).and_then(|t| t.split(' ').next());
    let ms: u64 = ms.and_then(|ms| ms.parse().ok()).unwrap_or_else(|| panic!("{output:?}"));
    assert!(ms >= 300, "{text}");
}

#[test]
fn a_disk_stays_full_until_a_file_is_there() {
    let dir = tempfile::tempdir().expect("a directory");
    let room = dir.path().join("room");
    let lasts = Lasts::UntilThere(room.clone());
    let points = Points::armed(Plan::counting().from("write", 2, lasts, Fault::NoSpace));
    let write = || points.pass("write", Kind::Write);
    let full = Some(Fault::NoSpace);
    assert_eq!([write(), write(), write()], [None, full, full]);
    fs::write(&room, "").expect("a file");
    assert_eq!(write(), None);
    fs::remove_file(&room).expect("it was there");
    assert_eq!(write(), None, "healed for good");
}

#[test]
fn a_process_goes_on_with_the_run_that_started_it() {
    let dir = tempfile::tempdir().expect("a directory");
    let points = Points::armed(Plan::one(8, Fault::Crash));
    for (life, ends) in [None, Some(9), None].into_iter().enumerate() {
        let trace = dir.path().join(life.to_string());
        let output = run("five writes", &points.for_process(&trace));
        assert_eq!(output.status.signal(), ends, "{output:?}");
        points.take_in(&trace).expect("its trace");
    }
    assert_eq!((points.count(), points.struck()), (13, 1));
    assert_eq!(points.passed()[7].fault, Some(Fault::Crash));
    assert!(points.take_in(Path::new("/nowhere")).is_err() && points.count() == 13);
}

#[test]
fn a_trace_that_is_not_one_processes_is_refused() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("trace");
    for (text, right) in [
        ("1 0 write a -\n2 0 sync b lie\n", Some(2)),
        ("1 0 write a -\n2 0 sy", Some(1)),
        ("1 0 write a -\n1 0 write a -\n", None),
        ("2 0 write a -\n", None),
        ("1 0 write a nothing\n", None),
        ("1 0 wriet a -\n", None),
        ("1 0 write a - -\n", None),
    ] {
        fs::write(&path, text).expect("a file");
        let read = read_trace(&path);
        assert_eq!(read.as_ref().map(Vec::len).ok(), right, "{text:?}: {read:?}");
        if let Err(e) = read {
            assert!(e.to_string().contains("expected `"), "{e}");
        }
    }
}

#[test]
fn what_cannot_be_understood_says_what_was_expected() {
    for (plan, part, expected) in [
        ("number=17", 1, "one of no-space, io, short, lie, crash, pause, lose, copy"),
        ("number=17,fault=boom", 1, "found `boom`"),
        ("number=0,fault=io", 1, "a whole number from 1"),
        ("trace=/t;name=x,nth=-1,fault=io", 2, "a whole number from 1"),
        ("name=,fault=io", 1, "as a trace says it"),
        ("name=x,nth=1,from=1,fault=io", 1, "stands beside `from`"),
        ("name=x,until=/u,fault=io", 1, "stands without `from`"),
        ("name=x,fault=io,nht=1", 1, "`nht` is not known there"),
        ("fault=io", 1, "expected `number=N,fault=F`"),
        ("name=x,fault=io,fault=io", 1, "stands there twice"),
        ("crash", 1, "expected `key=value`"),
        ("trace=", 1, "a path without"),
        ("pause_ms=0", 1, "milliseconds, from 1 to 600000"),
        ("pause_ms=600001", 1, "milliseconds, from 1 to 600000"),
        (";;;name=x", 4, "found ``"),
    ] {
        let error = plan.parse::<Settings>().expect_err(plan).to_string();
        let said = error.replace("=`", " found `");
        assert!(said.contains(expected), "{plan}: {error}");
        assert!(error.contains(&format!("part {part}")), "{plan}: {error}");
    }
}

proptest! {
    #[test]
    fn no_text_breaks_the_reader(text in "[ -~]{0,60}|([a-z_]{1,8}=[a-z0-9/-]{0,6}[,;]){0,6}") {
        let _ = text.parse::<Settings>();
    }

    #[test]
    fn a_plan_is_read_back_as_it_was_said(
        numbers in prop::collection::btree_map(1..100_u64, 0..8_usize, 0..5),
        named in prop::collection::vec(("[a-z.-]{1,8}", 1..9_u64, 0..3_u8, 0..8_usize), 0..5),
    ) {
        let fault = |n: usize| Fault::ALL[n];
        let mut plan = Plan::counting();
        for (number, which) in numbers {
            plan = plan.and(number, fault(which));
        }
        for (name, from, lasts, which) in named {
            let lasts = match lasts {
                0 => Lasts::Once,
                1 => Lasts::UntilHealed,
                _ => Lasts::UntilThere("/some/where".into()),
            };
            plan = plan.from(&name, from, lasts, fault(which));
        }
        let settings: Settings = plan.to_string().parse().expect("its own words");
        prop_assert_eq!(settings.plan, plan);
    }
}
