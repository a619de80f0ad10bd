//! A balancer with one upstream that a test scripts, and a client. Everything is forced: connections come up when the
//! test says, and the clock is the runtime's.

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
use hollowpaddle_net::{Datagrams, Listener, Network, Soon, Stream, accept};
use hollowpaddle_simnet::Fabric;
use serde_json::{Value, json};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{advance, sleep, timeout};

const BALANCER: &str = "10.0.0.1:80";
const DISCOVERY: &str = "10.0.2.1:80";
pub const UPSTREAM: &str = "10.0.1.1:80";
/// Another that it may move to.
pub const OTHER: &str = "10.0.1.2:80";
/// Longest wait for what has to happen.
const SOON: Duration = Duration::from_secs(60);

/// An answer with this body.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn at(address: &str) -> SocketAddr {
    address.parse().expect("an address")
}

/// What the upstream does with a request, by the order in which they come.
#[derive(Clone)]
pub enum Does {
    /// Reads it whole, writes this, and keeps the connection.
    Answers(String),
    /// Reads it whole, writes this, and once more so much later.
    AnswersTwice(String, Duration),
    /// Reads it whole, writes this, and resets the connection.
    Resets(String),
    /// Reads it whole, writes this, and closes the connection in order.
    Ends(String),
    /// Reads its head, writes this, then reads the rest and answers with the other.
    Early(String, String),
    /// Reads its head, and goes on after so long.
    Rests(Duration),
}

/// What the upstream has seen of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// Its head.
    Head(String),
    /// Its last byte.
    Whole,
}

/// How the connections to the upstream come up, one after the other, and what else is forced.
#[derive(Default)]
pub struct Links {
    /// So long each takes to come up; those behind them come up at once.
    pub late: RefCell<VecDeque<Duration>>,
    /// Connections from this number on are refused at once.
    pub refused_from: Cell<Option<usize>>,
    /// The process does not run for so long when the connection of this number is first read from.
    pub stall: Cell<Option<(usize, Duration)>>,
    /// Begun so far, and open now.
    pub begun: Cell<usize>,
    pub open: Rc<Cell<usize>>,
    /// The most that were open at a time.
    pub most: Cell<usize>,
}

/// The balancer's network.
struct Forced {
    inner: Rc<dyn Network>,
    links: Rc<Links>,
}

