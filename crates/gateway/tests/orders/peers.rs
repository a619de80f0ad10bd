//! Plans, the simulated peers that follow a plan, and the observations of the peers.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_gateway::{Config, Resources, serve};
use hollowpaddle_net::{Datagrams, Listener, LocalBoxFuture, Network, Stream, accept};
use hollowpaddle_simnet::Fabric;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A moment or a delay in a plan: a number of milliseconds, and a number of turns of the event loop after these.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Timing {
    pub ms: u64,
    pub turns: u8,
}

/// The generated settings of the balancer and the network.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    pub max_attempts: usize,
    pub hedging: bool,
    pub window_ms: u64,
    pub grace_ms: u64,
    pub connect_ms: u64,
    pub deadline_ms: u64,
    pub pushed: bool,
    /// One-way network delay between any two machines.
    pub delay_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Debug)]
pub struct PlannedRequest {
    pub class: Class,
    /// Delay after the previous answer, or after the connection was established.
    pub delay: Timing,
    /// Whether the request is written right after the previous one, without waiting for an answer.
    pub pipelined: bool,
    /// Delay of the request's last byte after the other bytes.
    pub last_byte_delay: Option<Timing>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisconnectKind {
    Close,
    Reset,
}

#[derive(Clone, Debug)]
pub struct Client {
    pub connects_at: Timing,
    pub requests: Vec<PlannedRequest>,
    /// The moment at which the client disconnects, even with open requests.
    pub disconnect: Option<(Timing, DisconnectKind)>,
}

/// The behaviour of an upstream on a request.
#[derive(Clone, Debug)]
pub enum Behaviour {
    /// Sends a response in two parts, and optionally closes the connection after that.
    Serve { second_half_delay: Timing, close_delay: Option<Timing> },
    /// Rejects the request as not run.
    Reject,
    /// Sends a response with status 500.
    Fail,
    /// Resets the connection, with no byte or a part of a response written.
    Reset { after_half: bool },
    /// Never answers.
    Hang,
}

#[derive(Clone, Debug)]
pub struct Upstream {
    pub cell: u32,
    /// Behaviours on successive requests, in a cycle, each with its delay after the last byte of the request.
    pub behaviours: Vec<(Timing, Behaviour)>,
    /// Delays of successive connections, in a cycle; `None` for a connection that is never established.
    pub connect_delays: Vec<Option<Timing>>,
}

/// An action of the discovery services.
#[derive(Clone, Debug)]
pub enum DiscoveryAction {
    /// Marks an upstream as draining.
    Drain(usize),
    /// Marks an upstream as deleted.
    Delete(usize),
    /// Silences the open watches: nothing more is sent on them.
    Silence,
    /// Ends the open watches.
    CloseWatches,
    /// Makes discovery unavailable for this many milliseconds.
    Outage(u64),
}

/// The plan of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    pub settings: BalancerSettings,
    pub upstreams: Vec<Upstream>,
    pub clients: Vec<Client>,
    pub discovery: Vec<(Timing, DiscoveryAction)>,
    pub reload: Option<Timing>,
    pub stop: Option<Timing>,
}

/// One attempt, as observed by its upstream. Times count from the start of the run.
#[derive(Clone, Debug)]
pub struct ObservedAttempt {
    pub id: String,
    pub upstream: usize,
    pub started_at: Duration,
    /// When the last byte of the request was received.
    pub complete_at: Option<Duration>,
    /// When a rejection was written, if the upstream rejected the request.
    pub rejected_at: Option<Duration>,
    /// When the response was written or either side closed the connection.
    pub ended_at: Option<Duration>,
}

/// One request, as observed by its client. Times count from the start of the run.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    pub id: String,
    pub class: Class,
    /// When the last byte of the request was written.
    pub complete_at: Option<Duration>,
    /// When the previous request on the connection was answered, for a pipelined request.
    pub previous_answered_at: Option<Duration>,
    /// Time, status and body of the answer.
    pub answer: Option<(Duration, u16, String)>,
    /// When the client disconnected without an answer.
    pub disconnected_at: Option<Duration>,
    /// When the balancer closed the connection without an answer.
    pub closed_at: Option<Duration>,
}

