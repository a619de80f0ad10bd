//! When the time of a request begins: with its last byte (PROTOCOL, 'Figures'), wherever that byte waits until it is read.
//! Each test compares the deadline that the upstream is told with the time that is left to the client.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::operators::start_on;
use crate::{start, start_with};
use hollowpaddle_rehearsal::scripted::*;
use hollowpaddle_syscall_faults::{Errno, Fault, Shim};

/// The deadline of the requests whose announced deadlines are compared: below the time that one attempt may take.
const DEADLINE: Duration = Duration::from_millis(1800);
/// The deadline of a request whose time ends while it waits.
const SHORT_DEADLINE: Duration = Duration::from_millis(400);
/// How long the last byte of a request waits.
const WAIT: Duration = Duration::from_millis(1000);
/// An upstream may be told so much more than is left to the client (STANDING).
const TOLD_SLACK: Duration = Duration::from_millis(150);

fn read_within(id: &str, deadline: Duration) -> String {
    read(id, deadline.as_millis() as u64)
}

/// Answers all requests at once.
fn prompt_upstream() -> Upstream {
    Upstream::start(|_| ok("ok"))
}

/// Waits for the next request at the upstream, whose last byte was sent at `sent_at`. Returns its id, and the deadline that
/// it announces less the time that is left to its client.
fn told_too_much(upstream: &Upstream, sent_at: Instant) -> (String, Duration) {
    let (_, request) = upstream.request();
    let told = request.header("x-deadline-ms").parse().expect("milliseconds");
    let left = DEADLINE.saturating_sub(sent_at.elapsed());
    (request.header("x-request-id").to_string(), Duration::from_millis(told).saturating_sub(left))
}

/// Checks that the upstream of the next request is told no more than is left to its client.
fn assert_wait_counts(upstream: &Upstream, id: &str, sent_at: Instant) {
    let (seen, excess) = told_too_much(upstream, sent_at);
    assert_eq!(seen, id);
    assert!(excess <= TOLD_SLACK, "{id}: {excess:?} too much");
}

