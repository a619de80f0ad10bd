//! Creates this balancer's cluster handle and cluster runtime from the configuration and the recovered state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_consensus::default_voters;
use hollowpaddle_failpoints::Points;
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use hollowpaddle_revision::document::Document;
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::policy_state::Bootstrap;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{
    ClusterHandle, Machine, PublishedPolicy, Reader, RecoveredState, Runtime, Setup, SetupError,
    admin_api,
};
use crate::config::{ClusterConfig, Config};

/// Joins the cluster. Returns the handle for the engine and the admin API, and the runtime, which may run on another thread.
///
/// `incarnation` identifies this process and is a random number chosen at the start; 0 counts as 1. Without `recovered`
/// state this balancer's votes are lost when the process ends.
///
/// # Errors
/// Returns an error if no cluster can have this configuration.
pub fn join(
    config: &Config,
    cluster: &ClusterConfig,
    incarnation: u32,
    recovered: Option<RecoveredState>,
    failpoints: Points,
) -> Result<(ClusterHandle, Runtime), SetupError> {
    let mut setup = setup(config, cluster, Incarnation(incarnation.max(1)));
    let mut durable_log = None;
    if let Some(recovered) = recovered {
        setup.has_durable_log = true;
        setup.replica_state = recovered.replica_state;
        setup.fallback_policy = recovered.fallback_policy;
        durable_log = Some(recovered.durable_log);
    }
    let machine = Machine::new(Duration::ZERO, setup)?;
    let epoch = Instant::now();
    let published = Arc::new(PublishedPolicy::new(machine.in_force()));
    let (event_sender, event_receiver) = mpsc::unbounded_channel();
    let (call_sender, call_receiver) = mpsc::unbounded_channel();
    let (list_sender, list_receiver) = mpsc::unbounded_channel();
    let reader = Reader { published: published.clone(), epoch, lists: list_sender };
    let runtime = Runtime {
        machine,
        epoch,
        listen: cluster.listen,
        peers: cluster.peers.clone(),
        published,
        events: event_sender,
        calls: call_receiver,
        lists: list_receiver,
        durable_log,
        failpoints,
    };
    Ok((ClusterHandle { reader, events: event_receiver, calls: call_sender }, runtime))
}

/// Returns the machine's setup by the configuration, without recovered state.
fn setup(config: &Config, cluster: &ClusterConfig, incarnation: Incarnation) -> Setup {
    let size = cluster.peers.len() as u16;
    let cells = cells_by_zone(config);
    let mandatory_cells = cluster.mandatory_fallback.as_deref().unwrap_or_default();
    let mandatory_fallback = match &cluster.mandatory_fallback {
        None => admin_api::default_mandatory_fallback(&cells),
        Some(cells) => fallback_policy_of(cells),
    };
    let mut fallback_policy =
        fallback_policy_of(cluster.fallback_policy.as_deref().unwrap_or_default());
    fallback_policy.cells.extend(mandatory_cells);
    let voters = match cluster.voters.as_slice() {
        [] => default_voters(size),
        voters => voters.iter().copied().map(NodeId).collect(),
    };
    Setup {
        node_id: cluster.node_id(),
        cluster_size: size,
        incarnation,
        seed: config.seed,
        voters,
        // The bootstrap state must be equal at every balancer, so no part of it comes from endpoint lists, which differ.
        bootstrap: Bootstrap {
            members: size,
            mandatory_fallback: fallback_policy_of(mandatory_cells),
            fallback_policy,
            document: Document::default(),
        },
        mandatory_fallback,
        // If the configuration has a fallback policy, the first leader proposes none.
        cells: if cluster.fallback_policy.is_some() { BTreeMap::new() } else { cells },
        has_durable_log: false,
        replica_state: None,
        fallback_policy: None,
    }
}

/// Returns the cells of each zone, by the upstreams in the configuration.
fn cells_by_zone(config: &Config) -> BTreeMap<String, BTreeSet<u32>> {
    let mut cells = BTreeMap::<String, BTreeSet<u32>>::new();
    for entry in &config.initial_list.members {
        cells.entry(entry.zone.to_string()).or_default().insert(entry.cell);
    }
    cells
}

/// Returns a fallback policy that allows exactly these cells.
fn fallback_policy_of(cells: &[u32]) -> FallbackPolicy {
    FallbackPolicy { cells: cells.iter().copied().collect(), ..FallbackPolicy::default() }
}
