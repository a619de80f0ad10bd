//! Processes that are replaced: what the one before them has run does not run again.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::operators::start_on;
use crate::start;
use hollowpaddle_rehearsal::scripted::*;
use serde_json::json;

/// Waits until the balancer says that it can serve.
fn wait_for_health(node: &Node) {
    let from = Instant::now();
    let admin = node.operators.expect("an admin API");
    while Client::to(admin).ask("GET /admin/health HTTP/1.1\r\nHost: a\r\n\r\n").status() != 200 {
        assert!(from.elapsed() < EVENT_TIMEOUT, "the balancer can't serve");
        thread::sleep(Duration::from_millis(5));
    }
}

// Failure: at an upgrade the newer process knows nothing of the ids that the older one has forwarded.
#[test]
fn id_of_a_departed_client_does_not_run_again_at_the_newer_process() {
    let upstream = Upstream::start(|message| match message.header("x-request-id") {
        "left" => Action::Hang,
        _ => ok("ok"),
    });
    let (directory, config) =
        (tempfile::tempdir().expect("a directory"), config(members(&[&upstream])));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut old = start_on(&listener, &config, directory.path());
    wait_for_health(&old);
    let mut leaves = old.client();
    leaves.send(&alarm("left", 5000, "x"));
    upstream.request();
    let new = start_on(&listener, &config, directory.path());
    wait_for_health(&new);
    drop(leaves);
    old.signal("TERM");
    assert_eq!(old.exit_code(), Some(0));
    let status = new.client().ask(&alarm("left", 300, "x")).status();
    assert_eq!((status, upstream.requests_so_far()), (409, 0), "status and further runs");
}

/// Waits until the balancer has forwarded a request to the only upstream that its list names.
fn wait_until_listed(node: &Node) {
    assert_eq!(node.client().ask(&read("listed", 5000)).status(), 200);
}

/// Listens on the address of a process that is about to end, and reports the requests received.
fn start_successor(address: SocketAddr) -> Receiver<String> {
    let (events, requests) = channel();
    let listener = TcpListener::bind(address).expect("the address is free");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = std::io::BufReader::new(stream.expect("accepted"));
            while let Some(message) = read_message(&mut reader) {
                let _ = events.send(message.header("idempotency-key").to_string());
                let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                let _ = std::io::Write::write_all(reader.get_mut(), response);
            }
        }
    });
    requests
}

// Guards against a repeat at the address of a process that has gone, where by the list a new process of another cell listens,
// which does not know the key.
#[test]
fn keyed_request_is_not_repeated_at_a_new_process_of_another_cell_at_the_same_address() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let node = start(&config(vec![member("s-0", address, "SERVING")]));
    let mut client = node.client();
    client.send(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r1\r\nX-Class: log\r\nIdempotency-Key: k1\r\n\
         X-Deadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx",
    );
    let stream: TcpStream = listener.accept().expect("an attempt").0;
    let mut reader = std::io::BufReader::new(stream);
    read_message(&mut reader).expect("a complete request, which may run");
    drop(listener);
    let repeated = start_successor(address);
    let (_, mut watch) = node.discovery.watch();
    let mut successor = member("s-1", address, "SERVING");
    successor["cell"] = json!(1);
    let list = json!({"revision": 42, "complete": true, "members": [successor]});
    chunk(&mut watch, &format!("{list}\n"));
    wait_until_listed(&node);
    drop(reader);
    assert_ne!(client.answer().expect("an answer").status(), 503, "it may have run");
    let keys: Vec<String> = repeated.try_iter().filter(|key| !key.is_empty()).collect();
    assert!(keys.is_empty(), "repeated in another cell: {keys:?}");
}
