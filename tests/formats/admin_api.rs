//! Answers of the admin API: keys, their order, and the words of states.

use std::process::Command;

use hollowpaddle_rehearsal::process_cluster::ProcessCluster;
use hollowpaddle_rehearsal::scripted::*;
use serde_json::json;

use crate::{DAEMON, transcript};

/// Values that differ between runs of one balancer.
const MASKED: [&str; 4] = ["age_s", "generation", "list_age_s", "passed_over"];
/// Values that differ between runs of a cluster.
const MASKED_IN_CLUSTER: [&str; 15] = [
    "charter_confirmed",
    "entry",
    "everywhere",
    "for_s",
    "held_bytes",
    "here",
    "id",
    "leader",
    "left_s",
    "log",
    "newest",
    "revision",
    "source",
    "stage",
    "words",
];

#[test]
fn balancer_alone_answers_each_admin_call_as_before() {
    let upstream = Upstream::start(|_| ok(""));
    let directory = tempfile::tempdir().expect("a directory");
    let mut command = Command::new(DAEMON);
    command.env("TMPDIR", directory.path()).env("LB_CONTROL", "127.0.0.1:0");
    let daemon = Node::start(command, &config(members(&[&upstream])));
    let admin = daemon.operators.expect("an admin API");
    transcript::check(admin, include_str!("admin_without_state.txt"), &MASKED);
}

#[test]
fn balancer_with_state_directory_tells_of_its_start_as_before() {
    let upstream = Upstream::start(|_| ok(""));
    let directory = tempfile::tempdir().expect("a directory");
    let mut command = Command::new(DAEMON);
    command.env("TMPDIR", directory.path()).env("LB_CONTROL", "127.0.0.1:0");
    command.env("LB_STATE_DIR", directory.path().join("state"));
    let daemon = Node::start(command, &config(members(&[&upstream])));
    let admin = daemon.operators.expect("an admin API");
    transcript::check(admin, include_str!("admin_with_state.txt"), &MASKED);
}

#[test]
fn cluster_answers_each_admin_call_as_before() {
    let upstreams = [Upstream::start(|_| ok("")), Upstream::start(|_| ok(""))];
    let mut known = members(&[&upstreams[0], &upstreams[1]]);
    known[1]["cell"] = 1.into();
    let mut config = config(known);
    config["fleet"] = json!({"charter": [0], "bedrock": []});
    let mut fleet = ProcessCluster::start(DAEMON, 3, &config);
    fleet.until_ready();
    let admin = fleet.node(0).operators.expect("an admin API");
    transcript::check(admin, include_str!("admin_of_cluster.txt"), &MASKED_IN_CLUSTER);
}

#[test]
fn cluster_without_one_balancer_names_it_as_before() {
    let upstream = Upstream::start(|_| ok(""));
    let mut config = config(members(&[&upstream]));
    config["fleet"] = json!({"charter": [0], "bedrock": []});
    let mut fleet = ProcessCluster::start(DAEMON, 3, &config);
    fleet.until_ready();
    let admin = fleet.node(0).operators.expect("an admin API");
    fleet.kill(2);
    transcript::check(admin, include_str!("admin_without_one_balancer.txt"), &MASKED_IN_CLUSTER);
}
