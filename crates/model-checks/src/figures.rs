//! Measurements of a whole cluster in virtual time: commit and propagation of a change, fail-over, catching up,
//! datagrams and bytes, and a crash of all balancers at once. `bin/cluster-figures` prints them as the tables of the
//! design note; a test covers a small cluster.

use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::entry::CommandId;

use crate::history::Response;
use crate::simulated_cluster::{
    Node, SentTraffic, SimulatedCluster, SimulationConfig, ms, propose_entry,
};

/// Returns a cluster that has a leader, and in which every balancer holds a lease; `None` if that takes over a minute.
pub fn settled_cluster(config: SimulationConfig) -> Option<SimulatedCluster> {
    let mut cluster = SimulatedCluster::new(config);
    cluster.check_interval = ms(50);
    cluster.run_while(ms(60_000), |cluster| !all_leased(cluster))?;
    cluster.run_for(ms(5000));
    Some(cluster)
}

fn all_leased(cluster: &SimulatedCluster) -> bool {
    cluster.leader().is_some() && count_leased(cluster) == cluster.nodes.len()
}

/// Returns the number of balancers that hold a lease now.
pub fn count_leased(cluster: &SimulatedCluster) -> usize {
    let holds_lease = |n: &&Node| {
        n.machine.is_some()
            && n.published.as_ref().is_some_and(|p| n.local_time(cluster.now) < p.until)
    };
    cluster.nodes.iter().filter(holds_lease).count()
}

fn document(number: u64) -> Document {
    let mut document = Document { attempts: 3, ..Document::default() };
    document.exclusions.cells.insert([2, 3, 5, 6][number as usize % 4]);
    document
}

/// Proposes a change, and retries it every 600 ms at another node until it is committed. Skips nodes that are down, as
/// a load balancer of admin calls does. Returns the revision number and the time taken.
pub fn commit_change(
    cluster: &mut SimulatedCluster,
    number: u64,
    limit: Duration,
) -> Option<(u64, Duration)> {
    let started_at = cluster.now;
    let id = CommandId(u128::from(number) + 1);
    let mut tickets = Vec::new();
    loop {
        let size = u64::from(cluster.config.size);
        let node_id = cluster.random_below(size) as u16;
        if cluster.accepts_calls(node_id) {
            tickets.push(cluster.propose(
                node_id,
                Some(id),
                propose_entry(id, None, document(number)),
            ));
            let until = cluster.now + ms(600);
            while cluster.now < until {
                cluster.run_for(ms(5));
                let results = tickets.iter().filter_map(|t| cluster.proposal_results.get(t));
                let first_response = results
                    .filter_map(|(at, a)| Some((*at, Response::from_result(a)?)))
                    .min_by_key(|a| a.0);
                if let Some((at, Response::Committed(number))) = first_response {
                    return Some((number, at.saturating_sub(started_at)));
                }
            }
        }
        if cluster.now >= started_at + limit {
            return None;
        }
    }
}

/// Returns the number of balancers under a lease that have this revision in force, with both of its steps done.
pub fn count_in_force(cluster: &SimulatedCluster, number: u64) -> usize {
    let is_in_force = |n: &&Node| {
        n.machine.as_ref().is_some_and(|m| m.policy().status().revision >= number)
            && n.published.as_ref().is_some_and(|p| n.local_time(cluster.now) < p.until)
    };
    cluster.nodes.iter().filter(is_in_force).count()
}

/// Measures one change: from the proposal to the commit, and from there until it is in force at 99 % of the balancers
/// and at all of them.
pub fn measure_change(cluster: &mut SimulatedCluster, number: u64) -> Option<[Duration; 3]> {
    let (revision, commit_time) = commit_change(cluster, number, ms(20_000))?;
    let started_at = cluster.now;
    let size = cluster.nodes.len();
    let required = size - size / 100;
    let in_force_at_99_percent =
        cluster.run_while(ms(30_000), |cluster| count_in_force(cluster, revision) < required)?;
    cluster.run_while(ms(30_000), |cluster| count_in_force(cluster, revision) < size)?;
    Some([commit_time, in_force_at_99_percent, cluster.now - started_at])
}

/// Traffic that the balancers send in a second: the mean over all, the busiest balancer, and the worst second of any.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Datagrams a second: the mean, the balancer that sends most, the worst second.
    pub datagrams: [f64; 3],
    /// Bytes a second, likewise.
    pub bytes: [f64; 3],
}

/// Measures the traffic over this time.
pub fn measure_load(cluster: &mut SimulatedCluster, time: Duration) -> Load {
    cluster.reset_traffic();
    cluster.run_for(time);
    load_since_reset(cluster, time)
}

/// Returns the traffic since the counters were reset, this time ago.
pub fn load_since_reset(cluster: &SimulatedCluster, time: Duration) -> Load {
    let (seconds, nodes) = (time.as_secs_f64(), cluster.nodes.len() as f64);
    let values =
        |counter: fn(&SentTraffic) -> u64| cluster.nodes.iter().map(move |n| counter(&n.sent));
    let summarize = |all: fn(&SentTraffic) -> u64, worst: fn(&SentTraffic) -> u64| {
        let sum = values(all).sum::<u64>() as f64;
        let highest = values(all).max().unwrap_or(0) as f64;
        [sum / seconds / nodes, highest / seconds, values(worst).max().unwrap_or(0) as f64]
    };
    Load {
        datagrams: summarize(|s| s.datagrams, |s| s.worst_second_datagrams),
        bytes: summarize(|s| s.bytes, |s| s.worst_second_bytes),
    }
}

