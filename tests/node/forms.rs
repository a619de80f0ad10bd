//! The forms that requests and answers of HTTP/1.1 have, long ones and slow ones among them.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::start;
use hollowpaddle_rehearsal::scripted::*;

fn head(id: &str, more: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: alarm\r\n\
         X-Deadline-Ms: 5000\r\n{more}\r\n"
    )
}

#[test]
fn a_chunked_request_is_read_and_goes_on_whole() {
    let upstream = Upstream::start(|_| ok("done"));
    let node = start(&config(members(&[&upstream])));
    let mut client = node.client();
    // Extensions and trailers belong to the coding, not to the body; the second follows on the connection.
    for id in ["r1", "r2"] {
        let body = "5;x=1\r\nhello\r\n6\r\n there\r\n0\r\nX-Sum: 1\r\n\r\n";
        let answer = client.ask(&(head(id, "Transfer-Encoding: Chunked\r\n") + body));
        assert_eq!(answer.status(), 200);
        let (_, seen) = upstream.request();
        assert_eq!(seen.body, b"hello there");
        assert_eq!((seen.header("content-length"), seen.header("transfer-encoding")), ("11", ""));
    }
}

#[test]
fn a_target_may_name_the_host_once_more() {
    let upstream = Upstream::start(|_| ok("done"));
    let node = start(&config(members(&[&upstream])));
    let absolute = read("r1", 5000).replace("GET /api", "GET http://api.internal/api");
    assert_eq!(node.client().ask(&absolute).status(), 200);
    assert_eq!(upstream.request().1.first, "GET /api?of=r1 HTTP/1.1");
}

#[test]
fn a_requests_time_counts_from_its_last_byte() {
    let upstream = Upstream::start(|_| ok("done"));
    let node = start(&config(members(&[&upstream])));
    let mut client = node.client();
    // It takes longer to come than its client will wait for the answer.
    let text = head("r1", "Content-Length: 6\r\n").replace("5000", "400");
    client.send(&text);
    for _ in 0..6 {
        std::thread::sleep(Duration::from_millis(120));
        client.send("x");
    }
    assert_eq!(client.answer().expect("an answer").status(), 200);
    let left: u64 = upstream.request().1.header("x-deadline-ms").parse().expect("whole");
    assert!(left > 200 && left < 400, "{left} ms were left");
}

/// Sends this, and reads what comes for it: at first so much, then what `then` leaves.
fn reads(node: &Node, first: usize, then: impl FnOnce()) -> Vec<u8> {
    let mut stream = TcpStream::connect(node.address).expect("it accepts");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a limit");
    stream.write_all(alarm("r1", 5000, "x").as_bytes()).expect("written");
    let mut all = vec![0; first];
    stream.read_exact(&mut all).expect("the beginning comes before the end");
    then();
    // Ends by a close, or by the limit.
    let _ = stream.read_to_end(&mut all);
    all
}

#[test]
fn a_long_answer_begins_before_it_ends_and_a_broken_one_can_be_told() {
    let half = "x".repeat(100_000);
    let framed = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{half}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n{half}\r\n"),
    ];
    for begun in framed {
        let (go, waits) = channel();
        let waits = Arc::new(Mutex::new(waits));
        let upstream =
            Upstream::start(move |_| Action::RespondThenClose(begun.clone(), waits.clone()));
        let node = start(&config(members(&[&upstream])));
        let all = reads(&node, 90_000, || go.send(()).expect("the upstream waits"));
        let text = String::from_utf8_lossy(&all);
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        if head.to_lowercase().contains("content-length: 200000") {
            assert!(body.len() < 200_000);
        } else {
            assert!(!body.ends_with("0\r\n\r\n"), "it passes for whole");
        }
        assert_eq!(upstream.requests_so_far(), 1, "it may have run");
    }
}

#[test]
fn a_long_answer_outlasts_its_deadline_and_a_planned_end() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let half = "x".repeat(100_000);
    let begun = format!("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{half}");
    let upstream = Upstream::start(move |_| Action::RespondTwice(begun.clone(), waits.clone()));
    let mut config = config(members(&[&upstream]));
    for service in config["settings"]["Services"].as_array_mut().expect("classes") {
        service["Deadline"] = 300.into();
        service["Aim"] = 200.into();
    }
    let mut node = start(&config);
    let mut stream = TcpStream::connect(node.address).expect("it accepts");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a limit");
    stream.write_all(alarm("r1", 300, "x").as_bytes()).expect("written");
    let mut all = vec![0; 90_000];
    stream.read_exact(&mut all).expect("it begins");
    node.signal("TERM");
    std::thread::sleep(Duration::from_millis(1500));
    assert!(node.child.try_wait().expect("a child").is_none(), "it did not wait");
    go.send(()).expect("the upstream waits");
    stream.read_to_end(&mut all).expect("to its end");
    let text = String::from_utf8_lossy(&all);
    assert_eq!(text.split_once("\r\n\r\n").expect("a head").1.len(), 200_000);
    assert_eq!(node.exit_code(), Some(0));
}
