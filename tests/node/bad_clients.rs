//! Clients that send what no request is, or nothing: what they get, and that the others don't notice.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::{start, start_with};
use hollowpaddle_rehearsal::scripted::*;
use hollowpaddle_syscall_faults::{Errno, Fault, Shim};
use serde_json::json;

/// Everything that comes until the connection ends, and whether it ended in order.
fn rest(stream: &mut TcpStream) -> (String, bool) {
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a limit");
    let mut all = Vec::new();
    let ended = stream.read_to_end(&mut all);
    assert!(!matches!(&ended, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock), "left alone");
    (String::from_utf8_lossy(&all).into_owned(), ended.is_ok())
}

/// Sends this on a connection of its own, and waits for its end.
fn sends(node: &Node, text: &[u8]) -> (String, bool) {
    let mut stream = TcpStream::connect(node.address).expect("it accepts");
    // The end may come before all is written.
    let _ = stream.write_all(text);
    rest(&mut stream)
}

#[test]
fn what_could_be_read_in_two_ways_reaches_no_upstream() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&config(members(&[&upstream])));
    let head = |more: &str| {
        format!("POST /api HTTP/1.1\r\nHost: a\r\nX-Class: alarm\r\nX-Deadline-Ms: 5000\r\n{more}")
    };
    let hidden = "GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: h\r\n\r\n";
    let chunked = format!("0\r\n\r\n{hidden}");
    let (te, cl) =
        ("Transfer-Encoding: chunked\r\n", format!("Content-Length: {}\r\n", chunked.len()));
    let id = "X-Request-Id: r\r\n";
    let wrong = [
        head(&format!("{id}{te}{cl}\r\n{chunked}")),
        head(&format!("{id}{cl}{te}\r\n{chunked}")),
        head(&format!("{id}Transfer-Encoding: gzip, chunked\r\n\r\n{chunked}")),
        head(&format!("{id}{te}{te}\r\n{chunked}")),
        head(&format!("{id}Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy")),
        head(&format!("{id}Content-Length: -1\r\n\r\nx")),
        head(&format!("{id}Content-Length: 99999999999999999999\r\n\r\nx")),
        head(&format!("{id}X-Request-Id: s\r\nContent-Length: 1\r\n\r\nx")),
        head(&format!("{id}X-Class: read\r\nContent-Length: 1\r\n\r\nx")),
        head(&format!("{id}Host: b\r\nContent-Length: 1\r\n\r\nx")),
        head(&format!("X-Request-Id: {}\r\nContent-Length: 1\r\n\r\nx", "r".repeat(1000))),
        read("r", 5000).replace("/api?", "http://a/api?"),
        read("r", 5000).replace("5000", "+5000"),
    ];
    for text in wrong {
        let (answer, _) = sends(&node, text.as_bytes());
        let status = answer.split(' ').nth(1).unwrap_or_default();
        assert!(status.starts_with('4'), "{text}\n{answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{text}\n{answer}");
    }
    let (answer, _) = sends(&node, &[b"\x00\xff\r\n\r\n".as_slice(), &[7; 64]].concat());
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    assert_eq!(upstream.requests_so_far(), 0);
}

#[test]
fn a_client_that_still_sends_gets_its_error_whole() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&config(members(&[&upstream])));
    let body = "x".repeat(3 << 20);
    // More than any buffer between the two holds, and the answer comes long before the end of it.
    let text = alarm("r", 5000, &body).replace("X-Class: alarm", "X-Class: none");
    let (answer, in_order) = sends(&node, text.as_bytes());
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer:?}");
    assert!(in_order, "the answer could have been lost to a reset");
}

#[test]
fn the_id_of_an_open_request_is_taken_until_it_ends() {
    let (go, waits) = std::sync::mpsc::channel();
    let waits = std::sync::Arc::new(std::sync::Mutex::new(waits));
    let upstream = Upstream::start(move |_| Action::RespondOnSignal(waits.clone()));
    let node = start(&config(members(&[&upstream])));
    let mut first = node.client();
    first.send(&read("r", 5500));
    upstream.request();
    assert_eq!(node.client().ask(&read("r", 5000)).status(), 409);
    go.send(()).expect("the upstream waits");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    go.send(()).expect("the upstream waits");
    assert_eq!(first.ask(&read("r", 5000)).status(), 200, "the first is over");
}

