//! Operators' calls, and a process that is replaced while it serves.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Instant;

use crate::NODE;
use hollowpaddle_rehearsal::scripted::*;
use serde_json::{Value, json};

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";

/// A daemon that operators can call, and that keeps what they say here.
fn start(config: &Value, dir: &Path) -> Node {
    let mut command = Command::new(NODE);
    command.env("TMPDIR", dir).env("LB_CONTROL", "127.0.0.1:0");
    Node::start(command, config)
}

/// The same on a clients' socket that is handed down to it.
pub fn start_on(listener: &TcpListener, config: &Value, dir: &Path) -> Node {
    let mut command = Command::new("sh");
    let listener = listener.try_clone().expect("a second handle");
    command.args(["-c", "exec \"$0\" 3<&0 0</dev/null", NODE]);
    command.stdin(Stdio::from(std::os::fd::OwnedFd::from(listener)));
    command.env("TMPDIR", dir).env("LB_CONTROL", "127.0.0.1:0").env("LB_PASSED_SOCKET", "3");
    Node::start(command, config)
}

fn dir() -> tempfile::TempDir {
    tempfile::tempdir().expect("a directory")
}

/// The status of a call.
fn call(node: &Node, verb: &str, name: &str) -> u16 {
    let body = if name.is_empty() { String::new() } else { json!({"name": name}).to_string() };
    let method = if verb == "health" { "GET" } else { "POST" };
    let (at, length) = (node.operators.expect("a door"), body.len());
    Client::to(at)
        .ask(&format!(
            "{method} /admin/{verb} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
        ))
        .status()
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let from = Instant::now();
    while !done() {
        assert!(from.elapsed() < EVENT_TIMEOUT, "{what}");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

/// An upstream that takes a moment, so that requests that come together need more than one.
fn slow() -> Upstream {
    Upstream::start(|_| {
        std::thread::sleep(std::time::Duration::from_millis(20));
        ok("done")
    })
}

/// Four clients ask together, so often; how many of these came to each of the two.
fn spread(clients: &mut [Client; 4], rounds: usize, pair: [&Upstream; 2]) -> [usize; 2] {
    let _ = pair.map(Upstream::requests_so_far);
    for _ in 0..rounds {
        for (i, client) in clients.iter_mut().enumerate() {
            client.send(&read(&format!("r{i}"), 5000));
        }
        for client in clients.iter_mut() {
            assert_eq!(client.answer().expect("an answer").status(), 200);
        }
    }
    pair.map(Upstream::requests_so_far)
}

#[test]
fn whom_operators_take_out_gets_nothing_until_they_let_it_back() {
    let (a, b) = (slow(), slow());
    let dir = dir();
    let node = start(&config(members(&[&a, &b])), dir.path());
    // A watch that says nothing is asked for anew.
    let (_, mut watch) = node.discovery.watch();
    let list = json!({"revision": 42, "complete": true, "members": members(&[&a, &b])});
    chunk(&mut watch, &format!("{list}\n"));
    until("it can serve", || call(&node, "health", "") == 200);
    assert_eq!(call(&node, "cordon", "s-9"), 404, "never listed");
    assert_eq!(call(&node, "uncordon", "s-9"), 404);
    assert_eq!(call(&node, "cordon", ""), 400);
    let mut clients = [(); 4].map(|()| node.client());
    let both = spread(&mut clients, 3, [&a, &b]);
    assert!(both[0] > 0 && both[1] > 0, "{both:?}");
    for _ in 0..2 {
        assert_eq!(call(&node, "cordon", "s-0"), 200);
    }
    assert_eq!(spread(&mut clients, 5, [&a, &b]), [0, 20]);
    // Discovery names it as before, and as one that has started anew.
    let mut listed = members(&[&a, &b]);
    listed[0]["up_since_ms"] = json!(1);
    let list = json!({"revision": 50, "complete": true, "members": listed});
    chunk(&mut watch, &format!("{list}\n"));
    until("the list is heard", || {
        listed.push(member("s-2", a.address, "DRAINING"));
        let list = json!({"revision": 51, "complete": false, "members": listed});
        chunk(&mut watch, &format!("{list}\n"));
        call(&node, "cordon", "s-2") == 200
    });
    assert_eq!(spread(&mut clients, 5, [&a, &b]), [0, 20]);
    // One call back ends it, however often it was taken out.
    assert_eq!(call(&node, "uncordon", "s-0"), 200);
    until("it serves again", || spread(&mut clients, 1, [&a, &b])[0] > 0);
}

#[test]
fn a_caller_is_answered_while_others_finish_no_call() {
    let upstream = Upstream::start(|_| ok(""));
    let dir = dir();
    let node = start(&config(members(&[&upstream])), dir.path());
    let at = node.operators.expect("a door");
    until("it can serve", || call(&node, "health", "") == 200);
    let _idle: Vec<TcpStream> = (0..40)
        .map(|i| {
            let mut stream = TcpStream::connect(at).expect("it accepts");
            let half = &b"POST /admin/cordon HTTP/1.1\r\nContent-Length: 9\r\n\r\n{"[..i];
            std::io::Write::write_all(&mut stream, half).expect("written");
            stream
        })
        .collect();
    assert_eq!(call(&node, "health", ""), 200);
    assert_eq!(call(&node, "cordon", "s-0"), 200);
}

#[test]
fn clients_that_are_sent_away_lose_nothing_and_can_come_back() {
    let (go, waits) = std::sync::mpsc::channel();
    let waits = std::sync::Arc::new(std::sync::Mutex::new(waits));
    let upstream = Upstream::start(move |m| match m.header("x-request-id") {
        "slow" => Action::RespondOnSignal(waits.clone()),
        _ => ok("ok"),
    });
    let dir = dir();
    let node = start(&config(members(&[&upstream])), dir.path());
    until("it can serve", || call(&node, "health", "") == 200);
    let (mut idle, mut busy) = (node.client(), node.client());
    assert_eq!(idle.ask(&read("r1", 5000)).status(), 200);
    busy.send(&read("slow", 5900));
    while upstream.request().1.header("x-request-id") != "slow" {}
    assert_eq!(call(&node, "quiesce", ""), 200);
    assert_eq!(node.client().ask(READY).status(), 503);
    assert_eq!(call(&node, "health", ""), 200, "the process can serve");
    assert!(idle.answer().is_none(), "what idles is closed");
    let late = node.client().ask(&read("r2", 5000));
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    go.send(()).expect("the upstream waits");
    let answer = busy.answer().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"late"[..]));
    assert!(busy.answer().is_none());
    assert_eq!(call(&node, "resume", ""), 200);
    let mut back = node.client();
    assert_eq!(back.ask(READY).status(), 200);
    let answer = back.ask(&read("r3", 5000));
    assert_eq!((answer.status(), answer.header("connection")), (200, ""));
}

