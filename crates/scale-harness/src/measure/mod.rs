//! Measures one real daemon before a stand-in discovery of a stated size: time until it is ready, memory, idle
//! processor time, bytes from discovery, descriptors, and the time that it adds to a request.
//!
//! [`run`] starts the daemon as a child process on loopback, ends within the times of its [`Plan`], and kills
//! the child whatever happens. `bin/daemon-figures` prints the result as one line of JSON.

mod load;
mod process;
mod ready;
mod upstreams;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;

pub use load::{LoadFigures, LoadPlan};
pub use process::Usage;

use crate::discovery::{Counts, Discovery};
use crate::fleet::{BalancerConfig, Fleet, SubsetConfig};
use process::Daemon;
use upstreams::StandInUpstreams;

/// Seed of the daemon and of the load. Figures of two runs differ by the machine alone.
const SEED: u64 = 1;

/// What to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Counts of what it is told of.
    pub fleet: Fleet,
    /// Whether each class may go to every upstream, instead of to those of its own machine type only.
    pub unbound: bool,
    /// The part of the fleet that it keeps; all of it where none is asked for.
    pub subset: Option<SubsetConfig>,
    /// How long to wait until it is ready. It is measured all the same if it is not ready by then.
    pub ready_within: Duration,
    /// How long to wait after that before idle processor time is measured, so that work of the start is not in it.
    pub settle: Duration,
    /// Over how long idle processor time is measured.
    pub idle: Duration,
    /// Loads to play afterwards, one after the other; none to measure the idle daemon only.
    pub loads: Vec<LoadPlan>,
}

/// What was measured of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Balancers that the settings state.
    pub balancers: usize,
    /// Upstreams in the list.
    pub upstreams: usize,
    /// Classes of requests.
    pub classes: usize,
    /// Whether each class is bound to a machine type of its own.
    pub bound: bool,
    /// Tenants in the configuration.
    pub tenants: usize,
    /// Zones of the fleet.
    pub zones: usize,
    /// Whether the daemon keeps a subset of the fleet.
    pub subset: bool,
    /// From the start of the process until `GET /-/ready` was answered with 200; absent if that did not happen.
    pub ready_ms: Option<f64>,
    /// Bytes that discovery had written by then.
    pub discovery_bytes_at_ready: u64,
    /// Bytes that discovery had written when the idle time was over.
    pub discovery_bytes: u64,
    /// Watches that the daemon had opened by then.
    pub discovery_watches: u64,
    /// Resident memory at the end of the idle time, in KiB (`VmRSS`).
    pub resident_kib: u64,
    /// Highest resident memory until then, in KiB (`VmHWM`).
    pub resident_peak_kib: u64,
    /// Processor time that was used until the daemon was ready, or was given up on, in milliseconds.
    pub start_cpu_ms: u64,
    /// Processor time over the idle time, in percent of one core.
    pub idle_cpu_percent: f64,
    /// Descriptors held at the end of the idle time.
    pub descriptors: u64,
    /// One entry for each load that was played.
    pub loads: Vec<LoadFigures>,
}

/// Why a daemon could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// Something of the harness could not be set up.
    #[error("setting up {what}: {cause}")]
    Setup {
        /// What.
        what: &'static str,
        /// Why not.
        cause: std::io::Error,
    },
    /// The daemon ended while it was measured.
    #[error("the daemon ended ({status}); its last lines:\n{log}")]
    Ended {
        /// Its exit status.
        status: String,
        /// What it wrote last.
        log: String,
    },
    /// The kernel told nothing of the daemon's process.
    #[error("reading {path}: {cause}")]
    Process {
        /// Which file.
        path: PathBuf,
        /// What was wrong.
        cause: String,
    },
    /// A load was asked for and the daemon was never ready.
    #[error("the daemon was not ready within {0:?}, so no load can be played")]
    NotReady(Duration),
}

