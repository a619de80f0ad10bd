//! Peers that a test scripts, on real sockets and threads: a client, upstreams, an endpoint list
//! service, and a balancer process between them. All use ephemeral loopback ports. Every wait is
//! for an event, with a timeout wide enough for a busy machine. Unexpected conditions panic with a
//! description.
#![allow(clippy::missing_panics_doc)] // Unexpected conditions panic with a description.

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

/// Timeout of every wait for an expected event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum idle time after which a connection to an upstream is still reused.
pub const IDLE_REUSE_LIMIT: Duration = Duration::from_millis(40);

/// A received message: first line, headers with lower-case names, and body.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Header values by lower-case name.
    pub headers: HashMap<String, String>,
    /// Body as received.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).expect("a status").parse().expect("a number")
    }
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a line. Returns `None` at the end of the connection.
fn line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    Some(line.trim_end().to_string())
}

/// Reads a message. Returns `None` if the connection ends first.
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

/// How an upstream handles a request.
#[derive(Clone)]
pub enum Action {
    /// Writes this text, and keeps the connection open.
    Respond(String),
    /// Writes this text, and closes the connection.
    RespondAndClose(String),
    /// Writes this text, and closes the connection on a signal.
    RespondThenClose(String, Arc<std::sync::Mutex<Receiver<()>>>),
    /// Writes this text, and writes it again on a signal.
    RespondTwice(String, Arc<std::sync::Mutex<Receiver<()>>>),
    /// Doesn't answer, and keeps the connection open.
    Hang,
    /// Answers on a signal.
    RespondOnSignal(Arc<std::sync::Mutex<Receiver<()>>>),
}

