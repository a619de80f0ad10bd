//! `hollowpaddlectl rehearse`: reads a scenario, has it played and judged, and tells what happened.

use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use hollowpaddle_rehearsal::plan::Plan;
use hollowpaddle_rehearsal::process::ProcessLauncher;
use hollowpaddle_rehearsal::record::{CompletedRun, write_trace};
use hollowpaddle_rehearsal::report::Report;
use hollowpaddle_rehearsal::run::{run_plan_live, run_plan_virtual};
use hollowpaddle_rehearsal::scenario::{self, Scenario};
use hollowpaddle_rehearsal::sweep::{self, SweepResult};

use crate::in_process::InProcess;
use crate::output::{create, write_json};
use crate::picture;

/// The scenarios that ship with the daemon.
const SHIPPED: [(&str, &str); 22] = [
    ("calm", include_str!("../../../rehearsals/calm.toml")),
    ("heatwave", include_str!("../../../rehearsals/heatwave.toml")),
    ("delivery-round", include_str!("../../../rehearsals/delivery-round.toml")),
    ("dark-oviedo", include_str!("../../../rehearsals/dark-oviedo.toml")),
    ("cold-morning", include_str!("../../../rehearsals/cold-morning.toml")),
    ("overlap", include_str!("../../../rehearsals/overlap.toml")),
    ("rolling-restart", include_str!("../../../rehearsals/rolling-restart.toml")),
    ("first-seconds", include_str!("../../../rehearsals/first-seconds.toml")),
    ("ten-thousand", include_str!("../../../rehearsals/ten-thousand.toml")),
    ("crowd", include_str!("../../../rehearsals/crowd.toml")),
    ("all-back", include_str!("../../../rehearsals/all-back.toml")),
    ("most-back", include_str!("../../../rehearsals/most-back.toml")),
    ("all-back-empty", include_str!("../../../rehearsals/all-back-empty.toml")),
    ("split-bank", include_str!("../../../rehearsals/split-bank.toml")),
    ("one-way", include_str!("../../../rehearsals/one-way.toml")),
    ("deaf", include_str!("../../../rehearsals/deaf.toml")),
    ("crash-loop", include_str!("../../../rehearsals/crash-loop.toml")),
    ("paused", include_str!("../../../rehearsals/paused.toml")),
    ("clocks", include_str!("../../../rehearsals/clocks.toml")),
    ("rules-cut-off", include_str!("../../../rehearsals/rules-cut-off.toml")),
    ("rules-leader-killed", include_str!("../../../rehearsals/rules-leader-killed.toml")),
    ("rules-rollback", include_str!("../../../rehearsals/rules-rollback.toml")),
];

