//! Clients that go away: nothing is sent for them any more, whatever lies unread before their close, and whatever it
//! crosses with.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::start;
use hollowpaddle_rehearsal::scripted::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// An upstream with one slot that the request `first` holds until it is told to answer.
fn held_up() -> (Upstream, Sender<()>) {
    let (go, waits) = channel();
    let waits = Arc::new(Mutex::new(waits));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "first" => Action::RespondOnSignal(waits.clone()),
        _ => ok("ok"),
    });
    (upstream, go)
}

/// A request whose client is about to leave. It waits behind one that the upstream holds.
struct Waiting {
    upstream: Upstream,
    /// Has the upstream answer the first request.
    go: Sender<()>,
    node: Node,
    /// The client of the first request.
    first: Client,
    leaves: TcpStream,
    /// The port of `leaves`.
    port: u16,
}

/// Sends a request that the upstream holds, and another one that waits behind it.
fn wait_behind_first() -> Waiting {
    let (upstream, go) = held_up();
    let node = start(&config(members(&[&upstream])));
    let mut first = node.client();
    first.send(&read("first", 5500));
    upstream.request();
    let mut leaves = TcpStream::connect(node.address).expect("it accepts");
    let port = leaves.local_addr().expect("bound").port();
    leaves.write_all(alarm("left", 5000, "x").as_bytes()).expect("written");
    Waiting { upstream, go, node, first, leaves, port }
}

/// Two turns of the node's loop: what was there before the first answer has been looked at by the second.
fn turns(node: &Node) {
    let mut probe = node.client();
    for _ in 0..2 {
        assert_eq!(probe.ask("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    }
}

fn ids(upstream: &Upstream) -> Vec<String> {
    let requests = upstream.seen.try_iter().filter_map(|s| match s {
        Observation::Request(_, m) => Some(m.header("x-request-id").to_string()),
        _ => None,
    });
    requests.collect()
}

/// Ends of connections whose other end has this port, as the kernel tells: their own ports and states.
fn ends(remote: u16) -> Vec<(u16, u8)> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("Linux");
    let port = |end: &str| u16::from_str_radix(end.split(':').nth(1)?, 16).ok();
    let ends = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (here, there) = (port(fields.next()?)?, port(fields.next()?)?);
        let state = u8::from_str_radix(fields.next()?, 16).ok()?;
        (there == remote).then_some((here, state))
    });
    ends.collect()
}

/// Waits until the node's machine has the close of the client at this port.
fn closed(node: &Node, port: u16) {
    let open = (node.address.port(), ESTABLISHED);
    wait_for("the close has come", || !ends(port).contains(&open));
}

const ESTABLISHED: u8 = 1;
const SYN_SENT: u8 = 2;

