//! What a plan says, the peers that do it, and what they saw.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_gateway::{Config, Resources, serve};
use hollowpaddle_net::{Datagrams, Listener, Network, Soon, Stream, accept};
use hollowpaddle_simnet::Fabric;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A moment of a plan: so many milliseconds after the start, and so many turns of the loop after that.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct When {
    pub ms: u64,
    pub turns: u8,
}

/// The settings that a plan draws.
#[derive(Clone, Debug)]
pub struct Site {
    pub max_attempts: usize,
    pub hedging: bool,
    pub window_ms: u64,
    pub grace_ms: u64,
    pub connect_ms: u64,
    pub deadline_ms: u64,
    pub pushed: bool,
    /// From any machine to any other, one way.
    pub delay_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Debug)]
pub struct Ask {
    pub class: Class,
    /// Written so long after the answer before it, or after the connection came up.
    pub pause: When,
    /// Written behind the request before it, whatever becomes of that.
    pub behind: bool,
    /// Its last byte follows the others so much later.
    pub last_byte: Option<When>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    Close,
    Reset,
}

#[derive(Clone, Debug)]
pub struct Client {
    pub comes: When,
    pub asks: Vec<Ask>,
    /// It leaves at this moment, whatever is open.
    pub leaves: Option<(When, Way)>,
}

/// What an upstream does with a request, so long after its last byte.
#[derive(Clone, Debug)]
pub enum Does {
    /// Answers, and so long after the first half the rest; then it closes, if it does.
    Serves {
        rest: When,
        closes: Option<When>,
    },
    /// Turns it away, unrun.
    TurnsAway,
    Errs,
    /// Resets the connection with nothing, or with half of an answer, written.
    Breaks {
        half: bool,
    },
    Hangs,
}

#[derive(Clone, Debug)]
pub struct Upstream {
    pub cell: u32,
    /// Its requests in turn, over and over.
    pub does: Vec<(When, Does)>,
    /// How late its connections come up, in turn, over and over; never: `None`.
    pub connects: Vec<Option<When>>,
}

/// What discovery does.
#[derive(Clone, Debug)]
pub enum Act {
    /// An upstream drains from here on, or is gone.
    Drains(usize),
    Deleted(usize),
    /// Watches that are open fall silent; nothing is told on them any more.
    Silent,
    /// Watches that are open end.
    EndsWatches,
    /// Nobody is heard for so many milliseconds.
    Down(u64),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub site: Site,
    pub upstreams: Vec<Upstream>,
    pub clients: Vec<Client>,
    pub discovery: Vec<(When, Act)>,
    pub reload: Option<When>,
    pub stop: Option<When>,
}

/// One attempt, as its upstream saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub upstream: usize,
    pub began: Duration,
    pub whole: Option<Duration>,
    /// Turned away, and when that was written.
    pub never_ran: Option<Duration>,
    /// Its answer is written, or its connection is closed by either side.
    pub over: Option<Duration>,
}

/// One request, as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: Class,
    pub whole: Option<Duration>,
    /// Its connection's last answer before, for one that was written behind another.
    pub turn: Option<Duration>,
    /// When, with which status and body.
    pub answer: Option<(Duration, u16, String)>,
    /// Its client left.
    pub left: Option<Duration>,
    /// The balancer closed the connection before an answer.
    pub closed: Option<Duration>,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct Seen {
    pub attempts: Vec<Attempt>,
    pub requests: Vec<Request>,
    /// Bytes that nobody asked for.
    pub stray: Vec<String>,
    /// When an upstream's drain or end was made known to discovery, when a discovery that can be reached had it for
    /// six seconds, and when it was first written to the balancer.
    pub told: Vec<Option<Told>>,
    pub stopped: Option<Duration>,
    /// The balancer ended.
    pub ended: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub had: Duration,
    pub written: Option<Duration>,
    /// Up to when discovery was last down, if it was since.
    pub reachable: Duration,
}

impl Told {
    /// When it counts as told.
    pub fn counts(&self) -> Duration {
        let at_last = self.had.max(self.reachable) + Duration::from_secs(6);
        self.written.map_or(at_last, |at| at.min(at_last))
    }
}

struct World {
    start: Instant,
    seen: RefCell<Seen>,
    site: Site,
    /// Connections that began to come up, by upstream.
    connects: RefCell<Vec<usize>>,
}