#[derive(clap::Args)]
pub struct Arguments {
    /// A scenario file, or the name of one that ships: calm, heatwave, delivery-round, dark-oviedo,
    /// cold-morning, overlap, rolling-restart, first-seconds, ten-thousand; of banks that break: crowd, all-back,
    /// most-back, all-back-empty, split-bank, one-way, deaf, crash-loop, paused, clocks; of rules that are changed
    /// meanwhile: rules-cut-off, rules-leader-killed, rules-rollback.
    #[arg(default_value = "heatwave")]
    scenario: String,
    /// What chance is drawn from; the same seed has the same plan.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// In real time, with real processes on loopback sockets (the default).
    #[arg(long, conflicts_with = "virtual_time")]
    live: bool,
    /// In virtual time, the gateway inside this process: minutes take seconds, and the same seed gives the
    /// same run, byte for byte.
    #[arg(long = "virtual")]
    virtual_time: bool,
    /// The command that starts a balancer, read by the shell; told by LB_* as on the platform [default: the
    /// daemon that this program carries].
    #[arg(long, value_name = "CMD", conflicts_with = "virtual_time")]
    balancer: Option<String>,
    /// So many balancers, instead of what the scenario says.
    #[arg(long, value_name = "N", conflicts_with_all = ["sweep", "swept"])]
    balancers: Option<usize>,
    /// So much load, as a share of what the warm fleet can do, instead of what the scenario says.
    #[arg(long, value_name = "SHARE", conflicts_with_all = ["sweep", "swept"])]
    load: Option<f64>,
    /// Play the same day without its faults too, and tell how the bank came through them. Without being asked for
    /// where the scenario strikes balancers, or expects something.
    #[arg(id = "twin", long = "twin", conflicts_with_all = ["sweep", "no_twin"])]
    control_run: bool,
    /// Never do that; nothing is expected then.
    #[arg(long, conflicts_with = "sweep")]
    no_twin: bool,
    /// Draw service over time, with the faults in it, as SVG.
    #[arg(long, value_name = "FILE", conflicts_with_all = ["sweep", "no_twin"])]
    picture: Option<PathBuf>,
    /// Write the report as JSON; `-` for standard output.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write everything that was seen as JSON lines.
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// Keep each balancer's log in this folder.
    #[arg(long, value_name = "DIR", conflicts_with = "virtual_time")]
    logs: Option<PathBuf>,
    /// Instead of a scenario, play so many seeds from --seed on, each with random overlapping faults, in
    /// virtual time.
    #[arg(long, value_name = "N", conflicts_with_all = ["live", "balancer", "trace", "logs"])]
    sweep: Option<u64>,
    /// Instead of a scenario, play the one that a sweep draws from --seed.
    #[arg(long, conflicts_with = "sweep")]
    swept: bool,
    /// With --sweep or --swept: days of banks that break, with every fault there is.
    #[arg(long)]
    fleets: bool,
    /// With --sweep or --swept: days of banks that come back with old state to a fleet that was replaced in part.
    #[arg(long, conflicts_with = "fleets")]
    comebacks: bool,
    /// With --sweep or --swept: days on which operators change a bank's rules while it breaks.
    #[arg(long, conflicts_with_all = ["fleets", "comebacks"])]
    bank: bool,
    /// With --sweep: so many days at a time [default: as many as there are processors].
    #[arg(long, value_name = "N", requires = "sweep")]
    threads: Option<std::num::NonZeroUsize>,
}

const BROKEN: u8 = 1;
const BAD: u8 = 2;

pub fn run(arguments: &Arguments) -> ExitCode {
    let done = match arguments.sweep {
        Some(count) => swept(arguments, count),
        None => one(arguments),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(message) => {
            eprintln!("hollowpaddlectl: {message}");
            ExitCode::from(BAD)
        }
    }
}

fn read(name: &str) -> Result<Scenario, String> {
    let shipped = SHIPPED.iter().find(|(n, _)| *n == name);
    let text = match shipped {
        Some((_, text)) => text.to_string(),
        None => std::fs::read_to_string(name).map_err(|e| {
            let names: Vec<&str> = SHIPPED.iter().map(|(n, _)| *n).collect();
            format!("{name}: {e}; expected a scenario file or one of {}", names.join(", "))
        })?,
    };
    let file = shipped.map_or(name.to_string(), |(n, _)| format!("rehearsals/{n}.toml"));
    Scenario::read(&file, &text).map_err(|problems| problems.to_string())
}

/// What is to be played, with what was said of it on the command line.
fn asked_for(arguments: &Arguments) -> Result<Scenario, String> {
    if arguments.swept {
        return Ok(drawn(arguments)(arguments.seed));
    }
    let mut scenario = read(&arguments.scenario)?;
    if let Some(count) = arguments.balancers {
        if count == 0 || count > scenario::MAX_BALANCERS as usize {
            let most = scenario::MAX_BALANCERS;
            return Err(format!("--balancers {count}: expected a number from 1 to {most}"));
        }
        let beyond = |f: &scenario::Fault| {
            let named = f.kind.targets_balancers().then_some(f.selection.places.as_ref()).flatten();
            named.is_some_and(|all| all.iter().any(|b| *b >= count))
        };
        if let Some(f) = scenario.faults.iter().find(|f| beyond(f)) {
            return Err(format!(
                "--balancers {count}: the fault in line {} of {} names one beyond that; expected at least as many as \
                 it names",
                f.line, arguments.scenario
            ));
        }
        scenario.cluster.count = count;
    }
    if let Some(load) = arguments.load {
        if scenario.load.closed.is_some() || !(load > 0.0 && load <= 100.0) {
            return Err(format!(
                "--load {load}: expected a share above 0, of a scenario with an open load"
            ));
        }
        scenario.load.of_capacity = load;
    }
    Ok(scenario)
}