/// The observations of all peers in one run.
#[derive(Debug, Default)]
pub struct Observations {
    pub attempts: Vec<ObservedAttempt>,
    pub requests: Vec<ObservedRequest>,
    /// Bytes received by clients that are no answer to a request.
    pub unsolicited: Vec<String>,
    /// The delivery of each upstream's drain or deletion, if there was one, by upstream.
    pub deliveries: Vec<Option<ChangeDelivery>>,
    /// When the balancer was asked to stop.
    pub stopped_at: Option<Duration>,
    /// When the balancer ended.
    pub ended_at: Option<Duration>,
}

/// The delivery of a change of the endpoint list to the balancer.
#[derive(Clone, Copy, Debug)]
pub struct ChangeDelivery {
    /// When discovery learned of the change.
    pub changed_at: Duration,
    /// When the change was first written to the balancer.
    pub written_at: Option<Duration>,
    /// End of the last discovery outage, or zero.
    pub reachable_from: Duration,
}

impl ChangeDelivery {
    /// When the change counts as delivered: when it was written, but at most 6 s after a reachable discovery had it.
    pub fn effective_at(&self) -> Duration {
        let latest = self.changed_at.max(self.reachable_from) + Duration::from_secs(6);
        self.written_at.map_or(latest, |at| at.min(latest))
    }
}

/// The state shared by all peers of one run.
struct World {
    start: Instant,
    observations: RefCell<Observations>,
    settings: BalancerSettings,
    /// Number of connections that the balancer has begun to open, by upstream.
    connect_counts: RefCell<Vec<usize>>,
}

impl World {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
    async fn wait_until(&self, moment: Timing) {
        sleep_until(self.start + Duration::from_millis(moment.ms)).await;
        yield_turns(moment).await;
    }
}

async fn yield_turns(delay: Timing) {
    for _ in 0..delay.turns {
        yield_now().await;
    }
}

async fn wait(delay: Timing) {
    if delay.ms > 0 {
        sleep(Duration::from_millis(delay.ms)).await;
    }
    yield_turns(delay).await;
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

/// The network of the balancer, which delays connections to upstreams as planned.
struct DelayedNetwork {
    inner: Rc<dyn Network>,
    world: Rc<World>,
    upstreams: Vec<Upstream>,
}

impl Network for DelayedNetwork {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let number = (0..self.upstreams.len()).find(|u| upstream(*u) == to);
            if let Some((u, delays)) = number.map(|u| (u, &self.upstreams[u].connect_delays)) {
                let n = {
                    let count = &mut self.world.connect_counts.borrow_mut()[u];
                    *count += 1;
                    *count - 1
                };
                match delays[n % delays.len()] {
                    Some(delay) => wait(delay).await,
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

/// Builds the configuration of the balancer, with the discovery service of this number.
pub fn config(plan: &Plan, discovery_number: u8) -> Config {
    let settings = &plan.settings;
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Aim": settings.deadline_ms as f64 * 0.6, "Deadline": settings.deadline_ms as f64,
            "LateValue": 0.5, "Effect": effect, "Group": "cell", "Window": settings.window_ms as f64})
    };
    let entry = |(i, u): (usize, &Upstream)| list_entry(i, u.cell, "SERVING");
    let known: Vec<Value> = plan.upstreams.iter().enumerate().map(entry).collect();
    let file = json!({
        "name": "n0", "listen": balancer().to_string(), "discovery": discovery(discovery_number).to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 64, "sockets": 256},
        "known": {"revision": 1, "complete": true, "members": known},
        "settings": {
            "Balancers": 1, "Position": 0, "Zone": 0, "Zones": ["a"], "MachineTypes": ["m"], "Tick": 1.0,
            "RegistryMode": if settings.pushed { "automatic" } else { "subscribe" },
            "Services": [class("look", "retryable"), class("hold", "dedup"), class("pay", "fragile")],
            "PolicyLimits": {"MaxAttempts": settings.max_attempts, "SecondCopies": settings.hedging,
                "Cancelling": true, "RetryAfter": true, "MaxRetryAfter": 500.0,
                "ConnectTimeout": settings.connect_ms as f64, "Keepalive": 5000.0, "StreamsPerConn": 1},
            "Safety": {"Cold": 5000.0, "ColdFrom": 0.2, "FallMultiple": 3.0, "TipAfter": 1000.0,
                "DrainGrace": settings.grace_ms as f64, "AnswerSlack": 20.0, "AskEvery": 2000.0},
        },
    });
    Config::parse("plan", file.to_string().as_bytes(), |_| None).expect("a configuration")
}

