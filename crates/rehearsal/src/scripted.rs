//! Peers that a test scripts by hand, on real sockets and threads: a client, upstreams and discovery, and a
//! balancer as a process between them. All on ephemeral loopback ports; every wait is for an event, with a
//! limit wide enough for a busy machine. What can't happen in a sound test is a panic that says what did.
#![allow(clippy::missing_panics_doc)] // as said above, of all of them

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Longest wait for anything that has to happen.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// A connection to an upstream is used again once it has rested for less than this.
pub const IDLE_REUSE_LIMIT: Duration = Duration::from_millis(40);

/// A message as it came: its first line, headers with lower-case names, and body.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// By name, in lower case.
    pub headers: HashMap<String, String>,
    /// As it came.
    pub body: Vec<u8>,
}

impl Message {
    /// Of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).expect("a status").parse().expect("a number")
    }
    /// Empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// One line; `None` at the end of the connection.
fn line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    Some(line.trim_end().to_string())
}

/// Reads one message; `None` where the connection ends first.
pub fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let first = line(stream)?;
    let mut headers = HashMap::new();
    loop {
        let line = line(stream)?;
        let Some((name, value)) = line.split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|v| v == "chunked") {
        while let size @ 1.. = usize::from_str_radix(&line(stream)?, 16).ok()? {
            let from = body.len();
            body.resize(from + size, 0);
            stream.read_exact(&mut body[from..]).ok()?;
            stream.read_exact(&mut [0; 2]).ok()?;
        }
        while !line(stream)?.is_empty() {}
    } else {
        let length = headers.get("content-length").map_or(0, |v| v.parse().expect("a length"));
        body.resize(length, 0);
        stream.read_exact(&mut body).ok()?;
    }
    Some(Message { first, headers, body })
}

/// What an upstream does with a request.
#[derive(Clone)]
pub enum Action {
    /// Writes this, and keeps the connection.
    Respond(String),
    /// Writes this, and closes the connection.
    RespondAndClose(String),
    /// Writes this, and closes the connection once it is told to.
    RespondThenClose(String, Arc<std::sync::Mutex<Receiver<()>>>),
    /// Writes this, and the same again once it is told to.
    RespondTwice(String, Arc<std::sync::Mutex<Receiver<()>>>),
    /// Nothing, on an open connection.
    Hang,
    /// Answers once it is told to.
    RespondOnSignal(Arc<std::sync::Mutex<Receiver<()>>>),
}

/// 200 with this body.
pub fn ok(body: &str) -> Action {
    Action::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// This status and these header lines, with no body.
pub fn answers(status: &str, headers: &str) -> Action {
    Action::Respond(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n"))
}

/// What was seen at an upstream, in order.
#[derive(Debug)]
pub enum Observation {
    /// A whole request, and from where.
    Request(SocketAddr, Message),
    /// A second copy of an answer is out.
    Wrote,
    /// A connection ended.
    Closed,
}

/// An upstream that does with each request what it is told.
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it saw.
    pub seen: Receiver<Observation>,
}

impl Upstream {
    /// Starts one that asks `does` what to do.
    pub fn start(choose_action: impl Fn(&Message) -> Action + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (events, seen) = channel();
        let choose_action = Arc::new(choose_action);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, events, choose_action) =
                    (stream.expect("accepted"), events.clone(), choose_action.clone());
                thread::spawn(move || {
                    let peer = stream.peer_addr().expect("a peer");
                    converse(stream, peer, &events, &*choose_action);
                    let _ = events.send(Observation::Closed);
                });
            }
        });
        Self { address, seen }
    }

    /// The next request, past whatever else is seen.
    pub fn request(&self) -> (SocketAddr, Message) {
        loop {
            match self.seen.recv_timeout(EVENT_TIMEOUT).expect("a request") {
                Observation::Request(from, message) => return (from, message),
                _ => continue,
            }
        }
    }

    /// All requests seen so far and not yet taken.
    pub fn requests_so_far(&self) -> usize {
        self.seen.try_iter().filter(|s| matches!(s, Observation::Request(..))).count()
    }
}

fn converse(
    stream: TcpStream,
    peer: SocketAddr,
    events: &Sender<Observation>,
    choose_action: &dyn Fn(&Message) -> Action,
) {
    let mut out = stream.try_clone().expect("a second handle");
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let _ = events.send(Observation::Request(peer, message.clone()));
        match choose_action(&message) {
            Action::Respond(text) => out.write_all(text.as_bytes()).unwrap_or(()),
            Action::RespondAndClose(text) => {
                let _ = out.write_all(text.as_bytes());
                return;
            }
            Action::RespondThenClose(text, go) => {
                let _ = out.write_all(text.as_bytes());
                let _ = go.lock().expect("not poisoned").recv_timeout(EVENT_TIMEOUT);
                return;
            }
            Action::RespondTwice(text, go) => {
                let _ = out.write_all(text.as_bytes());
                let _ = go.lock().expect("not poisoned").recv_timeout(EVENT_TIMEOUT);
                let _ = out.write_all(text.as_bytes());
                let _ = events.send(Observation::Wrote);
            }
            Action::Hang => {}
            Action::RespondOnSignal(go) => {
                let _ = go.lock().expect("not poisoned").recv_timeout(EVENT_TIMEOUT);
                let _ = out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            }
        }
    }
}

