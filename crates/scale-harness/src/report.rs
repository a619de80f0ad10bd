//! What a run prints: one JSON object on one line.

use serde::Serialize;

use crate::cluster::{HarnessError, HollowCluster, Mark};
use crate::prober::InForce;
use crate::spread::Spread;

/// Times from an event to its being in force, over all balancers and events.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct InForceReport {
    /// In milliseconds, of those that were reached.
    pub ms: Spread,
    /// Waits that were given up.
    pub unreached: usize,
}

impl InForceReport {
    /// Of these waits.
    pub fn of(times: &InForce) -> Self {
        let reached = times.iter().flatten().map(|time| time.as_secs_f64() * 1e3);
        let unreached = times.iter().filter(|time| time.is_none()).count();
        Self { ms: Spread::of(reached), unreached }
    }
}

/// Traffic between balancers in the measured time.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DatagramReport {
    /// Datagrams that each balancer sent and received.
    pub datagrams: Spread,
    /// Their bytes.
    pub bytes: Spread,
}

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The run's name.
    pub run: &'static str,
    /// Whether the balancers are hollow or real processes.
    pub balancer_kind: &'static str,
    /// Whether the program was built with optimizations.
    pub optimized: bool,
    /// For all random numbers.
    pub seed: u64,
    /// Balancers.
    pub balancers: usize,
    /// Upstreams, without the canary.
    pub upstreams: usize,
    /// Services, without the canary's.
    pub services: usize,
    /// Tenants in each configuration.
    pub tenants: usize,
    /// Whether each balancer keeps a part of the fleet only.
    pub has_subset: bool,
    /// Whether balancers talk to each other.
    pub has_peers: bool,
    /// Threads that hold hollow balancers.
    pub threads: usize,
    /// From the start to the first answer, in milliseconds, with balancers started in batches.
    pub start_ms: Spread,
    /// Bytes from discovery per balancer from the start to the first answer, all of the cluster's start.
    pub start_discovery_bytes: Spread,
    /// How long was measured, in seconds.
    pub seconds: f64,
    /// Versions that discovery published meanwhile.
    pub changes: u64,
    /// Bytes from discovery per balancer meanwhile.
    pub discovery_bytes: Spread,
    /// Datagrams between balancers meanwhile, where there are any.
    pub datagrams: Option<DatagramReport>,
    /// Processor time per balancer meanwhile, in milliseconds: the mean. Probes are served in it.
    pub processor_ms_per_balancer: f64,
    /// The same as a share of one core, in percent.
    pub processor_percent_per_balancer: f64,
    /// Resident memory per balancer at the end, without the harness's own, in KiB: the mean.
    pub memory_kib_per_balancer: f64,
    /// The harness's own memory before the first balancer, in KiB.
    pub harness_kib: u64,
    /// Resident memory of all balancers and the harness at the end, in KiB.
    pub resident_kib: u64,
    /// Times from a change to its being in force.
    pub in_force: InForceReport,
    /// Watches opened since the first balancer was started.
    pub watches_opened: u64,
    /// Watches opened by the balancer that opened most.
    pub most_watches_of_one: u64,
    /// Requests that reached a removed upstream after its grace.
    pub sends_past_grace: u64,
    /// Balancers that ended by themselves.
    pub ended_by_themselves: u64,
}

/// What a run has measured besides the counters.
pub struct Measured {
    /// Its name.
    pub run: &'static str,
    /// Times to the first answer at the start.
    pub start: InForce,
    /// Counters when all balancers served.
    pub begin: Mark,
    /// Counters at the end.
    pub end: Mark,
    /// Waits for changes.
    pub in_force: InForce,
}

const KIBIBYTE: u64 = 1024;

impl Report {
    /// Of a cluster of hollow balancers.
    ///
    /// # Errors
    /// The kernel does not tell of memory.
    pub fn of_hollow(cluster: &HollowCluster, measured: &Measured) -> Result<Self, HarnessError> {
        let Measured { run, start, begin, end, in_force } = measured;
        let options = cluster.options();
        let (fleet, balancers) = (options.fleet, options.fleet.balancers);
        let seconds = (end.at - begin.at).as_secs_f64();
        let processor_ms = (end.processor - begin.processor).as_secs_f64() * 1e3;
        let processor_ms_per_balancer = processor_ms / balancers as f64;
        let (resident, baseline) = (cluster.resident_memory()?, cluster.baseline_memory());
        let of_balancers = resident.saturating_sub(baseline) as f64 / balancers as f64;
        let connections = end.readings.iter().map(|reading| reading.discovery_connections);
        Ok(Self {
            run,
            balancer_kind: "hollow",
            optimized: !cfg!(debug_assertions),
            seed: options.seed,
            balancers,
            upstreams: fleet.upstreams,
            services: fleet.services,
            tenants: fleet.tenants,
            has_subset: options.subset.is_some(),
            has_peers: options.peers,
            threads: options.threads,
            start_ms: InForceReport::of(start).ms,
            start_discovery_bytes: Spread::of(
                begin.readings.iter().map(|reading| reading.discovery_bytes as f64),
            ),
            seconds,
            changes: end.counts.changes - begin.counts.changes,
            discovery_bytes: difference(begin, end, |reading| reading.discovery_bytes),
            datagrams: options.peers.then(|| DatagramReport {
                datagrams: difference(begin, end, |r| r.datagrams_sent + r.datagrams_received),
                bytes: difference(begin, end, |reading| reading.datagram_bytes),
            }),
            processor_ms_per_balancer,
            processor_percent_per_balancer: processor_ms_per_balancer / seconds / 10.0,
            memory_kib_per_balancer: of_balancers / KIBIBYTE as f64,
            harness_kib: baseline / KIBIBYTE,
            resident_kib: resident / KIBIBYTE,
            in_force: InForceReport::of(in_force),
            watches_opened: end.counts.watches,
            most_watches_of_one: connections.max().unwrap_or(0),
            sends_past_grace: cluster.prober.sends_past_grace(),
            ended_by_themselves: cluster.ended_by_themselves(),
        })
    }
}

/// How much a counter has grown at each balancer.
fn difference(
    begin: &Mark,
    end: &Mark,
    counter: impl Fn(&crate::metered::Reading) -> u64,
) -> Spread {
    let pairs = begin.readings.iter().zip(&end.readings);
    Spread::of(pairs.map(|(before, after)| (counter(after) - counter(before)) as f64))
}
