//! The played disk: what survives the machine's end, against what a careless one would give back.

use std::collections::BTreeMap;

use hollowpaddle_failpoints::disk::{Disk, Left};
use hollowpaddle_failpoints::{Fault, Kind, Plan, Points};
use proptest::prelude::*;

fn read(disk: &Disk, name: &str) -> Option<String> {
    disk.read(name, 1 << 20).ok().map(|b| String::from_utf8_lossy(&b).into_owned())
}

/// A file that is kept, name and all.
fn kept(points: &Points, name: &str, text: &str) -> Disk {
    let disk = Disk::new(points);
    disk.write(name, text.as_bytes()).expect("room");
    disk.sync(name).expect("there");
    disk.sync_names().expect("there");
    disk
}

#[test]
fn only_what_was_synced_is_kept_of_bytes_and_of_names() {
    let left = |how| {
        let disk = kept(&Points::none(), "a", "one");
        disk.append("a", b" two").expect("room");
        disk.write("b", b"new").expect("room");
        disk.sync("b").expect("there");
        disk.crash(how);
        (read(&disk, "a"), read(&disk, "b"))
    };
    let some = |s: &str| Some(s.to_string());
    assert_eq!(left(Left::All), (some("one two"), some("new")));
    assert_eq!(left(Left::Synced), (some("one"), None), "b's name was not");
    assert_eq!(left(Left::Torn), (some("one t"), some("new")), "half of what was not synced");
}

#[test]
fn a_rename_is_kept_once_names_are_synced() {
    for synced in [false, true] {
        let disk = kept(&Points::none(), "now", "old");
        disk.write("next", b"new").expect("room");
        disk.sync("next").expect("there");
        disk.rename("next", "now").expect("there");
        assert_eq!(read(&disk, "now").as_deref(), Some("new"));
        if synced {
            disk.sync_names().expect("there");
        }
        disk.crash(Left::Synced);
        assert_eq!(read(&disk, "now").as_deref(), Some(if synced { "new" } else { "old" }));
        assert_eq!(disk.names(), ["now"]);
    }
}

#[test]
fn a_lie_keeps_nothing_until_an_honest_sync() {
    for honest in [false, true] {
        let points = Points::armed(Plan::counting().at("disk.sync", 2, Fault::Lie));
        let disk = kept(&points, "a", "one");
        disk.append("a", b" two").expect("room");
        disk.sync("a").expect("so it says");
        if honest {
            disk.sync("a").expect("there");
        }
        disk.crash(Left::Synced);
        assert_eq!(read(&disk, "a").as_deref(), Some(if honest { "one two" } else { "one" }));
        assert_eq!(points.struck(), 1);
    }
}

#[test]
fn a_sync_that_failed_has_lost_what_the_next_one_says_yes_to() {
    let points = Points::armed(Plan::counting().at("disk.sync", 2, Fault::Io));
    let disk = kept(&points, "a", "one");
    disk.append("a", b" two").expect("room");
    assert_eq!(disk.sync("a").expect_err("EIO").raw_os_error(), Some(5));
    disk.append("a", b" three").expect("room");
    disk.sync("a").expect("there");
    assert_eq!(read(&disk, "a").as_deref(), Some("one two three"), "as the process reads it");
    disk.crash(Left::Synced);
    assert_eq!(read(&disk, "a").as_deref(), Some("one\0\0\0\0 three"));
}

#[test]
fn written_again_it_is_kept_after_a_sync_that_failed() {
    let points = Points::armed(Plan::counting().at("disk.sync", 2, Fault::NoSpace));
    let disk = kept(&points, "a", "one");
    disk.append("a", b" two").expect("room");
    disk.sync("a").expect_err("full");
    disk.truncate("a", 3).expect("there");
    disk.append("a", b" two").expect("room");
    disk.sync("a").expect("there");
    disk.crash(Left::Synced);
    assert_eq!(read(&disk, "a").as_deref(), Some("one two"));
}