/// Answers 200 with this body.
pub fn ok(body: &str) -> Action {
    Action::Respond(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// Answers with this status and these header lines, without a body.
pub fn answers(status: &str, headers: &str) -> Action {
    Action::Respond(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\n\r\n"))
}

/// An event at an upstream, in order.
#[derive(Debug)]
pub enum Observation {
    /// A complete request, and the address of its sender.
    Request(SocketAddr, Message),
    /// The second copy of an answer has been written.
    Wrote,
    /// A connection ended.
    Closed,
}

/// An upstream that handles each request as scripted.
pub struct Upstream {
    /// Listening address.
    pub address: SocketAddr,
    /// Events in order.
    pub seen: Receiver<Observation>,
}

impl Upstream {
    /// Starts an upstream that handles each request as `choose_action` returns.
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

    /// Waits for the next request, skipping other events.
    pub fn request(&self) -> (SocketAddr, Message) {
        loop {
            match self.seen.recv_timeout(EVENT_TIMEOUT).expect("a request") {
                Observation::Request(from, message) => return (from, message),
                _ => continue,
            }
        }
    }

    /// Returns the number of requests received and not yet taken.
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
            Action::RespondThenClose(text, signal) => {
                let _ = out.write_all(text.as_bytes());
                let _ = signal.lock().expect("not poisoned").recv_timeout(EVENT_TIMEOUT);
                return;
            }
            Action::RespondTwice(text, signal) => {
                let _ = out.write_all(text.as_bytes());
                let _ = signal.lock().expect("not poisoned").recv_timeout(EVENT_TIMEOUT);
                let _ = out.write_all(text.as_bytes());
                let _ = events.send(Observation::Wrote);
            }
            Action::Hang => {}
            Action::RespondOnSignal(signal) => {
                let _ = signal.lock().expect("not poisoned").recv_timeout(EVENT_TIMEOUT);
                let _ = out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            }
        }
    }
}

/// An endpoint list service that hands over each watch's request line and its connection, with the
/// response head written.
pub struct Discovery {
    /// Listening address.
    pub address: SocketAddr,
    /// Request lines and connections of the watches received.
    pub watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// Starts a service that sends nothing but response heads by itself.
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

    /// Waits for the next watch.
    pub fn watch(&self) -> (String, TcpStream) {
        self.watches.recv_timeout(EVENT_TIMEOUT).expect("a watch")
    }
}

/// Writes a part of a watch as one chunk.
pub fn chunk(stream: &mut TcpStream, text: &str) {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(framed.as_bytes()).expect("the watch is open");
}

/// Returns an endpoint list entry.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Returns entries for these upstreams, named `s-0`, `s-1` and so on.
pub fn members(upstreams: &[&Upstream]) -> Vec<Value> {
    let name = |(i, u): (usize, &&Upstream)| member(&format!("s-{i}"), u.address, "SERVING");
    upstreams.iter().enumerate().map(name).collect()
}

/// Returns a configuration with three classes: `read` (safe), `log` (keyed) and `alarm` (unsafe).
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

/// A balancer process with its own endpoint list service. The process ends with its owner.
pub struct Node {
    /// The process.
    pub child: Child,
    /// Address for clients.
    pub address: SocketAddr,
    /// Address of the admin API, if enabled.
    pub operators: Option<SocketAddr>,
    /// Its endpoint list service.
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

/// Writes a configuration to a new temporary file.
pub fn write_config(config: &str) -> std::path::PathBuf {
    static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let name = format!("hollowpaddle-{}-{n}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config).expect("a temporary file");
    path
}

impl Node {
    /// Starts the balancer by this command, and waits until it listens.
    pub fn start(command: Command, config: &Value) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_as(command, "n0", any, Rc::new(Discovery::start()), config)
    }

    /// Does the same under this name and address, with an endpoint list service that may have
    /// served an earlier start.
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
            let line = log.next().expect("a log line with the address").expect("UTF-8");
            let after = |marker| {
                let (_, rest) = line.split_once(marker)?;
                Some(rest.split_whitespace().next().expect("an address").parse().expect("valid"))
            };
            operators = operators.or(after("operators at "));
            if let Some(address) = after("listening on ") {
                break address;
            }
        };
        // Keeps the log pipe from filling up.
        thread::spawn(move || log.for_each(|l| eprintln!("node: {}", l.unwrap_or_default())));
        Self { child, address, operators, discovery, config: path }
    }

    /// Opens a client connection to the balancer.
    pub fn client(&self) -> Client {
        Client::to(self.address)
    }

    /// Waits for the process to end. Returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let from = Instant::now();
        while from.elapsed() < EVENT_TIMEOUT {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the node has not ended");
    }

    /// Replaces the configuration, and notifies the balancer.
    pub fn reconfigure(&self, text: &str) {
        self.write_config(text);
        self.signal("HUP");
    }

    /// Replaces the configuration without notifying the balancer.
    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.config, text).expect("written");
    }

    /// Sends the process a signal, by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("sh").args(["-c", "kill -\"$1\" \"$0\"", &pid, name]).status();
        assert!(sent.expect("a shell").success());
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to this address.
    pub fn to(address: SocketAddr) -> Self {
        Self::try_to(address).expect("it accepts")
    }
    /// Tries to connect to this address.
    ///
    /// # Errors
    /// The errors of connect(2).
    pub fn try_to(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(EVENT_TIMEOUT))?;
        Ok(Self(BufReader::new(stream)))
    }
    /// Writes a text.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).expect("written");
    }
    /// Writes a text, if the connection is open.
    pub fn try_send(&mut self, text: &str) -> Option<()> {
        self.0.get_mut().write_all(text.as_bytes()).ok()
    }
    /// Writes bytes.
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("written");
    }
    /// Reads the next answer. Returns `None` if the connection ends first.
    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }
    /// Writes a request and waits for its answer.
    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}

/// Returns a request of the safe class.
pub fn read(id: &str, deadline_ms: u64) -> String {
    format!(
        "GET /api?of={id} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: read\r\n\
         Cookie: sid=7f3a9c21e0b4d655\r\nX-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Returns a request of the class that must never run twice.
pub fn alarm(id: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: alarm\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
