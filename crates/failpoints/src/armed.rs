//! Points that count and fail by a plan, in one process or, played, in many.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::plan::{Lasts, PlanError, Settings, VARIABLE};
use crate::trace::{TraceError, line, read_trace};
use crate::{Fault, Kind, Plan};

/// So many passed points of a played run are kept; the rest is counted, and struck, all the same. Without a
/// bound a scenario that never ends would take the machine's memory before anybody looks.
pub const MOST_PASSED: usize = 1_000_000;

/// A point that was passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Passed {
    /// Counted from 1, over all processes of a run.
    pub number: u64,
    /// Which process passed it.
    pub whose: u32,
    /// What it is called.
    pub name: &'static str,
    /// What kind of step it is.
    pub kind: Kind,
    /// What happened there.
    pub fault: Option<Fault>,
}

impl Passed {
    /// Whether it is the same point of another run, whatever happened there.
    pub(crate) fn is(&self, other: &Self) -> bool {
        (self.number, self.whose, self.name, self.kind)
            == (other.number, other.whose, other.name, other.kind)
    }
}

#[derive(Debug, Default)]
struct Run {
    settings: Settings,
    count: u64,
    struck: usize,
    /// How many of each name.
    by_name: BTreeMap<&'static str, u64>,
    passed: Vec<Passed>,
    /// Whether they are kept: a real process has its trace.
    keeps: bool,
    trace: Option<File>,
}

impl Run {
    /// What goes wrong at the point that is passed next, if such a step can have it.
    fn next_fault(&mut self, name: &str, nth: u64, kind: Kind) -> Option<Fault> {
        let plan = &mut self.settings.plan;
        let possible = |fault: &Fault| kind.faults().contains(fault);
        if let Some(fault) = plan.numbers.get(&self.count).copied().filter(possible) {
            return Some(fault);
        }
        plan.named.retain(|one| {
            let is_due = one.name == name && nth >= one.from;
            !(is_due && matches!(&one.lasts, Lasts::UntilThere(path) if path.exists()))
        });
        let strikes = |one: &&crate::plan::Named| {
            one.name == name && (nth == one.from || nth > one.from && one.lasts != Lasts::Once)
        };
        plan.named.iter().filter(strikes).map(|one| one.fault).find(possible)
    }

    fn note(&mut self, passed: Passed) {
        self.struck += usize::from(passed.fault.is_some());
        if let Some(file) = &mut self.trace
            && let Err(cause) = file.write_all(line(&passed).as_bytes())
        {
            // Whoever reads it finds it too short; here it can only be said.
            eprintln!("{VARIABLE}: the trace ends at point {}: {cause}", passed.number);
            self.trace = None;
        }
        if self.keeps && self.passed.len() < MOST_PASSED {
            self.passed.push(passed);
        }
    }
}

/// The points of one run. Clones count together.
#[derive(Clone, Debug, Default)]
pub struct Points {
    run: Option<Arc<Mutex<Run>>>,
    whose: u32,
}

impl Points {
    /// No points: nothing is counted, and nothing fails.
    pub fn none() -> Self {
        Self::default()
    }

    /// Points that fail by this plan.
    pub fn armed(plan: Plan) -> Self {
        Self::with(Run {
            settings: Settings { plan, ..Settings::default() },
            keeps: true,
            ..Run::default()
        })
    }

    fn with(run: Run) -> Self {
        Self { run: Some(Arc::new(Mutex::new(run))), whose: 0 }
    }

    /// The points of a real process, as [`VARIABLE`] says; none where it says nothing.
    ///
    /// # Errors
    /// It can't be understood, or the trace can't be opened. A process that went on would run a test that
    /// tests nothing.
    pub fn from_environment() -> Result<Self, PlanError> {
        let Some(said) = std::env::var_os(VARIABLE) else { return Ok(Self::none()) };
        let settings: Settings = said.to_str().ok_or(PlanError::NotText)?.parse()?;
        let trace = match &settings.trace {
            Some(path) => {
                let open = OpenOptions::new().create(true).append(true).open(path);
                let path = path.display().to_string();
                Some(open.map_err(|e| PlanError::Trace { path, cause: e.to_string() })?)
            }
            None => None,
        };
        Ok(Self::with(Run { settings, trace, ..Run::default() }))
    }