impl World {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
    async fn at(&self, when: When) {
        sleep_until(self.start + Duration::from_millis(when.ms)).await;
        turns(when).await;
    }
}

async fn turns(when: When) {
    for _ in 0..when.turns {
        yield_now().await;
    }
}

async fn pass(when: When) {
    if when.ms > 0 {
        sleep(Duration::from_millis(when.ms)).await;
    }
    turns(when).await;
}

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}
fn balancer() -> SocketAddr {
    SocketAddr::new(ip(1), 80)
}
fn discovery(number: u8) -> SocketAddr {
    SocketAddr::new(ip(2 + number), 80)
}
fn upstream(number: usize) -> SocketAddr {
    SocketAddr::new(ip(10 + number as u8), 80)
}

/// The network as the balancer sees it: connections to upstreams come up as late as the plan says.
struct Late {
    inner: Rc<dyn Network>,
    world: Rc<World>,
    upstreams: Vec<Upstream>,
}

impl Network for Late {
    fn connect(&self, to: SocketAddr) -> Soon<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let number = (0..self.upstreams.len()).find(|u| upstream(*u) == to);
            if let Some((u, of)) = number.map(|u| (u, &self.upstreams[u].connects)) {
                let n = {
                    let connects = &mut self.world.connects.borrow_mut()[u];
                    *connects += 1;
                    *connects - 1
                };
                match of[n % of.len()] {
                    Some(late) => pass(late).await,
                    None => std::future::pending().await,
                }
            }
            self.inner.connect(to).await
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

/// The configuration that this plan's balancer has, with the discovery of this number.
pub fn config(plan: &Plan, of: u8) -> Config {
    let site = &plan.site;
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Aim": site.deadline_ms as f64 * 0.6, "Deadline": site.deadline_ms as f64,
            "LateValue": 0.5, "Effect": effect, "Group": "cell", "Window": site.window_ms as f64})
    };
    let entry = |(i, u): (usize, &Upstream)| listed(i, u.cell, "SERVING");
    let known: Vec<Value> = plan.upstreams.iter().enumerate().map(entry).collect();
    let file = json!({
        "name": "n0", "listen": balancer().to_string(), "discovery": discovery(of).to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 64, "sockets": 256},
        "known": {"revision": 1, "complete": true, "members": known},
        "settings": {
            "Balancers": 1, "Position": 0, "Zone": 0, "Zones": ["a"], "MachineTypes": ["m"], "Tick": 1.0,
            "RegistryMode": if site.pushed { "automatic" } else { "subscribe" },
            "Services": [class("look", "retryable"), class("hold", "dedup"), class("pay", "fragile")],
            "PolicyLimits": {"MaxAttempts": site.max_attempts, "SecondCopies": site.hedging,
                "Cancelling": true, "RetryAfter": true, "MaxRetryAfter": 500.0,
                "ConnectTimeout": site.connect_ms as f64, "Keepalive": 5000.0, "StreamsPerConn": 1},
            "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
                "DrainGrace": site.grace_ms as f64, "AnswerSlack": 20.0, "AskEvery": 2000.0},
        },
    });
    Config::parse("plan", file.to_string().as_bytes(), |_| None).expect("a configuration")
}