impl MeasureError {
    fn setup(what: &'static str) -> impl FnOnce(std::io::Error) -> Self {
        move |cause| Self::Setup { what, cause }
    }
}

/// Starts the daemon, measures it, plays the loads and kills it.
///
/// # Errors
/// The harness can't be set up, or the daemon ends.
pub fn run(plan: &Plan) -> Result<Figures, MeasureError> {
    let upstreams = StandInUpstreams::start(plan.listening())
        .map_err(MeasureError::setup("the stand-in upstreams"))?;
    let mut entries = plan.fleet.entries();
    for (entry, address) in entries.iter_mut().zip(upstreams.addresses()) {
        entry.host_port = address.to_string();
    }
    let discovery =
        Discovery::start(entries).map_err(MeasureError::setup("the stand-in discovery"))?;
    let listen = free_address().map_err(MeasureError::setup("the daemon's address"))?;
    let mut daemon = Daemon::start(&plan.program, &plan.config(listen, discovery.address()))?;
    let ready = ready::wait(&mut daemon, listen, plan.ready_within)?;
    let (at_ready, counts_at_ready) = (daemon.usage()?, discovery.counts());
    std::thread::sleep(plan.settle);
    let before = daemon.usage()?;
    std::thread::sleep(plan.idle);
    let after = daemon.usage()?;
    let mut figures = plan.idle_figures(&at_ready, &before, &after);
    figures.ready_ms = ready.map(|time| time.as_secs_f64() * 1e3);
    figures.set_discovery(counts_at_ready, discovery.counts());
    for load in &plan.loads {
        if ready.is_none() {
            return Err(MeasureError::NotReady(plan.ready_within));
        }
        let played = load::play(load, plan.fleet.tenants, &daemon, listen, &upstreams)?;
        figures.loads.push(played);
    }
    daemon.check_runs()?;
    Ok(figures)
}

impl Plan {
    /// Upstreams that have to answer: those of the services that any load uses.
    fn listening(&self) -> usize {
        let needed = self.loads.iter().map(|load| load.upstreams).max().unwrap_or(0);
        needed.min(self.fleet.upstreams)
    }

    /// The text of the daemon's configuration file.
    fn config(&self, listen: SocketAddr, discovery: SocketAddr) -> String {
        let balancer = BalancerConfig {
            position: 0,
            listen,
            discovery,
            seed: SEED,
            subset: self.subset,
            peers: None,
            canary: false,
        };
        let mut config = self.fleet.config(&balancer);
        if self.unbound
            && let Some(classes) = config["settings"]["Services"].as_array_mut()
        {
            for class in classes {
                class["BoundTo"].take();
            }
        }
        config.to_string()
    }

    fn idle_figures(&self, at_ready: &Usage, before: &Usage, after: &Usage) -> Figures {
        let cpu = after.cpu.saturating_sub(before.cpu);
        Figures {
            balancers: self.fleet.balancers,
            upstreams: self.fleet.upstreams,
            classes: self.fleet.services,
            bound: !self.unbound,
            tenants: self.fleet.tenants,
            zones: self.fleet.zones,
            subset: self.subset.is_some(),
            ready_ms: None,
            discovery_bytes_at_ready: 0,
            discovery_bytes: 0,
            discovery_watches: 0,
            resident_kib: after.resident_kib,
            resident_peak_kib: after.resident_peak_kib,
            start_cpu_ms: at_ready.cpu.as_millis() as u64,
            idle_cpu_percent: cpu.as_secs_f64() / self.idle.as_secs_f64() * 100.0,
            descriptors: after.descriptors,
            loads: Vec::new(),
        }
    }
}

impl Figures {
    fn set_discovery(&mut self, at_ready: Counts, now: Counts) {
        self.discovery_bytes_at_ready = at_ready.bytes;
        self.discovery_bytes = now.bytes;
        self.discovery_watches = now.watches;
    }
}

/// A loopback address that nobody listens at now. If another process takes its port first, the daemon can't listen
/// and ends, and the run fails.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