    /// The same, for another process of the run: it counts on with the others.
    #[must_use]
    pub fn of(&self, whose: u32) -> Self {
        Self { run: self.run.clone(), whose }
    }

    /// Passes one: what goes wrong there, if anything does. A fault that such a step can't have is none.
    pub fn pass(&self, name: &'static str, kind: Kind) -> Option<Fault> {
        let mut run = lock(self.run.as_ref()?);
        run.count += 1;
        let nth = run.by_name.entry(name).or_default();
        *nth += 1;
        let nth = *nth;
        let fault = run.next_fault(name, nth, kind);
        let passed = Passed { number: run.count, whose: self.whose, name, kind, fault };
        run.note(passed);
        fault
    }

    /// Passes one in a real process, and carries out what any process does alike: what is left is for the
    /// caller.
    pub fn meet(&self, name: &'static str, kind: Kind) -> Option<Fault> {
        self.pass(name, kind).and_then(|fault| self.carry_out(fault))
    }

    /// Carries out, in a real process, what any process does alike. [`Fault::Crash`] ends it by SIGKILL:
    /// nothing is flushed, nothing dropped, and an end of its own (a panic, an abort) can't be taken for it.
    /// [`Fault::Pause`] stops all of its threads, for as long as the settings say. All others are given back.
    pub fn carry_out(&self, fault: Fault) -> Option<Fault> {
        match fault {
            Fault::Crash => {
                let _ = rustix::process::kill_process(
                    rustix::process::getpid(),
                    rustix::process::Signal::KILL,
                );
                // Only where the signal is not allowed to be sent.
                std::process::abort()
            }
            Fault::Pause => {
                let pause =
                    self.run.as_ref().map_or(Duration::ZERO, |run| lock(run).settings.pause);
                stand_still(pause);
                None
            }
            other => Some(other),
        }
    }

    /// Ends the faults by name that last until healed.
    pub fn heal(&self) {
        if let Some(run) = &self.run {
            lock(run).settings.plan.named.retain(|one| one.lasts != Lasts::UntilHealed);
        }
    }

    /// How many were passed so far.
    pub fn count(&self) -> u64 {
        self.run.as_ref().map_or(0, |run| lock(run).count)
    }

    /// How many of them something went wrong at. A test that planned a fault and finds 0 has tested nothing.
    pub fn struck(&self) -> usize {
        self.run.as_ref().map_or(0, |run| lock(run).struck)
    }

    /// All that were passed so far, in their order; the first [`MOST_PASSED`] of them, and none in a real
    /// process: that has its trace.
    pub fn passed(&self) -> Vec<Passed> {
        self.run.as_ref().map_or_else(Vec::new, |run| lock(run).passed.clone())
    }

    /// What [`VARIABLE`] has to say to a process that is started now, so that it goes on with this run: its
    /// first point is the next one. Once it has ended, [`Points::take_in`] counts what it passed. One such
    /// process at a time: two would both begin at the same number. The path may hold neither `,` nor `;`.
    pub fn for_process(&self, trace: &Path) -> String {
        let run = self.run.as_ref().map(|run| lock(run));
        let settings = run.as_ref().map_or_else(Settings::default, |run| run.settings.clone());
        let count = run.as_ref().map_or(0, |run| run.count);
        let by_name =
            |name: &str| run.as_ref().and_then(|r| r.by_name.get(name).copied()).unwrap_or(0);
        let plan = settings.plan.shifted(count, by_name).to_string();
        let pause = settings.pause.as_millis();
        let plan = if plan.is_empty() { plan } else { format!(";{plan}") };
        format!("trace={};pause_ms={pause}{plan}", trace.display())
    }

