//! Upstreams whose answers are spoilt, or bring more than belongs to them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use crate::start;
use hollowpaddle_rehearsal::scripted::*;

const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood";

/// An upstream that answers `r1` in this way, and what comes after it properly.
fn first_answers(text: String) -> Upstream {
    Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => Action::Respond(text.clone()),
        _ => ok("own"),
    })
}

#[test]
fn what_cannot_be_an_answer_has_failed_at_once() {
    let spoilt = [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand then".to_string(),
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\ngood".to_string(),
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ngood!".to_string(),
        "\x07\x07noise\r\n\r\n".to_string(),
        format!("HTTP/1.1 200 OK\r\nX-More: {}", "x".repeat(40_000)),
        format!("HTTP/1.1 200 OK\r\n{}", "X-More: x\r\n".repeat(200)),
    ];
    for text in spoilt {
        let upstream = first_answers(text.clone());
        let node = start(&config(members(&[&upstream])));
        let from = Instant::now();
        let answer = node.client().ask(&alarm("r1", 6000, "x"));
        assert_eq!(answer.status(), 502, "{}", &text[..40.min(text.len())]);
        // The connection stays open: the deadline would have ended it otherwise.
        assert!(from.elapsed() < Duration::from_secs(3), "{}", &text[..40.min(text.len())]);
        assert_eq!(node.client().ask(&alarm("r2", 6000, "x")).body, b"own");
        assert_eq!(upstream.requests_so_far(), 2, "an unsafe request that may have run went again");
    }
}

#[test]
fn a_large_answer_is_passed_on_whole() {
    let large = "large".repeat(80_000);
    let upstream =
        first_answers(format!("HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{large}"));
    let node = start(&config(members(&[&upstream])));
    let answer = node.client().ask(&alarm("r1", 6000, "x"));
    assert_eq!(answer.status(), 200);
    assert!(answer.body == large.as_bytes());
}

#[test]
fn what_comes_ahead_of_an_answer_or_with_it_does_not_spoil_it() {
    let ahead = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let load = GOOD.replacen("\r\n", "\r\nX-Load: TEXT eps=-1, qps=1e999, inflight=\x01\r\n", 1);
    for text in [format!("{ahead}{GOOD}"), load.replace('\x01', "x")] {
        let upstream = first_answers(text);
        let node = start(&config(members(&[&upstream])));
        assert_eq!(node.client().ask(&alarm("r1", 6000, "x")).body, b"good");
    }
}

#[test]
fn what_follows_an_answer_is_nobodys() {
    for more in [GOOD, "\x07noise", "\r\n"] {
        let upstream = first_answers(format!("{GOOD}{more}"));
        let node = start(&config(members(&[&upstream])));
        let mut client = node.client();
        assert_eq!(client.ask(&alarm("r1", 6000, "x")).body, b"good");
        assert_eq!(client.ask(&alarm("r2", 6000, "x")).body, b"own", "{more:?}");
    }
}

#[test]
fn what_follows_a_moment_later_is_nobodys() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "r1" => Action::RespondTwice(GOOD.to_string(), waits.clone()),
        _ => ok("own"),
    });
    let node = start(&config(members(&[&upstream])));
    let mut client = node.client();
    assert_eq!(client.ask(&alarm("r1", 6000, "x")).body, b"good");
    // The copy and the next request are there at the same moment.
    node.signal("STOP");
    go.send(()).expect("the upstream waits");
    client.send(&alarm("r2", 6000, "x"));
    while !matches!(upstream.seen.recv_timeout(EVENT_TIMEOUT), Ok(Observation::Wrote)) {}
    node.signal("CONT");
    assert_eq!(client.answer().expect("an answer").body, b"own");
}