fn wait_for(what: &str, holds: impl Fn() -> bool) {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < EVENT_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_close_is_seen_behind_whatever_lies_unread() {
    let junk = |bytes: usize| vec![b'x'; bytes];
    let behind: [(&str, Vec<u8>); 6] = [
        ("nothing", Vec::new()),
        ("half a line", b"GET /api".to_vec()),
        ("a request", read("behind", 5000).into_bytes()),
        ("an unsafe one", alarm("behind", 5000, "x").into_bytes()),
        ("two heads' worth", junk(40 << 10)),
        ("a flood", junk(1 << 20)),
    ];
    for (what, behind) in behind {
        for half in [false, true] {
            let Waiting { upstream, go, node, mut first, mut leaves, port } = wait_behind_first();
            leaves.write_all(&behind).expect("written");
            // A close is told no other than the end of one's sending: see docs/design/client-disconnects.md.
            leaves.shutdown(Shutdown::Write).expect("open");
            closed(&node, port);
            if !half {
                drop(leaves);
            }
            turns(&node);
            go.send(()).expect("the upstream waits");
            assert_eq!(first.answer().expect("an answer").status(), 200, "{what}");
            assert_eq!(node.client().ask(&read("last", 5000)).status(), 200, "{what}");
            assert_eq!(ids(&upstream), ["last"], "behind {what}, {half}");
        }
    }
}

// Failure: behind 4 MiB of unread bytes a close was not seen, and the request was forwarded after its client had left.
#[test]
fn a_close_is_seen_behind_more_than_the_socket_buffers_hold() {
    let Waiting { upstream, go, node, mut first, mut leaves, port } = wait_behind_first();
    leaves.set_write_timeout(Some(Duration::from_millis(100))).expect("a limit");
    // The daemon may stop reading.
    let _ = leaves.write_all(&vec![b'x'; 24 << 20]);
    drop(leaves);
    wait_for_a_close_or(&node, port, Duration::from_millis(300));
    turns(&node);
    go.send(()).expect("the upstream waits");
    assert_eq!(first.answer().expect("an answer").status(), 200);
    assert_eq!(node.client().ask(&read("last", 5000)).status(), 200);
    assert_eq!(ids(&upstream), ["last"]);
}

// Failure: the id of a request was free as soon as its client had left, and ran a second time beside the first.
#[test]
fn the_id_of_a_client_that_has_left_does_not_run_again() {
    let start_upstream = || {
        Upstream::start(|message| match message.header("x-request-id") {
            "left" => Action::Hang,
            _ => ok("ok"),
        })
    };
    let upstreams = [start_upstream(), start_upstream()];
    let node = start(&config(members(&upstreams.each_ref())));
    let mut leaves = node.client();
    leaves.send(&alarm("left", 5000, "x"));
    let runs = || upstreams.iter().map(|upstream| ids(upstream).len()).sum::<usize>();
    wait_for("the request is forwarded", || runs() == 1);
    drop(leaves);
    turns(&node);
    let mut again = node.client();
    again.send(&alarm("left", 500, "x"));
    assert_eq!(again.answer().expect("an answer").status(), 409);
    assert_eq!(runs(), 0, "the id ran again");
    assert_eq!(node.client().ask(&alarm("other", 5000, "x")).status(), 200);
}

/// Waits until the node's machine has the close of the client at this port, or for this time.
fn wait_for_a_close_or(node: &Node, port: u16, limit: Duration) {
    let open = (node.address.port(), ESTABLISHED);
    let from = Instant::now();
    while ends(port).contains(&open) && from.elapsed() < limit {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// A connection that takes a place in a backlog, or waits for one.
fn filler(address: SocketAddr) -> Socket {
    let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    filler.set_nonblocking(true).expect("a socket");
    let _ = filler.connect(&address.into());
    filler
}

#[test]
fn a_connection_that_comes_up_in_the_moment_of_a_close_is_not_used() {
    // With its backlog full the upstream neither takes the connection nor refuses it.
    let upstream = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = upstream.local_addr().expect("bound");
    Socket::from(upstream.try_clone().expect("a handle")).listen(0).expect("a backlog of one");
    let fillers: Vec<Socket> = (0..4).map(|_| filler(address)).collect();
    let mut config = config(vec![member("s-0", address, "SERVING")]);
    config["settings"]["PolicyLimits"]["ConnectTimeout"] = json!(30_000.0);
    config["settings"]["Services"][2]["Deadline"] = json!(60_000.0);
    let node = start(&config);
    let mut leaves = TcpStream::connect(node.address).expect("it accepts");
    leaves.write_all(alarm("left", 60_000, "x").as_bytes()).expect("written");
    let own = |f: &Socket| f.local_addr().ok().and_then(|a| a.as_socket()).map(|a| a.port());
    let own: Vec<u16> = fillers.iter().filter_map(own).collect();
    let nodes = |state| ends(address.port()).iter().any(|e| e.1 == state && !own.contains(&e.0));
    wait_for("the node connects", || nodes(SYN_SENT));
    node.signal("STOP");
    // Room again: the kernel's next try brings the connection up, while the node stands still.
    drop(fillers);
    upstream.set_nonblocking(true).expect("a socket");
    let taken = std::cell::RefCell::new(Vec::new());
    Socket::from(upstream.try_clone().expect("a handle")).listen(16).expect("room");
    let up = || {
        taken.borrow_mut().extend(upstream.accept().ok().map(|(s, _)| s));
        nodes(ESTABLISHED)
    };
    wait_for("it is up", up);
    let port = leaves.local_addr().expect("bound").port();
    drop(leaves);
    closed(&node, port);
    node.signal("CONT");
    turns(&node);
    turns(&node);
    drop(node);
    // All that the node has written is here, since it has ended.
    wait_for("accepted", || match upstream.accept() {
        Ok((stream, _)) => {
            taken.borrow_mut().push(stream);
            false
        }
        Err(_) => true,
    });
    for stream in taken.take() {
        stream.set_nonblocking(false).expect("a socket");
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).expect("a limit");
        let mut all = Vec::new();
        let _ = (&stream).read_to_end(&mut all);
        assert_eq!(String::from_utf8_lossy(&all), "", "sent though its client had left");
    }
}
