//! A small scripted balancer, correct by default, with a switch for each kind of violation. It
//! shows that the checker detects them, and shares no code with the real balancer.

#![allow(dead_code)] // each test file uses its own part

mod policy;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::{Network, accept};
use hollowpaddle_rehearsal::cluster::{Control, Launch, LaunchError, Launcher, RunningBalancer};
use hollowpaddle_rehearsal::freeze::FreezeSwitch;
use hollowpaddle_rehearsal::wire::{Direction, Exchange, Message};
use policy::PolicyState;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// The fault of the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Accepts every 20th request and never answers.
    NeverAnswers,
    /// Closes the connection of every 20th request without an answer.
    ClosesWithoutAnswer,
    /// Writes every 20th answer twice.
    AnswersTwice,
    /// Answers every 20th request with invented content.
    ForgesAnswers,
    /// Rejects every 20th safe request, and forwards it afterwards.
    SendsAfterAnswer,
    /// Exits after 100 requests.
    Crashes,
    /// Retries unsafe requests after an error.
    ResendsUnsafe,
    /// Retries keyed requests after an error, in another cell.
    ResendsElsewhere,
    /// Retries keyed requests after an error, at the same node, after the deduplication window.
    ResendsTooLate,
    /// Sends every 20th safe request to two nodes at once.
    TwoAtOnce,
    /// Makes five attempts of safe requests.
    ExceedsMaxAttempts,
    /// Rejects unsafe requests after an error.
    RejectsAfterRun,
    /// Drops a byte of every 20th body.
    AltersBody,
    /// Ignores that nodes drain.
    IgnoresDrains,
    /// Sends all requests to a cold node.
    OverloadsColdNodes,
    /// Sends one request to each cold node as soon as its start is known, as all other balancers
    /// do.
    SendsOneToEachColdNode,
    /// Delays requests before it forwards them, without checking whether the client is still
    /// connected.
    DelaysForDepartedClients,
    /// Retries safe requests a while after an error, without that check either.
    RetriesForDepartedClients,
    /// Stops polling the endpoint list after the first second.
    StopsPollingList,
    /// Exits at once on a termination request.
    StopsWithoutDraining,
    /// Rejects all requests of one class.
    RejectsOneClass,
    /// Rejects all requests in the last third of the run.
    RejectsInLastThird,
    /// Opens all connections that it may need at once after a restart.
    ReconnectsAtOnce,
    /// Uses the whole capacity of one node, as if it were the only balancer.
    SpendsWholeBudgetAlone,
    /// After suspension it goes on with the requests that came meanwhile.
    IgnoresSuspension,
    /// After a restart it rejects every fifth request.
    RejectsAfterRestart,
    /// The second balancer misses policy updates for a while, and applies the fallback policy past
    /// its lease.
    MissesPolicyUpdates,
    /// The same, but it keeps applying its last policy.
    IgnoresLeaseExpiry,
}

/// Time after which the balancer rejects all requests.
const REJECTS_AFTER: Duration = Duration::from_secs(9);
/// A request read this soon after a suspension may have waited.
const RESUME_GRACE: Duration = Duration::from_millis(50);

pub struct Scripted(pub Fault);

struct Node {
    id: String,
    address: SocketAddr,
    cell: u64,
    phase: String,
    since_ms: f64,
}

struct Balancer {
    fault: Fault,
    network: Rc<dyn Network>,
    discovery: SocketAddr,
    nodes: RefCell<Vec<Node>>,
    next: Cell<usize>,
    taken: Cell<u64>,
    over: Rc<Notify>,
    classes: HashMap<String, (String, Duration)>,
    cold: f64,
    start: Instant,
    unix: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<Exchange>>>,
    restarted: bool,
    resumed_at: Rc<Cell<Option<Instant>>>,
    policy: Option<Rc<PolicyState>>,
    /// Cold starts to which it has sent a request.
    contacted_cold_starts: RefCell<Vec<(String, f64)>>,
    ending: Rc<Ending>,
}

/// Termination of a balancer: it answers the requests that it has read, rejects later ones, and
/// exits.
#[derive(Default)]
struct Ending {
    is_stopping: Cell<bool>,
    stop_requested: Notify,
    open_requests: Cell<usize>,
}