/// How a sweep draws its days.
fn drawn(arguments: &Arguments) -> fn(u64) -> Scenario {
    match (arguments.fleets, arguments.comebacks, arguments.bank) {
        (true, ..) => sweep::cluster_scenario,
        (_, true, _) => sweep::recovery_scenario,
        (.., true) => sweep::policy_change_scenario,
        _ => sweep::scenario,
    }
}

/// Whether the twin is to be played.
fn wants_twin(arguments: &Arguments, scenario: &Scenario) -> bool {
    let breaks = scenario.faults.iter().any(|f| f.kind.targets_balancers());
    let asked = arguments.control_run || arguments.picture.is_some();
    !arguments.no_twin && (asked || breaks || scenario.expect != scenario::Expect::default())
}

fn one(arguments: &Arguments) -> Result<bool, String> {
    let scenario = asked_for(arguments)?;
    let from = Instant::now();
    let plan = Plan::generate(&scenario, arguments.seed);
    let twin_plan = wants_twin(arguments, &scenario).then(|| plan.control_run());
    let in_virtual_time = arguments.virtual_time || arguments.swept && !arguments.live;
    let (played, control_run) = if in_virtual_time {
        let play = |plan| run_plan_virtual(&scenario, plan, Rc::new(InProcess));
        std::thread::scope(|scope| {
            let control_run = twin_plan.map(|plan| scope.spawn(|| play(plan)));
            let played = play(plan).map_err(|e| e.to_string())?;
            let ended = |_| "the run without faults ended in a panic".to_string();
            let control_run =
                control_run.map(|t| t.join().map_err(ended)?.map_err(|e| e.to_string()));
            Ok::<_, String>((played, control_run.transpose()?))
        })?
    } else {
        // One after the other: they would take each other's processors.
        let played = live(arguments, &scenario, plan, "")?;
        let control_run =
            twin_plan.map(|plan| live(arguments, &scenario, plan, "without faults: "));
        (played, control_run.transpose()?)
    };
    let report = match &control_run {
        Some(control_run) => Report::with_control(&played, control_run),
        None => Report::of(&played),
    };
    keep(arguments, &played, &report)?;
    if arguments.json.as_deref() != Some(Path::new("-")) {
        print!("{}", report.text());
        println!("played in {:.1} s", from.elapsed().as_secs_f64());
    }
    Ok(report.is_clean() && report.policy_is_clean() && report.missed_expectations().is_empty())
}

/// Plays a plan with real processes, and says how far it is.
fn live(
    arguments: &Arguments,
    scenario: &Scenario,
    plan: Plan,
    which: &'static str,
) -> Result<CompletedRun, String> {
    let command = match &arguments.balancer {
        Some(command) => command.clone(),
        None => own_daemon()?,
    };
    let launcher =
        ProcessLauncher::new(&command, arguments.logs.as_deref().filter(|_| which.is_empty()))
            .map_err(|e| format!("a folder for configurations or logs: {e}"))?;
    let shows = std::io::stderr().is_terminal();
    let played = run_plan_live(scenario, plan, Rc::new(launcher), move |p| {
        if shows {
            let (at, of) = (p.elapsed.as_secs_f64(), p.length.as_secs_f64());
            eprint!("\r\x1b[K{which}{at:.0} of {of:.0} s, {} requests open", p.open);
        }
    });
    if shows {
        eprint!("\r\x1b[K");
    }
    played.map_err(|e| e.to_string())
}

/// The daemon that this very program carries: no other build can slip in.
fn own_daemon() -> Result<String, String> {
    let own = std::env::current_exe().map_err(|e| format!("where this program lies: {e}"))?;
    Ok(format!("'{}' daemon", own.display().to_string().replace('\'', "'\\''")))
}

