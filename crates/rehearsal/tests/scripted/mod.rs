//! A balancer small enough to be read at a glance, correct by default, with a switch for each way to break a
//! rule. It exists to show that the judge can fail; nothing of it is the daemon's.

#![allow(dead_code)] // each test file uses its own part

mod book;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use book::Rules;
use hollowpaddle_net::{Network, accept};
use hollowpaddle_rehearsal::cluster::{Control, Launch, LaunchError, Launcher, Running};
use hollowpaddle_rehearsal::freeze::FreezeSwitch;
use hollowpaddle_rehearsal::wire::{Direction, Exchange, Message};
use serde_json::Value;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// The way in which it breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Takes every 20th request and says nothing.
    Loses,
    /// Closes on every 20th request without a word.
    Hangs,
    /// Writes every 20th answer twice.
    AnswersTwice,
    /// Answers every 20th request with words of its own.
    Invents,
    /// Refuses every 20th safe request, and sends it all the same.
    SendsAfterAnswer,
    /// Ends by itself after 100 requests.
    Crashes,
    /// Sends unsafe requests again after an error.
    ResendsUnsafe,
    /// Sends keyed ones again after an error, to another cell.
    ResendsElsewhere,
    /// Sends keyed ones again after an error, to the same node, once its memory is over.
    ResendsTooLate,
    /// Sends every 20th safe request to two nodes at once.
    TwoAtOnce,
    /// Tries safe ones five times.
    TriesTooOften,
    /// Refuses unsafe ones after an error.
    RefusesAfterRun,
    /// Drops a letter of every 20th body.
    Alters,
    /// Never hears of drains.
    DeafToDrains,
    /// Sends all to whoever came last.
    PushesOver,
    /// Sends one request to each cold node as soon as it is told of its start, as all others do.
    OneEach,
    /// Lets a request wait for long before it sends it on, and does not look whether its client is still there.
    HoldsForTheGone,
    /// Sends safe ones again a while after an error, and does not look either.
    RetriesForTheGone,
    /// Asks the list no more after its first second.
    StopsAsking,
    /// Ends at once when it is asked to end.
    EndsAtOnce,
    /// Refuses one class for good.
    ShutsOutAClass,
    /// Refuses whatever comes in its last third.
    TiresOfWork,
    /// Opens all the connections that it may ever need as soon as it is back.
    ReconnectsInStep,
    /// Takes the whole of what one node can do for itself, as if it were alone.
    SpendsAlone,
    /// Thawed, it goes on with whatever came while it was frozen.
    ForgetsItWasFrozen,
    /// Once restarted it refuses every fifth request for good.
    NeverWholeAgain,
    /// The second one hears nothing of the rule book for a while, and keeps to the charter past its lease.
    DeafToTheBook,
    /// The same, and it goes on with the rules that it knew.
    IgnoresItsLease,
}

/// From then on it refuses all.
const TIRES: Duration = Duration::from_secs(9);
/// What it reads so soon after it was thawed may have waited.
const THAWING: Duration = Duration::from_millis(50);

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
    again: bool,
    thawed: Rc<Cell<Option<Instant>>>,
    rules: Option<Rc<Rules>>,
    /// Cold starts that it sent something to.
    begun: RefCell<Vec<(String, f64)>>,
    ending: Rc<Ending>,
}

/// A balancer that was asked to end answers what it has read, refuses what it reads from then on, and ends.
#[derive(Default)]
struct Ending {
    asked: Cell<bool>,
    word: Notify,
    busy: Cell<usize>,
}

impl Launcher for Scripted {
    fn launch(&self, launch: Launch) -> Result<Running, LaunchError> {
        let config: Value = serde_json::from_str(&launch.config).expect("JSON");
        let settings = &config["settings"];
        let class = |c: &Value| {
            let name = c["Name"].as_str().expect("a name").to_string();
            let window = Duration::from_secs_f64(c["Window"].as_f64().expect("a time") / 1e3);
            (name, (c["Effect"].as_str().expect("an effect").to_string(), window))
        };
        let services = settings["Services"].as_array().expect("classes");
        let over = Rc::new(Notify::new());
        let (frozen, thawed) = (FreezeSwitch::default(), Rc::<Cell<Option<Instant>>>::default());
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
            again: launch.start > 1,
            thawed: thawed.clone(),
            begun: RefCell::default(),
            ending: Rc::default(),
            rules: launch
                .control
                .map(|_| Rules::new(launch.number, self.0 == Fault::IgnoresItsLease)),
            network: launch.network,
        });
        balancer.listed(&config["known"]);
        let mut listener = balancer.network.listen(launch.listen).expect("a free address");
        let ice = frozen.clone();
        let (ending, at_once) = (balancer.ending.clone(), self.0 == Fault::EndsAtOnce);
        let ended = ending.clone();
        let control = launch.control;
        let task = spawn_local(async move {
            let tasks = LocalSet::new();
            let watching = balancer.clone();
            let run = async move {
                let rushing = balancer.clone();
                if rushing.again && rushing.fault == Fault::ReconnectsInStep {
                    spawn_local(async move { rushing.connect_all().await });
                }
                spawn_local(async move {
                    loop {
                        watching.watch().await;
                        sleep(Duration::from_millis(500)).await;
                    }
                });
                if let (Some(rules), Some(at)) = (balancer.rules.clone(), control) {
                    spawn_local(rules.clone().door(balancer.network.clone(), at));
                    spawn_local(rules.listen());
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
                () = ice.run(tasks.run_until(run)) => {}
            }
        });
        let task_of = task.abort_handle();
        let control = Box::new(Hand { task: task_of, frozen, thawed, ending, at_once });
        let ended = Box::pin(async move { task.await.ok().map(|()| 3) });
        Ok(Running { control, ended })
    }
}

