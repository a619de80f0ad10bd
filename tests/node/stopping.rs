//! SIGTERM, and what crosses with it; and connections that the node closes, and what crosses with that.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::{start, start_with};
use hollowpaddle_rehearsal::scripted::*;
use hollowpaddle_syscall_faults::{Errno, Fault, Shim};
use serde_json::json;

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
/// The node accepts for half a second after SIGTERM.
const LINGER: Duration = Duration::from_millis(500);

/// Tells the node to end, and waits until it has heard.
fn told_to_end(node: &Node) {
    node.signal("TERM");
    let from = Instant::now();
    while node.client().ask(READY).status() != 503 {
        assert!(from.elapsed() < EVENT_TIMEOUT, "it has not heard");
    }
}

/// Has this come while the node does not run, and runs it only once it would have stopped accepting.
fn while_it_stops<T>(node: &Node, come: impl FnOnce() -> T) -> T {
    told_to_end(node);
    node.signal("STOP");
    let came = come();
    std::thread::sleep(LINGER);
    node.signal("CONT");
    came
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).expect("the backlog holds it");
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a limit");
    stream
}

/// Whether it ends, in order and with nothing more said.
fn ends(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 1]), Ok(0))
}

#[test]
fn what_was_accepted_last_hears_that_the_node_ends() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut node = start(&config(members(&[&upstream])));
    let mut silent = while_it_stops(&node, || connect(&node));
    let from = Instant::now();
    assert!(ends(&mut silent));
    // Not only as one that has said nothing for too long.
    assert!(from.elapsed() < Duration::from_millis(1500), "{:?}", from.elapsed());
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn what_waits_in_the_backlog_at_the_end_is_answered() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut node = start(&config(members(&[&upstream])));
    answers_a_full_backlog(&mut node);
}

#[test]
fn answers_a_full_backlog_while_accept_fails() {
    for errno in [Errno::ConnectionAborted, Errno::Interrupted, Errno::FileTableOverflow] {
        let upstream = Upstream::start(|_| ok("ok"));
        let shim = Shim::new().expect("a temporary file");
        let mut node = start_with(&shim, &config(members(&[&upstream])));
        shim.set(Fault::Accept(errno, 50)).expect("written");
        answers_a_full_backlog(&mut node);
    }
}

/// Ends the node while its backlog holds more than the loop accepts in one turn: all of that is answered.
fn answers_a_full_backlog(node: &mut Node) {
    let crowd = while_it_stops(node, || {
        let asks = |i: usize| {
            let mut client = node.client();
            client.send(&alarm(&format!("r{i}"), 5500, "x"));
            client
        };
        (0..300).map(asks).collect::<Vec<_>>()
    });
    for (i, mut client) in crowd.into_iter().enumerate() {
        let answer = client.answer();
        assert!(answer.is_some_and(|a| [200, 503].contains(&a.status())), "client {i}");
    }
    assert_eq!(node.exit_code(), Some(0));
}

/// What becomes of a request that crosses with a close.
#[derive(Debug, PartialEq, Eq)]
enum Crossing {
    /// It was taken off the socket, and the connection ended in order: its client waits for an answer in vain.
    Read,
    /// The connection was reset: its client knows that nobody has read it, and sends it once more.
    Unread,
}

