//! A transcript: calls of the admin API and their answers, as text.
//!
//! Blocks are separated by blank lines. The first line of a block is `METHOD PATH [BODY]`, the second the status, and
//! the lines after it are the answer, joined without their indentation. A call that begins with `until` is repeated
//! until it is answered so. `#` stands for a value that differs between runs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowpaddle_rehearsal::scripted::Client;

/// How long an `until` call is repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Plays a transcript against an admin API. Values of the `masked` keys differ between runs.
pub fn check(admin: SocketAddr, transcript: &str, masked: &[&str]) {
    let mut differences = Vec::new();
    for block in transcript.trim().split("\n\n") {
        let (call, expected) = block.split_once('\n').expect("a call and its answer");
        let expected: String =
            expected.lines().map(|line| line.trim_start().to_owned() + "\n").collect();
        let (status, body) = expected.split_once('\n').expect("a status and a body");
        let expected = format!("{status} {}", body.replace('\n', ""));
        let found = answer_to(admin, call, &expected, masked);
        if found != expected {
            differences.push(format!("{call}\nexpected: {expected}\n   found: {found}"));
        }
    }
    assert!(differences.is_empty(), "{}", differences.join("\n\n"));
}

/// The answer to a call, or to the last repetition of an `until` call.
fn answer_to(admin: SocketAddr, call: &str, expected: &str, masked: &[&str]) -> String {
    let Some(repeated) = call.strip_prefix("until ") else { return ask(admin, call, masked) };
    let started = Instant::now();
    loop {
        let found = ask(admin, repeated, masked);
        if found == expected || started.elapsed() > ANSWER_TIMEOUT {
            return found;
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Status and body of one answer.
fn ask(admin: SocketAddr, call: &str, masked: &[&str]) -> String {
    let mut parts = call.splitn(3, ' ');
    let (method, path) = (parts.next().expect("a method"), parts.next().expect("a path"));
    let body = parts.next().unwrap_or_default();
    let length = body.len();
    let mut client = Client::to(admin);
    client.send(&format!(
        "{method} {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
    ));
    let Some(answer) = client.answer() else { return "closed without an answer".to_string() };
    assert_eq!(answer.header("content-type"), "application/json", "{call}");
    let text = String::from_utf8(answer.body.clone()).expect("UTF-8");
    let text = text.strip_suffix('\n').expect("an answer ends its line");
    format!("{} {}", answer.status(), mask(text, masked))
}

/// The text with `#` for the values of these keys: for a number or a string as a whole, for an object or an array for
/// each number in it.
pub fn mask(text: &str, keys: &[&str]) -> String {
    let mut masked = text.to_string();
    for key in keys {
        let key = format!("\"{key}\":");
        let mut from = 0;
        while let Some(at) = masked[from..].find(&key) {
            let value = from + at + key.len();
            let end = value + length_of_value(&masked[value..]);
            let replaced = mask_value(&masked[value..end]);
            masked.replace_range(value..end, &replaced);
            from = value;
        }
    }
    masked
}

fn mask_value(value: &str) -> String {
    match value.as_bytes()[0] {
        b'{' | b'[' => {
            let mut masked = String::new();
            for character in value.chars() {
                match character {
                    '0'..='9' if masked.ends_with('#') => {}
                    '0'..='9' => masked.push('#'),
                    other => masked.push(other),
                }
            }
            masked
        }
        _ => "#".to_string(),
    }
}

/// Where the JSON value ends that the text begins with. Strings in it hold no brackets.
fn length_of_value(text: &str) -> usize {
    if let Some(string) = text.strip_prefix('"') {
        return string.find('"').map_or(text.len(), |end| end + 2);
    }
    let mut depth = 0;
    for (at, character) in text.char_indices() {
        match character {
            '{' | '[' => depth += 1,
            '}' | ']' if depth == 0 => return at,
            ',' if depth == 0 => return at,
            '}' | ']' => depth -= 1,
            _ => {}
        }
    }
    text.len()
}
