//! Files of the state directory and of the directory for operator commands: their names, what the daemon writes into
//! them, and that it reads back what an earlier build has written.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hollowpaddle_rehearsal::process_cluster::ProcessCluster;
use hollowpaddle_rehearsal::scripted::*;
use hollowpaddle_snapshot::{Directory, Store};
use serde_json::{Value, json};

use crate::transcript::mask;
use crate::{DAEMON, transcript};

/// The payload of a snapshot with a list of 40 upstreams; `"NOW"` stands for times in milliseconds of Unix time.
const SNAPSHOT: &str = include_str!("snapshot.json");

/// The head of `council.log` up to its sum: magic, version, and which cluster and member it belongs to.
const LOG_HEAD: [u8; 22] = *b"hpcouncl\x01\0\0\0\xd6\xdf\x1a\xab\x31\x40\xae\x14\0\0";
/// Values of `GET /admin/start` that differ between runs.
const RESTORE_MASKED: [&str; 4] = ["age_s", "generation", "list_age_s", "passed_over"];

/// Paths of all files below a directory, sorted.
fn files_below(directory: &Path) -> Vec<String> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).expect("a directory").map(|entry| entry.expect("an entry"))
    {
        let name = entry.file_name().into_string().expect("UTF-8");
        if entry.path().is_dir() {
            paths.extend(
                files_below(&entry.path()).into_iter().map(|path| format!("{name}/{path}")),
            );
        } else {
            paths.push(name);
        }
    }
    paths.sort();
    paths
}

/// The first line and the payload of a snapshot file.
fn head_and_payload(path: &Path) -> (String, String) {
    let text = fs::read_to_string(path).expect("a snapshot");
    let (head, payload) = text.split_once('\n').expect("a first line");
    (head.to_string(), payload.to_string())
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970")
}

fn start(directory: &Path, config: &Value) -> Node {
    let mut command = Command::new(DAEMON);
    command.env("TMPDIR", directory).env("LB_CONTROL", "127.0.0.1:0");
    command.env("LB_STATE_DIR", directory.join("state"));
    Node::start(command, config)
}

#[test]
fn daemon_reads_a_stored_snapshot_and_writes_the_same_content_again() {
    let directory = tempfile::tempdir().expect("a directory");
    let state = directory.path().join("state");
    let now = unix_time();
    let payload = SNAPSHOT.trim_end().replace("\"NOW\"", &now.as_millis().to_string());
    let mut store = Store::new(Directory::open(&state).expect("a directory"), "n0");
    store.save(now, payload.as_bytes()).expect("saved");
    let mut daemon = start(directory.path(), &config(Vec::new()));
    let admin = daemon.operators.expect("an admin API");
    transcript::check(admin, include_str!("admin_after_restore.txt"), &RESTORE_MASKED);
    daemon.signal("TERM");
    assert_eq!(daemon.exit_code(), Some(0));
    let (head, written) = head_and_payload(&state.join("snapshot"));
    let times = ["learned_ms", "list_ms", "at_ms"];
    assert_eq!(
        mask(&written, &times),
        mask(&payload, &times).replace("\"count\":1", "\"count\":2")
    );
    assert_eq!(
        mask(&head, &["generation", "written_ms", "crc32"]),
        r#"{"form":"hollowpaddle-snapshot","version":1,"name":"n0","generation":#,"written_ms":#,"length":LENGTH,"crc32":#}"#
            .replace("LENGTH", &written.len().to_string())
    );
}

#[test]
fn one_balancer_writes_these_files() {
    let upstream = Upstream::start(|_| ok(""));
    let mut config = config(members(&[&upstream]));
    config["fleet"] = json!({"charter": [0], "bedrock": []});
    let mut fleet = ProcessCluster::start(DAEMON, 3, &config);
    fleet.until_ready();
    let admin = fleet.node(0).operators.expect("an admin API");
    transcript::check(admin, include_str!("admin_before_stop.txt"), &["revision", "id", "entry"]);
    fleet.node(0).signal("TERM");
    assert_eq!(fleet.node(0).exit_code(), Some(0));
    let directory = fleet.directory(0);
    let expected: Vec<&str> = include_str!("files.txt").lines().collect();
    assert_eq!(files_below(directory), expected);
    let mut masked = Vec::new();
    for (file, keys) in [
        ("hollowpaddle-n0/said.json", &[][..]),
        ("state/bank/snapshot", &["epoch", "crc32"][..]),
        ("state/snapshot", &["generation", "written_ms", "crc32", "length", "learned_ms"][..]),
    ] {
        let text = fs::read_to_string(directory.join(file)).expect("a file");
        masked.push(format!("{file}\n{}", mask(&text, keys)));
    }
    assert_eq!(masked.join("\n\n"), include_str!("files_content.txt").trim_end());
    let log = fs::read(directory.join("state/bank/council.log")).expect("a file");
    assert_eq!(log[..LOG_HEAD.len()], LOG_HEAD);
}
