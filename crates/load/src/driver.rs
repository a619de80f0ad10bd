//! Sends a load and records the results. In an open loop, each request is started when it is due, independently of
//! earlier requests, and its latency is measured from that time. The time that requests wait while the target stalls is
//! therefore included, which avoids coordinated omission (Tene, "How not to measure latency").

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowpaddle_net::Network;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use tokio::task::{AbortHandle, spawn_local, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::account::{Account, Outcome};
use crate::profile::{Arrivals, Effect, Profile};
use crate::schedule::{Schedule, sample_class};

/// Maximum number of open requests. Without a bound, a target that never answers would exhaust the memory.
const MAX_OPEN_REQUESTS: usize = 100_000;
/// Maximum lateness of timers. [`Waiting::BusyWait`] busy-waits for this long before a request is due.
const BUSY_WAIT: Duration = Duration::from_millis(2);
/// Interval between progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Retries of a request whose reused connection the target closed at the same time.
const MAX_RETRIES: usize = 1;

/// Target of a load.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the server.
    pub address: SocketAddr,
    /// Value of the `Host` header.
    pub host: String,
}

/// Method of waiting until a request is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// Uses the runtime's timers, up to 1 ms late. Under a paused clock, only this method works.
    ByTimer,
    /// Busy-waits at the end, precise to the microsecond, at the cost of a core.
    BusyWait,
}

/// Progress of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Time since the start of the run.
    pub at: Duration,
    /// Requests due so far.
    pub asked: u64,
    /// Requests answered so far.
    pub answered: u64,
    /// Requests that ended so far without a 2xx response, including those without any response.
    pub unserved: u64,
    /// Requests currently open.
    pub open: usize,
    /// Maximum latency since the previous progress report, in milliseconds.
    pub most_ms: f64,
}

/// A client connection that is closed when dropped.
struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Driver {
    network: Rc<dyn Network>,
    target: Target,
    profile: Profile,
    account: RefCell<Account>,
    progress: Cell<Progress>,
    idle: RefCell<Vec<ClientConnection>>,
    connection_permits: Semaphore,
    ids: RefCell<ChaCha8Rng>,
    started_at: Instant,
}

/// Runs a load to its end and returns the results. Takes at most the length of the profile plus its longest deadline.
///
/// # Panics
/// Panics if called outside a `LocalSet`, or if a client task panics.
pub async fn run(
    network: Rc<dyn Network>,
    target: Target,
    profile: &Profile,
    seed: u64,
    waiting: Waiting,
    progress: impl Fn(Progress) + 'static,
) -> Account {
    let mut ids = ChaCha8Rng::seed_from_u64(seed);
    ids.set_stream(3);
    let driver = Rc::new(Driver {
        network,
        target,
        account: RefCell::new(Account::new(profile.classes.len())),
        progress: Cell::default(),
        idle: RefCell::default(),
        connection_permits: Semaphore::new(profile.connections as usize),
        ids: RefCell::new(ids),
        started_at: Instant::now(),
        profile: profile.clone(),
    });
    let progress_reporter = {
        let driver = driver.clone();
        spawn_local(async move {
            loop {
                sleep(PROGRESS_INTERVAL).await;
                let now = Progress { at: driver.started_at.elapsed(), ..driver.progress.get() };
                progress(now);
                driver.progress.set(Progress { most_ms: 0.0, ..now });
            }
        })
    };
    let shares: Vec<f64> = profile.classes.iter().map(|c| c.share).collect();
    match &profile.arrivals {
        Arrivals::Open(spacing, rates) => {
            let schedule = Schedule::new(rates, *spacing, profile.length, &shares, seed);
            driver.run_open_loop(schedule, waiting).await;
        }
        Arrivals::Closed(clients) => driver.run_closed_loop(*clients, &shares, seed).await,
    }
    progress_reporter.abort();
    // Every request has ended by its deadline, so none is open here.
    driver.account.take()
}

impl Driver {
    async fn run_open_loop(self: &Rc<Self>, schedule: Schedule, waiting: Waiting) {
        for due in schedule {
            let at = self.started_at + due.at;
            match waiting {
                Waiting::ByTimer => sleep_until(at).await,
                Waiting::BusyWait => {
                    if let Some(wake_at) = at.checked_sub(BUSY_WAIT).filter(|t| Instant::now() < *t)
                    {
                        sleep_until(wake_at).await;
                    }
                    while Instant::now() < at {
                        yield_now().await;
                    }
                }
            }
            // Yields even if the request is late already. Otherwise a generator behind its schedule would start one
            // request after another without reading responses, and would not record its own lateness.
            yield_now().await;
            self.record_due(due.class, due.at);
            self.account.borrow_mut().lateness.record(at.elapsed());
            if self.progress.get().open >= MAX_OPEN_REQUESTS {
                self.account.borrow_mut().record_unsent(due.class);
                continue;
            }
            self.update_progress(|p| p.open += 1);
            let driver = self.clone();
            spawn_local(async move {
                driver.perform_request(due.class, due.at).await;
                driver.update_progress(|p| p.open -= 1);
            });
        }
        sleep_until(self.started_at + self.profile.length).await;
        while self.progress.get().open > 0 {
            sleep(Duration::from_millis(2)).await;
        }
    }