/// Measures the time from the crash of the leader until a proposal is committed again.
pub fn measure_failover(cluster: &mut SimulatedCluster, number: u64) -> Option<Duration> {
    let leader = cluster.leader()?;
    cluster.crash(leader);
    cluster.start_after(leader, ms(5000));
    let (_, time) = commit_change(cluster, number, ms(30_000))?;
    cluster.run_for(ms(8000));
    cluster.run_while(ms(30_000), |cluster| !all_leased(cluster))?;
    Some(time)
}

/// Measures how long a balancer takes to catch up with this many revisions. The balancer is cut off and keeps its
/// state, or crashes and loses it. The time runs from its return until it has the newest revision in force.
pub fn measure_catch_up(
    cluster: &mut SimulatedCluster,
    revisions: u64,
    loses_state: bool,
) -> Option<Duration> {
    let size = u64::from(cluster.config.size);
    let voters = cluster.voters();
    let absent_node = loop {
        let candidate = cluster.random_below(size) as u16;
        if !voters.contains(&candidate) {
            break candidate;
        }
        if voters.len() == cluster.nodes.len() && cluster.leader() != Some(candidate) {
            break candidate;
        }
    };
    if loses_state {
        cluster.crash(absent_node);
    } else {
        cluster.isolate(absent_node);
    }
    let mut newest_revision = 0;
    let mut tickets = Vec::new();
    for number in 0..revisions {
        let leader = cluster.leader()?;
        let id = CommandId(1_000_000 + u128::from(number));
        tickets.push(cluster.propose(leader, Some(id), propose_entry(id, None, document(number))));
        cluster.run_for(ms(25));
    }
    cluster.run_for(ms(12_000));
    for ticket in tickets {
        if let Some(Response::Committed(number)) =
            cluster.proposal_results.get(&ticket).and_then(|(_, a)| Response::from_result(a))
        {
            newest_revision = newest_revision.max(number);
        }
    }
    let started_at = cluster.now;
    if loses_state {
        cluster.start_after(absent_node, Duration::ZERO);
    } else {
        cluster.cut_links.clear();
    }
    let is_in_force = |cluster: &SimulatedCluster| {
        let node = &cluster.nodes[usize::from(absent_node)];
        node.machine.as_ref().is_some_and(|m| m.policy().status().revision >= newest_revision)
            && node.published.as_ref().is_some_and(|p| node.local_time(cluster.now) < p.until)
    };
    cluster.run_while(ms(60_000), |cluster| !is_in_force(cluster))?;
    Some(cluster.now - started_at)
}

/// Results of a crash of all balancers at once.
#[derive(Clone, Copy, Debug)]
pub struct FullRestart {
    /// Times until 99 % of the balancers, and all, held a lease again.
    pub leases_restored: [Duration; 2],
    /// Number of committed revisions before the crash, and how many of these are still there.
    pub revisions: [usize; 2],
    /// Time to commit the first change, once all balancers held a lease again. They had lost their fallback policy,
    /// too.
    pub first_commit_time: Duration,
}

/// Crashes all balancers in the middle of a change's second step. Each restarts without state within a second.
pub fn measure_full_restart(cluster: &mut SimulatedCluster, number: u64) -> Option<FullRestart> {
    let (revision, _) = commit_change(cluster, number, ms(20_000))?;
    // The revision is committed, and its second step is not confirmed yet.
    cluster.run_while(ms(20_000), |cluster| {
        let has_unconfirmed_revision = |n: &Node| {
            n.machine.as_ref().is_some_and(|m| {
                let status = m.policy().status();
                status.revision >= revision && status.unconfirmed
            })
        };
        !cluster.nodes.iter().any(has_unconfirmed_revision)
    })?;
    let revisions_before: Vec<u64> = {
        let revision_numbers = |m: &hollowpaddle_gateway::cluster::Machine| {
            m.policy().revisions().map(|(n, _)| n).collect::<Vec<u64>>()
        };
        cluster
            .nodes
            .iter()
            .filter_map(|n| n.machine.as_ref())
            .map(revision_numbers)
            .max_by_key(Vec::len)?
    };
    let started_at = cluster.now;
    for node_id in 0..cluster.config.size {
        cluster.crash(node_id);
        let after = ms(cluster.random_below(1000));
        cluster.start_after(node_id, after);
    }
    let size = cluster.nodes.len();
    let required = size - size / 100;
    cluster.run_while(ms(60_000), |cluster| count_leased(cluster) < required)?;
    let restored_at_99_percent = cluster.now - started_at;
    cluster.run_while(ms(60_000), |cluster| count_leased(cluster) < size)?;
    let restored_at_all = cluster.now - started_at;
    let (_, first_commit_time) = commit_change(cluster, number + 1, ms(30_000))?;
    let machine = cluster.nodes.iter().find_map(|n| n.machine.as_ref())?;
    let retained =
        revisions_before.iter().filter(|n| machine.policy().retained_revision(**n).is_ok()).count();
    Some(FullRestart {
        leases_restored: [restored_at_99_percent, restored_at_all],
        revisions: [revisions_before.len(), retained],
        first_commit_time,
    })
}

/// Returns the voters, for a table.
pub fn voter_ids(cluster: &SimulatedCluster) -> Vec<NodeId> {
    cluster.voters().into_iter().map(NodeId).collect()
}