fn list_entry(number: usize, cell: u32, phase: &str) -> Value {
    json!({"id": format!("s-{number}"), "host_port": upstream(number).to_string(), "locality": "a",
        "flavor": "m", "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": 0})
}

/// Runs a plan to its end, in virtual time.
pub fn run_plan(plan: &Plan) -> Observations {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(LocalSet::new().run_until(run_balancer(plan.clone())))
}

async fn run_balancer(plan: Plan) -> Observations {
    let delay = Duration::from_millis(plan.settings.delay_ms);
    let fabric = Fabric::new(Duration::from_secs(1_000_000), move |_, _| delay);
    let world = Rc::new(World {
        start: Instant::now(),
        observations: RefCell::new(Observations {
            deliveries: vec![None; plan.upstreams.len()],
            ..Observations::default()
        }),
        settings: plan.settings.clone(),
        connect_counts: RefCell::new(vec![0; plan.upstreams.len()]),
    });
    for (number, spec) in plan.upstreams.iter().enumerate() {
        let listener = fabric.host(upstream(number).ip()).listen(upstream(number)).expect("free");
        spawn_local(run_upstream(world.clone(), number, spec.clone(), listener));
    }
    let cells: Vec<u32> = plan.upstreams.iter().map(|u| u.cell).collect();
    let service = Rc::new(DiscoveryService::new(world.clone(), &cells));
    for number in 0..2 {
        let at = discovery(number);
        let listener = fabric.host(at.ip()).listen(at).expect("free");
        spawn_local(service.clone().accept_watches(listener));
    }
    spawn_local(service.run_actions(plan.discovery.clone()));

    let (stop, stop_received) = oneshot::channel::<()>();
    let (reload, reloads) = mpsc::unbounded_channel();
    let host = fabric.host(balancer().ip());
    let listener = host.listen(balancer()).expect("free");
    let network =
        DelayedNetwork { inner: host, world: world.clone(), upstreams: plan.upstreams.clone() };
    let serving = serve(
        config(&plan, 0),
        Rc::new(network),
        listener,
        Resources::default(),
        reloads,
        async move { drop(stop_received.await) },
    );
    let serving = spawn_local(serving);
    if let Some(moment) = plan.reload {
        let (world, config, reload) = (world.clone(), config(&plan, 1), reload.clone());
        spawn_local(async move {
            world.wait_until(moment).await;
            let _ = reload.send(config);
        });
    }
    let clients: Vec<_> = plan
        .clients
        .iter()
        .enumerate()
        .map(|(number, spec)| {
            let network = fabric.host(ip(100 + number as u8));
            spawn_local(run_client(world.clone(), number, spec.clone(), network))
        })
        .collect();
    let clients_done = {
        async move {
            for client in clients {
                client.await.expect("a client's task");
            }
        }
    };
    let stopping = {
        let (world, default_length) = (world.clone(), Duration::from_secs(9));
        async move {
            match plan.stop {
                Some(moment) => world.wait_until(moment).await,
                None => sleep(default_length).await,
            }
            world.observations.borrow_mut().stopped_at = Some(world.now());
            let _ = stop.send(());
        }
    };
    let run = async { tokio::join!(clients_done, stopping) };
    timeout(Duration::from_secs(60), run).await.expect("all clients finish in time");
    let result = timeout(Duration::from_secs(60), serving).await.expect("the balancer ends");
    result.expect("the balancer's task").expect("the balancer ends without an error");
    world.observations.borrow_mut().ended_at = Some(world.now());
    drop(reload);
    world.observations.take()
}

