//! One discovery for several balancers that can't serve them all at once: what they send meanwhile, and how they share it.

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::rc::Rc;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hollowpaddle_rehearsal::scripted::*;
use serde_json::{Value, json};

use crate::{NODE, apart};

/// A change counts as delivered so long after discovery had it (PROTOCOL, "Figures").
const DELIVERED_AFTER: Duration = Duration::from_secs(6);
/// From the configuration of [`config`].
const GRACE: Duration = Duration::from_millis(500);
/// For a busy machine.
const SLACK: Duration = Duration::from_millis(250);
const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What discovery does with a call.
#[derive(Clone, Copy)]
enum Service {
    /// It turns every call away at once.
    Refuses,
    /// It works through calls in turn, and turns away at once who comes while so many wait.
    InTurn { turn: Duration, most_waiting: usize },
}

struct State {
    service: Service,
    list: Value,
    waiting: Vec<TcpStream>,
    served: usize,
    turned_away: usize,
    /// Calls that had been given up when their turn came.
    given_up: usize,
}

/// A discovery that all balancers share.
#[derive(Clone)]
struct Shared(Arc<(Mutex<State>, Condvar)>);

impl Shared {
    fn start(service: Service, members: Vec<Value>) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let list = json!({"revision": 42, "complete": true, "members": members});
        let waiting = Vec::new();
        let state = State { service, list, waiting, served: 0, turned_away: 0, given_up: 0 };
        let shared = Self(Arc::new((Mutex::new(state), Condvar::new())));
        let (callers, turns) = (shared.clone(), shared.clone());
        thread::spawn(move || listener.incoming().for_each(|s| callers.take(s.expect("accepted"))));
        thread::spawn(move || turns.work());
        (shared, address)
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.0.0.lock().expect("nobody panicked"))
    }

    fn take(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        if read_message(&mut reader).is_none() {
            return;
        }
        self.with(|state| match state.service {
            Service::InTurn { most_waiting, .. } if state.waiting.len() < most_waiting => {
                state.waiting.push(stream);
            }
            _ => {
                state.turned_away += 1;
                let refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                let _ = stream.write_all(refusal.as_bytes());
            }
        });
        self.0.1.notify_all();
    }

    /// Serves the calls one after another, for as long as the test runs.
    fn work(&self) {
        loop {
            let turn = self.next_turn();
            thread::sleep(turn);
            let (mut stream, list) =
                self.with(|state| (state.waiting.remove(0), state.list.to_string()));
            if is_closed(&stream) {
                self.with(|state| state.given_up += 1);
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            stream.write_all(head.as_bytes()).expect("it waits for it");
            chunk(&mut stream, &(list + "\n"));
            self.with(|state| state.served += 1);
            thread::spawn(move || {
                while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                    thread::sleep(HEARTBEAT);
                }
            });
        }
    }

    /// Waits for a call; how long serving it takes.
    fn next_turn(&self) -> Duration {
        let mut state = self.0.0.lock().expect("nobody panicked");
        loop {
            match state.service {
                Service::InTurn { turn, .. } if !state.waiting.is_empty() => return turn,
                _ => state = self.0.1.wait(state).expect("nobody panicked"),
            }
        }
    }
}

/// Whether its other side has closed it: nothing more is to be read from it.
fn is_closed(stream: &TcpStream) -> bool {
    let mut stream = stream;
    stream.set_nonblocking(true).expect("a socket");
    let read = stream.read(&mut [0]);
    stream.set_nonblocking(false).expect("a socket");
    !matches!(read, Err(cause) if cause.kind() == ErrorKind::WouldBlock)
}

/// So many balancers of a cluster that ask there for the list.
fn balancers(count: usize, discovery: SocketAddr, known: &[Value]) -> Vec<Node> {
    let start = |position: usize| {
        let mut config = apart(known.to_vec());
        config["discovery"] = discovery.to_string().into();
        config["settings"]["Balancers"] = count.into();
        config["settings"]["Position"] = position.into();
        config["control"] = "127.0.0.1:0".into();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let unused = Rc::new(Discovery::start());
        Node::start_as(Command::new(NODE), &format!("n{position}"), any, unused, &config)
    };
    (0..count).map(start).collect()
}

