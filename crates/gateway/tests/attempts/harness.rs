//! A test harness: a balancer, a client, and an upstream with scripted behaviour. The test controls when connections are
//! established, and the clock is the virtual clock of the runtime.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hollowpaddle_gateway::{Config, Resources, serve};
use hollowpaddle_net::{Datagrams, Listener, LocalBoxFuture, Network, Stream, accept};
use hollowpaddle_simnet::Fabric;
use serde_json::{Value, json};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{advance, sleep, timeout};

const BALANCER: &str = "10.0.0.1:80";
const DISCOVERY: &str = "10.0.2.1:80";
pub const UPSTREAM: &str = "10.0.1.1:80";
/// Another address, to which the upstream may move.
pub const MOVED_UPSTREAM: &str = "10.0.1.2:80";
/// The longest wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Formats a successful response with this body.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn socket_address(address: &str) -> SocketAddr {
    address.parse().expect("an address")
}

/// The behaviour of the upstream on one request.
#[derive(Clone)]
pub enum Behaviour {
    /// Reads the complete request, writes this text, and leaves the connection open.
    Respond(String),
    /// Reads the complete request, writes this text, and writes it again after this delay.
    RespondTwice(String, Duration),
    /// Reads the complete request, writes this text, and resets the connection.
    Reset(String),
    /// Reads the complete request, writes this text, and closes the connection without a reset.
    Close(String),
    /// Reads the head, writes the first text, then reads the body and writes the second text.
    RespondEarly(String, String),
    /// Reads the head, and reads the body after this delay, without a response.
    PauseAfterHead(Duration),
}

/// An event that the upstream has observed.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The head of a request was received.
    Head(String),
    /// The last byte of a request was received.
    Complete,
}

/// Controls and counts the connections to the upstream, which are numbered in the order in which they are opened, from 0.
#[derive(Default)]
pub struct ConnectionControl {
    /// Delays until successive connections are established. Further connections are established at once.
    pub connect_delays: RefCell<VecDeque<Duration>>,
    /// Number of the first connection that is refused, together with all later ones.
    pub refused_from: Cell<Option<usize>>,
    /// Number of a connection, and how long the process stalls at the first read from it.
    pub stall: Cell<Option<(usize, Duration)>>,
    /// Number of connections that the balancer has begun to open.
    pub opened: Cell<usize>,
    /// Number of connections that are open now.
    pub open: Rc<Cell<usize>>,
    /// The largest number of connections that were open at a time.
    pub max_open: Cell<usize>,
}

/// The network of the balancer, with controlled connections to the upstream.
struct ControlledNetwork {
    inner: Rc<dyn Network>,
    connections: Rc<ConnectionControl>,
}

impl Network for ControlledNetwork {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        if to == socket_address(DISCOVERY) {
            return self.inner.connect(to);
        }
        let connections = self.connections.clone();
        let number = connections.opened.replace(connections.opened.get() + 1);
        if connections.refused_from.get().is_some_and(|first| number >= first) {
            return Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) });
        }
        let delay = connections.connect_delays.borrow_mut().pop_front().unwrap_or_default();
        connections.open.set(connections.open.get() + 1);
        connections.max_open.set(connections.max_open.get().max(connections.open.get()));
        let open = OpenConnection(connections.open.clone());
        Box::pin(async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let inner = self.inner.connect(to).await?;
            let stall =
                connections.stall.get().filter(|(n, _)| *n == number).map(|(_, length)| length);
            Ok(Box::new(ControlledStream { inner, stall, _open: open }) as Box<dyn Stream>)
        })
    }
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        self.inner.listen(at)
    }
    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        self.inner.datagrams(at)
    }
    fn unix_now(&self) -> Duration {
        self.inner.unix_now()
    }
}

/// Counts a descriptor as open, from the call of connect(2) until it is dropped.
struct OpenConnection(Rc<Cell<usize>>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct ControlledStream {
    inner: Box<dyn Stream>,
    stall: Option<Duration>,
    _open: OpenConnection,
}

impl Stream for ControlledStream {
    fn is_quiet(&self) -> bool {
        self.inner.is_quiet()
    }
    fn has_ended(&self) -> bool {
        self.inner.has_ended()
    }
    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.inner.poll_unread(cx)
    }
    fn since_last_bytes(&self) -> Option<Duration> {
        self.inner.since_last_bytes()
    }
    fn reset(self: Box<Self>) {
        self.inner.reset();
    }
}