    /// Counts what a process passed that was started with [`Points::for_process`] and has ended: how many.
    ///
    /// # Errors
    /// Its trace can't be read; nothing is counted then.
    pub fn take_in(&self, trace: &Path) -> Result<u64, TraceError> {
        let all = read_trace(trace)?;
        let so_many = all.len() as u64;
        if let Some(run) = &self.run {
            let mut run = lock(run);
            for passed in all {
                run.count += 1;
                *run.by_name.entry(passed.name).or_default() += 1;
                let (number, whose) = (run.count, self.whose);
                run.note(Passed { number, whose, ..passed });
            }
        }
        Ok(so_many)
    }
}

/// Stops the whole process and has it go on later. A child sends both signals: one that stops itself could
/// not go on, and one that was waked before it had stopped would stand still for ever.
fn stand_still(pause: Duration) {
    let script = r#"kill -STOP "$1" && sleep "$0"; kill -CONT "$1""#;
    let (seconds, own) = (format!("{:.3}", pause.as_secs_f64()), std::process::id().to_string());
    let mut child = Command::new("sh");
    // It outlives a process that is killed meanwhile, and must not hold that one's pipes open.
    child.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
    let child = child.args(["-c", script, &seconds, &own]).status();
    if !child.is_ok_and(|status| status.success()) {
        // No shell here: this thread at least.
        thread::sleep(pause);
    }
}

/// A panic elsewhere leaves a count that is as sound as before.
fn lock(run: &Arc<Mutex<Run>>) -> MutexGuard<'_, Run> {
    run.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn points_are_numbered_over_all_and_fail_where_the_plan_says_so() {
        let points = Points::armed(Plan::one(2, Fault::NoSpace).and(3, Fault::NoSpace));
        let other = points.of(7);
        assert_eq!(points.pass("write", Kind::Write), None);
        assert_eq!(other.pass("write", Kind::Write), Some(Fault::NoSpace));
        assert_eq!(points.pass("send", Kind::Send), None, "no disk is full under a datagram");
        let passed: Vec<(u64, u32, &str)> =
            points.passed().iter().map(|p| (p.number, p.whose, p.name)).collect();
        assert_eq!(passed, [(1, 0, "write"), (2, 7, "write"), (3, 0, "send")]);
        assert_eq!(Points::none().pass("write", Kind::Write), None);
    }

    #[test]
    fn by_name_once_and_from_one_on_until_it_is_healed() {
        let full = Plan::counting().from("write", 2, Lasts::UntilHealed, Fault::NoSpace);
        let points = Points::armed(full.at("sync", 2, Fault::Lie));
        let pass = |name, kind| points.pass(name, kind);
        let writes: Vec<_> = (0..4).map(|_| pass("write", Kind::Write)).collect();
        let no = Some(Fault::NoSpace);
        assert_eq!(writes, [None, no, no, no]);
        let syncs: Vec<_> = (0..3).map(|_| pass("sync", Kind::Sync)).collect();
        assert_eq!(syncs, [None, Some(Fault::Lie), None]);
        points.heal();
        assert_eq!(pass("write", Kind::Write), None);
        assert_eq!((points.count(), points.struck()), (8, 4));
    }

    #[test]
    fn a_process_that_is_started_in_between_is_told_what_is_left() {
        let plan = Plan::one(2, Fault::Crash).and(9, Fault::Crash).at("sync", 1, Fault::Lie);
        let points = Points::armed(plan.from("write", 2, Lasts::UntilHealed, Fault::Io));
        for _ in 0..3 {
            points.pass("write", Kind::Write);
        }
        points.pass("sync", Kind::Sync);
        let said = points.for_process(Path::new("/t"));
        let left = "number=5,fault=crash;name=write,from=1,fault=io";
        assert_eq!(said, format!("trace=/t;pause_ms=2500;{left}"));
        let settings: Settings = said.parse().expect("its own words");
        assert_eq!(settings.plan.to_string(), left);
    }
}