/// Sends a request behind the node's end of the connection; what the node wrote before that end, and what became of it.
fn crosses(stream: &mut TcpStream) -> (String, Crossing) {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("an end in order");
    let received = String::from_utf8(received).expect("text");
    stream.write_all(read("crossed", 5000).as_bytes()).expect("written");
    let from = Instant::now();
    while from.elapsed() < Duration::from_secs(2) {
        if stream.take_error().expect("a socket").is_some() {
            return (received, Crossing::Unread);
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    (received, Crossing::Read)
}

#[test]
fn a_request_that_crosses_with_a_close_is_not_read_and_not_sent_on() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut config = config(members(&[&upstream]));
    config["limits"]["sockets"] = json!(128); // Up to 32 may idle.
    let mut node = start(&config);
    let asked = |node: &Node, id: &str| {
        let mut stream = connect(node);
        stream.write_all(read(id, 5000).as_bytes()).expect("written");
        assert!(stream.read(&mut [0; 4096]).expect("an answer") > 0);
        stream
    };
    let resting = |mut stream: TcpStream, what: &str| {
        assert_eq!(crosses(&mut stream), (String::new(), Crossing::Unread), "{what}");
    };
    let idles = asked(&node, "idles");
    let silent = connect(&node);
    let mut half = connect(&node);
    half.write_all(b"GET /api HT").expect("written");
    resting(silent, "nothing was asked");
    // What follows an answer that ends the connection belongs to what was answered, and a reset could cost that answer.
    let (received, _) = crosses(&mut half);
    assert!(received.starts_with("HTTP/1.1 408 "), "{received:?}");
    resting(idles, "idle for too long");
    let mut wrong = connect(&node);
    wrong.write_all(b"NO REQUEST\r\n\r\n").expect("written");
    let (received, crossing) = crosses(&mut wrong);
    assert!(
        received.starts_with("HTTP/1.1 400 ") && crossing == Crossing::Read,
        "{received:?} {crossing:?}"
    );
    let mut many: Vec<TcpStream> = (0..33).map(|i| asked(&node, &format!("m{i}"))).collect();
    resting(many.remove(0), "one of too many");
    node.signal("TERM");
    resting(many.remove(31), "the node ends");
    assert_eq!(node.exit_code(), Some(0));
    let seen = upstream.seen.try_iter().filter_map(|s| match s {
        Observation::Request(_, m) => Some(m.header("x-request-id").to_string()),
        _ => None,
    });
    assert_eq!(seen.filter(|id| id == "crossed").count(), 0);
}

#[test]
fn a_request_that_crossed_with_a_close_comes_again_on_a_new_connection() {
    let upstream = Upstream::start(|_| ok("ok"));
    let node = start(&config(members(&[&upstream])));
    let mut first = connect(&node);
    first.write_all(b"GET /api HT").expect("written");
    first.read_to_end(&mut Vec::new()).expect("an end in order");
    first.write_all(read("crossed", 5000).as_bytes()).expect("written");
    // While the first one is still read out.
    assert_eq!(node.client().ask(&read("crossed", 5000)).status(), 200);
}

#[test]
fn signals_that_come_while_it_ends_change_nothing() {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |_| Action::RespondOnSignal(waits.clone()));
    let mut node = start(&config(members(&[&upstream])));
    let mut taken = node.client();
    taken.send(&read("r1", 5500));
    upstream.request();
    told_to_end(&node);
    for signal in ["TERM", "HUP", "TERM"] {
        node.signal(signal);
        // It goes on serving.
        assert_eq!(node.client().ask(READY).status(), 503);
    }
    go.send(()).expect("the upstream waits");
    assert_eq!(taken.answer().expect("an answer").status(), 200);
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn it_ends_before_it_was_ready_and_with_no_discovery() {
    for down in [false, true] {
        let mut config = config(vec![]);
        if down {
            let nobody = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr();
            config["discovery"] = json!(nobody.expect("bound").to_string());
        }
        let mut node = start(&config);
        let from = Instant::now();
        node.signal("TERM");
        assert_eq!(node.exit_code(), Some(0));
        assert!(from.elapsed() < Duration::from_secs(5), "{:?}", from.elapsed());
    }
}

#[test]
fn a_request_whose_last_byte_comes_late_is_answered_before_the_kill() {
    let upstream = Upstream::start(|_| Action::Hang);
    let mut config = config(members(&[&upstream]));
    for class in 0..3 {
        config["settings"]["Services"][class]["Deadline"] = json!(1000.0);
    }
    let mut node = start(&config);
    let text = alarm("late", 1000, "body");
    let (most, last) = text.split_at(text.len() - 1);
    let mut client = node.client();
    client.send(most);
    let from = Instant::now();
    told_to_end(&node);
    // SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
    let kill = from + Duration::from_millis(1700);
    std::thread::sleep(Duration::from_millis(900));
    client.send(last);
    let answer = client.answer().expect("an answer, not an end");
    assert!(answer.status() >= 500, "{answer:?}");
    let late = Instant::now().saturating_duration_since(kill);
    assert!(late < Duration::from_millis(300), "{late:?} after the kill");
    assert_eq!(node.exit_code(), Some(0));
}