/// Has the node find SIGTERM and this request together: it does not run until both are there. Failure: written behind a
/// signal that was handled by then, the request met the close of an idle connection, which a client answers with a new one.
fn crosses_with_term(node: &Node, client: &mut Client, text: &str) -> Message {
    node.signal("STOP");
    node.signal("TERM");
    client.send(text);
    node.signal("CONT");
    client.answer().expect("what came before the close is answered")
}

/// Ends a loop that goes on while this is true.
struct EndsOnDrop<'a>(&'a std::sync::atomic::AtomicBool);

impl Drop for EndsOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(false, std::sync::atomic::Ordering::SeqCst);
    }
}

#[test]
fn a_process_is_replaced_and_no_client_is_turned_back() {
    let (a, b) = (slow(), slow());
    let (dir, both) = (dir(), config(members(&[&a, &b])));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let mut old = start_on(&listener, &both, dir.path());
    assert_eq!(old.address, address);
    until("it can serve", || call(&old, "health", "") == 200);
    let mut kept = [(); 4].map(|()| Client::to(address));
    assert!(spread(&mut kept, 3, [&a, &b])[0] > 0);
    assert_eq!(call(&old, "cordon", "s-0"), 200);
    assert_eq!(spread(&mut kept, 3, [&a, &b]), [0, 12]);

    let new = start_on(&listener, &both, dir.path());
    until("the new one can serve", || call(&new, "health", "") == 200);
    // What the old one was told holds at the new one, and the other way round.
    assert_eq!(call(&new, "cordon", "s-9"), 404);
    assert_eq!(call(&new, "uncordon", "s-0"), 200);
    assert_eq!(call(&new, "cordon", "s-1"), 200);
    until("the old one hears of it", || spread(&mut kept, 1, [&a, &b])[1] == 0);

    let asks = |address: SocketAddr, id: usize| {
        Client::to(address).ask(&read(&format!("n{id}"), 5000)).status()
    };
    let go_on = std::sync::atomic::AtomicBool::new(true);
    std::thread::scope(|scope| {
        let asking = scope.spawn(|| {
            let mut served = 0;
            while go_on.load(std::sync::atomic::Ordering::SeqCst) {
                assert_eq!(asks(address, served), 200);
                served += 1;
            }
            served
        });
        // Also where what follows fails: the scope waits for who asks.
        let ends = EndsOnDrop(&go_on);
        let last = crosses_with_term(&old, &mut kept[0], &read("last", 5000));
        assert_eq!((last.status(), last.header("connection")), (200, "close"));
        assert_eq!(old.exit_code(), Some(0));
        drop(ends);
        assert!(asking.join().expect("none was turned back") > 0);
    });
    // Nothing has come to the one that is out since both knew of it.
    assert_eq!(b.requests_so_far(), 0);
    assert_eq!(call(&new, "health", ""), 200);
}

