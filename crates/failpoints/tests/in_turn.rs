//! Points in turn: each struck once by each fault, and nothing counted as struck that was not.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;

use hollowpaddle_failpoints::disk::{Disk, Left};
use hollowpaddle_failpoints::{Fault, InTurn, Kind, Points, Report, Saw, each_in_turn};

/// Appends numbers to a file, and says yes to each once it is kept; or before, where it is broken.
fn log(points: &Points, yes_before_sync: bool) -> Result<(), String> {
    let disk = Disk::new(points);
    let mut yes = Vec::new();
    let run = || -> std::io::Result<()> {
        disk.append("log", &[])?;
        disk.sync_names()?;
        for n in 1..=3_u8 {
            disk.append("log", &[n])?;
            if yes_before_sync {
                yes.push(n);
            }
            disk.sync("log")?;
            if !yes_before_sync {
                yes.push(n);
            }
        }
        Ok(())
    };
    let _ = { run }();
    let lied = points.passed().iter().any(|p| p.fault == Some(Fault::Lie));
    disk.crash(Left::Synced);
    // Who checks passes no points: a fault there would be the check's.
    let kept = disk.passing(&Points::none()).read("log", 100).unwrap_or_default();
    // No program can help a device that lies.
    if lied || kept.starts_with(&yes) {
        Ok(())
    } else {
        Err(format!("yes to {yes:?}, kept {kept:?}"))
    }
}

#[test]
fn each_point_is_struck_once_by_each_fault_of_its_kind() {
    let seen = RefCell::new(Vec::new());
    let report = each_in_turn(|points| {
        let said = log(points, false);
        let strikes: Vec<_> = points.passed().into_iter().filter(|p| p.fault.is_some()).collect();
        seen.borrow_mut().push(strikes);
        said
    });
    assert!(report.is_clean(), "{report}");
    // Made and its name synced, and three times appended to and synced.
    assert_eq!(report.points.len(), 8);
    let possible: usize = report.points.iter().map(|p| p.kind.faults().len()).sum();
    assert_eq!((report.singles, report.runs), (possible as u64, possible as u64 + 1));
    let seen = seen.into_inner();
    assert!(seen[0].is_empty() && seen[1..].iter().all(|s| s.len() == 1), "one a run");
    let all: BTreeSet<_> = seen[1..].iter().map(|s| (s[0].number, s[0].fault)).collect();
    assert_eq!(all.len(), possible);
}

#[test]
fn a_broken_promise_is_found_with_its_point() {
    let report = each_in_turn(|points| log(points, true));
    assert!(!report.is_clean());
    for finding in &report.findings {
        let at = &finding.strikes[0].at;
        assert!(at.name == "disk.sync" && matches!(finding.saw, Saw::Failed(_)), "{finding}");
    }
    // Each of three syncs that failed or was not come to.
    assert_eq!(report.findings.len(), 9, "{report}");
    let again = Points::armed(report.findings[0].plan.clone());
    assert!(log(&again, true).is_err(), "the plan that is told shows it again");
    let text = report.to_string();
    assert!(text.contains("at 4 `disk.sync` of 0 (number=4,fault=no-space): yes to [1]"), "{text}");
}

#[test]
fn what_is_not_reached_or_not_deterministic_is_told_apart() {
    let runs = Cell::new(0);
    let fewer = each_in_turn(|points| {
        runs.set(runs.get() + 1);
        for _ in 0..if runs.get() == 1 { 3 } else { 1 } {
            points.pass("step", Kind::Step);
        }
        Ok(())
    });
    let unreached = fewer.findings.iter().filter(|f| f.saw == Saw::Unreached { passed: 1 }).count();
    assert_eq!((unreached, fewer.findings.len()), (4, 4), "{fewer}");

    runs.set(0);
    let other = each_in_turn(|points| {
        runs.set(runs.get() + 1);
        points.pass(if runs.get() == 1 { "one" } else { "other" }, Kind::Step);
        points.pass("two", Kind::Step);
        Ok(())
    });
    assert_eq!(other.findings.len(), 4, "{other}");
    assert!(
        other.findings.iter().all(|f| matches!(f.saw, Saw::Astray { number: 1, .. })),
        "{other}"
    );
}

