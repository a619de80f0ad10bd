//! Several processes of the daemon, and faults between them: what one process alone can't show.

mod admin_calls;
mod bank;
mod comeback;
mod crowded;
mod days;
mod frozen;
mod scale;

use hollowpaddle_rehearsal::process_cluster::ProcessCluster;
use hollowpaddle_rehearsal::scripted::config;
use serde_json::Value;

const NODE: &str = env!("CARGO_BIN_EXE_hollowpaddle");

/// A configuration for balancers that may talk to one another, and don't.
fn apart(known: Vec<Value>) -> Value {
    let mut config = config(known);
    config["fleet"] = "off".into();
    config
}

/// So many processes of the daemon with this configuration, all ready.
fn start(count: usize, config: &Value) -> ProcessCluster {
    let mut fleet = ProcessCluster::start(NODE, count, config);
    fleet.until_ready();
    fleet
}
