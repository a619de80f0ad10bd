//! Injects each fault at each step of a start and of saves, on a simulated disk and in real processes that are
//! killed or whose file operations fail. The next start must find the last acknowledged save, or a later one.

use std::env;
use std::io;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

use hollowpaddle_failpoints::disk::{self, Left, Names};
use hollowpaddle_failpoints::{Fault, InTurn, Kind, Passed, Points, Report, VARIABLE};
use hollowpaddle_snapshot::{Directory, Disk, Snapshot, Store};

const NOW: Duration = Duration::from_secs(1_786_000_000);
const DAY: Duration = Duration::from_secs(86_400);
const NAMES: Names = Names {
    write: "snapshot.write",
    sync: "snapshot.sync",
    rename: "snapshot.rename",
    read: "snapshot.read",
    sync_names: "snapshot.sync-names",
};

/// A simulated disk that implements the interface of the store.
struct SimulatedDisk(disk::Disk);

impl Disk for SimulatedDisk {
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        self.0.read(name, max_bytes as usize)
    }
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.write(name, bytes)
    }
    fn sync(&self, name: &str) -> io::Result<()> {
        self.0.sync(name)
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn sync_names(&self) -> io::Result<()> {
        self.0.sync_names()
    }
    fn display_path(&self, name: &str) -> String {
        name.to_string()
    }
}

/// A real directory whose operations pass failpoints.
struct FailingDirectory(Directory, Points);

impl FailingDirectory {
    /// Passes a failpoint. Returns its error, or the fault that makes the operation do only half of its work.
    fn pass(&self, name: &'static str, kind: Kind) -> io::Result<Option<Fault>> {
        let fault = self.1.meet(name, kind);
        match fault.filter(|f| *f != Fault::Short).and_then(Fault::error) {
            Some(error) => Err(error),
            None => Ok(fault),
        }
    }
}

impl Disk for FailingDirectory {
    fn read(&self, name: &str, max_bytes: u64) -> io::Result<Vec<u8>> {
        let fault = self.pass(NAMES.read, Kind::Read)?;
        let mut bytes = self.0.read(name, max_bytes)?;
        if fault.is_some() {
            bytes.truncate(bytes.len() / 2);
        }
        Ok(bytes)
    }
    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let fault = self.pass(NAMES.write, Kind::Write)?;
        self.0.write(name, &bytes[..bytes.len() / 2])?;
        if let Some(error) = fault.and_then(Fault::error) {
            return Err(error);
        }
        self.pass("snapshot.half-written", Kind::Step)?;
        self.0.write(name, bytes)
    }
    fn sync(&self, name: &str) -> io::Result<()> {
        // Only the simulated disk can report a sync that did not happen: the writes of a process survive its end.
        self.pass(NAMES.sync, Kind::Sync).and_then(|_| self.0.sync(name))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.pass(NAMES.rename, Kind::Rename).and_then(|_| self.0.rename(from, to))
    }
    fn sync_names(&self) -> io::Result<()> {
        self.pass(NAMES.sync_names, Kind::SyncNames).and_then(|_| self.0.sync_names())
    }
    fn display_path(&self, name: &str) -> String {
        self.0.display_path(name)
    }
}

fn payload(n: usize) -> Vec<u8> {
    format!("payload {n} ").repeat(100).into_bytes()
}

/// The saves so far, the n-th with payload n: whether each was acknowledged.
#[derive(Default)]
struct Saves(Vec<bool>);

impl Saves {
    fn save(&mut self, store: &mut Store) {
        let result = store.save(NOW, &payload(self.0.len()));
        self.0.push(result.is_ok());
    }

    /// Checks that a start found the last acknowledged save, or a later one. Each damaged file allows the
    /// acknowledged save before that; two damaged files also allow that no snapshot is found.
    fn check(&self, found: Option<&Snapshot>, damaged: usize) -> Result<(), String> {
        let acknowledged = || (0..self.0.len()).rev().filter(|n| self.0[*n]);
        let from = acknowledged().nth(damaged).unwrap_or(0);
        let payload_of = |n: &usize| found.is_some_and(|s| s.payload == payload(*n));
        let is_expected = (from..self.0.len()).any(|n| payload_of(&n));
        if is_expected || found.is_none() && damaged > 1 {
            return Ok(());
        }
        let found_save = (0..self.0.len()).find(payload_of);
        let (last, all) = (acknowledged().next(), self.0.len());
        Err(format!("found the save {found_save:?}; the last acknowledged was {last:?} of {all}"))
    }
}

