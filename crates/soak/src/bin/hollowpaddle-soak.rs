//! Runs the soak test over many seeds: `hollowpaddle-soak DAEMON FIRST-SEED SEEDS [SECONDS [AT-ONCE]]`.
//! Logs are written under `$TMPDIR/hollowpaddle-soak`. The exit status is 1 if a rule was violated.
#![forbid(unsafe_code)]

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use hollowpaddle_soak::checker::Violation;
use hollowpaddle_soak::{Options, Report, SoakError, run};

/// Number of violations of each kind that are printed in full for each run.
const MAX_PRINTED: usize = 2;
/// Shortest delay of the unsolicited bytes of upstreams, in milliseconds.
const MIN_STRAY_DELAY_MS: u64 = 4;
/// Number of different delays, in steps of a millisecond.
const STRAY_DELAYS: u64 = 9;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, default: u64| match arguments.get(at) {
        None => Some(default),
        Some(text) => text.parse::<u64>().ok(),
    };
    let (Some(daemon), Some(first), Some(seeds), Some(seconds), Some(at_once)) =
        (arguments.first(), number(1, 1), number(2, 1), number(3, 15), number(4, 4))
    else {
        eprintln!("usage: hollowpaddle-soak DAEMON [FIRST-SEED [SEEDS [SECONDS [AT-ONCE]]]]");
        return ExitCode::FAILURE;
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("hollowpaddle-soak: {cause}");
            return ExitCode::FAILURE;
        }
    };
    let options = Options {
        daemon: daemon.into(),
        directory: std::env::temp_dir().join("hollowpaddle-soak"),
        seed: first,
        duration: Duration::from_secs(seconds),
        balancers: 4,
        upstreams: 6,
        clients: 10,
        stray_after: Duration::ZERO,
    };
    match runtime.block_on(run_all(options, seeds, at_once as usize)) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(cause) => {
            eprintln!("hollowpaddle-soak: {cause}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the delay of the unsolicited bytes of upstreams in the run of a seed. Even with the timer delays of a busy
/// machine, the delay stays under the 20 ms for which the daemon does not reuse a connection after a response.
fn stray_delay(seed: u64) -> Duration {
    Duration::from_millis(MIN_STRAY_DELAY_MS + seed % STRAY_DELAYS)
}

/// Runs consecutive seeds, `at_once` of them concurrently. Returns the number of runs in which a rule was violated.
async fn run_all(options: Options, seeds: u64, at_once: usize) -> Result<usize, SoakError> {
    let all: Vec<u64> = (options.seed..options.seed + seeds).collect();
    let mut violated_runs = 0;
    for batch in all.chunks(at_once.max(1)) {
        let mut runs = Vec::new();
        for seed in batch.iter().copied() {
            let directory = options.directory.join(format!("seed-{seed}"));
            let _ = std::fs::remove_dir_all(&directory);
            let stray_after = stray_delay(seed);
            let options = Options { seed, directory, stray_after, ..options.clone() };
            runs.push(tokio::spawn(async move { run(&options).await }));
        }
        for task in runs {
            let report = task.await.map_err(std::io::Error::other)??;
            print(&report);
            violated_runs += usize::from(!report.violations.is_empty());
        }
    }
    Ok(violated_runs)
}

fn print(report: &Report) {
    let Report { seed, requests, served, unserved, attempts, processes, lag, violations } = report;
    let verdict = match (violations.len(), report.is_valid()) {
        (0, true) => "no rule violated".to_string(),
        (0, false) => "invalid: the machine was too busy".to_string(),
        (n, _) => format!("{n} violations"),
    };
    println!(
        "seed {seed}: {requests} requests, {served} served, {unserved} not, {attempts} attempts, \
         {processes} processes, lag {lag:?}: {verdict}"
    );
    let mut kinds: BTreeMap<&str, Vec<&Violation>> = BTreeMap::new();
    for violation in violations {
        kinds.entry(violation.kind).or_default().push(violation);
    }
    for (kind, violations) in kinds {
        println!("  {} times: {kind}", violations.len());
        violations.iter().take(MAX_PRINTED).for_each(|violation| println!("    {violation}"));
    }
}
