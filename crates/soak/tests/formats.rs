//! Pins the configuration given to daemons under test and the text of a violation.

use hollowpaddle_soak::checker::{Rule, Violation};
use serde_json::{Value, json};

// The module is private to the package, so it is included by path. The daemon reads the configuration that it writes.
#[allow(dead_code)]
#[path = "../src/settings.rs"]
mod settings;

const CONFIGURATION: &str = include_str!("formats/balancer.json");

#[test]
fn configuration_of_a_balancer_keeps_its_keys_and_values() {
    let written = settings::config(2, 3, "127.0.0.1:9000", &json!([{"id": "s-0"}]));
    let expected: Value = serde_json::from_str(CONFIGURATION).expect("JSON");
    assert_eq!(written, expected);
}

#[test]
fn broken_rules_are_printed_under_their_names() {
    for (rule, name) in [
        (Rule::Answered, "Answered"),
        (Rule::Once, "Once"),
        (Rule::RefusedTruly, "RefusedTruly"),
        (Rule::Drained, "Drained"),
        (Rule::Left, "Left"),
        (Rule::Deadline, "Deadline"),
        (Rule::Cold, "Cold"),
        (Rule::Daemon, "Daemon"),
    ] {
        let violation =
            Violation { rule, kind: "kind of break", details: "what was seen".to_string() };
        assert_eq!(violation.to_string(), format!("{name}, kind of break: what was seen"));
    }
}