fn keep(arguments: &Arguments, played: &CompletedRun, report: &Report) -> Result<(), String> {
    if let Some(path) = &arguments.trace {
        let mut out = create(path)?;
        let written = write_trace(&played.trace, &mut out).and_then(|()| out.flush());
        written.map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if let Some(path) = &arguments.json {
        write_json(path, report)?;
    }
    if let (Some(path), Some(account)) = (&arguments.picture, &report.recovery) {
        let svg = picture::svg(report, account).map_err(|e| e.to_string())?;
        let mut out = create(path)?;
        let written = out.write_all(svg.as_bytes()).and_then(|()| out.flush());
        written.map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn swept(arguments: &Arguments, count: u64) -> Result<bool, String> {
    let shows = std::io::stderr().is_terminal();
    let (from, mut done, mut simulated) = (Instant::now(), 0, 0.0);
    let (mut broken, mut failed) = (Vec::new(), Vec::new());
    let seeds = arguments.seed..arguments.seed.saturating_add(count);
    let launcher = || Rc::new(InProcess) as Rc<dyn hollowpaddle_rehearsal::cluster::Launcher>;
    let mut rules = Rules::default();
    sweep::sweep(
        seeds,
        drawn(arguments),
        arguments.threads,
        launcher,
        |SweepResult { seed, report }| {
            done += 1;
            match report {
                Ok(report) => {
                    simulated += report.length_s;
                    rules.add(&report);
                    if !report.is_clean() || !report.policy_is_clean() {
                        broken.push(report);
                    }
                }
                Err(error) => failed.push((seed, error.to_string())),
            }
            if shows {
                eprint!("\r\x1b[K{done} of {count} seeds, {} break a rule", broken.len());
            }
        },
    );
    if shows {
        eprint!("\r\x1b[K");
    }
    broken.sort_by_key(|r| r.seed);
    failed.sort();
    for report in &broken {
        let kinds = report.violations.iter().map(|(n, c)| format!("{n} {c}"));
        let promises = report.policy.iter().flat_map(|b| b.broken.iter().cloned());
        let all: Vec<String> = kinds.chain(promises).collect();
        println!("seed {}: {}", report.seed, all.join(", "));
    }
    for (seed, error) in &failed {
        println!("seed {seed}: could not be played: {error}");
    }
    let wall = from.elapsed().as_secs_f64();
    println!(
        "{done} seeds, {} break a rule; {simulated:.0} s simulated in {wall:.1} s ({:.2} s a minute)",
        broken.len(),
        wall * 60.0 / f64::max(simulated, 1e-9)
    );
    rules.tell();
    if let Some(path) = &arguments.json {
        write_json(path, &broken)?;
    }
    if !failed.is_empty() {
        return Err(format!("{} seeds could not be played", failed.len()));
    }
    Ok(broken.is_empty())
}

/// What the days of a sweep came to for the rule book, together.
#[derive(Default)]
struct Rules {
    days: usize,
    changes: usize,
    refused: usize,
    unanswered: usize,
    sends: u64,
    contradicting: u64,
    /// The longest contradiction and its seed, and the same of the time until a change was in force everywhere.
    longest: (f64, u64),
    slowest: (f64, u64),
}

impl Rules {
    fn add(&mut self, report: &Report) {
        let Some(bank) = &report.policy else { return };
        self.days += 1;
        self.changes += bank.changes;
        self.refused += bank.refused;
        self.unanswered += bank.unanswered;
        self.sends += bank.sends;
        self.contradicting += bank.contradicting;
        let longer = |known: &mut (f64, u64), found: f64| {
            if found > known.0 {
                *known = (found, report.seed);
            }
        };
        longer(&mut self.longest, bank.contradiction_s);
        longer(&mut self.slowest, bank.in_force_s.at_all);
    }

    fn tell(&self) {
        if self.days == 0 {
            return;
        }
        println!(
            "{} days with acts on the rule book: {} changes, {} refused, {} unanswered; {} of {} sends to what a revision \
             forbids contradict, the longest for {:.3} s (seed {}); from yes to in force {:.3} s at most (seed {})",
            self.days,
            self.changes,
            self.refused,
            self.unanswered,
            self.contradicting,
            self.sends,
            self.longest.0,
            self.longest.1,
            self.slowest.0,
            self.slowest.1
        );
    }
}