fn listed(number: usize, cell: u32, phase: &str) -> Value {
    json!({"id": format!("s-{number}"), "host_port": upstream(number).to_string(), "locality": "a",
        "flavor": "m", "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Plays a plan to its end.
pub fn play(plan: &Plan) -> Seen {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(LocalSet::new().run_until(played(plan.clone())))
}

async fn played(plan: Plan) -> Seen {
    let delay = Duration::from_millis(plan.site.delay_ms);
    let fabric = Fabric::new(Duration::from_secs(1_000_000), move |_, _| delay);
    let world = Rc::new(World {
        start: Instant::now(),
        seen: RefCell::new(Seen { told: vec![None; plan.upstreams.len()], ..Seen::default() }),
        site: plan.site.clone(),
        connects: RefCell::new(vec![0; plan.upstreams.len()]),
    });
    for (number, is) in plan.upstreams.iter().enumerate() {
        let listener = fabric.host(upstream(number).ip()).listen(upstream(number)).expect("free");
        spawn_local(serves(world.clone(), number, is.clone(), listener));
    }
    let cells: Vec<u32> = plan.upstreams.iter().map(|u| u.cell).collect();
    let registry = Rc::new(Registry::new(world.clone(), &cells));
    for number in 0..2 {
        let at = discovery(number);
        let listener = fabric.host(at.ip()).listen(at).expect("free");
        spawn_local(registry.clone().accepts(listener));
    }
    spawn_local(registry.acts(plan.discovery.clone()));

    let (stop, stopped) = oneshot::channel::<()>();
    let (reload, reloads) = mpsc::unbounded_channel();
    let host = fabric.host(balancer().ip());
    let listener = host.listen(balancer()).expect("free");
    let network = Late { inner: host, world: world.clone(), upstreams: plan.upstreams.clone() };
    let serving = serve(
        config(&plan, 0),
        Rc::new(network),
        listener,
        Resources::default(),
        reloads,
        async move { drop(stopped.await) },
    );
    let serving = spawn_local(serving);
    if let Some(when) = plan.reload {
        let (world, config, reload) = (world.clone(), config(&plan, 1), reload.clone());
        spawn_local(async move {
            world.at(when).await;
            let _ = reload.send(config);
        });
    }
    let clients: Vec<_> = plan
        .clients
        .iter()
        .enumerate()
        .map(|(number, is)| {
            let network = fabric.host(ip(100 + number as u8));
            spawn_local(asks(world.clone(), number, is.clone(), network))
        })
        .collect();
    let through = {
        async move {
            for client in clients {
                client.await.expect("a client's task");
            }
        }
    };
    let stops = {
        let (world, last) = (world.clone(), Duration::from_secs(9));
        async move {
            match plan.stop {
                Some(when) => world.at(when).await,
                None => sleep(last).await,
            }
            world.seen.borrow_mut().stopped = Some(world.now());
            let _ = stop.send(());
        }
    };
    let whole = async { tokio::join!(through, stops) };
    timeout(Duration::from_secs(60), whole).await.expect("all clients are through in time");
    let ended = timeout(Duration::from_secs(60), serving).await.expect("the balancer ends");
    ended.expect("its task").expect("it served to its end");
    world.seen.borrow_mut().ended = Some(world.now());
    drop(reload);
    world.seen.take()
}

// ---------------------------------------------------------------- a client

/// A request as it goes on the wire.
fn text(id: &str, class: Class, deadline_ms: u64) -> String {
    let (method, name, key) = match class {
        Class::Safe => ("GET", "look", String::new()),
        Class::Keyed => ("POST", "hold", format!("Idempotency-Key: {id}\r\nContent-Length: 1\r\n")),
        Class::Unsafe => ("POST", "pay", "Content-Length: 1\r\n".to_string()),
    };
    let body = if class == Class::Safe { "" } else { "x" };
    format!(
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {name}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n{key}\r\n{body}"
    )
}

async fn asks(world: Rc<World>, number: usize, is: Client, network: Rc<dyn Network>) {
    world.at(is.comes).await;
    let Ok(stream) = network.connect(balancer()).await else { return };
    let stream = Rc::new(RefCell::new(Some(stream)));
    let open = Rc::new(RefCell::new(Vec::<usize>::new()));
    let talk = talk(&world, number, &is, &stream, &open);
    let Some((when, way)) = is.leaves else { return talk.await };
    tokio::select! {
        biased;
        () = talk => {}
        () = world.at(when) => {
            let now = world.now();
            let mut seen = world.seen.borrow_mut();
            for i in open.borrow().iter() {
                seen.requests[*i].left = Some(now);
            }
            match (stream.take(), way) {
                (Some(stream), Way::Reset) => stream.reset(),
                (stream, _) => drop(stream),
            }
        }
    }
}

/// A stream that can be taken away between two polls.
type Taken = RefCell<Option<Box<dyn Stream>>>;

async fn write(stream: &Taken, bytes: &[u8]) -> bool {
    let mut from = 0;
    while from < bytes.len() {
        let wrote = std::future::poll_fn(|cx| match stream.borrow_mut().as_mut() {
            Some(s) => tokio::io::AsyncWrite::poll_write(std::pin::Pin::new(s), cx, &bytes[from..]),
            None => std::task::Poll::Ready(Ok(0)),
        });
        match wrote.await {
            Ok(n) if n > 0 => from += n,
            _ => return false,
        }
    }
    true
}

/// Reads on; `None` at its end.
async fn read_more(stream: &Taken, held: &mut Vec<u8>) -> Option<()> {
    let mut some = [0; 1024];
    let read = std::future::poll_fn(|cx| {
        let mut buf = tokio::io::ReadBuf::new(&mut some);
        let mut stream = stream.borrow_mut();
        let Some(s) = stream.as_mut() else { return std::task::Poll::Pending };
        let read = tokio::io::AsyncRead::poll_read(std::pin::Pin::new(s), cx, &mut buf);
        read.map_ok(|()| buf.filled().len())
    });
    let n = read.await.ok().filter(|n| *n > 0)?;
    held.extend_from_slice(&some[..n]);
    Some(())
}

/// The next message: its first line, its head, its body by length; `None` where the connection ends first.
async fn message(stream: &Taken, held: &mut Vec<u8>) -> Option<(String, String)> {
    loop {
        if let Some(end) = held.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&held[..end]).into_owned();
            let length = header(&head, "content-length").parse().unwrap_or(0usize);
            if held.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&held[end + 4..end + 4 + length]).into_owned();
                held.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        read_more(stream, held).await?;
    }
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().filter_map(|l| l.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v.trim())
}

async fn talk(
    world: &World,
    number: usize,
    is: &Client,
    stream: &Taken,
    open: &RefCell<Vec<usize>>,
) {
    let mut held = Vec::new();
    // Those that are written and not answered yet.
    let mut owed = std::collections::VecDeque::new();
    let mut asks = is.asks.iter().enumerate().peekable();
    while let Some((n, ask)) = asks.next() {
        if !ask.behind {
            pass(ask.pause).await;
        }
        let id = format!("c{number}-{n}");
        let text = text(&id, ask.class, world.site.deadline_ms);
        let request = Request {
            id,
            class: ask.class,
            whole: None,
            turn: None,
            answer: None,
            left: None,
            closed: None,
        };
        let place = {
            let mut seen = world.seen.borrow_mut();
            seen.requests.push(request);
            seen.requests.len() - 1
        };
        open.borrow_mut().push(place);
        owed.push_back(place);
        let split = text.len() - usize::from(ask.last_byte.is_some());
        let mut wrote = write(stream, &text.as_bytes()[..split]).await;
        if let Some(when) = ask.last_byte {
            pass(when).await;
            wrote = wrote && write(stream, &text.as_bytes()[split..]).await;
        }
        if wrote {
            world.seen.borrow_mut().requests[place].whole = Some(world.now());
        }
        if asks.peek().is_some_and(|(_, next)| next.behind) {
            continue;
        }
        while let Some(place) = owed.pop_front() {
            let Some((head, body)) = message(stream, &mut held).await else {
                let mut seen = world.seen.borrow_mut();
                for place in std::iter::once(place).chain(owed.drain(..)) {
                    seen.requests[place].closed = Some(world.now());
                }
                return;
            };
            let mut seen = world.seen.borrow_mut();
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            seen.requests[place].answer = Some((world.now(), status, body));
            open.borrow_mut().retain(|p| *p != place);
            if let Some(next) = owed.front() {
                seen.requests[*next].turn = Some(world.now());
            }
        }
    }
    // It idles until the balancer ends the connection, and hears no more.
    while read_more(stream, &mut held).await.is_some() {}
    if !held.is_empty() {
        let stray = String::from_utf8_lossy(&held).into_owned();
        world.seen.borrow_mut().stray.push(stray);
    }
}

// ---------------------------------------------------------------- an upstream

async fn serves(world: Rc<World>, number: usize, is: Upstream, mut listener: Box<dyn Listener>) {
    let (is, asked) = (Rc::new(is), Rc::new(Cell::new(0)));
    while let Ok((stream, _)) = accept(&mut *listener).await {
        let (world, is, asked) = (world.clone(), is.clone(), asked.clone());
        spawn_local(async move {
            let mut open = Vec::new();
            let end = converses(&world, number, &is, &asked, stream, &mut open).await;
            let now = world.now();
            let mut seen = world.seen.borrow_mut();
            for place in open {
                seen.attempts[place].over.get_or_insert(now);
            }
            drop(end);
        });
    }
}

/// All requests of one connection; the stream is given back if it is to be closed in order.
async fn converses(
    world: &World,
    number: usize,
    is: &Upstream,
    asked: &Cell<usize>,
    mut stream: Box<dyn Stream>,
    open: &mut Vec<usize>,
) -> Option<Box<dyn Stream>> {
    let mut held = Vec::new();
    loop {
        let mut began = None;
        let (head, length) = loop {
            if let Some(end) = held.windows(4).position(|w: &[u8]| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&held[..end]).into_owned();
                held.drain(..end + 4);
                let length = header(&head, "content-length").parse().unwrap_or(0usize);
                break (head, length);
            }
            let mut some = [0; 1024];
            let n = stream.read(&mut some).await.ok().filter(|n| *n > 0)?;
            began.get_or_insert(world.now());
            held.extend_from_slice(&some[..n]);
        };
        let place = {
            let mut seen = world.seen.borrow_mut();
            seen.attempts.push(Attempt {
                id: header(&head, "x-request-id").to_string(),
                upstream: number,
                began: began.unwrap_or(world.now()),
                whole: None,
                never_ran: None,
                over: None,
            });
            seen.attempts.len() - 1
        };
        open.push(place);
        while held.len() < length {
            let mut some = [0; 1024];
            let n = stream.read(&mut some).await.ok().filter(|n| *n > 0)?;
            held.extend_from_slice(&some[..n]);
        }
        held.drain(..length);
        world.seen.borrow_mut().attempts[place].whole = Some(world.now());
        let (after, does) = &is.does[asked.replace(asked.get() + 1) % is.does.len()];
        let body = format!("{}@{number}", header(&head, "x-request-id"));
        let does = acts(world, place, *after, does, &body, &mut stream);
        // Whatever it is about, the balancer's close ends it.
        let over = |world: &World| {
            world.seen.borrow_mut().attempts[place].over.get_or_insert(world.now());
        };
        match does.await {
            Acted::Keeps => over(world),
            Acted::Closes => return Some(stream),
            Acted::Resets => {
                over(world);
                stream.reset();
                return None;
            }
        }
    }
}

