//! The simulator's wire format: every message and key that the adapter reads, and every command that it writes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};
use wire::Command as WireCommand;

// The decision module never uses some of the commands, so that their form is checked in the module that writes them.
#[allow(dead_code)]
#[path = "../src/wire.rs"]
mod wire;

const INPUT: &str = include_str!("formats/input.jsonl");
const OUTPUT: &str = include_str!("formats/output.jsonl");

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hollowpaddle-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit at a malformed line, before it has read the rest.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

/// Returns the error message of the adapter for an input, without the name of the program.
fn error_message(input: &str) -> String {
    let output = run(input);
    assert_eq!(output.status.code(), Some(1), "{input}");
    let text = String::from_utf8(output.stderr).expect("UTF-8");
    let (_program, message) = text.trim_end().split_once(": ").expect("program: message");
    message.to_string()
}

#[test]
fn commands_are_written_byte_for_byte() {
    let output = run(INPUT);
    assert!(output.status.success());
    assert_eq!(String::from_utf8(output.stdout).expect("UTF-8"), OUTPUT);
}

#[test]
fn every_command_keeps_its_form() {
    let (balancer, request, upstream) = (3, "rq-a", "10.0.0.1:80");
    for (command, text) in [
        (
            WireCommand::Relay { balancer, request, upstream, timeout: 100.5 },
            r#"{"Relay":{"Who":3,"Job":"rq-a","Upstream":"10.0.0.1:80","AllowFor":100.5}}"#,
        ),
        (
            WireCommand::NotNow { balancer, request, retry_after: 95.0 },
            r#"{"NotNow":{"Who":3,"Job":"rq-a","CoolDown":95.0}}"#,
        ),
        (
            WireCommand::FinishError { balancer, request },
            r#"{"FinishError":{"Who":3,"Job":"rq-a"}}"#,
        ),
        (
            WireCommand::Retract { balancer, request, attempt: 1 },
            r#"{"Retract":{"Who":3,"Job":"rq-a","Go":1}}"#,
        ),
        (
            WireCommand::Arm { balancer, token: 2, at: 1021.575 },
            r#"{"Arm":{"Who":3,"Token":2,"Instant":1021.575}}"#,
        ),
        (
            WireCommand::Ping { balancer, upstream },
            r#"{"Ping":{"Who":3,"Upstream":"10.0.0.1:80"}}"#,
        ),
        (
            WireCommand::FreeLinks { balancer, upstream },
            r#"{"FreeLinks":{"Who":3,"Upstream":"10.0.0.1:80"}}"#,
        ),
        (
            WireCommand::KeepInformed { balancer, enable: true },
            r#"{"KeepInformed":{"Who":3,"Enable":true}}"#,
        ),
    ] {
        assert_eq!(serde_json::to_string(&command).expect("JSON"), text);
    }
}

/// Returns every event that the adapter reads, with all keys except the enumerated ones.
fn events() -> Vec<(&'static str, Value)> {
    let line = json!({
        "Upstream": "10.0.0.1:80", "Az": 1, "Type": 1, "Pack": 1, "Status": "live", "CapacityHint": 1.5,
        "OnlineSince": 0.5,
    });
    let facts = json!({
        "Balancers": 1, "Tick": 1, "RegistryMode": "automatic",
        "Services": [{"Aim": 100, "Deadline": 300, "Effect": "fragile"}],
        "PolicyLimits": {"MaxAttempts": 3},
        "Safety": {"Cold": 5000, "ColdFrom": 0.25, "FallMultiple": 3, "TipAfter": 1000},
    });
    vec![
        (
            "Order",
            json!({
                "Who": 3, "Job": "a", "TierClass": 0, "Party": 0, "Object": "k", "DropDead": 9.5,
                "CostGuess": 1.5, "Resent": true, "Write": true,
            }),
        ),
        (
            "Result",
            json!({
                "Who": 3, "Job": "a", "Go": 0, "Upstream": "10.0.0.1:80", "Rc": 200,
                "Latency": 1.5, "Last": true, "Metrics": [1.5],
            }),
        ),
        ("TimeoutFired", json!({"Who": 3, "Token": 1})),
        ("Left", json!({"Who": 3, "Job": "a"})),
        ("Membership", json!({"Who": 3, "Kind": "update", "Lines": [line]})),
        (
            "Sampled",
            json!({
                "Who": 3, "Rc": 200, "Latency": 1.5, "Upstream": "10.0.0.1:80", "Metrics": [1.5],
            }),
        ),
        ("Established", json!({"Who": 3, "Job": "a"})),
        ("Memo", json!({"Who": 3})),
        ("Init", json!({"Who": 3, "Entropy": 5, "Facts": facts})),
        ("Down", json!({"Who": 3})),
    ]
}