/// Asks on a connection of its own every few milliseconds until it is dropped, so that the daemon never stands still.
struct BusyClient {
    is_over: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl BusyClient {
    /// Starts the client, and waits for its first answer.
    fn start(node: &Node) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (mut client, ends) = (node.client(), is_over.clone());
        let ready = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        client.ask(ready);
        let thread = std::thread::spawn(move || {
            // Until the daemon announces that it closes the connection.
            while !ends.load(Ordering::Relaxed) && client.ask(ready).header("connection") != "close"
            {
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        Self { is_over, thread: Some(thread) }
    }
}

impl Drop for BusyClient {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

// Failure: a request that had waited in the backlog got its whole time from when it was read, as long as other clients were
// read meanwhile. It was forwarded after its time, and its upstream was told too much.
#[test]
fn wait_in_the_backlog_counts_towards_the_deadline() {
    let upstream = prompt_upstream();
    let shim = Shim::new().expect("a temporary file");
    let node = start_with(&shim, &config(members(&[&upstream])));
    let _busy = BusyClient::start(&node);
    shim.set(Fault::Accept(Errno::TooManyOpenFiles, 1)).expect("written");
    // The accept that has begun before the fault still takes one connection.
    let _accepted = node.client();
    let (mut late, mut long) = (node.client(), node.client());
    late.send(&read_within("late", SHORT_DEADLINE));
    long.send(&read_within("long", DEADLINE));
    let sent_at = Instant::now();
    std::thread::sleep(WAIT);
    shim.set(Fault::Accept(Errno::TooManyOpenFiles, 0)).expect("written");
    assert_wait_counts(&upstream, "long", sent_at);
    assert_eq!(long.answer().expect("an answer").status(), 200);
    let status = late.answer().expect("a request without time left gets its error").status();
    assert!([503, 504].contains(&status), "{status}");
    assert_eq!(upstream.requests_so_far(), 0, "forwarded after its time");
}

// Guards against an attempt for a client that has left while its request waited in the backlog.
#[test]
fn request_whose_client_has_left_the_backlog_is_not_forwarded() {
    let upstream = prompt_upstream();
    let shim = Shim::new().expect("a temporary file");
    let node = start_with(&shim, &config(members(&[&upstream])));
    shim.set(Fault::Accept(Errno::TooManyOpenFiles, 1)).expect("written");
    // The accept that has begun before the fault still takes one connection.
    let _accepted = node.client();
    for id in ["left-1", "left-2"] {
        node.client().send(&read_within(id, DEADLINE));
    }
    let mut stays = node.client();
    stays.send(&read_within("stays", DEADLINE));
    shim.set(Fault::Accept(Errno::TooManyOpenFiles, 0)).expect("written");
    assert_eq!(stays.answer().expect("an answer").status(), 200);
    assert_eq!(upstream.request().1.header("x-request-id"), "stays");
    assert_eq!(upstream.requests_so_far(), 0);
}

// Failure: the time of a pipelined request began when the request before it was answered, or when the client sent something
// more.
#[test]
fn wait_behind_an_open_request_counts_towards_the_deadline() {
    let without_body = |id: &str, deadline: Duration| read_within(id, deadline);
    let with_body =
        |id: &str, deadline: Duration| alarm(id, deadline.as_millis() as u64, "a door is open");
    wait_behind_an_open_request(without_body);
    wait_behind_an_open_request(with_body);
}

/// Pipelines requests behind one that the upstream holds up.
fn wait_behind_an_open_request(request: impl Fn(&str, Duration) -> String) {
    let (go, waits) = std::sync::mpsc::channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |request| match request.header("x-request-id") {
        "first" => Action::RespondOnSignal(waits.clone()),
        _ => ok("ok"),
    });
    let node = start(&config(members(&[&upstream])));
    let _busy = BusyClient::start(&node);
    let mut client = node.client();
    // In the same read as the first request, and in later ones.
    let late = |number: usize| request(&format!("late-{number}"), SHORT_DEADLINE);
    client.send(&(request("first", DEADLINE) + &late(0)));
    for number in 1..=2 {
        std::thread::sleep(Duration::from_millis(50));
        client.send(&late(number));
    }
    std::thread::sleep(WAIT);
    client.send(&request("long", DEADLINE));
    let sent_at = Instant::now();
    std::thread::sleep(SHORT_DEADLINE / 2);
    assert_eq!(upstream.request().1.header("x-request-id"), "first");
    go.send(()).expect("the upstream waits");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    for number in 0..=2 {
        let status = client.answer().expect("a request without time left gets its error").status();
        assert!([503, 504].contains(&status), "late-{number}: {status}");
    }
    assert_wait_counts(&upstream, "long", sent_at);
    assert_eq!(client.answer().expect("an answer").status(), 200);
}

#[test]
fn time_of_a_request_in_pieces_begins_with_its_last_byte() {
    let upstream = prompt_upstream();
    let node = start(&config(members(&[&upstream])));
    let _busy = BusyClient::start(&node);
    let text = alarm("pieces", DEADLINE.as_millis() as u64, "0123456789");
    // Within the head, behind the head, and within the body.
    for first_bytes in [30, text.len() - 10, text.len() - 1] {
        let (first, rest) = text.split_at(first_bytes);
        let mut client = node.client();
        client.send(first);
        std::thread::sleep(WAIT);
        client.send(rest);
        let sent_at = Instant::now();
        let (_, request) = upstream.request();
        let told = request.header("x-deadline-ms").parse().expect("milliseconds");
        let left = DEADLINE.saturating_sub(sent_at.elapsed());
        let too_little = left.saturating_sub(Duration::from_millis(told));
        assert!(too_little <= TOLD_SLACK, "{first_bytes}: {too_little:?} too little");
        assert_eq!(client.answer().expect("an answer").status(), 200);
    }
}

#[test]
fn time_on_a_kept_connection_counts_from_the_request_and_not_from_the_rest_before() {
    let upstream = prompt_upstream();
    let node = start(&config(members(&[&upstream])));
    let _busy = BusyClient::start(&node);
    let mut client = node.client();
    for id in ["first", "second"] {
        client.send(&read_within(id, DEADLINE));
        let sent_at = Instant::now();
        let (_, request) = upstream.request();
        let told = request.header("x-deadline-ms").parse().expect("milliseconds");
        let too_little = DEADLINE.saturating_sub(sent_at.elapsed() + Duration::from_millis(told));
        assert!(too_little <= TOLD_SLACK, "{id}: {too_little:?} too little");
        assert_eq!(client.answer().expect("an answer").status(), 200);
        std::thread::sleep(WAIT);
    }
}

#[test]
fn wait_on_a_kept_connection_while_the_process_stands_still_counts() {
    let upstream = prompt_upstream();
    let node = start(&config(members(&[&upstream])));
    let mut client = node.client();
    assert_eq!(client.ask(&read_within("first", DEADLINE)).status(), 200);
    upstream.request();
    node.signal("STOP");
    client.send(&read_within("long", DEADLINE));
    let sent_at = Instant::now();
    std::thread::sleep(WAIT);
    node.signal("CONT");
    assert_wait_counts(&upstream, "long", sent_at);
}

// Failure: the time of a request at a socket whose next process was not up yet began at the start of that process at the
// earliest.
#[test]
fn wait_at_a_passed_socket_counts_towards_the_deadline() {
    let upstream = prompt_upstream();
    let directory = tempfile::tempdir().expect("a directory");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (mut late, mut long) = (Client::to(address), Client::to(address));
    late.send(&read_within("late", SHORT_DEADLINE));
    long.send(&read_within("long", DEADLINE));
    let sent_at = Instant::now();
    std::thread::sleep(WAIT);
    let _node = start_on(&listener, &config(members(&[&upstream])), directory.path());
    assert_wait_counts(&upstream, "long", sent_at);
    assert_eq!(long.answer().expect("an answer").status(), 200);
    let status = late.answer().expect("a request without time left gets its error").status();
    assert!([503, 504].contains(&status), "{status}");
    assert_eq!(upstream.requests_so_far(), 0, "forwarded after its time");
}

#[test]
fn wait_in_the_backlog_at_shutdown_counts_towards_the_deadline() {
    let upstream = prompt_upstream();
    let shim = Shim::new().expect("a temporary file");
    let node = start_with(&shim, &config(members(&[&upstream])));
    let _busy = BusyClient::start(&node);
    shim.set(Fault::Accept(Errno::TooManyOpenFiles, 1)).expect("written");
    let _accepted = node.client();
    let mut late = node.client();
    late.send(&read_within("long", DEADLINE));
    let sent_at = Instant::now();
    std::thread::sleep(WAIT);
    node.signal("TERM");
    // The daemon still accepts for half a second after the signal.
    std::thread::sleep(Duration::from_millis(100));
    shim.set(Fault::Accept(Errno::TooManyOpenFiles, 0)).expect("written");
    assert_wait_counts(&upstream, "long", sent_at);
    assert_eq!(late.answer().expect("an answer").status(), 200);
}