// Clients

/// Formats a request as it is sent.
fn request_text(id: &str, class: Class, deadline_ms: u64) -> String {
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

async fn run_client(world: Rc<World>, number: usize, spec: Client, network: Rc<dyn Network>) {
    world.wait_until(spec.connects_at).await;
    let Ok(stream) = network.connect(balancer()).await else { return };
    let stream = Rc::new(RefCell::new(Some(stream)));
    let open = Rc::new(RefCell::new(Vec::<usize>::new()));
    let conversation = send_requests(&world, number, &spec, &stream, &open);
    let Some((moment, kind)) = spec.disconnect else { return conversation.await };
    tokio::select! {
        biased;
        () = conversation => {}
        () = world.wait_until(moment) => {
            let now = world.now();
            let mut observations = world.observations.borrow_mut();
            for i in open.borrow().iter() {
                observations.requests[*i].disconnected_at = Some(now);
            }
            match (stream.take(), kind) {
                (Some(stream), DisconnectKind::Reset) => stream.reset(),
                (stream, _) => drop(stream),
            }
        }
    }
}

/// A stream that can be removed between two polls.
type TakeableStream = RefCell<Option<Box<dyn Stream>>>;

async fn write(stream: &TakeableStream, bytes: &[u8]) -> bool {
    let mut position = 0;
    while position < bytes.len() {
        let written_bytes = std::future::poll_fn(|cx| match stream.borrow_mut().as_mut() {
            Some(s) => {
                tokio::io::AsyncWrite::poll_write(std::pin::Pin::new(s), cx, &bytes[position..])
            }
            None => std::task::Poll::Ready(Ok(0)),
        });
        match written_bytes.await {
            Ok(n) if n > 0 => position += n,
            _ => return false,
        }
    }
    true
}

/// Reads more bytes into `buffer`; `None` at the end of the stream.
async fn read_more(stream: &TakeableStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 1024];
    let read = std::future::poll_fn(|cx| {
        let mut buf = tokio::io::ReadBuf::new(&mut chunk);
        let mut stream = stream.borrow_mut();
        let Some(s) = stream.as_mut() else { return std::task::Poll::Pending };
        let read = tokio::io::AsyncRead::poll_read(std::pin::Pin::new(s), cx, &mut buf);
        read.map_ok(|()| buf.filled().len())
    });
    let n = read.await.ok().filter(|n| *n > 0)?;
    buffer.extend_from_slice(&chunk[..n]);
    Some(())
}

/// Reads the next message, and returns its head and body; `None` if the connection ends first.
async fn read_message(stream: &TakeableStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = header(&head, "content-length").parse().unwrap_or(0usize);
            if buffer.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&buffer[end + 4..end + 4 + length]).into_owned();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        read_more(stream, buffer).await?;
    }
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().filter_map(|l| l.split_once(':'));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map_or("", |(_, v)| v.trim())
}