enum Acted {
    Keeps,
    Closes,
    Resets,
}

async fn acts(
    world: &World,
    place: usize,
    after: When,
    does: &Does,
    body: &str,
    stream: &mut Box<dyn Stream>,
) -> Acted {
    if !waits(stream, after).await {
        return Acted::Closes;
    }
    let whole = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (first, second) = whole.split_at(whole.len() - 2);
    match does {
        Does::Serves { rest, closes } => {
            let wrote = stream.write_all(first.as_bytes()).await.is_ok();
            if !wrote || !waits(stream, *rest).await {
                return Acted::Closes;
            }
            if stream.write_all(second.as_bytes()).await.is_err() {
                return Acted::Closes;
            }
            let Some(closes) = closes else { return Acted::Keeps };
            world.seen.borrow_mut().attempts[place].over = Some(world.now());
            pass(*closes).await;
            Acted::Closes
        }
        Does::TurnsAway => {
            world.seen.borrow_mut().attempts[place].never_ran = Some(world.now());
            let answer =
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes()).await;
            Acted::Keeps
        }
        Does::Errs => {
            let answer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            let _ = stream.write_all(answer.as_bytes()).await;
            Acted::Keeps
        }
        Does::Breaks { half } => {
            if *half {
                let _ = stream.write_all(first.as_bytes()).await;
            }
            Acted::Resets
        }
        Does::Hangs => {
            waits(stream, When { ms: 60_000, turns: 0 }).await;
            Acted::Closes
        }
    }
}

