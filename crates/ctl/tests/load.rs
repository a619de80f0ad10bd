//! `hollowpaddlectl load` as a program.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread;

use serde_json::Value;

const CTL: &str = env!("CARGO_BIN_EXE_hollowpaddlectl");

fn load(arguments: &[&str]) -> Output {
    Command::new(CTL).arg("load").args(arguments).output().expect("it starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A server on this machine that answers every head with 200 and tells what it read, a connection each.
fn server() -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (tell, told) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, tell) = (stream.expect("accepted"), tell.clone());
            thread::spawn(move || {
                let mut read = Vec::new();
                let mut part = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut part) {
                    read.extend_from_slice(&part[..n]);
                    while let Some(at) = read.windows(4).position(|w| w == b"\r\n\r\n") {
                        let head = text(&read[..at]).to_lowercase();
                        read.drain(..at + 4);
                        let _ = tell.send(head);
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                    }
                }
            });
        }
    });
    (address, told)
}

#[test]
fn a_load_is_sent_and_told_of() {
    let (address, told) = server();
    let target = format!("http://{address}/here");
    let done = load(&["--target", &target, "--rate", "200", "--for", "1s", "--json", "-"]);
    // A busy machine may make the tool late; it says so then, and the rest holds.
    let code = done.status.code();
    assert!(matches!(code, Some(0 | 1)), "{}", text(&done.stderr));
    let report: Value = serde_json::from_slice(&done.stdout).expect("JSON");
    assert_eq!(report.get("doubt").is_some(), code == Some(1));
    let counts = &report["classes"][0]["counts"];
    let asked = counts["asked"].as_u64().expect("a count");
    assert!((120..300).contains(&asked), "{report}");
    assert_eq!(counts["asked"], counts["served"], "{report}");
    let heads: Vec<String> = told.try_iter().collect();
    assert_eq!(heads.len() as u64, asked);
    assert!(heads.iter().all(|h| h.starts_with("get /here http/1.1")), "{}", heads[0]);
    assert!(report["connections"].as_u64().expect("a count") < asked, "connections are kept");
}

#[test]
fn the_platforms_words_go_with_a_profile() {
    let (address, told) = server();
    let profile = concat!(env!("CARGO_MANIFEST_DIR"), "/../../profiles/gateway.toml");
    let target = format!("http://{address}");
    let done =
        load(&["--target", &target, "--profile", profile, "--closed", "2", "--for", "300ms"]);
    assert!(text(&done.stdout).contains("delivery-log"), "{}", text(&done.stderr));
    let heads: Vec<String> = told.try_iter().collect();
    let ids: std::collections::HashSet<&str> =
        heads.iter().filter_map(|h| h.lines().find(|l| l.starts_with("x-request-id: "))).collect();
    // The bodies of those that have one pass for the beginning of the next head here.
    assert!(ids.len() == heads.len() && heads.len() > 20, "{} of {}", ids.len(), heads.len());
    assert!(heads.iter().any(|h| h.contains("idempotency-key: ") && h.contains("post /api")));
    assert!(heads.iter().all(|h| h.contains("x-deadline-ms: ")));
}

#[test]
fn bad_input_and_nobody_there_are_told_and_exit_2() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let nobody = format!("http://{closed}");
    for (arguments, told) in [
        (&["--target", "ftp://127.0.0.1"][..], "not an http URL"),
        (&["--target", "http://192.0.2.1:80", "--for", "100ms"], "is no loopback address"),
        (&["--target", "http://127.0.0.1:1", "--rate", "0"], "requests a second"),
        (&["--target", "http://127.0.0.1:1", "--ramp", "3"], "expected A..B"),
        (&["--target", "http://127.0.0.1:1", "--for", "soon"], "invalid value 'soon'"),
        (&["--target", "http://127.0.0.1:1", "--profile", "no-such.toml"], "no-such.toml: "),
        (&["--target", &nobody, "--for", "200ms"], "nobody takes connections there"),
    ] {
        let done = load(arguments);
        assert_eq!(done.status.code(), Some(2), "{arguments:?}");
        assert!(text(&done.stderr).contains(told), "{arguments:?}: {}", text(&done.stderr));
    }
}
