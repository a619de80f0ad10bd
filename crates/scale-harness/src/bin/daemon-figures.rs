//! Measures one daemon before a stand-in discovery and prints one line of JSON; see the module `measure`.
//!
//! `daemon-figures --program target/release/hollowpaddle --upstreams 10000 --classes 3 --unbound`

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use hollowpaddle_scale_harness::fleet::{Fleet, SubsetConfig, TARGET_REGIONS, TARGET_ZONES};
use hollowpaddle_scale_harness::measure::{LoadPlan, Plan, run};

/// Measures one daemon on loopback and prints one line of JSON.
#[derive(Parser)]
struct Arguments {
    /// The daemon's program.
    #[arg(long)]
    program: PathBuf,
    /// Upstreams in the list.
    #[arg(long, default_value_t = 64)]
    upstreams: usize,
    /// Classes of requests; upstreams are divided among their machine types, thirty each.
    #[arg(long, default_value_t = 3, value_parser = at_least_one)]
    classes: usize,
    /// Let each class go to every upstream.
    #[arg(long)]
    unbound: bool,
    /// Tenants in the configuration.
    #[arg(long, default_value_t = 0)]
    tenants: usize,
    /// Zones.
    #[arg(long, default_value_t = TARGET_ZONES, value_parser = at_least_one)]
    zones: usize,
    /// Balancers that the settings state.
    #[arg(long, default_value_t = 1, value_parser = at_least_one)]
    balancers: usize,
    /// Keep a subset of the fleet, of the usual size.
    #[arg(long)]
    subset: bool,
    /// Seconds to wait until it is ready.
    #[arg(long, default_value_t = 20.0, value_parser = seconds)]
    ready_s: f64,
    /// Seconds between ready and the idle time.
    #[arg(long, default_value_t = 4.0, value_parser = seconds)]
    settle_s: f64,
    /// Seconds over which idle processor time is measured.
    #[arg(long, default_value_t = 10.0, value_parser = seconds)]
    idle_s: f64,
    /// Requests per second of a load to play afterwards; may be given several times.
    #[arg(long)]
    load_rate: Vec<f64>,
    /// Seconds of each load, which is played twice.
    #[arg(long, default_value_t = 15.0, value_parser = seconds)]
    load_s: f64,
    /// Upstreams that answer during a load.
    #[arg(long, default_value_t = 900)]
    load_upstreams: usize,
}

/// Longest of each of the times, in seconds, so that every run ends.
const LONGEST_S: f64 = 120.0;
/// Upstreams of each zone that a subset keeps at least, and its size in even parts: the daemon's defaults.
const SUBSET: SubsetConfig = SubsetConfig { times: 4.0, least: 64 };

fn at_least_one(text: &str) -> Result<usize, String> {
    text.parse().ok().filter(|count| *count > 0).ok_or_else(|| "expected 1 or more".to_string())
}

fn seconds(text: &str) -> Result<f64, String> {
    let value = text.parse().ok().filter(|s| (0.1..=LONGEST_S).contains(s));
    value.ok_or_else(|| format!("expected seconds from 0.1 to {LONGEST_S}"))
}

impl Arguments {
    fn plan(self) -> Plan {
        let load = |rate: &f64| LoadPlan {
            rate: *rate,
            length: Duration::from_secs_f64(self.load_s),
            upstreams: self.load_upstreams,
            services: self.classes,
        };
        Plan {
            loads: self.load_rate.iter().map(load).collect(),
            program: self.program,
            fleet: Fleet {
                balancers: self.balancers,
                upstreams: self.upstreams,
                services: self.classes,
                regions: TARGET_REGIONS.min(self.zones),
                zones: self.zones,
                tenants: self.tenants,
            },
            unbound: self.unbound,
            subset: self.subset.then_some(SUBSET),
            ready_within: Duration::from_secs_f64(self.ready_s),
            settle: Duration::from_secs_f64(self.settle_s),
            idle: Duration::from_secs_f64(self.idle_s),
        }
    }
}

fn main() -> ExitCode {
    let figures = match run(&Arguments::parse().plan()) {
        Ok(figures) => figures,
        Err(cause) => {
            eprintln!("daemon-figures: {cause}");
            return ExitCode::FAILURE;
        }
    };
    match serde_json::to_string(&figures) {
        Ok(line) => {
            println!("{line}");
            ExitCode::SUCCESS
        }
        Err(cause) => {
            eprintln!("daemon-figures: {cause}");
            ExitCode::FAILURE
        }
    }
}
