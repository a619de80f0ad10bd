//! Runs the adapter as a process and checks its replies.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hollowpaddle-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit at the first malformed line, before it has read the rest.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn batch(n: u64, ts: f64, msgs: Value) -> String {
    format!("{}\n", json!({"Ts": ts, "batch": n, "msgs": msgs}))
}

fn init(who: u64) -> Value {
    json!({"Init": {"Who": who, "Entropy": 5, "Facts": {
        "Balancers": 2, "Zone": 0, "Tick": 1.0, "RegistryMode": "automatic", "Novelty": [1],
        "Services": [{"Aim": 100.0, "Deadline": 300.0, "Effect": "fragile"}],
        "PolicyLimits": {"MaxAttempts": 3},
        "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0},
    }}})
}

fn list(who: u64) -> Value {
    json!({"Membership": {"Who": who, "Kind": "restored", "Generation": 1, "Lines": [
        {"Upstream": "10.0.0.1:80", "Az": 0, "Type": 0, "Pack": 0, "Status": "live",
         "CapacityHint": 1}]}})
}

fn order(who: u64, job: &str, send_deadline: f64) -> Value {
    json!({"Order": {"Who": who, "Job": job, "TierClass": 0, "DropDead": send_deadline}})
}

fn replies(output: &Output) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).expect("UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect()
}

fn relays(reply: &Value) -> Vec<&Value> {
    reply["cmds"].as_array().expect("cmds").iter().filter_map(|c| c.get("Relay")).collect()
}

#[test]
fn request_is_relayed_with_its_balancer_named() {
    let output = run(&format!(
        "{}{}",
        batch(1, 1000.0, json!([init(3), list(3), init(4), list(4)])),
        batch(2, 1001.5, json!([order(3, "rq_a", 1200.0), order(4, "rq_b", 1200.0)])),
    ));
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(replies[1]["batch"], 2);
    let sent = relays(&replies[1]);
    assert_eq!(sent.len(), 2);
    assert_eq!((&sent[0]["Who"], &sent[0]["Job"]), (&json!(3), &json!("rq_a")));
    assert_eq!(sent[1]["Upstream"], "10.0.0.1:80");
}

#[test]
fn stopped_instance_starts_with_nothing() {
    let output = run(&format!(
        "{}{}",
        batch(1, 1000.0, json!([init(3), list(3), order(3, "rq_a", 1200.0)])),
        batch(
            2,
            1010.0,
            json!([
            {"Down": {"Who": 3}}, init(3), order(3, "rq_b", 1200.0),
            {"Result": {"Who": 3, "Job": "rq_a", "Go": 0, "Upstream": "10.0.0.1:80", "Rc": 200,
                        "Latency": 9.0, "Last": true}},
            {"Left": {"Who": 3, "Job": "rq_none"}}, {"TimeoutFired": {"Who": 9, "Token": 1}}])
        ),
    ));
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(relays(&replies[0]).len(), 1);
    assert!(relays(&replies[1]).is_empty(), "a new instance knows no upstreams");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed() {
    let output = run(&format!(
        "{}{}",
        batch(1, 1000.0, json!([init(0), list(0), order(0, "rq_a", 1200.0)])),
        batch(
            2,
            1010.0,
            json!([{"Result": {"Who": 0, "Job": "rq_a", "Go": 0,
            "Upstream": "10.0.0.1:80", "Rc": 598, "Latency": 9.0}}])
        ),
    ));
    let replies = replies(&output);
    assert!(replies[1]["cmds"].as_array().unwrap().iter().any(|c| c.get("FinishError").is_some()));
}

fn cmds<'a>(reply: &'a Value, name: &str) -> Vec<&'a Value> {
    reply["cmds"].as_array().expect("cmds").iter().filter_map(|c| c.get(name)).collect()
}

