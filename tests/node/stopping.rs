//! SIGTERM, and what crosses with it.

use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::start;
use hollowpaddle_rehearsal::scripted::*;

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
/// The node accepts for half a second after SIGTERM.
const LINGER: Duration = Duration::from_millis(500);

/// Tells the node to end, and waits until it has heard.
fn told_to_end(node: &Node) {
    node.signal("TERM");
    let from = Instant::now();
    while node.client().ask(READY).status() != 503 {
        assert!(from.elapsed() < SOON, "it has not heard");
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
    stream.set_read_timeout(Some(SOON)).expect("a limit");
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
    // More than the loop accepts in one turn.
    let crowd = while_it_stops(&node, || {
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
