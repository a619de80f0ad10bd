//! `hollowpaddlectl status` as a program, against the daemon that it carries.

use std::process::{Command, Output};

use hollowpaddle_rehearsal::process_cluster::until;
use hollowpaddle_rehearsal::scripted::*;

const CTL: &str = env!("CARGO_BIN_EXE_hollowpaddlectl");

fn daemon(state: Option<&std::path::Path>) -> Node {
    let upstream = Upstream::start(|_| ok("done"));
    let mut command = Command::new(CTL);
    command.arg("daemon").env("LB_CONTROL", "127.0.0.1:0");
    command.envs(state.map(|dir| ("LB_STATE_DIR", dir)));
    Node::start(command, &config(members(&[&upstream])))
}

fn status(at: &str, more: &[&str]) -> Output {
    Command::new(CTL).args(["status", "--at", at]).args(more).output().expect("it starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn it_tells_from_what_a_balancer_started_and_when_there_is_something_to_look_at() {
    let dir = tempfile::tempdir().expect("a folder");
    let state = dir.path().join("state");
    let node = daemon(Some(&state));
    let at = node.operators.expect("a door").to_string();
    until("the start is noted", || text(&status(&at, &[]).stdout).contains("saved: generation"));
    let done = status(&at, &[]);
    let printed = text(&done.stdout);
    assert!(done.status.success(), "{printed}");
    assert!(printed.starts_with("start 1, way usual, from nothing; 0 of the starts"), "{printed}");
    let done = status(&at, &["--json"]);
    let told: serde_json::Value = serde_json::from_slice(&done.stdout).expect("JSON");
    assert_eq!((&told["keeps"], &told["start"]["starts"]), (&true.into(), &1.into()));
    drop(node);
    // What is not believed is something to look at.
    std::fs::write(state.join("snapshot"), "torn").expect("written");
    let node = daemon(Some(&state));
    let done = status(&node.operators.expect("a door").to_string(), &[]);
    let printed = text(&done.stdout);
    assert_eq!(done.status.code(), Some(1), "{printed}");
    assert!(printed.contains("not believed: ") && printed.contains("first line"), "{printed}");
}

#[test]
fn one_that_keeps_nothing_says_so_and_nobody_there_is_exit_2() {
    let node = daemon(None);
    let done = status(&node.operators.expect("a door").to_string(), &[]);
    assert!(done.status.success() && text(&done.stdout).contains("keeps nothing"));
    // Clients' door is not the operators'.
    let done = status(&node.address.to_string(), &[]);
    assert_eq!(done.status.code(), Some(2), "{}", text(&done.stdout));
    assert!(text(&done.stderr).contains("expected the door of a balancer"));
    let free =
        std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("one");
    assert_eq!(status(&free.to_string(), &[]).status.code(), Some(2));
    assert_eq!(status("nowhere", &[]).status.code(), Some(2));
}