/// Simulates a start after two saves, two more saves, a crash of the machine, and another start.
fn run_on_simulated_disk(points: &Points, left: Left) -> Result<(), String> {
    let faulty = disk::Disk::with_names(points, NAMES);
    let sound = faulty.passing(&Points::none());
    let start = |disk: &disk::Disk| Store::new(SimulatedDisk(disk.clone()), "n0");
    let mut saves = Saves::default();
    let mut store = start(&sound);
    (0..2).for_each(|_| saves.save(&mut store));

    let mut store = start(&faulty);
    let found = store.load(NOW, DAY);
    // A file that could not be read was set aside; a file whose sync did not happen may be lost.
    let faults_that =
        |what: fn(&Passed) -> bool| points.passed().iter().filter(|p| what(p)).count();
    let unread =
        faults_that(|p| p.kind == Kind::Read && p.fault.is_some_and(|f| f != Fault::Crash));
    if !faulty.has_ended() {
        saves.check(found.snapshot.as_ref(), unread)?;
    }
    (0..2).for_each(|_| saves.save(&mut store));
    let lies = faults_that(|p| p.fault == Some(Fault::Lie));
    faulty.crash(left);

    let mut store = start(&sound);
    let found = store.load(NOW, DAY);
    saves.check(found.snapshot.as_ref(), unread + lies)?;
    if lies == 0 && !found.aside.is_empty() {
        return Err(format!("set aside: {:?}", found.aside));
    }
    // The directory is usable again: the next save is retained, whatever other files are left.
    saves.save(&mut store);
    sound.crash(Left::Synced);
    let found = start(&sound).load(NOW, DAY);
    if saves.0.last() != Some(&true) || lies == 0 && !found.aside.is_empty() {
        return Err(format!("not usable: {:?} set aside", found.aside));
    }
    saves.check(found.snapshot.as_ref(), 0)
}

#[test]
fn fault_at_any_step_leaves_the_last_acknowledged_save_or_a_later_one() {
    let lefts = [Left::All, Left::Synced, Left::Torn].into_iter().chain((1..=5).map(Left::Drawn));
    for left in lefts {
        let report =
            InTurn::all().and_pairs(7, 40).run(|points| run_on_simulated_disk(points, left));
        eprintln!("simulated, {left:?} left: {report}");
        assert!(report.is_clean(), "{left:?} left: {report}");
        // Two reads, and for each save a write, two syncs and two renames.
        assert_eq!(report.points.len(), 12, "{report}");
    }
}

/// Runs a start and two saves in the process that fails. Does nothing in the process of the test itself.
#[test]
fn starts_and_saves() {
    let Ok(place) = env::var(PLACE) else { return };
    let from = env::var(FROM).ok().and_then(|n| n.parse().ok()).expect("the first save's number");
    let points = Points::from_environment().expect("a plan");
    let disk = Directory::open(place).expect("a directory");
    let mut store = Store::new(FailingDirectory(disk, points), "n0");
    store.load(NOW, DAY);
    for n in from..from + 2 {
        let result = store.save(NOW, &payload(n));
        println!("save {n}: {}", if result.is_ok() { "yes" } else { "no" });
    }
}

/// Environment variables for a further process of this test program: the directory, and the number of the first
/// save.
const PLACE: &str = "SNAPSHOT_SAVED_IN";
const FROM: &str = "SNAPSHOT_SAVED_FROM";

/// Runs three processes one after another, the second of them with a fault, and then a start.
fn run_in_processes(points: &Points) -> Result<(), String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let (place, trace) = (dir.path().join("state"), dir.path().join("trace"));
    let mut saves = Saves::default();
    for process in 0..3 {
        let none = Points::none();
        let points = if process == 1 { points } else { &none };
        run_process(points, &place, &trace, &mut saves)?;
    }
    let mut store = Store::new(Directory::open(&place).map_err(|e| e.to_string())?, "n0");
    let found = store.load(NOW, DAY);
    saves.check(found.snapshot.as_ref(), 0)?;
    if found.aside.is_empty() { Ok(()) } else { Err(format!("set aside: {:?}", found.aside)) }
}

fn run_process(
    points: &Points,
    place: &Path,
    trace: &Path,
    saves: &mut Saves,
) -> Result<(), String> {
    let _ = std::fs::remove_file(trace);
    let own = env::current_exe().map_err(|e| e.to_string())?;
    let from = saves.0.len();
    let output = Command::new(own)
        .args(["--exact", "starts_and_saves", "--nocapture"])
        .env(PLACE, place)
        .env(FROM, from.to_string())
        .env(VARIABLE, points.for_process(trace))
        .stderr(Stdio::null())
        .output()
        .map_err(|e| e.to_string())?;
    points.take_in(trace).map_err(|e| e.to_string())?;
    let text = String::from_utf8_lossy(&output.stdout);
    for n in from..from + 2 {
        // A process that was killed may have begun a save that it did not report.
        saves.0.push(text.contains(&format!("save {n}: yes")));
    }
    let killed = points.passed().iter().any(|p| p.fault == Some(Fault::Crash));
    match (output.status.signal(), output.status.success()) {
        (Some(9), _) if killed => Ok(()),
        (None, true) if !killed => Ok(()),
        _ => Err(format!("the process ended unexpectedly: {}, {text}", output.status)),
    }
}

#[test]
fn process_killed_or_refused_at_any_step_leaves_the_last_acknowledged_save_or_a_later_one() {
    let faults = [Fault::Crash, Fault::NoSpace, Fault::Io, Fault::Short];
    let report: Report = InTurn::all().only(&faults).run(run_in_processes);
    eprintln!("in processes: {report}");
    assert!(report.is_clean(), "{report}");
    // The steps of the simulated disk, and one in the middle of each write.
    assert_eq!(report.points.len(), 14, "{report}");
}
