//! Real processes of the daemon before the stand-ins of the hollow runs, to compare figures.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowpaddle_rehearsal::scripted::{Discovery as ScriptedDiscovery, Node};
use serde::Serialize;
use tokio::time::sleep;

use crate::cluster::HarnessError;
use crate::fleet::{BalancerConfig, Fleet};
use crate::prober::{InForce, Prober};
use crate::report::InForceReport;
use crate::runs::{Subject, change_upstreams};
use crate::spread::Spread;
use crate::usage;

/// Longest wait for a process's first answer after its start.
const START_LIMIT: Duration = Duration::from_secs(60);
/// Time before the first measurement, for what the start has left to do.
const SETTLE: Duration = Duration::from_secs(2);
const KIBIBYTE: f64 = 1024.0;

/// Processes of the daemon, running. They end with this.
pub struct RealCluster {
    fleet: Fleet,
    seed: u64,
    /// Discovery, the canaries and the probes.
    pub prober: Rc<Prober>,
    nodes: Vec<Node>,
}

/// What a run with real processes prints.
#[derive(Clone, Debug, Serialize)]
pub struct RealReport {
    /// The run's name.
    pub run: &'static str,
    /// Whether the balancers are hollow or real processes.
    pub balancer_kind: &'static str,
    /// For all random numbers.
    pub seed: u64,
    /// Processes.
    pub balancers: usize,
    /// Upstreams, without the canary.
    pub upstreams: usize,
    /// Services, without the canary's.
    pub services: usize,
    /// From the start to the first answer, in milliseconds, all started at once.
    pub start_ms: Spread,
    /// Bytes from discovery per balancer at the start: the mean.
    pub start_discovery_bytes: f64,
    /// How long was measured, in seconds.
    pub seconds: f64,
    /// Versions that discovery published meanwhile.
    pub changes: u64,
    /// Bytes from discovery per balancer meanwhile: the mean.
    pub discovery_bytes: f64,
    /// Processor time of each process meanwhile, in milliseconds.
    pub processor_ms: Spread,
    /// Resident memory of each process at the end, in KiB.
    pub memory_kib: Spread,
    /// Times from a change to its being in force.
    pub in_force: InForceReport,
    /// Watches opened.
    pub watches_opened: u64,
    /// Requests that reached a removed upstream after its grace.
    pub sends_past_grace: u64,
}

impl RealCluster {
    /// Starts a process of `daemon` for each balancer of the fleet, and waits until all serve: how long each
    /// took.
    ///
    /// # Errors
    /// The stand-ins don't start, or the processes don't serve in time.
    ///
    /// # Panics
    /// A process does not start at all.
    pub async fn start(
        daemon: &Path,
        fleet: Fleet,
        seed: u64,
    ) -> Result<(Self, InForce), HarnessError> {
        let prober = Prober::start(fleet.entries())?;
        // Each configuration names the stand-in's own discovery, which holds over this one.
        let unused = Rc::new(ScriptedDiscovery::start());
        let since = Instant::now();
        let mut nodes = Vec::with_capacity(fleet.balancers);
        for position in 0..fleet.balancers {
            let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let config = fleet.config(&BalancerConfig {
                position,
                listen,
                discovery: prober.discovery.address(),
                seed: seed.wrapping_add(position as u64),
                subset: None,
                peers: None,
                canary: true,
            });
            let (command, name) = (Command::new(daemon), format!("n{position}"));
            nodes.push(Node::start_as(command, &name, listen, unused.clone(), &config));
        }
        let cluster = Self { fleet, seed, prober, nodes };
        let addresses = cluster.addresses();
        let times = cluster.prober.wait_ready(&addresses, since, START_LIMIT).await;
        let missing = times.iter().filter(|time| time.is_none()).count();
        if missing > 0 {
            let balancers = fleet.balancers;
            return Err(HarnessError::NotReady { missing, balancers, limit: START_LIMIT });
        }
        Ok((cluster, times))
    }

    /// Where clients reach the balancers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.address).collect()
    }

    fn directories(&self) -> Vec<PathBuf> {
        self.nodes.iter().map(|node| usage::process(node.child.id())).collect()
    }

    fn processor_times(&self) -> io::Result<Vec<Duration>> {
        self.directories().iter().map(|process| usage::process_processor_time(process)).collect()
    }

    /// Resident memory of each process, in bytes.
    ///
    /// # Errors
    /// A process is gone.
    pub fn resident_memory(&self) -> io::Result<Vec<u64>> {
        self.directories().iter().map(|process| usage::resident_memory(process)).collect()
    }
}

/// Starts real processes, measures them for so long at so many changes a second (none: at rest), and ends
/// them.
///
/// # Errors
/// See [`RealCluster::start`].
pub async fn play_real(
    daemon: &Path,
    fleet: Fleet,
    seed: u64,
    seconds: Duration,
    rate: Option<f64>,
) -> Result<RealReport, HarnessError> {
    let (cluster, start) = RealCluster::start(daemon, fleet, seed).await?;
    sleep(SETTLE).await;
    let (counts, processor, began) =
        (cluster.prober.discovery.counts(), cluster.processor_times()?, Instant::now());
    let subject =
        Subject { prober: cluster.prober.clone(), addresses: cluster.addresses(), fleet, seed };
    let in_force = match rate {
        Some(rate) => change_upstreams(&subject, seconds, rate).await,
        None => {
            sleep(seconds).await;
            InForce::new()
        }
    };
    let measured = began.elapsed();
    let end = cluster.prober.discovery.counts();
    let used =
        cluster.processor_times()?.into_iter().zip(processor).map(|(end, begin)| end - begin);
    let memory = cluster.resident_memory()?;
    let per_balancer = |bytes: u64| bytes as f64 / fleet.balancers as f64;
    Ok(RealReport {
        run: if rate.is_some() { "changes" } else { "rest" },
        balancer_kind: "real",
        seed: cluster.seed,
        balancers: fleet.balancers,
        upstreams: cluster.fleet.upstreams,
        services: cluster.fleet.services,
        start_ms: InForceReport::of(&start).ms,
        start_discovery_bytes: per_balancer(counts.bytes),
        seconds: measured.as_secs_f64(),
        changes: end.changes - counts.changes,
        discovery_bytes: per_balancer(end.bytes - counts.bytes),
        processor_ms: Spread::of(used.map(|time| time.as_secs_f64() * 1e3)),
        memory_kib: Spread::of(memory.into_iter().map(|bytes| bytes as f64 / KIBIBYTE)),
        in_force: InForceReport::of(&in_force),
        watches_opened: end.watches,
        sends_past_grace: cluster.prober.sends_past_grace(),
    })
}