impl Network for Forced {
    fn connect(&self, to: SocketAddr) -> Soon<'_, io::Result<Box<dyn Stream>>> {
        if to == at(DISCOVERY) {
            return self.inner.connect(to);
        }
        let links = self.links.clone();
        let number = links.begun.replace(links.begun.get() + 1);
        if links.refused_from.get().is_some_and(|from| number >= from) {
            return Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) });
        }
        let late = links.late.borrow_mut().pop_front().unwrap_or_default();
        links.open.set(links.open.get() + 1);
        links.most.set(links.most.get().max(links.open.get()));
        let open = Open(links.open.clone());
        Box::pin(async move {
            if !late.is_zero() {
                sleep(late).await;
            }
            let inner = self.inner.connect(to).await?;
            let stalls = links.stall.get().filter(|(n, _)| *n == number).map(|(_, by)| by);
            Ok(Box::new(Counted { inner, stalls, _open: open }) as Box<dyn Stream>)
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

/// A descriptor, from the call of connect(2) on.
struct Open(Rc<Cell<usize>>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Counted {
    inner: Box<dyn Stream>,
    stalls: Option<Duration>,
    _open: Open,
}

impl Stream for Counted {
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

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(by) = self.stalls.take() {
            // Its first poll moves the clock, and none of the tasks runs meanwhile.
            let _ = pin!(advance(by)).poll(cx);
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
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

/// One upstream with three classes: `read` (safe), `log` (keyed, dropped by its cell), `alarm` (unsafe).
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

/// What a test works with.
pub struct Rig {
    pub links: Rc<Links>,
    pub seen: mpsc::UnboundedReceiver<Seen>,
    list: mpsc::UnboundedSender<String>,
    client: Rc<dyn Network>,
}

impl Rig {
    /// Runs a test against a balancer with these settings, whose upstream does this.
    pub async fn run<F: Future<Output = ()>>(
        settings: Value,
        does: Vec<Does>,
        test: impl FnOnce(Rig) -> F,
    ) {
        let test = async {
            let delays = |_: IpAddr, _: IpAddr| Duration::ZERO;
            let fabric = Fabric::new(Duration::from_secs(1_000_000), delays);
            let (tell, seen) = mpsc::unbounded_channel();
            let upstream = fabric.host(at(UPSTREAM).ip()).listen(at(UPSTREAM)).expect("free");
            spawn_local(listen(upstream, Rc::new(RefCell::new(does.into())), tell));
            let discovery = fabric.host(at(DISCOVERY).ip()).listen(at(DISCOVERY)).expect("free");
            let (list, lists) = mpsc::unbounded_channel();
            spawn_local(watched(discovery, lists));
            let other = fabric.host(at(OTHER).ip()).listen(at(OTHER)).expect("free");
            let (there, _there) = mpsc::unbounded_channel();
            let moved = VecDeque::from([Does::Answers(ok("moved"))]);
            spawn_local(listen(other, Rc::new(RefCell::new(moved)), there));
            let file = json!({
                "limits": {"sockets": 96}, "settings": settings, "seed": "1",
                "known": {"revision": 1, "complete": true, "members": [{
                    "id": "s-0", "host_port": UPSTREAM, "locality": "a", "flavor": "m", "cell": 0,
                    "phase": "SERVING", "size": 1.0, "up_since_ms": 0}]},
            });
            let said = |name: &str| match name {
                "LB_LISTEN" => Some(BALANCER.to_string()),
                "LB_DISCOVERY" => Some(DISCOVERY.to_string()),
                _ => None,
            };
            let config = Config::parse("the test's", file.to_string().as_bytes(), said);
            let links = Rc::<Links>::default();
            let host = fabric.host(at(BALANCER).ip());
            let listener = host.listen(at(BALANCER)).expect("free");
            let network = Rc::new(Forced { inner: host, links: links.clone() });
            let (_reload, reloads) = mpsc::unbounded_channel();
            let stop = std::future::pending();
            let config = config.unwrap_or_else(|e| panic!("{e}"));
            let provided = Resources::default();
            spawn_local(serve(config, network, listener, provided, reloads, stop));
            let client = fabric.host(IpAddr::from([10, 0, 3, 1]));
            test(Rig { links, seen, list, client }).await;
        };
        LocalSet::new().run_until(test).await;
    }

    /// A connection of a client.
    pub async fn client(&self) -> Client {
        Client(self.client.connect(at(BALANCER)).await.expect("it listens"))
    }

    /// Has discovery say that the upstream is there, and in this phase.
    pub fn lists(&self, address: &str, phase: &str) {
        let list = json!({"revision": 2, "complete": false, "members": [{
            "id": "s-0", "host_port": address, "locality": "a", "flavor": "m", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": 0}]});
        self.list.send(format!("{list}\n")).expect("discovery is there");
    }

    /// What the upstream sees next.
    pub async fn sees(&mut self) -> Seen {
        timeout(SOON, self.seen.recv()).await.expect("in time").expect("the upstream")
    }

    /// Whether the upstream has seen nothing more.
    pub fn saw_nothing(&mut self) -> bool {
        self.seen.try_recv().is_err()
    }
}

async fn listen(
    mut listener: Box<dyn Listener>,
    does: Rc<RefCell<VecDeque<Does>>>,
    tell: mpsc::UnboundedSender<Seen>,
) {
    loop {
        let (stream, _) = accept(&mut *listener).await.expect("accepted");
        spawn_local(converse(stream, does.clone(), tell.clone()));
    }
}

/// Discovery: says on a watch what there is to say.
async fn watched(mut at: Box<dyn Listener>, mut lists: mpsc::UnboundedReceiver<String>) {
    let (mut watch, _) = accept(&mut *at).await.expect("accepted");
    head(&mut watch).await.expect("a call");
    let begun = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.write_all(begun.as_bytes()).await.expect("taken");
    while let Some(list) = lists.recv().await {
        let chunk = format!("{:x}\r\n{list}\r\n", list.len());
        watch.write_all(chunk.as_bytes()).await.expect("taken");
    }
}

async fn converse(
    mut stream: Box<dyn Stream>,
    does: Rc<RefCell<VecDeque<Does>>>,
    tell: mpsc::UnboundedSender<Seen>,
) {
    while let Some(head) = head(&mut stream).await {
        let next = does.borrow_mut().pop_front().unwrap_or(Does::Answers(ok("more")));
        let length = length(&head);
        let _ = tell.send(Seen::Head(head));
        match &next {
            Does::Early(first, _) => drop(stream.write_all(first.as_bytes()).await),
            Does::Rests(by) => sleep(*by).await,
            _ => {}
        }
        let mut body = vec![0; length];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        let _ = tell.send(Seen::Whole);
        match next {
            Does::Answers(text) | Does::Early(_, text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Does::AnswersTwice(text, later) => {
                let _ = stream.write_all(text.as_bytes()).await;
                sleep(later).await;
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Does::Resets(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                // What was written arrives before the reset does.
                sleep(Duration::from_millis(1)).await;
                return stream.reset();
            }
            Does::Ends(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Does::Rests(_) => {}
        }
    }
}

/// Reads a head; `None` where the connection ends first.
async fn head(stream: &mut Box<dyn Stream>) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = timeout(SOON, stream.read_u8()).await.expect("in time").ok()?;
        head.push(byte);
    }
    Some(String::from_utf8(head).expect("text"))
}

/// The value of a header, in lower case and empty if there is none.
pub fn header(head: &str, name: &str) -> String {
    let lines = head.lines().filter_map(|l| l.split_once(':'));
    let value = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim()).next();
    value.unwrap_or_default().to_lowercase()
}

fn length(head: &str) -> usize {
    header(head, "content-length").parse().unwrap_or(0)
}

/// A client's connection.
pub struct Client(Box<dyn Stream>);

impl Client {
    /// Writes this.
    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("taken");
    }

    /// The next answer's status and body.
    pub async fn answer(&mut self) -> (u16, String) {
        let head = head(&mut self.0).await.expect("an answer");
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let mut body = vec![0; length(&head)];
        self.0.read_exact(&mut body).await.expect("all of it");
        (status, String::from_utf8(body).expect("text"))
    }

    /// The next answer's status, the bytes of its body that come, and whether that can be told to be whole: by its
    /// length, or by its last chunk.
    pub async fn long_answer(&mut self) -> (u16, usize, bool) {
        let head = head(&mut self.0).await.expect("an answer");
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let chunked = header(&head, "transfer-encoding") == "chunked";
        let mut left = if chunked { 0 } else { length(&head) };
        let mut came = 0;
        loop {
            if chunked {
                let mut line = Vec::new();
                while !line.ends_with(b"\r\n") {
                    let Ok(byte) = self.0.read_u8().await else { return (status, came, false) };
                    line.push(byte);
                }
                let size = std::str::from_utf8(&line).expect("a size").trim_end();
                left = usize::from_str_radix(size, 16).expect("a size") + 2;
            }
            let last = left == if chunked { 2 } else { 0 };
            let mut piece = vec![0; left];
            let mut read = 0;
            while read < left {
                match self.0.read(&mut piece[read..]).await {
                    Ok(n @ 1..) => read += n,
                    _ => return (status, came + read, false),
                }
            }
            if last {
                return (status, came, true);
            }
            came += read - if chunked { 2 } else { 0 };
            left = 0;
        }
    }

    /// Writes this, and waits for its answer.
    pub async fn ask(&mut self, text: &str) -> (u16, String) {
        self.send(text).await;
        self.answer().await
    }
}

/// A request of this class.
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