#[test]
fn faults_of_writes_and_reads_do_what_they_say() {
    let at = |nth, fault| Plan::counting().at("disk.write", nth, fault);
    let short = kept(&Points::armed(at(2, Fault::Short)), "a", "one");
    assert_eq!(short.append("a", b"half").expect_err("short").raw_os_error(), Some(28));
    assert_eq!(read(&short, "a").as_deref(), Some("oneha"));
    let none = kept(&Points::armed(at(2, Fault::NoSpace)), "a", "one");
    assert_eq!(none.write("a", b"other").expect_err("full").raw_os_error(), Some(28));
    assert_eq!(read(&none, "a").as_deref(), Some("one"), "nothing of it is done");
    let torn = Points::armed(Plan::counting().at("disk.read", 1, Fault::Short));
    let torn = kept(&torn, "a", "four");
    assert_eq!(read(&torn, "a").as_deref(), Some("fo"));
}

#[test]
fn after_the_end_nothing_is_done_until_another_process_begins() {
    let points = Points::armed(Plan::counting().at("disk.write", 2, Fault::Crash));
    let disk = kept(&points, "a", "one");
    assert!(disk.append("a", b" two").is_err() && disk.has_ended());
    let passed = points.count();
    assert!(
        disk.read("a", 9).is_err() && disk.sync("a").is_err() && disk.rename("a", "b").is_err()
    );
    assert_eq!(points.count(), passed, "a process that has ended passes nothing");
    disk.crash(Left::All);
    assert_eq!(read(&disk, "a").as_deref(), Some("one"), "it ended before the step");
}

#[test]
fn a_full_disk_takes_what_fits_until_there_is_room() {
    let disk = kept(&Points::none(), "a", "one");
    disk.set_room(Some(5));
    assert_eq!(disk.append("a", b" two").expect_err("full").raw_os_error(), Some(28));
    assert_eq!(read(&disk, "a").as_deref(), Some("one t"));
    disk.write("a", b"other").expect("what was there gives room");
    disk.set_room(None);
    disk.append("a", b" more").expect("room");
    assert_eq!(disk.length("a"), Some(10));
}

proptest! {
    /// Whatever is done to logs that only grow, after whatever end: at least what was synced is there, and
    /// nothing that was not written. The model is three numbers a file.
    #[test]
    fn a_log_is_kept_as_far_as_it_was_synced_and_no_further_than_written(
        steps in prop::collection::vec((0..4_u8, 0..3_usize, 1..9_usize), 1..60),
        seed: u64,
        how in 0..4_u8,
    ) {
        let disk = Disk::new(&Points::none());
        // By file: written, synced, and whether its name is.
        let mut model = BTreeMap::<usize, (usize, usize, bool)>::new();
        let text: Vec<u8> = (0..=255).cycle().take(600).collect();
        for (what, file, many) in steps {
            let name = format!("f{file}");
            match what {
                0 | 1 => {
                    let (written, ..) = model.entry(file).or_default();
                    disk.append(&name, &text[*written..*written + many]).expect("room");
                    *written += many;
                }
                2 => {
                    prop_assert_eq!(disk.sync(&name).is_ok(), model.contains_key(&file));
                    model.entry(file).and_modify(|(written, synced, _)| *synced = *written);
                }
                _ => {
                    disk.sync_names().expect("there");
                    model.values_mut().for_each(|(.., named)| *named = true);
                }
            }
        }
        let left = [Left::All, Left::Synced, Left::Torn, Left::Drawn(seed)][usize::from(how)];
        disk.crash(left);
        for (file, (written, synced, named)) in &model {
            let found = disk.read(&format!("f{file}"), 600).ok();
            prop_assert!(found.is_some() || !named && how != 0, "{file} is gone");
            let Some(found) = found else { continue };
            prop_assert!(found.len() >= *synced && found[..] == text[..found.len()]);
            let most = if how == 1 { *synced } else { *written };
            prop_assert!(found.len() <= most);
        }
        prop_assert!(disk.names().len() <= model.len());
    }
}

#[test]
fn the_names_of_points_are_the_owners() {
    let points = Points::armed(Plan::counting());
    let names = hollowpaddle_failpoints::disk::Names { sync: "council.sync", ..Default::default() };
    let disk = Disk::with_names(&points, names);
    disk.write("a", b"x").expect("room");
    disk.sync("a").expect("there");
    let passed: Vec<_> = points.passed().iter().map(|p| (p.name, p.kind)).collect();
    assert_eq!(passed, [("disk.write", Kind::Write), ("council.sync", Kind::Sync)]);
}