#[test]
fn with_nobody_to_succeed_it_a_process_takes_what_still_comes() {
    let upstream = Upstream::start(|_| ok("ok"));
    let dir = dir();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut node = start_on(&listener, &config(members(&[&upstream])), dir.path());
    until("it can serve", || call(&node, "health", "") == 200);
    node.signal("TERM");
    assert_eq!(node.client().ask(&read("r1", 5000)).status(), 200);
    assert_eq!(node.exit_code(), Some(0));
}

#[test]
fn what_waits_at_the_shared_socket_is_left_to_the_newer_process() {
    let upstream = Upstream::start(|_| ok("ok"));
    let (dir, config) = (dir(), config(members(&[&upstream])));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut old = start_on(&listener, &config, dir.path());
    until("it can serve", || call(&old, "health", "") == 200);
    let new = start_on(&listener, &config, dir.path());
    until("the new one can serve", || call(&new, "health", "") == 200);
    new.signal("STOP");
    // The old one alone can have accepted it: a new one that stands still accepts nobody.
    let mut kept = old.client();
    assert_eq!(kept.ask(&read("r0", 5000)).status(), 200);
    assert_eq!(crosses_with_term(&old, &mut kept, &read("r0", 5000)).header("connection"), "close");
    upstream.requests_so_far();
    // It has heard, and nobody else could answer now.
    let mut client = old.client();
    client.send(&read("r1", 5900));
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(upstream.requests_so_far(), 0, "the old one accepted it");
    new.signal("CONT");
    assert_eq!(client.answer().expect("an answer").status(), 200);
}

#[test]
fn what_was_said_and_cannot_be_read_is_put_aside_and_the_balancer_serves() {
    // Failure it is for: one bad copy, rolled out, kept a whole bank from starting.
    for torn in ["{\"cordoned\": [\"s-", "{\"cordoned\": 7}", "\u{0}\u{0}"] {
        let (dir, upstream) = (dir(), slow());
        let folder = dir.path().join("hollowpaddle-n0");
        std::fs::create_dir(&folder).expect("a folder");
        std::fs::write(folder.join("said.json"), torn).expect("written");
        let node = start(&config(members(&[&upstream])), dir.path());
        assert_eq!(node.client().ask(&alarm("r1", 5000, "x")).status(), 200);
        let aside = std::fs::read_to_string(folder.join("said.json.aside"));
        assert_eq!(aside.expect("put aside"), torn);
        assert_eq!(call(&node, "cordon", "s-0"), 200, "what is said now is kept");
        let said = std::fs::read_to_string(folder.join("said.json")).expect("there");
        assert!(said.contains("s-0"), "{said}");
    }
    // Nor is a place where nothing can be kept: a file lies where the directory should.
    let (dir, upstream) = (dir(), slow());
    std::fs::write(dir.path().join("hollowpaddle-n0"), "a file").expect("written");
    let node = start(&config(members(&[&upstream])), dir.path());
    assert_eq!(node.client().ask(&alarm("r1", 5000, "x")).status(), 200);
}