#[test]
fn panics_are_findings_and_what_fails_without_a_fault_ends_it() {
    let report = each_in_turn(|points| {
        assert_eq!(points.pass("send", Kind::Send), None, "it can't be lost");
        Ok(())
    });
    assert_eq!(report.findings.len(), 4);
    assert!(
        report.findings.iter().all(|f| matches!(&f.saw, Saw::Panicked(p) if p.contains("be lost")))
    );

    let broken = each_in_turn(|points| {
        points.pass("step", Kind::Step);
        Err("whatever happens".to_string())
    });
    assert_eq!((broken.runs, broken.findings.len()), (1, 1));
    assert!(broken.findings[0].strikes.is_empty(), "{broken}");
    assert!(!each_in_turn(|_| Ok(())).is_clean(), "where no point is passed, nothing was tested");
}

/// Writes twice what it could not write once, and gives up after that: it takes two faults to break it.
fn twice(points: &Points) -> Result<(), String> {
    let write = || points.pass("write", Kind::Write).is_none();
    points.pass("begin", Kind::Step);
    if write() || write() { Ok(()) } else { Err("both failed".to_string()) }
}

#[test]
fn pairs_strike_where_the_first_fault_led() {
    assert!(each_in_turn(twice).is_clean(), "one fault does not break it");
    let report = InTurn::all().and_pairs(1, 40).run(twice);
    // The second write is only passed once the first has failed.
    let found: BTreeSet<_> = report.findings.iter().map(|f| f.plan.to_string()).collect();
    assert!(found.len() > 5, "{report}");
    for finding in &report.findings {
        let numbers: Vec<u64> = finding.strikes.iter().map(|s| s.at.number).collect();
        assert_eq!((numbers, &finding.saw), (vec![2, 3], &Saw::Failed("both failed".to_string())));
    }
    assert!(report.pairs > 20 && report.pairs <= 40);
}

#[test]
fn a_sample_is_bounded_and_the_same_for_a_seed() {
    let plans = |seed, most| {
        let seen = RefCell::new(Vec::new());
        let report = InTurn::sample(seed, most).run(|points| {
            let said = log(points, false);
            seen.borrow_mut().extend(points.passed().into_iter().find(|p| p.fault.is_some()));
            said
        });
        assert!(report.is_clean(), "{report}");
        (seen.into_inner(), report)
    };
    let (one, report): (_, Report) = plans(1, 10);
    assert_eq!((one.len(), report.singles, report.runs, report.possible), (10, 10, 11, 40));
    assert_eq!(one, plans(1, 10).0);
    assert_ne!(one, plans(2, 10).0);
    assert_eq!(plans(1, 1000).1.singles, 40, "never more than there are");
    let crashes = InTurn::all().only(&[Fault::Crash]).run(|points| log(points, false));
    assert_eq!(crashes.singles, 8);
}

#[test]
fn by_name_the_order_may_change_and_what_is_not_reached_is_told_still() {
    let runs = Cell::new(0);
    let shuffled = |points: &Points| {
        runs.set(runs.get() + 1);
        // As threads take turns: now one first, now the other.
        let names = if runs.get() % 2 == 0 { ["one", "two", "two"] } else { ["two", "one", "two"] };
        let struck: Vec<_> = names.map(|name| points.pass(name, Kind::Step)).to_vec();
        if struck[2].is_none() || names[2] == "two" { Ok(()) } else { Err("never".to_string()) }
    };
    let by_number = each_in_turn(shuffled);
    assert!(by_number.findings.iter().any(|f| matches!(f.saw, Saw::Astray { .. })), "{by_number}");
    runs.set(0);
    let by_name = InTurn::all().by_name().and_pairs(3, 5).run(shuffled);
    assert!(by_name.is_clean() && by_name.singles == 6 && by_name.pairs > 0, "{by_name}");
    runs.set(0);
    let fewer = InTurn::all().by_name().run(|points| {
        runs.set(runs.get() + 1);
        (0..if runs.get() == 1 { 2 } else { 1 }).for_each(|_| {
            points.pass("step", Kind::Step);
        });
        Ok(())
    });
    assert_eq!(fewer.findings.len(), 2, "{fewer}");
    assert_eq!(fewer.findings[0].plan.to_string(), "name=step,nth=2,fault=crash");
}
