//! Tests of the formats that the gateway reads, against literal data in this folder: the configuration with every known key,
//! the error messages for wrong values, which contain the key, and files of the state directory. Renames in the program must
//! not change these formats.

mod stored_files;

use hollowpaddle_gateway::{Config, ConfigError};
use serde_json::Value;

const COMPLETE: &str = include_str!("complete.json");
/// Lines with a JSON pointer, a wrong value for it and the expected message, separated by ` | `.
const WRONG_VALUES: &str = include_str!("wrong_values.txt");

/// Parses the file without environment variables.
fn parse(file: &Value) -> Result<Config, ConfigError> {
    Config::parse("config.json", file.to_string().as_bytes(), |_| None)
}

fn complete() -> Value {
    serde_json::from_str(COMPLETE).expect("JSON")
}

/// Returns the error message for the complete file with one added or replaced value, without the position in the text.
/// Returns `none` if the file is accepted.
fn message_with(pointer: &str, wrong: Value) -> String {
    let mut file = complete();
    match file.pointer_mut(pointer) {
        Some(value) => *value = wrong,
        None => {
            let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
            file.pointer_mut(parent).expect("a parent")[key] = wrong;
        }
    }
    let Err(cause) = parse(&file) else { return "none".to_string() };
    let message = cause.to_string();
    message.split(" at line ").next().unwrap_or_default().to_string()
}

/// Collects the JSON pointers to all values below this one.
fn pointers_below(value: &Value, pointer: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(object) => object.iter().map(|(key, child)| (key.clone(), child)).collect(),
        Value::Array(array) => array.iter().enumerate().map(|(i, c)| (i.to_string(), c)).collect(),
        _ => Vec::new(),
    };
    for (key, child) in children {
        let pointer = format!("{pointer}/{key}");
        pointers_below(child, &pointer, found);
        found.push(pointer);
    }
}

#[test]
fn wrong_value_of_each_key_is_reported_with_this_message() {
    let mut differences = Vec::new();
    for line in WRONG_VALUES.lines() {
        let parts: Vec<&str> = line.splitn(3, " | ").collect();
        let [pointer, wrong, expected] = parts[..] else { panic!("three parts: {line}") };
        let found = message_with(pointer, serde_json::from_str(wrong).expect("JSON"));
        if found != expected {
            differences.push(format!("{pointer} | {wrong} | {found}"));
        }
    }
    assert!(differences.is_empty(), "found instead:\n{}", differences.join("\n"));
}

#[test]
fn each_key_of_the_complete_file_has_a_wrong_value() {
    let mut pointers = Vec::new();
    pointers_below(&complete(), "", &mut pointers);
    // Unreadable entries of the list are skipped, not reported.
    pointers.retain(|pointer| !pointer.starts_with("/known/members/"));
    let listed: Vec<&str> = WRONG_VALUES.lines().filter_map(|l| l.split(" | ").next()).collect();
    let missing: Vec<_> = pointers.iter().filter(|p| !listed.contains(&p.as_str())).collect();
    assert!(missing.is_empty(), "{missing:?}");
}