/// Waits so long; whether the balancer was still there then. It sends nothing while its request is open.
async fn waits(stream: &mut Box<dyn Stream>, when: When) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        biased;
        read = stream.read(&mut byte) => {
            assert!(!matches!(read, Ok(1..)), "a request behind one that is open");
            false
        }
        () = pass(when) => true,
    }
}

// ---------------------------------------------------------------- discovery

/// What both discoveries know, and their watches.
struct Registry {
    world: Rc<World>,
    revision: Cell<u64>,
    /// By upstream: its cell and phase.
    list: RefCell<Vec<(u32, &'static str)>>,
    down_until: Cell<Option<Instant>>,
    /// Told of each change: the line, or that watches end or are silent from here on.
    watches: RefCell<Vec<mpsc::UnboundedSender<Watch>>>,
}

#[derive(Clone)]
enum Watch {
    Line(String, Vec<usize>),
    Silent,
    Ends,
}

impl Registry {
    fn new(world: Rc<World>, cells: &[u32]) -> Self {
        Self {
            world,
            revision: Cell::new(1),
            list: RefCell::new(cells.iter().map(|c| (*c, "SERVING")).collect()),
            down_until: Cell::new(None),
            watches: RefCell::default(),
        }
    }

    fn down(&self) -> bool {
        self.down_until.get().is_some_and(|until| Instant::now() < until)
    }

