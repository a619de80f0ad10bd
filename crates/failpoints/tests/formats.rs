//! The text in which a process is told its failpoints, the trace that it writes, and the report, byte for byte.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use hollowpaddle_failpoints::{
    Fault, Finding, Kind, Lasts, Passed, Plan, Points, Report, Saw, Settings, Strike, VARIABLE,
    read_trace,
};

const PLAN: &str = "number=3,fault=no-space;number=17,fault=crash;name=disk.write,nth=2,fault=short;\
                    name=disk.sync,from=4,fault=lie;name=peer.send,from=5,fault=lose,until=/run/healed";

fn plan() -> Plan {
    Plan::one(3, Fault::NoSpace)
        .and(17, Fault::Crash)
        .at("disk.write", 2, Fault::Short)
        .from("disk.sync", 4, Lasts::UntilHealed, Fault::Lie)
        .from("peer.send", 5, Lasts::UntilThere("/run/healed".into()), Fault::Lose)
}

/// The names of all faults, in their order.
const FAULTS: [(Fault, &str); 8] = [
    (Fault::NoSpace, "no-space"),
    (Fault::Io, "io"),
    (Fault::Short, "short"),
    (Fault::Lie, "lie"),
    (Fault::Crash, "crash"),
    (Fault::Pause, "pause"),
    (Fault::Lose, "lose"),
    (Fault::Copy, "copy"),
];

/// The names of all kinds of steps, in their order.
const KINDS: [(Kind, &str); 10] = [
    (Kind::Write, "write"),
    (Kind::Sync, "sync"),
    (Kind::Rename, "rename"),
    (Kind::Read, "read"),
    (Kind::SyncNames, "sync-names"),
    (Kind::Send, "send"),
    (Kind::Receive, "receive"),
    (Kind::Handover, "handover"),
    (Kind::Timer, "timer"),
    (Kind::Step, "step"),
];

#[test]
fn plan_is_written_and_read_byte_for_byte() {
    assert_eq!(VARIABLE, "LB_FAULTPOINTS");
    assert_eq!(plan().to_string(), PLAN);
    let settings: Settings = PLAN.parse().expect("readable");
    let defaults = Settings { plan: plan(), trace: None, pause: Duration::from_millis(2_500) };
    assert_eq!(settings, defaults);
    let settings: Settings =
        format!("trace=/run/trace;pause_ms=400;{PLAN}").parse().expect("readable");
    let trace = Some(PathBuf::from("/run/trace"));
    assert_eq!(settings, Settings { plan: plan(), trace, pause: Duration::from_millis(400) });
}

#[test]
fn settings_for_a_process_are_written_byte_for_byte() {
    let text = Points::armed(plan()).for_process("/run/trace".as_ref());
    assert_eq!(text, format!("trace=/run/trace;pause_ms=2500;{PLAN}"));
}

#[test]
fn faults_and_kinds_keep_their_names_and_order() {
    assert_eq!(Fault::ALL.map(|fault| (fault, fault.name())), FAULTS);
    assert_eq!(Kind::ALL.map(|kind| (kind, kind.name())), KINDS);
}

#[test]
fn trace_is_read_byte_for_byte() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("trace");
    for (kind, kind_name) in KINDS {
        fs::write(&path, format!("1 0 {kind_name} disk.a -\n2 7 {kind_name} disk.b lie\n"))
            .expect("written");
        let first = Passed { number: 1, whose: 0, name: "disk.a", kind, fault: None };
        let second = Passed { number: 2, whose: 7, name: "disk.b", kind, fault: Some(Fault::Lie) };
        assert_eq!(read_trace(&path).expect("readable"), [first, second]);
    }
    fs::write(&path, "1 0 write\n").expect("written");
    let message = read_trace(&path).expect_err("no line of a trace").to_string();
    let expected = "line 1: found `1 0 write`, expected `1 WHOSE KIND NAME FAULT`";
    assert!(message.ends_with(expected), "{message}");
}

fn finding(saw: Saw) -> Finding {
    let at =
        Passed { number: 4, whose: 1, name: "disk.sync", kind: Kind::Sync, fault: Some(Fault::Io) };
    let strikes = vec![Strike { at, nth: 2, fault: Fault::NoSpace }];
    Finding { strikes, plan: Plan::one(4, Fault::NoSpace), saw }
}

#[test]
fn findings_and_report_keep_their_text() {
    for (saw, end) in [
        (Saw::Failed("lost".into()), "lost"),
        (Saw::Panicked("index".into()), "panic: index"),
        (Saw::Unreached { passed: 3 }, "not reached; the run ended after 3 points"),
        (
            Saw::Astray { number: 2, expected: "a".into(), found: "b".into() },
            "not deterministic: point 2 was a, and is b",
        ),
    ] {
        let text = format!("no-space at 4 `disk.sync` of 1 (number=4,fault=no-space): {end}");
        assert_eq!(finding(saw).to_string(), text);
    }
    let found = finding(Saw::Failed("lost".into()));
    let point = found.strikes[0].at.clone();
    let report = Report {
        points: vec![point],
        runs: 6,
        possible: 5,
        singles: 4,
        pairs: 1,
        findings: vec![found],
        more: 2,
    };
    assert_eq!(
        report.to_string(),
        "1 points of 1 names (1 sync); 6 runs: 4 of 5 single faults, 1 pairs; 3 findings\n  \
         no-space at 4 `disk.sync` of 1 (number=4,fault=no-space): lost\n  and 2 more\n"
    );
}
