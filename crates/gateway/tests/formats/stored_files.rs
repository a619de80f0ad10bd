//! Tests with files of the cluster's state directory that an earlier build has written.

use std::fs;
use std::path::Path;

use hollowpaddle_failpoints::Points;
use hollowpaddle_gateway::cluster::open;
use hollowpaddle_peer_transport::NodeId;

/// The consensus log of balancer `n0`, which is number 0 of the cluster [`CLUSTER_ID`].
const LOG: &[u8] = include_bytes!("state/council.log");
const FALLBACK_POLICY: &str = include_str!("state/snapshot");
const CLUSTER_ID: u64 = 0x14ae_4031_ab1a_dfd6;

#[test]
fn stored_log_and_fallback_policy_are_read_and_written_again() {
    let directory = tempfile::tempdir().expect("a directory");
    fs::write(directory.path().join("council.log"), LOG).expect("written");
    fs::write(directory.path().join("snapshot"), FALLBACK_POLICY).expect("written");
    let points = Points::none();
    let mut stored =
        open(directory.path(), CLUSTER_ID, NodeId(0), "n0", &points).expect("a directory");
    let found = stored.replica_state.expect("a log");
    assert_eq!((found.last_number, found.state.is_some()), (3, true));
    let (generation, policy) = stored.fallback_policy.expect("a fallback policy");
    assert_eq!(serde_json::to_string(&generation).expect("JSON"), r#"{"epoch":638340,"index":0}"#);
    assert_eq!(
        serde_json::to_string(&policy).expect("JSON"),
        r#"{"pods":[0],"except":[],"attempts":1}"#
    );
    stored.durable_log.save_fallback_policy(generation, &policy).expect("written");
    assert_eq!(payload(&directory.path().join("snapshot")), payload_of(FALLBACK_POLICY));
    assert_eq!(fs::read(directory.path().join("council.log")).expect("a file"), LOG);
}

fn payload(path: &Path) -> String {
    payload_of(&fs::read_to_string(path).expect("a file")).to_string()
}

/// Returns the text after the first line.
fn payload_of(text: &str) -> &str {
    text.split_once('\n').expect("a first line").1
}