    fn entry(&self, number: usize) -> Value {
        let (cell, phase) = self.list.borrow()[number];
        listed(number, cell, phase)
    }

    fn tell(&self, watch: &Watch) {
        self.watches.borrow_mut().retain(|w| w.send(watch.clone()).is_ok());
    }

    async fn acts(self: Rc<Self>, acts: Vec<(When, Act)>) {
        for (when, act) in acts {
            self.world.at(when).await;
            match act {
                Act::Drains(u) => self.changes(u, "DRAINING"),
                Act::Deleted(u) => self.changes(u, "DELETED"),
                Act::Silent => self.tell(&Watch::Silent),
                Act::EndsWatches => self.tell(&Watch::Ends),
                Act::Down(ms) => {
                    let until = Instant::now() + Duration::from_millis(ms);
                    self.down_until.set(Some(until));
                    let reachable = until - self.world.start;
                    for told in self.world.seen.borrow_mut().told.iter_mut().flatten() {
                        told.reachable = told.reachable.max(reachable);
                    }
                    self.tell(&Watch::Ends);
                }
            }
        }
    }

    fn changes(&self, number: usize, phase: &'static str) {
        if self.list.borrow()[number].1 != "SERVING" {
            return;
        }
        self.revision.set(self.revision.get() + 1);
        self.list.borrow_mut()[number].1 = phase;
        let had = self.world.now();
        let down = self.down_until.get().map_or(Duration::ZERO, |at| at - self.world.start);
        let told = Told { had, written: None, reachable: down };
        self.world.seen.borrow_mut().told[number] = Some(told);
        let line = json!({"revision": self.revision.get(), "complete": false,
            "members": [self.entry(number)]});
        self.tell(&Watch::Line(line.to_string(), vec![number]));
    }

    async fn accepts(self: Rc<Self>, mut listener: Box<dyn Listener>) {
        while let Ok((stream, _)) = accept(&mut *listener).await {
            if self.down() {
                stream.reset();
                continue;
            }
            spawn_local(self.clone().watched(stream));
        }
    }

    async fn watched(self: Rc<Self>, mut stream: Box<dyn Stream>) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0; 1];
            match stream.read(&mut byte).await {
                Ok(1..) => head.push(byte[0]),
                _ => return,
            }
        }
        if self.down() {
            return stream.reset();
        }
        let (tell, mut told) = mpsc::unbounded_channel();
        self.watches.borrow_mut().push(tell);
        let all = 0..self.list.borrow().len();
        let gone = |u: &usize| self.list.borrow()[*u].1 == "DELETED";
        let members: Vec<Value> = all.clone().filter(|u| !gone(u)).map(|u| self.entry(u)).collect();
        let list = json!({"revision": self.revision.get(), "complete": true, "members": members});
        let out = all.filter(|u| self.list.borrow()[*u].1 != "SERVING").collect();
        let start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut next = Watch::Line(list.to_string(), out);
        if stream.write_all(start.as_bytes()).await.is_err() {
            return;
        }
        let mut silent = false;
        loop {
            match next {
                Watch::Silent => silent = true,
                Watch::Ends => return stream.reset(),
                Watch::Line(..) if silent => {}
                Watch::Line(line, numbers) => {
                    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                    if stream.write_all(chunk.as_bytes()).await.is_err() {
                        return;
                    }
                    let now = self.world.now();
                    for told in numbers {
                        if let Some(told) = &mut self.world.seen.borrow_mut().told[told] {
                            told.written.get_or_insert(now);
                        }
                    }
                }
            }
            let mut byte = [0; 1];
            next = tokio::select! {
                biased;
                told = told.recv() => match told {
                    Some(told) => told,
                    None => return,
                },
                // The balancer let it go.
                _ = stream.read(&mut byte) => return,
                () = sleep(Duration::from_secs(2)) => Watch::Line(String::new(), Vec::new()),
            };
        }
    }
}
