//! Runs hollow balancers before a stand-in fleet, and prints the figures as one JSON line.
#![forbid(unsafe_code)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use hollowpaddle_scale_harness::cluster::{HarnessError, Options};
use hollowpaddle_scale_harness::fleet::{Fleet, SubsetConfig};
use hollowpaddle_scale_harness::processes::play_real;
use hollowpaddle_scale_harness::runs::Run;
use serde::Serialize;
use tokio::task::LocalSet;

/// Bytes in a megabyte as the memory limit counts them.
const MEBIBYTE: u64 = 1 << 20;

/// Runs many balancers without client traffic in one process, over loopback.
#[derive(Parser)]
struct CommandLine {
    #[command(subcommand)]
    run: RunCommand,
}

#[derive(Subcommand)]
enum RunCommand {
    /// Nothing happens.
    Rest(Common),
    /// Upstreams drain and come back.
    Changes {
        #[command(flatten)]
        common: Common,
        /// Changes a second.
        #[arg(long, default_value_t = 1.0)]
        rate: f64,
    },
    /// Upstreams restart, with three list changes each.
    Restarts {
        #[command(flatten)]
        common: Common,
        /// Seconds from one restart to the next; 7 in the planned deployment.
        #[arg(long, default_value_t = 7.0)]
        every: f64,
    },
    /// A rack and a zone are lost and back.
    Zone(Common),
    /// All balancers are started anew at once.
    RestartAll(Common),
    /// Real processes of the daemon, for comparison.
    Real {
        #[command(flatten)]
        common: Common,
        /// The daemon's program.
        #[arg(long)]
        daemon: PathBuf,
        /// Changes a second; none where this is not given.
        #[arg(long)]
        rate: Option<f64>,
    },
}

#[derive(Args, Clone, Copy)]
struct Common {
    /// Hollow balancers.
    #[arg(long, default_value_t = 25)]
    balancers: usize,
    /// Upstreams in the list.
    #[arg(long, default_value_t = 2_000)]
    upstreams: usize,
    /// Services; by default one for every 30 upstreams, as in the planned deployment.
    #[arg(long)]
    services: Option<usize>,
    /// Seconds to measure.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Threads that hold the balancers.
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// For all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Each balancer keeps so many times its even part of the fleet, and not all of it.
    #[arg(long)]
    subset: Option<f64>,
    /// Upstreams of each zone that a subset has at least.
    #[arg(long, default_value_t = 64)]
    subset_least: usize,
    /// Balancers talk to each other by datagrams.
    #[arg(long)]
    peers: bool,
    /// Megabytes of resident memory beyond which no more balancers are started.
    #[arg(long, default_value_t = 2_600)]
    memory_limit: u64,
}

impl Common {
    fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    fn options(&self) -> Options {
        let least = self.subset_least;
        let fleet = Fleet::of(self.balancers, self.upstreams);
        let services = self.services.unwrap_or(fleet.services).max(1);
        Options {
            fleet: Fleet { services, ..fleet },
            seed: self.seed,
            threads: self.threads,
            subset: self.subset.map(|times| SubsetConfig { times, least }),
            peers: self.peers,
            memory_limit: self.memory_limit * MEBIBYTE,
        }
    }
}

fn main() -> ExitCode {
    match play(CommandLine::parse().run) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("hollow: {cause}");
            ExitCode::FAILURE
        }
    }
}

/// Plays a run to its end; its report as one line.
fn play(command: RunCommand) -> Result<String, HarnessError> {
    match command {
        RunCommand::Rest(common) => play_hollow(Run::Rest, common),
        RunCommand::Changes { common, rate } => play_hollow(Run::Changes { rate }, common),
        RunCommand::Restarts { common, every } => {
            play_hollow(Run::Restarts { every: Duration::from_secs_f64(every) }, common)
        }
        RunCommand::Zone(common) => play_hollow(Run::Zone, common),
        RunCommand::RestartAll(common) => play_hollow(Run::RestartAll, common),
        RunCommand::Real { common, daemon, rate } => {
            let fleet = common.options().fleet;
            block_on(play_real(&daemon, fleet, common.seed, common.duration(), rate))
        }
    }
}

fn play_hollow(run: Run, common: Common) -> Result<String, HarnessError> {
    block_on(run.play(common.options(), common.duration()))
}

fn block_on<R: Serialize>(
    run: impl Future<Output = Result<R, HarnessError>>,
) -> Result<String, HarnessError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let report = LocalSet::new().block_on(&runtime, run)?;
    Ok(serde_json::to_string(&report).expect("plain values serialize"))
}
