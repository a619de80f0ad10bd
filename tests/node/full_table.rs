//! More clients than the daemon has slots for: which connections are closed, and what the others get.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::start;
use hollowpaddle_rehearsal::scripted::*;
use serde_json::{Value, json};

/// Descriptors of the daemon. The half that is not reserved belongs to clients.
const DESCRIPTORS: usize = 128;
/// Slots for clients that follow from [`DESCRIPTORS`].
const SLOTS: usize = (DESCRIPTORS - 24) / 2;
/// How long an idle connection is safe from eviction.
const EVICTABLE_AFTER: Duration = Duration::from_secs(2);
/// A final answer is owed half a second after its deadline (STANDING).
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// How long a client that asks may wait for a slot: a silent client may use its slot for 0.1 s, and the rest is for a busy
/// machine.
const MAX_WAIT_FOR_SLOT: Duration = Duration::from_millis(600);

fn small_config(upstream: &Upstream) -> Value {
    let mut config = config(members(&[upstream]));
    config["limits"]["sockets"] = json!(DESCRIPTORS);
    config
}

fn connect(node: &Node) -> TcpStream {
    TcpStream::connect(node.address).expect("the backlog has room")
}

/// Opens connections on which nothing is sent.
fn connect_silent(node: &Node, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| connect(node)).collect()
}

/// How the wait for an answer ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Answered,
    /// The connection ended without an answer.
    Closed,
    /// The connection stayed open without an answer.
    Neither,
}

/// Sends a request with this deadline, and waits until its answer is overdue.
fn ask(stream: &mut TcpStream, id: &str, deadline: Duration) -> End {
    if stream.write_all(read(id, deadline.as_millis() as u64).as_bytes()).is_err() {
        return End::Closed;
    }
    stream.set_read_timeout(Some(deadline + ANSWER_SLACK)).expect("a limit");
    match stream.read(&mut [0; 4096]) {
        Ok(0) => End::Closed,
        Ok(_) => End::Answered,
        Err(cause) if cause.kind() == std::io::ErrorKind::WouldBlock => End::Neither,
        Err(_) => End::Closed,
    }
}

// Failure: an idle connection that was evicted from a full table stayed open, and nobody read it, so that a request on it got
// neither an answer nor a close.
#[test]
fn evicted_idle_connection_is_closed_or_its_request_is_answered() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&small_config(&upstream));
    let deadline = Duration::from_secs(2);
    let mut idle: Vec<TcpStream> = (0..SLOTS / 2).map(|_| connect(&node)).collect();
    for (i, stream) in idle.iter_mut().enumerate() {
        assert_eq!(ask(stream, &format!("first-{i}"), deadline), End::Answered);
    }
    std::thread::sleep(EVICTABLE_AFTER);
    let _silent = connect_silent(&node, SLOTS / 2 + SLOTS / 4);
    // The table is full by now, and idle connections are evicted.
    std::thread::sleep(Duration::from_millis(100));
    let clients: Vec<_> = idle
        .into_iter()
        .enumerate()
        .map(|(i, mut stream)| {
            std::thread::spawn(move || ask(&mut stream, &format!("second-{i}"), deadline))
        })
        .collect();
    for (i, client) in clients.into_iter().enumerate() {
        assert_ne!(client.join().expect("no panic"), End::Neither, "client {i}");
    }
}

// Failure: clients that asked waited in the backlog for as long as all silent ones before them together might stay silent.
#[test]
fn clients_that_ask_wait_behind_many_silent_ones_only_as_long_as_behind_few() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&small_config(&upstream));
    let _silent = connect_silent(&node, 10 * SLOTS);
    assert_asking_clients_get_slots(&node);
}

// Failure: a client that stopped within its body kept its slot until the body was too late.
#[test]
fn clients_that_ask_wait_behind_many_that_stop_within_a_request_only_as_long_as_behind_few() {
    let upstream = Upstream::start(|_| ok("ok"));
    let whole = alarm("r", 5000, "a body of which a part is missing");
    // Within the head, and within the body.
    for sent in [30, whole.len() - 10] {
        let node = start(&small_config(&upstream));
        let mut stopped = connect_silent(&node, 10 * SLOTS);
        for stream in &mut stopped {
            stream.write_all(&whole.as_bytes()[..sent]).expect("written");
        }
        assert_asking_clients_get_slots(&node);
    }
}

// Guards against the loss of requests that wait in the backlog behind silent clients when the shutdown begins.
#[test]
fn clients_that_ask_behind_silent_ones_are_answered_at_a_shutdown() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut node = start(&small_config(&upstream));
    let _silent = connect_silent(&node, 5 * SLOTS);
    let deadline = Duration::from_secs(2);
    let asking: Vec<_> = (0..SLOTS / 4)
        .map(|i| {
            let mut stream = connect(&node);
            std::thread::spawn(move || ask(&mut stream, &format!("r{i}"), deadline))
        })
        .collect();
    node.signal("TERM");
    for (i, client) in asking.into_iter().enumerate() {
        assert_eq!(client.join().expect("no panic"), End::Answered, "client {i}");
    }
    assert_eq!(node.exit_code(), Some(0));
}

// Guards against connections that keep a descriptor though nobody reads them.
#[test]
fn descriptors_are_released_though_no_client_closes_its_connection() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&small_config(&upstream));
    let count_descriptors = || {
        let listed = std::fs::read_dir(format!("/proc/{}/fd", node.child.id()));
        listed.expect("the process runs").count()
    };
    node.discovery.watch();
    let baseline = count_descriptors();
    let whole = alarm("r", 5000, "a body of which a part is missing");
    let starts =
        ["", &whole[..30], &whole[..whole.len() - 10], "GET / HTTP/1.1\r\nHost: a\r\n\r\n"];
    let mut clients = Vec::new();
    for start in starts.iter().cycle().take(3 * SLOTS) {
        let mut stream = connect(&node);
        // The connection may have been evicted already.
        let _ = stream.write_all(start.as_bytes());
        clients.push(stream);
    }
    let from = Instant::now();
    while count_descriptors() < SLOTS {
        assert!(from.elapsed() < EVENT_TIMEOUT, "the table never fills");
    }
    while count_descriptors() > baseline {
        assert!(from.elapsed() < EVENT_TIMEOUT, "{} are left", count_descriptors() - baseline);
        std::thread::sleep(Duration::from_millis(20));
    }
    drop(clients);
}

// Failure: the closes behind errors kept their slots, one tableful after the other.
#[test]
fn clients_that_ask_wait_behind_many_that_got_an_error_only_as_long_as_behind_few() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&small_config(&upstream));
    let mut wrong = connect_silent(&node, 10 * SLOTS);
    for stream in &mut wrong {
        // The connection may have been evicted already.
        let _ = stream.write_all(b"NO REQUEST\r\n\r\n");
    }
    assert_asking_clients_get_slots(&node);
}

/// Checks that clients that connect now are answered within [`MAX_WAIT_FOR_SLOT`].
fn assert_asking_clients_get_slots(node: &Node) {
    let asking: Vec<_> = (0..SLOTS / 4)
        .map(|i| {
            let mut stream = connect(node);
            let deadline = Duration::from_secs(2);
            std::thread::spawn(move || {
                let from = Instant::now();
                (ask(&mut stream, &format!("r{i}"), deadline), from.elapsed())
            })
        })
        .collect();
    for (i, client) in asking.into_iter().enumerate() {
        let (end, waited) = client.join().expect("no panic");
        assert_eq!(end, End::Answered, "client {i}");
        assert!(waited <= MAX_WAIT_FOR_SLOT, "client {i}: {waited:?}");
    }
}