    async fn run_closed_loop(self: &Rc<Self>, clients: u32, shares: &[f64], seed: u64) {
        let mut client_tasks = Vec::new();
        for client in 0..clients {
            let (driver, shares) = (self.clone(), shares.to_vec());
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(16 + u64::from(client));
            client_tasks.push(spawn_local(async move {
                while driver.started_at.elapsed() < driver.profile.length {
                    let (class, at) =
                        (sample_class(&shares, &mut rng), driver.started_at.elapsed());
                    driver.record_due(class, at);
                    driver.update_progress(|p| p.open += 1);
                    driver.perform_request(class, at).await;
                    driver.update_progress(|p| p.open -= 1);
                    if at == driver.started_at.elapsed() {
                        // The request ended without any time passing on the clock; this lets other tasks run.
                        sleep(Duration::from_millis(1)).await;
                    }
                }
            }));
        }
        for client_task in client_tasks {
            // A panic of a client is a fault of this generator, and the client's requests would be missing.
            client_task.await.expect("a closed-loop client task panicked");
        }
    }

    fn update_progress(&self, update: impl FnOnce(&mut Progress)) {
        let mut progress = self.progress.get();
        update(&mut progress);
        self.progress.set(progress);
    }

    fn record_due(&self, class: usize, at: Duration) {
        self.account.borrow_mut().record_due(class, at);
        self.update_progress(|p| p.asked += 1);
    }

    /// Sends a request, waits until it ends or its deadline passes, and records the outcome.
    async fn perform_request(&self, class: usize, at: Duration) {
        let due = self.started_at + at;
        let deadline = due + self.profile.classes[class].deadline;
        let sent_at = Cell::new(None);
        let exchange = self.exchange(class, deadline, &sent_at);
        let (outcome, answered) = match timeout_at(deadline, exchange).await {
            Ok(Ok(status)) if status.is_success() => (Outcome::Served, true),
            Ok(Ok(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)) => {
                (Outcome::Refused, true)
            }
            Ok(Ok(_)) => (Outcome::Failed, true),
            Ok(Err(outcome)) => (outcome, false),
            Err(_) => (Outcome::TimedOut, false),
        };
        let now = Instant::now();
        let latencies = answered.then(|| (now - due, now - sent_at.get().unwrap_or(due)));
        self.account.borrow_mut().record_outcome(class, at, outcome, latencies);
        self.update_progress(|p| {
            p.answered += u64::from(answered);
            p.unserved += u64::from(outcome != Outcome::Served);
            p.most_ms = p.most_ms.max(latencies.map_or(0.0, |t| t.0.as_secs_f64() * 1e3));
        });
    }

    async fn exchange(
        &self,
        class: usize,
        deadline: Instant,
        sent_at: &Cell<Option<Instant>>,
    ) -> Result<StatusCode, Outcome> {
        let wait_start = Instant::now();
        // The semaphore is never closed.
        let Ok(_permit) = self.connection_permits.acquire().await else {
            return Err(Outcome::Unreachable);
        };
        self.account.borrow_mut().waiting.record(wait_start.elapsed());
        let mut retries = 0;
        loop {
            let idle_connection = self.take_idle_connection();
            let reused = idle_connection.is_some();
            let mut connection = match idle_connection {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            let request = self.request(class, deadline);
            sent_at.set(Some(Instant::now()));
            let answer = match connection.sender.send_request(request).await {
                Ok(answer) => answer,
                Err(_) if reused && retries < MAX_RETRIES => {
                    retries += 1;
                    continue;
                }
                Err(_) => return Err(Outcome::Broken),
            };
            let (head, mut body) = answer.into_parts();
            while let Some(frame) = body.frame().await {
                frame.map_err(|_| Outcome::Broken)?;
            }
            let closes = head.headers.get(CONNECTION).is_some_and(|v| v == "close");
            if self.profile.keep_connections && !closes && connection.sender.ready().await.is_ok() {
                self.idle.borrow_mut().push(connection);
            }
            return Ok(head.status);
        }
    }

    fn take_idle_connection(&self) -> Option<ClientConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<ClientConnection, Outcome> {
        let stream = self.network.connect(self.target.address).await;
        let io = TokioIo::new(stream.map_err(|_| Outcome::Unreachable)?);
        let (sender, connection) = http1::handshake(io).await.map_err(|_| Outcome::Unreachable)?;
        let task = spawn_local(async move {
            // The request on this connection reports its errors.
            let _ = connection.await;
        });
        self.account.borrow_mut().connections_opened += 1;
        Ok(ClientConnection { sender, task: task.abort_handle() })
    }

    fn request(&self, class: usize, deadline: Instant) -> Request<Full<Bytes>> {
        let class = &self.profile.classes[class];
        let tenants = self.profile.tenants;
        let (id, key, tenant) = {
            let mut rng = self.ids.borrow_mut();
            let (id, key) = (rng.next_u64(), rng.next_u64());
            (id, key, (tenants > 0).then(|| rng.random_range(0..tenants)))
        };
        let body = Bytes::from(vec![b'x'; class.body]);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() =
            if class.effect == Effect::Safe { Method::GET } else { Method::POST };
        // The profile reader has rejected paths and names that are invalid in a URI or header.
        if let Ok(uri) = class.path.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(name, value);
            }
        };
        set(HOST.as_str(), self.target.host.clone());
        if class.effect != Effect::Safe {
            set(CONTENT_LENGTH.as_str(), class.body.to_string());
        }
        if !self.profile.keep_connections {
            set(CONNECTION.as_str(), "close".to_string());
        }
        if self.profile.platform {
            let remaining_ms =
                deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
            set("x-request-id", format!("{id:016x}"));
            set("x-class", class.name.clone());
            set("x-deadline-ms", remaining_ms.to_string());
            set("cookie", format!("sid={key:016x}"));
            if let Some(tenant) = tenant {
                set("x-tenant", format!("t{tenant}"));
            }
            if class.effect == Effect::Keyed {
                set("idempotency-key", format!("{id:016x}{key:016x}"));
            }
        }
        request
    }
}
