//! Cost of the control plane as a function of the number of balancers, in virtual time.
//!
//! [`measure`] simulates one cluster without faults other than datagram loss. It returns what each balancer sends at
//! rest, while changes are made and after the leader is killed, and how long changes take. One value is one point of a
//! fit; `bin/control-plane-figures` prints it as a line of JSON.

use std::time::Duration;

use serde::Serialize;

use crate::figures::{
    commit_change, count_in_force, count_leased, measure_change, settled_cluster,
};
use crate::simulated_cluster::{SentTraffic, SimulatedCluster, SimulationConfig, propose_entry};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::CommandId;

/// How long the cluster is measured at rest, in virtual time.
const REST: Duration = Duration::from_secs(20);

/// Sequential changes whose delays are measured.
const CHANGES: u64 = 6;

/// Pause after each of the sequential changes, in virtual time.
const PAUSE: Duration = Duration::from_millis(500);

/// Changes that are proposed within one second, and the gap between two of them.
const BURST: u64 = 10;
/// See [`BURST`].
const BURST_GAP: Duration = Duration::from_millis(100);
/// After this the burst counts as not in force everywhere.
const BURST_LIMIT: Duration = Duration::from_secs(30);

/// The killed leader starts again after this, with nothing stored.
const RESTART_AFTER: Duration = Duration::from_secs(5);
/// After this the cluster counts as not recovered from the crash of its leader.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);

/// First command number of the burst; those of the sequential changes are smaller.
const FIRST_BURST_NUMBER: u64 = 1_000;

/// UDP and IPv4 headers of one datagram, in bytes. [`Traffic::bytes_mean`] and the other byte counts exclude them.
pub const HEADERS: f64 = 28.0;

/// Parameters of a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Scenario {
    /// Balancers in the cluster.
    pub balancers: u16,
    /// Share of datagrams that is lost, from 0 to 1.
    pub loss: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Traffic sent in a span of virtual time: payload bytes and datagrams per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Bytes per second, mean over all balancers.
    pub bytes_mean: f64,
    /// Bytes per second of the balancer that sent most.
    pub bytes_busiest: f64,
    /// Bytes per second of the leader; 0 if there was none at the end.
    pub bytes_leader: f64,
    /// Bytes in the worst second of any balancer.
    pub bytes_worst_second: u64,
    /// Datagrams per second, mean over all balancers.
    pub datagrams_mean: f64,
    /// Datagrams per second of the leader; 0 if there was none at the end.
    pub datagrams_leader: f64,
    /// Datagrams in the worst second of any balancer.
    pub datagrams_worst_second: u64,
}

impl Traffic {
    fn since_reset(cluster: &SimulatedCluster, elapsed: Duration) -> Self {
        let seconds = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let per_second = |count: u64| count as f64 / seconds;
        let balancers = cluster.nodes.len().max(1) as f64;
        let all_traffic = || cluster.nodes.iter().map(|node| node.sent);
        let leader = cluster.leader().map(|leader| cluster.nodes[usize::from(leader)].sent);
        let leader = leader.unwrap_or_default();
        let total = |count: fn(SentTraffic) -> u64| all_traffic().map(count).sum::<u64>();
        let highest = |count: fn(SentTraffic) -> u64| all_traffic().map(count).max().unwrap_or(0);
        Self {
            bytes_mean: per_second(total(|s| s.bytes)) / balancers,
            bytes_busiest: per_second(highest(|s| s.bytes)),
            bytes_leader: per_second(leader.bytes),
            bytes_worst_second: highest(|s| s.worst_second_bytes),
            datagrams_mean: per_second(total(|s| s.datagrams)) / balancers,
            datagrams_leader: per_second(leader.datagrams),
            datagrams_worst_second: highest(|s| s.worst_second_datagrams),
        }
    }
}

/// Median and maximum of a set of delays, in milliseconds of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Delays {
    /// Number of delays measured.
    pub count: usize,
    /// The median; 0 if there is none.
    pub median_ms: u64,
    /// The longest; 0 if there is none.
    pub max_ms: u64,
}

impl Delays {
    fn of(mut all: Vec<Duration>) -> Self {
        all.sort_unstable();
        let at = |index: usize| all.get(index).map_or(0, |d| d.as_millis() as u64);
        Self {
            count: all.len(),
            median_ms: at(all.len() / 2),
            max_ms: at(all.len().saturating_sub(1)),
        }
    }
}

/// Changes made one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Changes {
    /// From the proposal to the response that it is committed.
    pub commit: Delays,
    /// From that response until 99 % of the balancers act on it under a lease.
    pub in_force_99: Delays,
    /// From that response until all balancers do.
    pub in_force_all: Delays,
    /// Changes that were not in force everywhere within half a minute.
    pub unfinished: usize,
    /// Traffic during the changes.
    pub traffic: Traffic,
}

/// Ten changes proposed at the leader within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Burst {
    /// From the last proposal until all balancers act on the newest revision; absent if that took over half a minute.
    pub in_force_all_ms: Option<u64>,
    /// Traffic during the burst.
    pub traffic: Traffic,
}

/// A crash of the leader, which restarts without its state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Failover {
    /// From the crash until a change is committed again; absent if that did not happen in half a minute.
    pub commit_again_ms: Option<u64>,
    /// From the crash until all balancers hold leases, including the leader, which restarts after five seconds; absent
    /// if some had none half a minute after that restart.
    pub all_leased_ms: Option<u64>,
    /// Balancers without a lease at the end of the measurement.
    pub without_lease: usize,
    /// Whether the restarted leader is one of them.
    pub restarted_without_lease: bool,
    /// Traffic from the crash until all balancers hold leases again.
    pub traffic: Traffic,
}

