//! Starts this balancer's part of the cluster, on a thread of its own.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::rc::Rc;
use std::sync::mpsc;

use hollowpaddle_failpoints::Points;
use hollowpaddle_gateway::Config;
use hollowpaddle_gateway::cluster::{
    ClusterHandle, DurableLogError, RecoveredState, Runtime, join, open,
};
use hollowpaddle_gateway::config::ClusterConfig;
use hollowpaddle_net::Tcp;
use tokio::task::LocalSet;

use crate::LOAD_TIMEOUT;

/// Joins the cluster, if the configuration names one. The error is a text for the operator.
pub fn start(config: &Config) -> Result<Option<ClusterHandle>, String> {
    let Some(cluster) = &config.cluster else { return Ok(None) };
    // The configuration's seed is new with each start, but two processes of one configuration may overlap.
    let incarnation = RandomState::new().hash_one(config.seed) as u32;
    let failpoints = Points::from_environment().map_err(|e| e.to_string())?;
    let recovered = recover(config, cluster, &failpoints);
    let (handle, runtime) = join(config, cluster, incarnation, recovered, failpoints)
        .map_err(|e| format!("the bank: {e}"))?;
    let thread = std::thread::Builder::new().name("bank".to_string());
    thread.spawn(move || run(runtime)).map_err(|e| format!("a thread for the bank: {e}"))?;
    Ok(Some(handle))
}

/// The cluster's state in the state directory, where the platform provides one. Without it, or where it can't be had in
/// time, this balancer has no durable state, which the other balancers account for.
fn recover(
    config: &Config,
    cluster: &ClusterConfig,
    failpoints: &Points,
) -> Option<RecoveredState> {
    let dir = config.state_dir.as_ref()?.join("bank");
    let shown = dir.display().to_string();
    let (cluster_id, node_id) = (cluster.id(), cluster.node_id());
    let (name, failpoints) = (config.name.clone(), failpoints.clone());
    let (sender, opened) = mpsc::channel();
    // On a thread of its own, which is left behind where the disk hangs.
    std::thread::spawn(move || {
        drop(sender.send(open(&dir, cluster_id, node_id, &name, &failpoints)))
    });
    match opened.recv_timeout(LOAD_TIMEOUT).unwrap_or(Err(DurableLogError::TimedOut)) {
        Ok(recovered) => Some(recovered),
        Err(cause) => {
            tracing::error!(dir = shown, %cause, "cluster state not stored");
            None
        }
    }
}

/// Runs until the last handle on the cluster is gone.
fn run(runtime: Runtime) {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(executor) => LocalSet::new().block_on(&executor, runtime.run(Rc::new(Tcp))),
        Err(cause) => {
            tracing::error!(%cause, "cluster runtime not started: the fallback policy applies");
        }
    }
}