impl AsyncRead for ControlledStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(length) = self.stall.take() {
            // The first poll of `advance` moves the clock, and no other task runs meanwhile.
            let _ = pin!(advance(length)).poll(cx);
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for ControlledStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Returns settings with three classes: `read` (safe), `log` (keyed, deduplicated by cell) and `alarm` (unsafe).
pub fn settings() -> Value {
    json!({
        "Balancers": 1, "Position": 0, "Zone": 0, "Zones": ["a"], "MachineTypes": ["m"],
        "Tick": 1.0, "RegistryMode": "subscribe",
        "Services": [
            {"Name": "read", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "retryable"},
            {"Name": "log", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "dedup",
                "Group": "cell", "Window": 1000.0},
            {"Name": "alarm", "Aim": 2000.0, "Deadline": 6000.0, "Effect": "fragile"},
        ],
        "PolicyLimits": {"MaxAttempts": 3, "RetryAfter": true, "MaxRetryAfter": 2000.0,
            "ConnectTimeout": 3000.0, "Keepalive": 60000.0, "StreamsPerConn": 1},
        "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
            "DrainGrace": 500.0, "AnswerSlack": 20.0, "AskEvery": 2000.0},
    })
}

/// A running balancer with its peers.
pub struct Harness {
    pub connections: Rc<ConnectionControl>,
    pub observations: mpsc::UnboundedReceiver<Observation>,
    list: mpsc::UnboundedSender<String>,
    client: Rc<dyn Network>,
}

impl Harness {
    /// Runs a test against a balancer with these settings. The upstream applies the behaviours to successive requests.
    pub async fn run<F: Future<Output = ()>>(
        settings: Value,
        behaviours: Vec<Behaviour>,
        test: impl FnOnce(Harness) -> F,
    ) {
        let test = async {
            let delays = |_: IpAddr, _: IpAddr| Duration::ZERO;
            let fabric = Fabric::new(Duration::from_secs(1_000_000), delays);
            let (sender, observations) = mpsc::unbounded_channel();
            let upstream = fabric
                .host(socket_address(UPSTREAM).ip())
                .listen(socket_address(UPSTREAM))
                .expect("free");
            spawn_local(run_upstream(upstream, Rc::new(RefCell::new(behaviours.into())), sender));
            let discovery = fabric
                .host(socket_address(DISCOVERY).ip())
                .listen(socket_address(DISCOVERY))
                .expect("free");
            let (list, lists_to_send) = mpsc::unbounded_channel();
            spawn_local(run_discovery(discovery, lists_to_send));
            let other = fabric
                .host(socket_address(MOVED_UPSTREAM).ip())
                .listen(socket_address(MOVED_UPSTREAM))
                .expect("free");
            let (other_observations, _receiver) = mpsc::unbounded_channel();
            let other_behaviours = VecDeque::from([Behaviour::Respond(ok("moved"))]);
            spawn_local(run_upstream(
                other,
                Rc::new(RefCell::new(other_behaviours)),
                other_observations,
            ));
            let file = json!({
                "limits": {"sockets": 96}, "settings": settings, "seed": "1",
                "known": {"revision": 1, "complete": true, "members": [{
                    "id": "s-0", "host_port": UPSTREAM, "locality": "a", "flavor": "m", "cell": 0,
                    "phase": "SERVING", "size": 1.0, "up_since_ms": 0}]},
            });
            let environment = |name: &str| match name {
                "LB_LISTEN" => Some(BALANCER.to_string()),
                "LB_DISCOVERY" => Some(DISCOVERY.to_string()),
                _ => None,
            };
            let config = Config::parse("the test's", file.to_string().as_bytes(), environment);
            let connections = Rc::<ConnectionControl>::default();
            let host = fabric.host(socket_address(BALANCER).ip());
            let listener = host.listen(socket_address(BALANCER)).expect("free");
            let network =
                Rc::new(ControlledNetwork { inner: host, connections: connections.clone() });
            let (_reload, reloads) = mpsc::unbounded_channel();
            let stop = std::future::pending();
            let config = config.unwrap_or_else(|e| panic!("{e}"));
            let resources = Resources::default();
            spawn_local(serve(config, network, listener, resources, reloads, stop));
            let client = fabric.host(IpAddr::from([10, 0, 3, 1]));
            test(Harness { connections, observations, list, client }).await;
        };
        LocalSet::new().run_until(test).await;
    }

    /// Opens a client's connection to the balancer.
    pub async fn client(&self) -> Client {
        Client(self.client.connect(socket_address(BALANCER)).await.expect("the balancer listens"))
    }