/// Results of one measured cluster.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// Parameters of the measurement.
    pub scenario: Scenario,
    /// Virtual time until there is a leader and all balancers hold leases, plus five seconds; absent if that took over
    /// a minute, and then nothing else is measured.
    pub settled_ms: Option<u64>,
    /// Traffic at rest.
    pub rest: Option<Traffic>,
    /// Sequential changes.
    pub changes: Option<Changes>,
    /// Ten changes in a second.
    pub burst: Option<Burst>,
    /// The fail-over to a new leader.
    pub failover: Option<Failover>,
    /// Violations that the safety checker found; expected: none.
    pub contradictions: Vec<String>,
}

/// Simulates the scenario from the start of all balancers to the end of the fail-over.
pub fn measure(scenario: Scenario) -> Figures {
    let Scenario { balancers, loss, seed } = scenario;
    let config = SimulationConfig { loss, ..SimulationConfig::without_faults(seed, balancers) };
    let mut figures = Figures {
        scenario,
        settled_ms: None,
        rest: None,
        changes: None,
        burst: None,
        failover: None,
        contradictions: Vec::new(),
    };
    let Some(mut cluster) = settled_cluster(config) else { return figures };
    figures.settled_ms = Some(cluster.now.as_millis() as u64);
    figures.rest = Some(measure_rest(&mut cluster));
    figures.changes = Some(measure_changes(&mut cluster));
    figures.burst = Some(measure_burst(&mut cluster));
    figures.failover = Some(measure_failover(&mut cluster));
    figures.contradictions = cluster.checker.violations.clone();
    figures
}

fn measure_rest(cluster: &mut SimulatedCluster) -> Traffic {
    cluster.reset_traffic();
    cluster.run_for(REST);
    Traffic::since_reset(cluster, REST)
}

fn measure_changes(cluster: &mut SimulatedCluster) -> Changes {
    cluster.reset_traffic();
    let started_at = cluster.now;
    let (mut commit, mut at_99_percent, mut all) = (Vec::new(), Vec::new(), Vec::new());
    let mut unfinished = 0;
    for number in 0..CHANGES {
        match measure_change(cluster, number) {
            Some([committed, at_99, at_all]) => {
                commit.push(committed);
                at_99_percent.push(at_99);
                all.push(at_all);
            }
            None => unfinished += 1,
        }
        cluster.run_for(PAUSE);
    }
    Changes {
        commit: Delays::of(commit),
        in_force_99: Delays::of(at_99_percent),
        in_force_all: Delays::of(all),
        unfinished,
        traffic: Traffic::since_reset(cluster, cluster.now - started_at),
    }
}

fn measure_burst(cluster: &mut SimulatedCluster) -> Burst {
    cluster.reset_traffic();
    let started_at = cluster.now;
    for number in FIRST_BURST_NUMBER..FIRST_BURST_NUMBER + BURST {
        let Some(leader) = cluster.leader() else { break };
        let id = CommandId(u128::from(number));
        let mut document = Document { attempts: 3, ..Document::default() };
        document.exclusions.cells.insert([2, 3, 5, 6][number as usize % 4]);
        cluster.propose(leader, Some(id), propose_entry(id, None, document));
        cluster.run_for(BURST_GAP);
    }
    // One more change is committed after all others; once it is in force, so are they.
    let last = commit_change(cluster, FIRST_BURST_NUMBER + BURST, BURST_LIMIT);
    let proposed = started_at + BURST_GAP * BURST as u32;
    let size = cluster.nodes.len();
    let finished = last.and_then(|(revision, _)| {
        cluster.run_while(BURST_LIMIT, |cluster| count_in_force(cluster, revision) < size)?;
        Some((cluster.now - proposed).as_millis() as u64)
    });
    Burst {
        in_force_all_ms: finished,
        traffic: Traffic::since_reset(cluster, cluster.now - started_at),
    }
}

fn measure_failover(cluster: &mut SimulatedCluster) -> Failover {
    cluster.reset_traffic();
    let started_at = cluster.now;
    let killed = cluster.leader();
    if let Some(leader) = killed {
        cluster.crash(leader);
        cluster.start_after(leader, RESTART_AFTER);
    }
    let commit_again = commit_change(cluster, FIRST_BURST_NUMBER + BURST + 1, RECOVERY_LIMIT);
    cluster.run_until(cluster.now.max(started_at + RESTART_AFTER));
    let size = cluster.nodes.len();
    let leased = cluster.run_while(RECOVERY_LIMIT, |cluster| count_leased(cluster) < size);
    Failover {
        commit_again_ms: commit_again.map(|(_, time)| time.as_millis() as u64),
        all_leased_ms: leased.map(|_| (cluster.now - started_at).as_millis() as u64),
        without_lease: size - count_leased(cluster),
        restarted_without_lease: killed.is_some_and(|leader| !has_lease(cluster, leader)),
        traffic: Traffic::since_reset(cluster, cluster.now - started_at),
    }
}

fn has_lease(cluster: &SimulatedCluster, balancer: u16) -> bool {
    let node = &cluster.nodes[usize::from(balancer)];
    node.machine.is_some()
        && node
            .published
            .as_ref()
            .is_some_and(|in_force| node.local_time(cluster.now) < in_force.until)
}