async fn send_requests(
    world: &World,
    number: usize,
    spec: &Client,
    stream: &TakeableStream,
    open: &RefCell<Vec<usize>>,
) {
    let mut buffer = Vec::new();
    // Indices of the requests that are written and not answered.
    let mut unanswered = std::collections::VecDeque::new();
    let mut planned_requests = spec.requests.iter().enumerate().peekable();
    while let Some((n, planned)) = planned_requests.next() {
        if !planned.pipelined {
            wait(planned.delay).await;
        }
        let id = format!("c{number}-{n}");
        let request_text = request_text(&id, planned.class, world.settings.deadline_ms);
        let request = ObservedRequest {
            id,
            class: planned.class,
            complete_at: None,
            previous_answered_at: None,
            answer: None,
            disconnected_at: None,
            closed_at: None,
        };
        let index = {
            let mut observations = world.observations.borrow_mut();
            observations.requests.push(request);
            observations.requests.len() - 1
        };
        open.borrow_mut().push(index);
        unanswered.push_back(index);
        let split = request_text.len() - usize::from(planned.last_byte_delay.is_some());
        let mut is_written = write(stream, &request_text.as_bytes()[..split]).await;
        if let Some(delay) = planned.last_byte_delay {
            wait(delay).await;
            is_written = is_written && write(stream, &request_text.as_bytes()[split..]).await;
        }
        if is_written {
            world.observations.borrow_mut().requests[index].complete_at = Some(world.now());
        }
        if planned_requests.peek().is_some_and(|(_, next)| next.pipelined) {
            continue;
        }
        while let Some(index) = unanswered.pop_front() {
            let Some((head, body)) = read_message(stream, &mut buffer).await else {
                let mut observations = world.observations.borrow_mut();
                for index in std::iter::once(index).chain(unanswered.drain(..)) {
                    observations.requests[index].closed_at = Some(world.now());
                }
                return;
            };
            let mut observations = world.observations.borrow_mut();
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
            observations.requests[index].answer = Some((world.now(), status, body));
            open.borrow_mut().retain(|p| *p != index);
            if let Some(next) = unanswered.front() {
                observations.requests[*next].previous_answered_at = Some(world.now());
            }
        }
    }
    // The connection stays idle until the balancer closes it, and must receive no more bytes.
    while read_more(stream, &mut buffer).await.is_some() {}
    if !buffer.is_empty() {
        let unsolicited = String::from_utf8_lossy(&buffer).into_owned();
        world.observations.borrow_mut().unsolicited.push(unsolicited);
    }
}

// Upstreams

async fn run_upstream(
    world: Rc<World>,
    number: usize,
    spec: Upstream,
    mut listener: Box<dyn Listener>,
) {
    let (spec, request_count) = (Rc::new(spec), Rc::new(Cell::new(0)));
    while let Ok((stream, _)) = accept(&mut *listener).await {
        let (world, spec, request_count) = (world.clone(), spec.clone(), request_count.clone());
        spawn_local(async move {
            let mut open = Vec::new();
            let stream_to_close =
                serve_connection(&world, number, &spec, &request_count, stream, &mut open).await;
            let now = world.now();
            let mut observations = world.observations.borrow_mut();
            for index in open {
                observations.attempts[index].ended_at.get_or_insert(now);
            }
            drop(stream_to_close);
        });
    }
}

/// Serves all requests of one connection. Returns the stream if it is to be closed without a reset.
async fn serve_connection(
    world: &World,
    number: usize,
    spec: &Upstream,
    request_count: &Cell<usize>,
    mut stream: Box<dyn Stream>,
    open: &mut Vec<usize>,
) -> Option<Box<dyn Stream>> {
    let mut buffer = Vec::new();
    loop {
        let mut first_byte_at = None;
        let (head, length) = loop {
            if let Some(end) = buffer.windows(4).position(|w: &[u8]| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
                buffer.drain(..end + 4);
                let length = header(&head, "content-length").parse().unwrap_or(0usize);
                break (head, length);
            }
            let mut chunk = [0; 1024];
            let n = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
            first_byte_at.get_or_insert(world.now());
            buffer.extend_from_slice(&chunk[..n]);
        };
        let index = {
            let mut observations = world.observations.borrow_mut();
            observations.attempts.push(ObservedAttempt {
                id: header(&head, "x-request-id").to_string(),
                upstream: number,
                started_at: first_byte_at.unwrap_or(world.now()),
                complete_at: None,
                rejected_at: None,
                ended_at: None,
            });
            observations.attempts.len() - 1
        };
        open.push(index);
        while buffer.len() < length {
            let mut chunk = [0; 1024];
            let n = stream.read(&mut chunk).await.ok().filter(|n| *n > 0)?;
            buffer.extend_from_slice(&chunk[..n]);
        }
        buffer.drain(..length);
        world.observations.borrow_mut().attempts[index].complete_at = Some(world.now());
        let (delay, behaviour) = &spec.behaviours
            [request_count.replace(request_count.get() + 1) % spec.behaviours.len()];
        let body = format!("{}@{number}", header(&head, "x-request-id"));
        let response = respond(world, index, *delay, behaviour, &body, &mut stream);
        // If the connection closes, `run_upstream` records the end of the attempt.
        let mark_ended = |world: &World| {
            world.observations.borrow_mut().attempts[index].ended_at.get_or_insert(world.now());
        };
        match response.await {
            NextStep::KeepOpen => mark_ended(world),
            NextStep::Close => return Some(stream),
            NextStep::Reset => {
                mark_ended(world);
                stream.reset();
                return None;
            }
        }
    }
}

