//! The program that fits a line to lines of JSON.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::Value;

const MEASURED: &str = r#"{"upstreams":0,"classes":3,"rest":{"bytes":10.0}}
{"upstreams":100,"classes":3,"rest":{"bytes":20.0}}
{"upstreams":200,"classes":3,"rest":{"bytes":30.0}}
{"upstreams":200,"classes":1300,"rest":{"bytes":5000.0}}
{"upstreams":300,"classes":3,"rest":null}
"#;

fn fit(arguments: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_fit-slope"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut input = child.stdin.take().expect("its input");
    // It may end before it reads, where its arguments are wrong.
    let _ = input.write_all(MEASURED.as_bytes());
    drop(input);
    child.wait_with_output().expect("it ends")
}

#[test]
fn fits_the_lines_that_are_asked_for() {
    let output = fit(&["upstreams", "rest.bytes", "110", "classes=3"]);
    let line: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(line["points"], 3);
    assert!((line["slope"].as_f64().expect("a slope") - 0.1).abs() < 1e-9, "{line}");
    assert!((line["reaches_budget_at"].as_f64().expect("a count") - 1000.0).abs() < 1e-6, "{line}");
}

#[test]
fn rejects_a_filter_that_leaves_too_few_points() {
    let output = fit(&["upstreams", "rest.bytes", "classes=1300"]);
    assert!(!output.status.success());
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("a line needs 3 points"), "{message}");
}

#[test]
fn rejects_missing_arguments() {
    assert!(!fit(&["upstreams"]).status.success());
}