/// An address where nobody listens.
fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// What its admin API says of the age of its list.
fn is_list_expired(node: &Node) -> bool {
    let mut operator = Client::to(node.operators.expect("an admin API"));
    let answer = operator.ask("GET /admin/start HTTP/1.1\r\nHost: a\r\n\r\n");
    let told: Value = serde_json::from_slice(&answer.body).expect("JSON");
    told["list_expired"].as_bool().expect("it is said")
}

fn status_of_ready(node: &Node) -> u16 {
    node.client().ask("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").status()
}

#[test]
fn sends_nothing_by_a_list_that_discovery_refused_to_renew_and_goes_on_by_one_it_could_not() {
    let (stays, goes) = (Upstream::start(|_| ok("stays")), Upstream::start(|_| ok("goes")));
    let known = members(&[&stays, &goes]);
    let (discovery, address) = Shared::start(Service::Refuses, known.clone());
    let refused = balancers(3, address, &known);
    let cut_off = balancers(1, nobody(), &known);
    let mut clients: Vec<Client> = refused.iter().map(Node::client).collect();
    // One upstream leaves the list, and nobody hears of it.
    discovery.with(|state| {
        state.list = json!({"revision": 43, "complete": true, "members": [known[0]]});
    });
    let left = Instant::now();
    let mut number = 0;
    while left.elapsed() < DELIVERED_AFTER + GRACE + SLACK {
        for client in &mut clients {
            number += 1;
            client.ask(&read(&format!("r{number}"), 1000));
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert!(goes.requests_so_far() > 0, "it was sent to while that was allowed");
    for (client, node) in clients.iter_mut().zip(&refused) {
        let asked = Instant::now();
        assert_eq!(client.ask(&read("late", 1000)).status(), 503);
        assert!(asked.elapsed() < SLACK, "refused after {:?}", asked.elapsed());
        assert_eq!(status_of_ready(node), 503);
        assert!(is_list_expired(node));
    }
    assert_eq!(goes.requests_so_far(), 0, "a request went there past the grace");
    // Who can't reach discovery at all goes on with what it knows.
    let mut lonely = cut_off[0].client();
    for n in 0..30 {
        assert_eq!(lonely.ask(&read(&format!("l{n}"), 1000)).status(), 200);
    }
    assert!(goes.requests_so_far() > 0, "the one that is cut off knows both");
    assert_eq!(status_of_ready(&cut_off[0]), 200);
    assert!(!is_list_expired(&cut_off[0]));
    // Once discovery serves, all are back, and by the new list.
    let turn = Duration::from_millis(20);
    discovery.with(|state| state.service = Service::InTurn { turn, most_waiting: 10 });
    let opened = Instant::now();
    for (n, client) in clients.iter_mut().enumerate() {
        while client.ask(&read(&format!("b{n}"), 1000)).status() != 200 {
            assert!(opened.elapsed() < Duration::from_secs(5), "it has no list yet");
            thread::sleep(Duration::from_millis(20));
        }
    }
    for n in 0..30 {
        let index = n % clients.len();
        assert_eq!(clients[index].ask(&read(&format!("a{n}"), 1000)).status(), 200);
    }
    assert_eq!(goes.requests_so_far(), 0, "it is on no list any more");
    assert!(refused.iter().all(|node| status_of_ready(node) == 200 && !is_list_expired(node)));
}

#[test]
fn callers_of_a_crowded_discovery_are_all_served_and_no_turn_is_lost() {
    const COUNT: usize = 8;
    const TURN: Duration = Duration::from_millis(500);
    let upstream = Upstream::start(|_| ok("done"));
    let known = members(&[&upstream]);
    // A taken call waits for up to 3 s: longer than a watch may be silent.
    let service = Service::InTurn { turn: TURN, most_waiting: 6 };
    let (discovery, address) = Shared::start(service, known.clone());
    let from = Instant::now();
    let nodes = balancers(COUNT, address, &known);
    let least = TURN * COUNT as u32;
    let most = least * 3 / 2 + Duration::from_secs(2);
    while discovery.with(|state| state.served) < COUNT {
        assert!(from.elapsed() < most, "{} served", discovery.with(|state| state.served));
        thread::sleep(Duration::from_millis(20));
    }
    let (given_up, turned_away) = discovery.with(|state| (state.given_up, state.turned_away));
    println!("all served after {:?}, {turned_away} calls turned away", from.elapsed());
    assert_eq!(given_up, 0, "calls that discovery had taken");
    assert!(nodes.iter().all(|node| status_of_ready(node) == 200));
}