/// What an upstream does with its connection after a response.
enum NextStep {
    KeepOpen,
    Close,
    Reset,
}

async fn respond(
    world: &World,
    index: usize,
    delay: Timing,
    behaviour: &Behaviour,
    body: &str,
    stream: &mut Box<dyn Stream>,
) -> NextStep {
    if !wait_while_connected(stream, delay).await {
        return NextStep::Close;
    }
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let (first, second) = response.split_at(response.len() - 2);
    match behaviour {
        Behaviour::Serve { second_half_delay, close_delay } => {
            let is_written = stream.write_all(first.as_bytes()).await.is_ok();
            if !is_written || !wait_while_connected(stream, *second_half_delay).await {
                return NextStep::Close;
            }
            if stream.write_all(second.as_bytes()).await.is_err() {
                return NextStep::Close;
            }
            let Some(close_delay) = close_delay else { return NextStep::KeepOpen };
            world.observations.borrow_mut().attempts[index].ended_at = Some(world.now());
            wait(*close_delay).await;
            NextStep::Close
        }
        Behaviour::Reject => {
            world.observations.borrow_mut().attempts[index].rejected_at = Some(world.now());
            let response =
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            let _ = stream.write_all(response.as_bytes()).await;
            NextStep::KeepOpen
        }
        Behaviour::Fail => {
            let response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            let _ = stream.write_all(response.as_bytes()).await;
            NextStep::KeepOpen
        }
        Behaviour::Reset { after_half } => {
            if *after_half {
                let _ = stream.write_all(first.as_bytes()).await;
            }
            NextStep::Reset
        }
        Behaviour::Hang => {
            wait_while_connected(stream, Timing { ms: 60_000, turns: 0 }).await;
            NextStep::Close
        }
    }
}

/// Waits for `delay`. Returns whether the balancer was still connected then. The balancer must send nothing more while its
/// request is open.
async fn wait_while_connected(stream: &mut Box<dyn Stream>, delay: Timing) -> bool {
    let mut byte = [0; 1];
    tokio::select! {
        biased;
        read = stream.read(&mut byte) => {
            assert!(!matches!(read, Ok(1..)), "the balancer sent bytes while its request is open");
            false
        }
        () = wait(delay) => true,
    }
}

// Discovery

/// The state that both discovery services share, and their watches.
struct DiscoveryService {
    world: Rc<World>,
    revision: Cell<u64>,
    /// Cell and phase of each upstream.
    list: RefCell<Vec<(u32, &'static str)>>,
    down_until: Cell<Option<Instant>>,
    /// Senders to the tasks of all watches.
    watches: RefCell<Vec<mpsc::UnboundedSender<WatchMessage>>>,
}

/// A message to the task of a watch.
#[derive(Clone)]
enum WatchMessage {
    /// Writes a line that announces changes of these upstreams.
    Line(String, Vec<usize>),
    /// Writes nothing any more.
    Silence,
    /// Resets the connection.
    Close,
}

impl DiscoveryService {
    fn new(world: Rc<World>, cells: &[u32]) -> Self {
        Self {
            world,
            revision: Cell::new(1),
            list: RefCell::new(cells.iter().map(|c| (*c, "SERVING")).collect()),
            down_until: Cell::new(None),
            watches: RefCell::default(),
        }
    }

    fn is_down(&self) -> bool {
        self.down_until.get().is_some_and(|until| Instant::now() < until)
    }

    fn entry(&self, number: usize) -> Value {
        let (cell, phase) = self.list.borrow()[number];
        list_entry(number, cell, phase)
    }

    fn notify_watches(&self, watch: &WatchMessage) {
        self.watches.borrow_mut().retain(|w| w.send(watch.clone()).is_ok());
    }