    /// Makes discovery announce this address and phase of the upstream.
    pub fn publish(&self, address: &str, phase: &str) {
        let list = json!({"revision": 2, "complete": false, "members": [{
            "id": "s-0", "host_port": address, "locality": "a", "flavor": "m", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": 0}]});
        self.list.send(format!("{list}\n")).expect("discovery is there");
    }

    /// Waits for the next observation of the upstream.
    pub async fn next_observation(&mut self) -> Observation {
        timeout(EVENT_TIMEOUT, self.observations.recv())
            .await
            .expect("in time")
            .expect("the upstream")
    }

    /// Whether the upstream has no further observation.
    pub fn has_observed_nothing(&mut self) -> bool {
        self.observations.try_recv().is_err()
    }
}

async fn run_upstream(
    mut listener: Box<dyn Listener>,
    behaviours: Rc<RefCell<VecDeque<Behaviour>>>,
    sender: mpsc::UnboundedSender<Observation>,
) {
    loop {
        let (stream, _) = accept(&mut *listener).await.expect("accepted");
        spawn_local(serve_connection(stream, behaviours.clone(), sender.clone()));
    }
}

/// Runs discovery, which accepts one watch and writes the lists to it.
async fn run_discovery(
    mut listener: Box<dyn Listener>,
    mut lists_to_send: mpsc::UnboundedReceiver<String>,
) {
    let (mut watch, _) = accept(&mut *listener).await.expect("accepted");
    read_head(&mut watch).await.expect("a call");
    let response_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.write_all(response_head.as_bytes()).await.expect("taken");
    while let Some(list) = lists_to_send.recv().await {
        let chunk = format!("{:x}\r\n{list}\r\n", list.len());
        watch.write_all(chunk.as_bytes()).await.expect("taken");
    }
}

async fn serve_connection(
    mut stream: Box<dyn Stream>,
    behaviours: Rc<RefCell<VecDeque<Behaviour>>>,
    sender: mpsc::UnboundedSender<Observation>,
) {
    while let Some(head) = read_head(&mut stream).await {
        let behaviour =
            behaviours.borrow_mut().pop_front().unwrap_or(Behaviour::Respond(ok("more")));
        let length = content_length(&head);
        let _ = sender.send(Observation::Head(head));
        match &behaviour {
            Behaviour::RespondEarly(first, _) => drop(stream.write_all(first.as_bytes()).await),
            Behaviour::PauseAfterHead(pause) => sleep(*pause).await,
            _ => {}
        }
        let mut body = vec![0; length];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        let _ = sender.send(Observation::Complete);
        match behaviour {
            Behaviour::Respond(text) | Behaviour::RespondEarly(_, text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Behaviour::RespondTwice(text, delay) => {
                let _ = stream.write_all(text.as_bytes()).await;
                sleep(delay).await;
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Behaviour::Reset(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                // The delay lets the written bytes arrive before the reset.
                sleep(Duration::from_millis(1)).await;
                return stream.reset();
            }
            Behaviour::Close(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Behaviour::PauseAfterHead(_) => {}
        }
    }
}

/// Reads a head; `None` if the connection ends first.
async fn read_head(stream: &mut Box<dyn Stream>) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = timeout(EVENT_TIMEOUT, stream.read_u8()).await.expect("in time").ok()?;
        head.push(byte);
    }
    Some(String::from_utf8(head).expect("text"))
}

/// Returns the value of a header in lower case, or an empty string without the header.
pub fn header(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|l| l.split_once(':'));
    let value = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next();
    value.unwrap_or_default().to_lowercase()
}

fn content_length(head: &str) -> usize {
    header(head, "content-length").parse().unwrap_or(0)
}

/// A client's connection.
pub struct Client(Box<dyn Stream>);

impl Client {
    /// Writes `text`.
    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("taken");
    }

    /// Reads the next response, and returns its status and body.
    pub async fn receive_response(&mut self) -> (u16, String) {
        let head = read_head(&mut self.0).await.expect("an answer");
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let mut body = vec![0; content_length(&head)];
        self.0.read_exact(&mut body).await.expect("all of it");
        (status, String::from_utf8(body).expect("text"))
    }

    /// Reads the next response, and returns its status, the number of body bytes received, and whether the body is known to
    /// be complete by its length or its last chunk.
    pub async fn receive_long_response(&mut self) -> (u16, usize, bool) {
        let head = read_head(&mut self.0).await.expect("an answer");
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let is_chunked = header(&head, "transfer-encoding") == "chunked";
        let mut remaining = if is_chunked { 0 } else { content_length(&head) };
        let mut received = 0;
        loop {
            if is_chunked {
                let mut line = Vec::new();
                while !line.ends_with(b"\r\n") {
                    let Ok(byte) = self.0.read_u8().await else { return (status, received, false) };
                    line.push(byte);
                }
                let size = std::str::from_utf8(&line).expect("a size").trim_end();
                remaining = usize::from_str_radix(size, 16).expect("a size") + 2;
            }
            let is_last = remaining == if is_chunked { 2 } else { 0 };
            let mut piece = vec![0; remaining];
            let mut read = 0;
            while read < remaining {
                match self.0.read(&mut piece[read..]).await {
                    Ok(n @ 1..) => read += n,
                    _ => return (status, received + read, false),
                }
            }
            if is_last {
                return (status, received, true);
            }
            received += read - if is_chunked { 2 } else { 0 };
            remaining = 0;
        }
    }

    /// Writes `text`, and waits for the response.
    pub async fn exchange(&mut self, text: &str) -> (u16, String) {
        self.send(text).await;
        self.receive_response().await
    }
}

/// Formats a request of this class.
pub fn request(class: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let (method, key) = match class {
        "read" => ("GET", ""),
        "log" => ("POST", "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"),
        _ => ("POST", ""),
    };
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n{key}{length}\r\n{body}"
    )
}