/// Discovery: tells each watch's request line, and hands over its connection, head written.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Request lines and connections of the watches that came.
    pub watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// Starts one that says nothing by itself.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (events, watches) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("accepted");
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                let Some(call) = read_message(&mut reader) else { continue };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ = stream.write_all(head.as_bytes());
                let _ = events.send((call.first, stream));
            }
        });
        Self { address, watches }
    }

    /// The next watch.
    pub fn watch(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(EVENT_TIMEOUT).expect("a watch")
    }
}

/// Writes a piece of a watch as one chunk.
pub fn chunk(stream: &mut TcpStream, text: &str) {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(framed.as_bytes()).expect("the watch is open");
}

/// An entry of a list.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Entries for these, as `s-0`, `s-1` and so on.
pub fn members(upstreams: &[&Upstream]) -> Vec<Value> {
    let name = |(i, u): (usize, &&Upstream)| member(&format!("s-{i}"), u.address, "SERVING");
    upstreams.iter().enumerate().map(name).collect()
}

/// A configuration with three classes: `read` (safe), `log` (keyed), `alarm` (unsafe).
pub fn config(known: Vec<Value>) -> Value {
    json!({
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 41, "complete": true, "members": known},
        "settings": {
            "Balancers": 1, "Position": 0, "Zone": 0, "Zones": ["a"], "MachineTypes": ["m"],
            "Tick": 1.0, "RegistryMode": "subscribe",
            "Services": [
                {"Name": "read", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "retryable"},
                {"Name": "log", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "dedup",
                    "Group": "cell", "Window": 10000.0},
                {"Name": "alarm", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "fragile"},
            ],
            "PolicyLimits": {"MaxAttempts": 3, "RetryAfter": true, "MaxRetryAfter": 2000.0,
                "ConnectTimeout": 250.0, "Keepalive": 5000.0, "StreamsPerConn": 1},
            "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
                "DrainGrace": 500.0, "AnswerSlack": 20.0, "AskEvery": 2000.0},
            "Stats": {"How": "piggyback", "Names": ["eps", "qps", "inflight"]},
        },
    })
}

/// A balancer as a process, with its own discovery. It ends with its owner.
pub struct Node {
    /// The process.
    pub child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where operators do, if they can.
    pub operators: Option<SocketAddr>,
    /// Its discovery.
    pub discovery: Rc<Discovery>,
    config: std::path::PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Writes a configuration to a file of its own.
pub fn write_config(config: &str) -> std::path::PathBuf {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("hollowpaddle-{}-{n}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("a temporary file");
    path
}

impl Node {
    /// Starts it by this command, and waits until it listens.
    pub fn start(command: Command, config: &Value) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_as(command, "n0", any, Rc::new(Discovery::start()), config)
    }

    /// The same under this name and address, with a discovery that may have been another start's.
    pub fn start_as(
        mut command: Command,
        name: &str,
        listen: SocketAddr,
        discovery: Rc<Discovery>,
        config: &Value,
    ) -> Self {
        let path = write_config(&config.to_string());
        let mut child = command
            .env("LB_NAME", name)
            .env("LB_LISTEN", listen.to_string())
            .env("LB_DISCOVERY", discovery.address.to_string())
            .env("LB_CONFIG", &path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the node starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let mut operators = None;
        let address = loop {
            let line = log.next().expect("a word of where it listens").expect("UTF-8");
            let after = |words| {
                let (_, rest) = line.split_once(words)?;
                Some(rest.split_whitespace().next().expect("an address").parse().expect("valid"))
            };
            operators = operators.or(after("operators at "));
            if let Some(address) = after("listening on ") {
                break address;
            }
        };
        // The pipe must not fill up.
        thread::spawn(move || log.for_each(|l| eprintln!("node: {}", l.unwrap_or_default())));
        Self { child, address, operators, discovery, config: path }
    }

    /// A new connection to it.
    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    /// Waits for its end.
    pub fn exit_code(&mut self) -> Option<i32> {
        let from = Instant::now();
        while from.elapsed() < EVENT_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the node goes on");
    }

    /// Replaces its configuration, and tells it so.
    pub fn reconfigure(&self, text: &str) {
        self.write_config(text);
        self.signal("HUP");
    }

    /// Replaces its configuration without a word.
    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.config, text).expect("written");
    }

    /// Sends it a signal, by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("sh").args(["-c", "kill -\"$1\" \"$0\"", &pid, name]).status();
        assert!(sent.expect("a shell").success());
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects.
    pub fn to(address: SocketAddr) -> Self {
        Self::try_to(address).expect("it accepts")
    }
    /// Connects, if that can be done.
    ///
    /// # Errors
    /// Those of connect(2).
    pub fn try_to(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(EVENT_TIMEOUT))?;
        Ok(Self(BufReader::new(stream)))
    }
    /// Writes this.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }
    /// Writes these.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("written");
    }
    /// The next answer; `None` where the connection ends first.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
    /// Writes this, and waits for its answer.
    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}

/// A request of the class that is safe to repeat.
pub fn read(id: &str, deadline_ms: u64) -> String {
    format!(
        "GET /api?of={id} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: read\r\n\
         Cookie: sid=7f3a9c21e0b4d655\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// A request that must never run twice.
pub fn alarm(id: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: alarm\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