impl Launcher for Scripted {
    fn launch(&self, launch: Launch) -> Result<RunningBalancer, LaunchError> {
        let config: Value = serde_json::from_str(&launch.config).expect("JSON");
        let settings = &config["settings"];
        let class = |c: &Value| {
            let name = c["Name"].as_str().expect("a name").to_string();
            let window = Duration::from_secs_f64(c["Window"].as_f64().expect("a time") / 1e3);
            (name, (c["Effect"].as_str().expect("an effect").to_string(), window))
        };
        let services = settings["Services"].as_array().expect("classes");
        let over = Rc::new(Notify::new());
        let (frozen, resumed_at) =
            (FreezeSwitch::default(), Rc::<Cell<Option<Instant>>>::default());
        let balancer = Rc::new(Balancer {
            fault: self.0,
            discovery: launch.discovery,
            nodes: RefCell::default(),
            next: Cell::new(0),
            taken: Cell::new(0),
            over: over.clone(),
            classes: services.iter().map(class).collect(),
            cold: settings["Safety"]["Cold"].as_f64().expect("a time"),
            start: Instant::now(),
            unix: launch.network.unix_now(),
            idle: RefCell::default(),
            restarted: launch.start > 1,
            resumed_at: resumed_at.clone(),
            contacted_cold_starts: RefCell::default(),
            ending: Rc::default(),
            policy: launch
                .control
                .map(|_| PolicyState::new(launch.number, self.0 == Fault::IgnoresLeaseExpiry)),
            network: launch.network,
        });
        balancer.listed(&config["known"]);
        let mut listener = balancer.network.listen(launch.listen).expect("a free address");
        let switch = frozen.clone();
        let (ending, at_once) = (balancer.ending.clone(), self.0 == Fault::StopsWithoutDraining);
        let ended = ending.clone();
        let control = launch.control;
        let task = spawn_local(async move {
            let tasks = LocalSet::new();
            let watching = balancer.clone();
            let run = async move {
                let reconnecting = balancer.clone();
                if reconnecting.restarted && reconnecting.fault == Fault::ReconnectsAtOnce {
                    spawn_local(async move { reconnecting.connect_all().await });
                }
                spawn_local(async move {
                    loop {
                        watching.watch().await;
                        sleep(Duration::from_millis(500)).await;
                    }
                });
                if let (Some(policy), Some(at)) = (balancer.policy.clone(), control) {
                    spawn_local(policy.clone().serve_admin_api(balancer.network.clone(), at));
                    spawn_local(policy.listen());
                }
                loop {
                    let (stream, _) = accept(&mut *listener).await.expect("a connection");
                    spawn_local(balancer.clone().converse(Exchange::new(stream)));
                }
            };
            tokio::select! {
                biased;
                () = over.notified() => {}
                () = ended.over() => {}
                () = switch.run(tasks.run_until(run)) => {}
            }
        });
        let task_of = task.abort_handle();
        let control =
            Box::new(ScriptedControl { task: task_of, frozen, resumed_at, ending, at_once });
        let ended = Box::pin(async move { task.await.ok().map(|()| 3) });
        Ok(RunningBalancer { control, ended })
    }
}

struct ScriptedControl {
    task: AbortHandle,
    frozen: FreezeSwitch,
    resumed_at: Rc<Cell<Option<Instant>>>,
    ending: Rc<Ending>,
    at_once: bool,
}