    async fn run_actions(self: Rc<Self>, actions: Vec<(Timing, DiscoveryAction)>) {
        for (moment, action) in actions {
            self.world.wait_until(moment).await;
            match action {
                DiscoveryAction::Drain(u) => self.change_phase(u, "DRAINING"),
                DiscoveryAction::Delete(u) => self.change_phase(u, "DELETED"),
                DiscoveryAction::Silence => self.notify_watches(&WatchMessage::Silence),
                DiscoveryAction::CloseWatches => self.notify_watches(&WatchMessage::Close),
                DiscoveryAction::Outage(ms) => {
                    let until = Instant::now() + Duration::from_millis(ms);
                    self.down_until.set(Some(until));
                    let reachable_from = until - self.world.start;
                    for delivery in
                        self.world.observations.borrow_mut().deliveries.iter_mut().flatten()
                    {
                        delivery.reachable_from = delivery.reachable_from.max(reachable_from);
                    }
                    self.notify_watches(&WatchMessage::Close);
                }
            }
        }
    }

    fn change_phase(&self, number: usize, phase: &'static str) {
        if self.list.borrow()[number].1 != "SERVING" {
            return;
        }
        self.revision.set(self.revision.get() + 1);
        self.list.borrow_mut()[number].1 = phase;
        let changed_at = self.world.now();
        let reachable_from =
            self.down_until.get().map_or(Duration::ZERO, |at| at - self.world.start);
        let delivery = ChangeDelivery { changed_at, written_at: None, reachable_from };
        self.world.observations.borrow_mut().deliveries[number] = Some(delivery);
        let line = json!({"revision": self.revision.get(), "complete": false,
            "members": [self.entry(number)]});
        self.notify_watches(&WatchMessage::Line(line.to_string(), vec![number]));
    }

    async fn accept_watches(self: Rc<Self>, mut listener: Box<dyn Listener>) {
        while let Ok((stream, _)) = accept(&mut *listener).await {
            if self.is_down() {
                stream.reset();
                continue;
            }
            spawn_local(self.clone().serve_watch(stream));
        }
    }

    async fn serve_watch(self: Rc<Self>, mut stream: Box<dyn Stream>) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0; 1];
            match stream.read(&mut byte).await {
                Ok(1..) => head.push(byte[0]),
                _ => return,
            }
        }
        if self.is_down() {
            return stream.reset();
        }
        let (sender, mut messages) = mpsc::unbounded_channel();
        self.watches.borrow_mut().push(sender);
        let all = 0..self.list.borrow().len();
        let is_deleted = |u: &usize| self.list.borrow()[*u].1 == "DELETED";
        let members: Vec<Value> =
            all.clone().filter(|u| !is_deleted(u)).map(|u| self.entry(u)).collect();
        let list = json!({"revision": self.revision.get(), "complete": true, "members": members});
        let unavailable = all.filter(|u| self.list.borrow()[*u].1 != "SERVING").collect();
        let start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut next = WatchMessage::Line(list.to_string(), unavailable);
        if stream.write_all(start.as_bytes()).await.is_err() {
            return;
        }
        let mut is_silent = false;
        loop {
            match next {
                WatchMessage::Silence => is_silent = true,
                WatchMessage::Close => return stream.reset(),
                WatchMessage::Line(..) if is_silent => {}
                WatchMessage::Line(line, numbers) => {
                    let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                    if stream.write_all(chunk.as_bytes()).await.is_err() {
                        return;
                    }
                    let now = self.world.now();
                    for number in numbers {
                        if let Some(delivery) =
                            &mut self.world.observations.borrow_mut().deliveries[number]
                        {
                            delivery.written_at.get_or_insert(now);
                        }
                    }
                }
            }
            let mut byte = [0; 1];
            next = tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => message,
                    None => return,
                },
                // The balancer has closed the watch.
                _ = stream.read(&mut byte) => return,
                () = sleep(Duration::from_secs(2)) => WatchMessage::Line(String::new(), Vec::new()),
            };
        }
    }
}