struct Hand {
    task: AbortHandle,
    frozen: FreezeSwitch,
    thawed: Rc<Cell<Option<Instant>>>,
    ending: Rc<Ending>,
    at_once: bool,
}

impl Ending {
    /// Ends once it was asked to, and nothing is unanswered.
    async fn over(&self) {
        while !self.asked.get() {
            self.word.notified().await;
        }
        // What was read a moment ago is not sent on yet.
        sleep(Duration::from_millis(200)).await;
        while self.busy.get() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Control for Hand {
    fn kill(&self) {
        self.task.abort();
    }
    fn terminate(&self) {
        if self.at_once {
            return self.task.abort();
        }
        self.ending.asked.set(true);
        self.ending.word.notify_one();
    }
    fn pause(&self, paused: bool) {
        if !paused {
            self.thawed.set(Some(Instant::now()));
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
            if self.fault == Fault::DeafToDrains {
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
        // Chunks come as messages of their own: the stand-in's lines, one at a time.
        let mut talk = Exchange::new(stream);
        let call = b"GET /api/targets HTTP/1.1\r\nHost: a\r\n\r\n";
        while talk.write(call).await.is_ok() {
            if self.fault == Fault::StopsAsking && self.start.elapsed() > Duration::from_secs(1) {
                return std::future::pending().await;
            }
            let Ok(list) = talk.message(Direction::Responses).await else { return };
            if list.status() == 200 {
                self.listed(&serde_json::from_slice(&list.body).expect("JSON"));
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn converse(self: Rc<Self>, mut talk: Exchange) {
        while let Ok(request) = talk.message(Direction::Requests).await {
            if request.start.1 == "/-/ready" {
                let _ = talk.write(&answer(200, b"")).await;
                continue;
            }
            let n = self.taken.get() + 1;
            self.taken.set(n);
            let tired = self.fault == Fault::TiresOfWork && self.start.elapsed() > TIRES;
            let shut = self.fault == Fault::ShutsOutAClass && self.effect(&request).0 == "dedup";
            if self.ending.asked.get() || tired || shut {
                let _ = talk.write(&answer(503, b"")).await;
                continue;
            }
            let _busy = Busy::new(self.ending.clone());
            let every = n.is_multiple_of(20);
            // Nobody can know how long it has waited, and a refusal is harmless.
            let thaws = self.thawed.get().is_some_and(|at| at.elapsed() < THAWING);
            let short = self.again && self.fault == Fault::NeverWholeAgain && n.is_multiple_of(5);
            if short || thaws && self.fault != Fault::ForgetsItWasFrozen {
                let _ = talk.write(&answer(503, b"")).await;
                continue;
            }
            match self.fault {
                // It thinks that there is time.
                Fault::ForgetsItWasFrozen if thaws => sleep(Duration::from_secs(1)).await,
                Fault::Loses if every => {
                    sleep(Duration::from_secs(3600)).await;
                }
                Fault::Hangs if every => return,
                Fault::HoldsForTheGone => sleep(Duration::from_millis(800)).await,
                Fault::Crashes if n == 100 => self.over.notify_one(),
                _ => {}
            }
            let safe = self.effect(&request).0 == "retryable";
            if self.fault == Fault::SendsAfterAnswer && every && safe {
                let _ = talk.write(&answer(503, b"")).await;
                sleep(Duration::from_millis(100)).await;
                let _ = self.serve(&request).await;
                continue;
            }
            let mut text = self.serve(&request).await;
            if self.fault == Fault::Invents && every {
                text = answer(200, b"all is well");
            }
            let _ = talk.write(&text).await;
            if self.fault == Fault::AnswersTwice && every {
                let _ = talk.write(&text).await;
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

    /// The next node that takes requests and is warm: address and cell.
    fn pick(&self, not: Option<u64>) -> Option<(SocketAddr, u64)> {
        let now = (self.unix + self.start.elapsed()).as_secs_f64() * 1e3;
        let nodes = self.nodes.borrow();
        let cold = |n: &&Node| n.since_ms > 0.0 && now < n.since_ms + self.cold;
        if self.fault == Fault::OneEach {
            let mut begun = self.begun.borrow_mut();
            let fresh = |n: &&Node| cold(n) && !begun.contains(&(n.id.clone(), n.since_ms));
            if let Some(n) = nodes.iter().find(fresh) {
                begun.push((n.id.clone(), n.since_ms));
                return Some((n.address, n.cell));
            }
        }
        if self.fault == Fault::PushesOver
            && let Some(n) = nodes.iter().find(cold)
        {
            return Some((n.address, n.cell));
        }
        let good: Vec<&Node> = nodes
            .iter()
            .filter(|n| n.phase == "SERVING" && !cold(n) && Some(n.cell) != not)
            .filter(|n| self.rules.as_ref().is_none_or(|r| r.allows(n.cell)))
            .collect();
        // An eighth of what it has: all of it together is nearly what the node can do.
        let spends = self.again && self.fault == Fault::SpendsAlone;
        if spends && self.next.get().is_multiple_of(8) {
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
        let every = self.taken.get().is_multiple_of(20);
        let most = if self.fault == Fault::TriesTooOften { 5 } else { 3 };
        let mut not = None;
        let mut again: Option<SocketAddr> = None;
        for _ in 0..most {
            let again_at = again.take();
            let picked = again_at.map(|a| (a, 0)).or_else(|| self.pick(not));
            let Some((address, cell)) = picked else { return answer(503, b"") };
            if self.fault == Fault::TwoAtOnce && every && effect == "retryable" {
                let other = self.pick(Some(cell)).map_or(address, |(a, _)| a);
                let (first, _) = tokio::join!(
                    self.attempt(address, request, until),
                    self.attempt(other, request, until)
                );
                return first.map_or(answer(502, b""), |m| answer(200, &m.body));
            }
            let (sent, late) = (Instant::now(), again_at == Some(address));
            let got = self.attempt(address, request, until).await;
            match got {
                Ok(m) if m.status() == 200 => return answer(200, &m.body),
                // Its one fault is to be late, not to go elsewhere.
                _ if late => return answer(502, b""),
                Ok(m) if m.header("x-not-run") == Some("1") => continue,
                Err(Missed::NeverUp) => continue,
                Err(Missed::Late) => return answer(504, b""),
                _ => {}
            }
            match (effect.as_str(), self.fault) {
                ("retryable", Fault::RetriesForTheGone) => sleep(Duration::from_millis(400)).await,
                ("retryable", _) | ("fragile", Fault::ResendsUnsafe) => {}
                ("fragile", Fault::RefusesAfterRun) => return answer(503, b""),
                ("dedup", Fault::ResendsElsewhere) if not.is_none() => not = Some(cell),
                ("dedup", Fault::ResendsTooLate) => {
                    sleep_until(sent + window + Duration::from_millis(100)).await;
                    again = Some(address);
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
    ) -> Result<Message, Missed> {
        let kept = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let mut talk = match kept.filter(Exchange::is_quiet) {
            Some(talk) => talk,
            None => {
                let wait = Instant::now() + Duration::from_millis(250);
                let stream = timeout_at(wait, self.network.connect(address)).await;
                Exchange::new(stream.map_err(|_| Missed::NeverUp)?.map_err(|_| Missed::NeverUp)?)
            }
        };
        let mut body = String::from_utf8_lossy(&request.body).into_owned();
        if self.fault == Fault::Alters && self.taken.get().is_multiple_of(20) {
            body.pop();
        }
        let mut text = format!("{} {} HTTP/1.1\r\n", request.start.0, request.start.1);
        for (name, value) in &request.headers {
            if !name.eq_ignore_ascii_case("content-length") {
                text.push_str(&format!("{name}: {value}\r\n"));
            }
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        talk.write(text.as_bytes()).await.map_err(|_| Missed::Broke)?;
        let answer = timeout_at(until, talk.message(Direction::Responses)).await;
        let message = answer.map_err(|_| Missed::Late)?.map_err(|_| Missed::Broke)?;
        self.idle.borrow_mut().entry(address).or_default().push(talk);
        Ok(message)
    }
}

/// A request that was read and is not answered yet.
struct Busy(Rc<Ending>);

impl Busy {
    fn new(of: Rc<Ending>) -> Self {
        of.busy.set(of.busy.get() + 1);
        Self(of)
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

enum Missed {
    NeverUp,
    Late,
    Broke,
}
