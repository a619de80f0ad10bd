//! Starts the cluster runtime of this balancer on a separate thread.

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

/// Joins the cluster, if the configuration contains one.
///
/// # Errors
/// Returns a text for the operator if the cluster can't be joined.
pub fn start(config: &Config) -> Result<Option<ClusterHandle>, String> {
    let Some(cluster) = &config.cluster else { return Ok(None) };
    // The incarnation does not use the configuration's seed. The seed is different at each start, but two processes with the
    // same configuration may overlap.
    let incarnation = RandomState::new().hash_one(config.seed) as u32;
    let failpoints = Points::from_environment().map_err(|e| e.to_string())?;
    let recovered = recover(config, cluster, &failpoints);
    let (handle, runtime) = join(config, cluster, incarnation, recovered, failpoints)
        .map_err(|e| format!("cluster: {e}"))?;
    let thread = std::thread::Builder::new().name("bank".to_string());
    thread.spawn(move || run(runtime)).map_err(|e| format!("cluster thread: {e}"))?;
    Ok(Some(handle))
}

/// Recovers the cluster's state from the state directory, if the platform provides one. Returns `None` if there is no
/// directory or the state can't be read in time. This balancer then has no durable state, which the other balancers account
/// for.
fn recover(
    config: &Config,
    cluster: &ClusterConfig,
    failpoints: &Points,
) -> Option<RecoveredState> {
    let dir = config.state_dir.as_ref()?.join("bank");
    let displayed_dir = dir.display().to_string();
    let (cluster_id, node_id) = (cluster.id(), cluster.node_id());
    let (name, failpoints) = (config.name.clone(), failpoints.clone());
    let (sender, opened) = mpsc::channel();
    // A separate thread reads the state. The thread is abandoned if the disk hangs.
    std::thread::spawn(move || {
        drop(sender.send(open(&dir, cluster_id, node_id, &name, &failpoints)))
    });
    match opened.recv_timeout(LOAD_TIMEOUT).unwrap_or(Err(DurableLogError::TimedOut)) {
        Ok(recovered) => Some(recovered),
        Err(cause) => {
            tracing::error!(dir = displayed_dir, %cause, "cluster state not stored");
            None
        }
    }
}

/// Runs the cluster until its last handle is dropped.
fn run(runtime: Runtime) {
    match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(executor) => LocalSet::new().block_on(&executor, runtime.run(Rc::new(Tcp))),
        Err(cause) => {
            tracing::error!(%cause, "cluster runtime not started: the fallback policy applies");
        }
    }
}