#[test]
fn order_placement_and_closing_settings_reach_the_module() {
    // Guards against an adapter that ignores ByArrival, TurnGap, ZonesAllowed, BoundTo and DrainClose.
    let mut start = init(0);
    let facts = &mut start["Init"]["Facts"];
    facts["Services"] = json!([
        {"Aim": 100.0, "Deadline": 300.0, "Effect": "retryable", "ByArrival": true},
        {"Aim": 100.0, "Deadline": 300.0, "Effect": "retryable", "ZonesAllowed": [1]},
        {"Aim": 100.0, "Deadline": 300.0, "Effect": "retryable", "BoundTo": [5]}]);
    facts["Safety"]["DrainClose"] = json!(50.0);
    facts["Safety"]["TurnGap"] = json!(30.0);
    let line = |name: &str, az: u32, status: &str| json!({"Upstream": name, "Az": az, "Type": 0, "Status": status});
    let lines = |kind: &str, lines: Value| json!({"Membership": {"Who": 0, "Kind": kind, "Generation": 1, "Lines": lines}});
    let order = |job: &str, class: u32, key: &str| json!({"Order": {"Who": 0, "Job": job, "TierClass": class, "DropDead": 1300.0, "Object": key}});
    let all: Vec<_> = (0..4).map(|i| line(&format!("10.0.0.{i}:80"), i % 2, "live")).collect();
    let output = run(&format!(
        "{}{}{}",
        batch(1, 1000.0, json!([start, lines("restored", json!(all))])),
        batch(
            2,
            1001.0,
            json!([
                order("a", 0, "00ff"),
                order("b", 0, "00ff"),
                order("c", 1, "0001"),
                order("d", 2, "0002")
            ])
        ),
        batch(3, 1002.0, json!([lines("update", json!([line("10.0.0.1:80", 1, "quiescing")]))])),
    ));
    assert!(output.status.success());
    let replies = replies(&output);
    let sent = relays(&replies[1]);
    let jobs: Vec<_> = sent.iter().map(|r| r["Job"].as_str().unwrap()).collect();
    assert_eq!(
        jobs,
        ["a", "c"],
        "b waits for its ordering key, d has no upstream of its machine type"
    );
    let at = sent[1]["Upstream"].as_str().unwrap();
    assert!(["10.0.0.1:80", "10.0.0.3:80"].contains(&at), "c is sent to zone 1: {at}");
    assert_eq!(cmds(&replies[2], "FreeLinks")[0]["Upstream"], "10.0.0.1:80");
}

fn error_message(line: &str) -> String {
    let output = run(&format!("{}{line}\n", batch(7, 1.0, json!([]))));
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(!text.contains("panicked"), "{text}");
    text
}

#[test]
fn malformed_input_is_named_in_one_line() {
    let text =
        error_message(r#"{"Ts":2,"batch":8,"msgs":[{"Order":{"Who":1,"Job":"a","TierClass":0}}]}"#);
    assert!(text.contains("batch 8") && text.contains("DropDead"), "{text}");
    let text = error_message(r#"{"Ts":2,"batch":8,"msgs":[{"Order":{"Who":"x"}}]}"#);
    assert!(text.contains("batch 8") && text.contains("Who"), "{text}");
    let text = error_message(r#"{"Ts":2,"batch":8,"msgs":[{"Surprise":{"Who":1}}]}"#);
    assert!(text.contains("batch 8") && text.contains("Surprise"), "{text}");
    let text = error_message(r#"{"Ts":2,"batch":"#);
    assert!(text.contains("the batch after 7"), "{text}");
    let unknown_outcome = json!([init(3), list(3), order(3, "rq_a", 1200.0), {"Result": {"Who": 3,
        "Job": "rq_a", "Go": 0, "Upstream": "10.0.0.1:80", "Rc": 299, "Latency": 9.0}}]);
    let text = error_message(batch(8, 1000.0, unknown_outcome).trim());
    assert!(text.contains("batch 8") && text.contains("Rc"), "{text}");
    let mut bad = init(1);
    bad["Init"]["Facts"]["Services"] = json!([]);
    let text = error_message(batch(8, 2.0, json!([bad])).trim());
    assert!(text.contains("batch 8") && text.contains("Facts"), "{text}");
}