impl Ending {
    /// Waits for a termination request and for the end of all open requests.
    async fn over(&self) {
        while !self.is_stopping.get() {
            self.stop_requested.notified().await;
        }
        // Requests just read are not forwarded yet.
        sleep(Duration::from_millis(200)).await;
        while self.open_requests.get() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Control for ScriptedControl {
    fn kill(&self) {
        self.task.abort();
    }
    fn terminate(&self) {
        if self.at_once {
            return self.task.abort();
        }
        self.ending.is_stopping.set(true);
        self.ending.stop_requested.notify_one();
    }
    fn pause(&self, paused: bool) {
        if !paused {
            self.resumed_at.set(Some(Instant::now()));
        }
        self.frozen.set(paused);
    }
    fn reload(&self, _: &str) {}
}

fn answer(status: u16, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

impl Balancer {
    fn listed(&self, list: &Value) {
        let mut nodes = self.nodes.borrow_mut();
        let members = list["members"].as_array().expect("members");
        if list["complete"].as_bool() == Some(true) {
            nodes.retain(|n| members.iter().any(|m| m["id"] == n.id.as_str()));
        }
        for m in members {
            let id = m["id"].as_str().expect("an id").to_string();
            let mut phase = m["phase"].as_str().expect("a phase").to_string();
            if self.fault == Fault::IgnoresDrains {
                phase = "SERVING".to_string();
            }
            nodes.retain(|n| n.id != id);
            nodes.push(Node {
                id,
                address: m["host_port"].as_str().expect("a text").parse().expect("an address"),
                cell: m["cell"].as_u64().expect("a cell"),
                phase,
                since_ms: m["up_since_ms"].as_f64().expect("a time"),
            });
        }
    }

    async fn watch(&self) {
        let Ok(stream) = self.network.connect(self.discovery).await else { return };
        // Each call is answered with the whole list.
        let mut exchange = Exchange::new(stream);
        let call = b"GET /api/targets HTTP/1.1\r\nHost: a\r\n\r\n";
        while exchange.write(call).await.is_ok() {
            if self.fault == Fault::StopsPollingList
                && self.start.elapsed() > Duration::from_secs(1)
            {
                return std::future::pending().await;
            }
            let Ok(list) = exchange.message(Direction::Responses).await else { return };
            if list.status() == 200 {
                self.listed(&serde_json::from_slice(&list.body).expect("JSON"));
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn converse(self: Rc<Self>, mut exchange: Exchange) {
        while let Ok(request) = exchange.message(Direction::Requests).await {
            if request.start.1 == "/-/ready" {
                let _ = exchange.write(&answer(200, b"")).await;
                continue;
            }
            let n = self.taken.get() + 1;
            self.taken.set(n);
            let rejects_all =
                self.fault == Fault::RejectsInLastThird && self.start.elapsed() > REJECTS_AFTER;
            let rejects_class =
                self.fault == Fault::RejectsOneClass && self.effect(&request).0 == "dedup";
            if self.ending.is_stopping.get() || rejects_all || rejects_class {
                let _ = exchange.write(&answer(503, b"")).await;
                continue;
            }
            let _busy = Busy::new(self.ending.clone());
            let is_twentieth = n.is_multiple_of(20);
            // The waiting time is unknown, and a rejection is safe.
            let just_resumed = self.resumed_at.get().is_some_and(|at| at.elapsed() < RESUME_GRACE);
            let rejects_fifth =
                self.restarted && self.fault == Fault::RejectsAfterRestart && n.is_multiple_of(5);
            if rejects_fifth || just_resumed && self.fault != Fault::IgnoresSuspension {
                let _ = exchange.write(&answer(503, b"")).await;
                continue;
            }
            match self.fault {
                // Assumes that there is time left.
                Fault::IgnoresSuspension if just_resumed => sleep(Duration::from_secs(1)).await,
                Fault::NeverAnswers if is_twentieth => {
                    sleep(Duration::from_secs(3600)).await;
                }
                Fault::ClosesWithoutAnswer if is_twentieth => return,
                Fault::DelaysForDepartedClients => sleep(Duration::from_millis(800)).await,
                Fault::Crashes if n == 100 => self.over.notify_one(),
                _ => {}
            }
            let safe = self.effect(&request).0 == "retryable";
            if self.fault == Fault::SendsAfterAnswer && is_twentieth && safe {
                let _ = exchange.write(&answer(503, b"")).await;
                sleep(Duration::from_millis(100)).await;
                let _ = self.serve(&request).await;
                continue;
            }
            let mut text = self.serve(&request).await;
            if self.fault == Fault::ForgesAnswers && is_twentieth {
                text = answer(200, b"all is well");
            }
            let _ = exchange.write(&text).await;
            if self.fault == Fault::AnswersTwice && is_twentieth {
                let _ = exchange.write(&text).await;
            }
        }
    }

    async fn connect_all(&self) {
        let all: Vec<SocketAddr> = self.nodes.borrow().iter().map(|n| n.address).collect();
        for address in all.into_iter().flat_map(|a| [a; 4]) {
            if let Ok(stream) = self.network.connect(address).await {
                self.idle.borrow_mut().entry(address).or_default().push(Exchange::new(stream));
            }
        }
    }

    fn effect(&self, request: &Message) -> (String, Duration) {
        self.classes[request.header("x-class").expect("a class")].clone()
    }

    /// Returns address and cell of the next node that accepts requests and is warm.
    fn pick(&self, not: Option<u64>) -> Option<(SocketAddr, u64)> {
        let now = (self.unix + self.start.elapsed()).as_secs_f64() * 1e3;
        let nodes = self.nodes.borrow();
        let cold = |n: &&Node| n.since_ms > 0.0 && now < n.since_ms + self.cold;
        if self.fault == Fault::SendsOneToEachColdNode {
            let mut contacted_cold_starts = self.contacted_cold_starts.borrow_mut();
            let fresh =
                |n: &&Node| cold(n) && !contacted_cold_starts.contains(&(n.id.clone(), n.since_ms));
            if let Some(n) = nodes.iter().find(fresh) {
                contacted_cold_starts.push((n.id.clone(), n.since_ms));
                return Some((n.address, n.cell));
            }
        }
        if self.fault == Fault::OverloadsColdNodes
            && let Some(n) = nodes.iter().find(cold)
        {
            return Some((n.address, n.cell));
        }
        let good: Vec<&Node> = nodes
            .iter()
            .filter(|n| n.phase == "SERVING" && !cold(n) && Some(n.cell) != not)
            .filter(|n| self.policy.as_ref().is_none_or(|r| r.allows(n.cell)))
            .collect();
        // An eighth of its requests: all of them together are nearly the node's capacity.
        let overspends = self.restarted && self.fault == Fault::SpendsWholeBudgetAlone;
        if overspends && self.next.get().is_multiple_of(8) {
            self.next.set(self.next.get() + 1);
            return good.first().map(|n| (n.address, n.cell));
        }
        self.next.set(self.next.get() + 1);
        let node = good.get(self.next.get() % good.len().max(1))?;
        Some((node.address, node.cell))
    }

    async fn serve(&self, request: &Message) -> Vec<u8> {
        let (effect, window) = self.effect(request);
        let left: u64 = request.header("x-deadline-ms").expect("a time").parse().expect("ms");
        let until = Instant::now() + Duration::from_millis(left) - Duration::from_millis(30);
        let is_twentieth = self.taken.get().is_multiple_of(20);
        let max_attempts = if self.fault == Fault::ExceedsMaxAttempts { 5 } else { 3 };
        let mut not = None;
        let mut resend_to: Option<SocketAddr> = None;
        for _ in 0..max_attempts {
            let resend_address = resend_to.take();
            let picked = resend_address.map(|a| (a, 0)).or_else(|| self.pick(not));
            let Some((address, cell)) = picked else { return answer(503, b"") };
            if self.fault == Fault::TwoAtOnce && is_twentieth && effect == "retryable" {
                let other = self.pick(Some(cell)).map_or(address, |(a, _)| a);
                let (first, _) = tokio::join!(
                    self.attempt(address, request, until),
                    self.attempt(other, request, until)
                );
                return first.map_or(answer(502, b""), |m| answer(200, &m.body));
            }
            let (sent, late) = (Instant::now(), resend_address == Some(address));
            let got = self.attempt(address, request, until).await;
            match got {
                Ok(m) if m.status() == 200 => return answer(200, &m.body),
                // The fault is only the late retry, not a retry elsewhere.
                _ if late => return answer(502, b""),
                Ok(m) if m.header("x-not-run") == Some("1") => continue,
                Err(AttemptError::NotConnected) => continue,
                Err(AttemptError::Late) => return answer(504, b""),
                _ => {}
            }
            match (effect.as_str(), self.fault) {
                ("retryable", Fault::RetriesForDepartedClients) => {
                    sleep(Duration::from_millis(400)).await
                }
                ("retryable", _) | ("fragile", Fault::ResendsUnsafe) => {}
                ("fragile", Fault::RejectsAfterRun) => return answer(503, b""),
                ("dedup", Fault::ResendsElsewhere) if not.is_none() => not = Some(cell),
                ("dedup", Fault::ResendsTooLate) => {
                    sleep_until(sent + window + Duration::from_millis(100)).await;
                    resend_to = Some(address);
                }
                _ => return answer(502, b""),
            }
        }
        answer(if effect == "retryable" { 503 } else { 502 }, b"")
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        request: &Message,
        until: Instant,
    ) -> Result<Message, AttemptError> {
        let kept = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let mut exchange = match kept.filter(Exchange::is_quiet) {
            Some(exchange) => exchange,
            None => {
                let wait = Instant::now() + Duration::from_millis(250);
                let stream = timeout_at(wait, self.network.connect(address)).await;
                Exchange::new(
                    stream
                        .map_err(|_| AttemptError::NotConnected)?
                        .map_err(|_| AttemptError::NotConnected)?,
                )
            }
        };
        let mut body = String::from_utf8_lossy(&request.body).into_owned();
        if self.fault == Fault::AltersBody && self.taken.get().is_multiple_of(20) {
            body.pop();
        }
        let mut text = format!("{} {} HTTP/1.1\r\n", request.start.0, request.start.1);
        for (name, value) in &request.headers {
            if !name.eq_ignore_ascii_case("content-length") {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        exchange.write(text.as_bytes()).await.map_err(|_| AttemptError::ConnectionLost)?;
        let answer = timeout_at(until, exchange.message(Direction::Responses)).await;
        let message =
            answer.map_err(|_| AttemptError::Late)?.map_err(|_| AttemptError::ConnectionLost)?;
        self.idle.borrow_mut().entry(address).or_default().push(exchange);
        Ok(message)
    }
}

/// A request that was read and is not answered yet.
struct Busy(Rc<Ending>);

impl Busy {
    fn new(of: Rc<Ending>) -> Self {
        of.open_requests.set(of.open_requests.get() + 1);
        Self(of)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

enum AttemptError {
    NotConnected,
    Late,
    ConnectionLost,
}