#[test]
fn the_id_of_one_tenants_request_is_free_for_another_tenant() {
    let (go, waits) = std::sync::mpsc::channel();
    let waits = std::sync::Arc::new(std::sync::Mutex::new(waits));
    let start_upstream = || {
        let waits = waits.clone();
        Upstream::start(move |message| match message.header("x-tenant") {
            "acme" => Action::RespondOnSignal(waits.clone()),
            _ => ok("ok"),
        })
    };
    // One is held up by the first request.
    let upstreams = [start_upstream(), start_upstream()];
    let mut config = config(members(&upstreams.each_ref()));
    config["settings"]["Tenants"] = json!([
        {"Name": "acme", "QuotaRps": 100.0, "Share": 0.5},
        {"Name": "other", "QuotaRps": 100.0, "Share": 0.5},
    ]);
    let node = start(&config);
    let of = |tenant: &str| {
        read("r", 5000).replace("X-Class", &format!("X-Tenant: {tenant}\r\nX-Class"))
    };
    let mut first = node.client();
    first.send(&of("acme"));
    let begun = Instant::now();
    while upstreams.iter().all(|upstream| upstream.requests_so_far() == 0) {
        assert!(begun.elapsed() < EVENT_TIMEOUT, "it is not sent on");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(node.client().ask(&of("other")).status(), 200);
    assert_eq!(node.client().ask(&of("acme")).status(), 409, "its own is taken");
    go.send(()).expect("the upstream waits");
    assert_eq!(first.answer().expect("an answer").status(), 200);
}

// Failure: the time within which such a client is told or closed on began when its connection was accepted.
#[test]
fn wait_in_the_backlog_counts_towards_the_time_of_a_client_that_sends_no_whole_request() {
    let upstream = Upstream::start(|_| ok("ok"));
    let shim = Shim::new().expect("a temporary file");
    let node = start_with(&shim, &config(members(&[&upstream])));
    shim.set(Fault::Accept(Errno::TooManyOpenFiles, 1)).expect("written");
    // The accept that has begun before the fault still takes one connection.
    let _accepted = node.client();
    let whole = alarm("r", 5000, "whole");
    let waiting: Vec<_> =
        ["", "POST /api HT", &whole[..whole.len() - 7], &whole[..whole.len() - 2]]
            .into_iter()
            .map(|start| {
                let mut stream = TcpStream::connect(node.address).expect("the backlog has room");
                stream.write_all(start.as_bytes()).expect("written");
                (Instant::now(), stream)
            })
            .collect();
    std::thread::sleep(Duration::from_secs(1));
    shim.set(Fault::Accept(Errno::TooManyOpenFiles, 0)).expect("written");
    for (i, (from, mut stream)) in waiting.into_iter().enumerate() {
        rest(&mut stream);
        assert!(from.elapsed() < Duration::from_secs(3), "{i}: {:?}", from.elapsed());
    }
}

#[test]
fn who_sends_no_whole_request_is_told_or_closed_on_within_three_seconds() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&config(members(&[&upstream])));
    let whole = alarm("r", 5000, "whole");
    let starts = ["", "POST /api HT", &whole[..whole.len() - 7], &whole[..whole.len() - 2]];
    let mut all: Vec<_> = starts
        .iter()
        .map(|start| {
            let mut stream = TcpStream::connect(node.address).expect("it accepts");
            stream.write_all(start.as_bytes()).expect("written");
            (Instant::now(), stream)
        })
        .collect();
    // A kept connection owes its next head as soon.
    let mut kept = TcpStream::connect(node.address).expect("it accepts");
    kept.write_all(read("k", 5000).as_bytes()).expect("written");
    assert!(kept.read(&mut [0; 4096]).expect("an answer") > 0);
    kept.write_all(b"GET /api").expect("written");
    all.push((Instant::now(), kept));
    for (i, (from, mut stream)) in all.into_iter().enumerate() {
        rest(&mut stream);
        assert!(from.elapsed() < Duration::from_millis(2900), "{i}: {:?}", from.elapsed());
    }
    assert_eq!(upstream.requests_so_far(), 1);
}

#[test]
fn a_head_that_begins_late_on_a_new_connection_has_its_own_time() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&config(members(&[&upstream])));
    let mut client = node.client();
    let text = read("late", 5000);
    let (half, rest) = text.split_at(40);
    std::thread::sleep(Duration::from_millis(2200));
    client.send(half);
    std::thread::sleep(Duration::from_millis(500));
    client.send(rest);
    assert_eq!(client.answer().expect("an answer").status(), 200);
}

#[test]
fn hundreds_that_say_nothing_keep_nobody_out() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(members(&[&upstream]));
    config["limits"]["sockets"] = json!(128); // 52 for clients.
    let node = start(&config);
    let mut busy = node.client();
    assert_eq!(busy.ask(&read("first", 5000)).status(), 200);
    let crowd: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(node.address).expect("the backlog holds it")).collect();
    let from = Instant::now();
    assert_eq!(node.client().ask(&read("r", 5000)).status(), 200);
    // Sooner than a head's own limit would have made room for 150 before it.
    assert!(from.elapsed() < Duration::from_millis(1900), "{:?}", from.elapsed());
    // One that was in use just now is not what gives way.
    assert_eq!(busy.ask(&read("last", 5000)).status(), 200);
    drop(crowd);
}

#[test]
fn clients_that_ask_once_and_stay_give_way_before_those_that_go_on_asking() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(members(&[&upstream]));
    config["limits"]["sockets"] = json!(256); // Up to 64 may idle.
    let node = start(&config);
    let mut busy = node.client();
    let mut stay: Vec<Client> = Vec::new();
    for i in 0..80 {
        stay.push(node.client());
        assert_eq!(stay[i].ask(&read(&format!("once-{i}"), 5000)).status(), 200);
        assert_eq!(busy.ask(&read(&format!("busy-{i}"), 5000)).status(), 200);
    }
    let since = Instant::now();
    for client in &mut stay[..17] {
        assert!(client.answer().is_none(), "closed");
    }
    assert!(since.elapsed() < Duration::from_secs(1), "not only for having idled too long");
    assert_eq!(stay[79].ask(&read("again", 5000)).status(), 200);
}