fn batch(event: &str, body: &Value) -> String {
    format!("{}\n", json!({"Ts": 1000.5, "batch": 1, "msgs": [{event: body}]}))
}

/// Returns a value of a type that no key has.
fn wrong_value() -> Value {
    json!({"": true})
}

#[test]
fn every_key_of_every_event_is_read() {
    for (event, body) in events() {
        assert!(run(&batch(event, &body)).status.success(), "{event}");
        for key in body.as_object().expect("an object").keys() {
            let mut wrong = body.clone();
            wrong[key] = wrong_value();
            let message = error_message(&batch(event, &wrong));
            let start = format!("batch 1: field `msgs[0].{event}.{key}");
            assert!(message.starts_with(&start), "{start}: {message}");
        }
    }
}

#[test]
fn every_key_of_a_list_entry_is_read() {
    let (event, body) = events().swap_remove(4);
    let line = body["Lines"][0].as_object().expect("an object");
    for key in line.keys() {
        let mut wrong = body.clone();
        wrong["Lines"][0][key] = wrong_value();
        let message = error_message(&batch(event, &wrong));
        let start = format!("batch 1: field `msgs[0].Membership.Lines[0].{key}`: ");
        assert!(message.starts_with(&start), "{start}: {message}");
    }
}

#[test]
fn enumerated_keys_keep_their_values() {
    let membership = |kind: &str, status: &str| {
        let (event, mut body) = events().swap_remove(4);
        body["Kind"] = json!(kind);
        body["Lines"][0]["Status"] = json!(status);
        batch(event, &body)
    };
    for kind in ["update", "replace", "restored", "unavailable"] {
        assert!(run(&membership(kind, "live")).status.success(), "{kind}");
    }
    for status in ["live", "quiescing", "dead"] {
        assert!(run(&membership("update", status)).status.success(), "{status}");
    }
    for (input, expected) in [
        (
            membership("x", "live"),
            "batch 1: field `msgs[0].Membership.Kind`: unknown variant `x`, expected one of `update`, `replace`, \
             `restored`, `unavailable`",
        ),
        (
            membership("update", "x"),
            "batch 1: field `msgs[0].Membership.Lines[0].Status`: unknown variant `x`, expected one of `live`, \
             `quiescing`, `dead`",
        ),
        (
            batch("X", &json!({})),
            "batch 1: field `msgs[0]`: unknown variant `X`, expected one of `Order`, `Result`, `TimeoutFired`, \
             `Left`, `Membership`, `Sampled`, `Established`, `Memo`, `Init`, `Down`",
        ),
    ] {
        let message = error_message(&input);
        assert!(message.starts_with(expected), "{message}");
    }
}

#[test]
fn result_codes_decide_whether_an_unsafe_request_may_have_run() {
    // The first three batches start the instance, list one upstream and send an unsafe request there.
    let start: String = INPUT.split_inclusive('\n').take(3).collect();
    let result = |code: u16| {
        let result = json!({"Who": 3, "Job": "rq-failed", "Go": 0, "Upstream": "10.0.0.1:80", "Rc": code,
                            "Latency": 8});
        format!("{start}{}\n", json!({"Ts": 1010, "batch": 4, "msgs": [{"Result": result}]}))
    };
    for (code, fails) in [
        (200, false),
        (410, false),
        (499, true),
        (500, true),
        (502, false),
        (503, false),
        (504, true),
        (598, true),
    ] {
        let output = run(&result(code));
        assert!(output.status.success(), "{code}");
        let text = String::from_utf8(output.stdout).expect("UTF-8");
        assert_eq!(
            text.contains(r#"{"FinishError":{"Who":3,"Job":"rq-failed"}}"#),
            fails,
            "{code}"
        );
    }
    assert_eq!(error_message(&result(299)), "batch 4: message 0: field `Rc`: no outcome 299");
}

#[test]
fn messages_for_a_batch_that_cannot_be_read_keep_their_text() {
    let empty = r#"{"Ts":1,"batch":7,"msgs":[]}"#;
    for (input, message) in [
        (
            r#"{"Ts":1,"msgs":[]}"#.to_string(),
            "the first batch: missing field `batch` at line 1 column 18",
        ),
        (
            format!("{empty}\n{{"),
            "the batch after 7: field `?`: EOF while parsing an object at line 1 column 1",
        ),
        (r#"{"batch":8,"msgs":[]}"#.to_string(), "batch 8: missing field `Ts` at line 1 column 21"),
        (r#"{"Ts":1,"batch":8}"#.to_string(), "batch 8: missing field `msgs` at line 1 column 18"),
        (
            batch("Order", &json!({"Who": 1, "Job": "a", "TierClass": 0})),
            "batch 1: field `msgs[0].Order`: missing field `DropDead` at line 1 column 73",
        ),
    ] {
        assert_eq!(error_message(&input), message);
    }
}
