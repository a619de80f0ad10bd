//! The stand-in node list: late, of bounded capacity, and wrong in the ways a fault says. One address for
//! each balancer, so that what each was told, and when, is known.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hollowpaddle_net::Listener;
use serde_json::json;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::node::{Node, count};
use crate::record::{At, Observation, Phase};
use crate::scenario::{FaultKind, Scenario};
use crate::stage::{Stage, Who};
use crate::watched::Watched;
use crate::wire::{Exchange, Side};

/// While nothing changes, a watch says an empty line this often.
const BEAT: Duration = Duration::from_secs(2);
/// A list that has moved closes its old address's connections after this.
const MOVE_GRACE: Duration = Duration::from_millis(1500);

/// Who is out of reach is looked at this often.
const LOOK: Duration = Duration::from_millis(100);

/// Messages of a watch that may come again when the list is in disorder.
const REMEMBERED: usize = 4;

/// What the list knows of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    phase: Phase,
    since: At,
}

/// A change that the list has not learned of yet.
#[derive(Clone, Debug)]
struct News {
    due: Instant,
    /// Later words about a node count, whatever their order here.
    serial: u64,
    node: usize,
    entry: Entry,
}

#[derive(Clone, Copy, Debug, Default)]
struct Troubles {
    down: u32,
    stale: u32,
    disorder: u32,
    late: Duration,
}

/// The node list.
pub struct NodeList {
    stage: Rc<Stage>,
    nodes: Vec<Rc<Node>>,
    entries: RefCell<Vec<Option<(u64, Entry)>>>,
    /// Every change: its revision and the node.
    log: RefCell<Vec<(u64, usize)>>,
    news: RefCell<Vec<News>>,
    serial: Cell<u64>,
    revision: Watched<u64>,
    /// Connections are counted by generations, and those up to this one must end.
    broken: Watched<u64>,
    generation: Cell<u64>,
    troubles: RefCell<Troubles>,
    /// When the service is free for its next call.
    free: Cell<Instant>,
    doors: RefCell<Vec<Door>>,
    watches: Cell<u64>,
    /// How many faults keep each balancer from hearing anything.
    deaf: RefCell<Vec<u32>>,
    /// Whether any fault does that.
    cuts: bool,
}

/// One address of the list.
struct Door {
    balancer: usize,
    address: SocketAddr,
    accepting: AbortHandle,
}

impl Drop for Door {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl NodeList {
    /// A list that knows those `nodes` that run as serving from long ago, and listens.
    ///
    /// # Errors
    /// It can't listen.
    pub fn start(stage: &Rc<Stage>, nodes: &[Rc<Node>]) -> std::io::Result<Rc<Self>> {
        let long_ago = Entry { phase: Phase::Serving, since: At(0) };
        let known = |n: &Rc<Node>| n.serves().then_some((0, long_ago));
        let list = Rc::new(Self {
            stage: stage.clone(),
            nodes: nodes.to_vec(),
            entries: RefCell::new(nodes.iter().map(known).collect()),
            log: RefCell::new((0..nodes.len()).map(|n| (1, n)).collect()),
            news: RefCell::default(),
            serial: Cell::new(0),
            revision: Watched::new(1),
            broken: Watched::new(0),
            generation: Cell::new(1),
            troubles: RefCell::default(),
            free: Cell::new(Instant::now()),
            doors: RefCell::default(),
            watches: Cell::new(0),
            deaf: RefCell::new(vec![0; stage.scenario.cluster.count]),
            cuts: stage.scenario.faults.iter().any(|f| f.kind == FaultKind::ListCut),
        });
        for balancer in 0..stage.scenario.cluster.count {
            list.open_door(balancer)?;
        }
        let publishing = Rc::downgrade(&list);
        let period = stage.scenario.list.period;
        spawn_local(async move {
            loop {
                sleep(period).await;
                let Some(list) = Weak::upgrade(&publishing) else { return };
                list.publish();
            }
        });
        Ok(list)
    }

    fn open_door(self: &Rc<Self>, balancer: usize) -> std::io::Result<()> {
        let network = self.stage.ground.network(Who::List(balancer));
        let mut listener = network.listen(self.stage.ground.address(Who::List(balancer)))?;
        listener.hush(self.troubles.borrow().down > 0);
        let address = listener.local_addr();
        let accepting = spawn_local(self.clone().accept(balancer, listener)).abort_handle();
        self.doors.borrow_mut().push(Door { balancer, address, accepting });
        Ok(())
    }

    /// Where a balancer finds it.
    pub fn address(&self, balancer: usize) -> SocketAddr {
        let doors = self.doors.borrow();
        let door = doors.iter().rev().find(|d| d.balancer == balancer);
        door.map_or(SocketAddr::from(([127, 0, 0, 1], 1)), |d| d.address)
    }

    /// Moves to other addresses. The old ones take no new connection, and close what is open a little later.
    ///
    /// # Errors
    /// It can't listen.
    pub fn relocate(self: &Rc<Self>) -> std::io::Result<()> {
        self.doors.borrow_mut().clear();
        for balancer in 0..self.stage.scenario.cluster.count {
            self.open_door(balancer)?;
        }
        let (list, old) = (self.clone(), self.generation.replace(self.generation.get() + 1));
        spawn_local(async move {
            sleep(MOVE_GRACE).await;
            list.broken.change(|b| *b = old.max(*b));
        });
        Ok(())
    }

    /// A node's state has changed; the list learns of it `after` a while.
    pub fn learn(&self, node: usize, phase: Phase, since: At, after: Duration) {
        let late = self.troubles.borrow().late;
        let serial = self.serial.replace(self.serial.get() + 1);
        let (due, entry) = (Instant::now() + after + late, Entry { phase, since });
        self.news.borrow_mut().push(News { due, serial, node, entry });
    }

    /// Takes in what it has learned by now, and tells all watches.
    fn publish(&self) {
        if self.troubles.borrow().stale > 0 {
            return;
        }
        let now = Instant::now();
        let mut due: Vec<News> = Vec::new();
        self.news.borrow_mut().retain(|n| {
            let is = n.due <= now;
            if is {
                due.push(n.clone());
            }
            !is
        });
        due.sort_by_key(|n| n.serial);
        let revision = *self.revision.get() + 1;
        let mut changed = false;
        for news in due {
            let mut entries = self.entries.borrow_mut();
            let entry = &mut entries[news.node];
            if entry.is_some_and(|(serial, e)| serial > news.serial || e == news.entry) {
                continue;
            }
            *entry = Some((news.serial, news.entry));
            let mut log = self.log.borrow_mut();
            log.retain(|(_, node)| *node != news.node);
            log.push((revision, news.node));
            changed = true;
            let Entry { phase, since } = news.entry;
            self.stage.record.saw(Observation::Listed { node: news.node, phase, since });
        }
        if changed {
            self.revision.change(|r| *r = revision);
        }
    }

    /// Out of reach: watches end, nothing new comes up.
    pub fn down(&self, begins: bool) {
        count(&mut self.troubles.borrow_mut().down, begins);
        if begins {
            let old = self.generation.replace(self.generation.get() + 1);
            self.broken.change(|b| *b = old.max(*b));
        }
    }

    /// Answers, and learns nothing.
    pub fn stale(&self, begins: bool) {
        count(&mut self.troubles.borrow_mut().stale, begins);
    }

    /// Says things twice, or older ones after newer ones.
    pub fn disorder(&self, begins: bool) {
        count(&mut self.troubles.borrow_mut().disorder, begins);
    }

    /// Learns so much later.
    pub fn late(&self, by: Duration, begins: bool) {
        let mut troubles = self.troubles.borrow_mut();
        let late = &mut troubles.late;
        *late = if begins { *late + by } else { late.saturating_sub(by) };
    }

    /// Says nothing to one balancer: what is open stays open and silent, nothing new comes up.
    pub fn cut(&self, balancer: usize, begins: bool) {
        count(&mut self.deaf.borrow_mut()[balancer], begins);
    }

    /// Whether a balancer hears nothing.
    fn is_out_of_reach(&self, balancer: usize) -> bool {
        self.is_down() || self.deaf.borrow()[balancer] > 0
    }

    /// Waits until a balancer can hear again.
    async fn audible(&self, balancer: usize) {
        while self.deaf.borrow()[balancer] > 0 {
            sleep(LOOK).await;
        }
    }

    async fn accept(self: Rc<Self>, balancer: usize, mut listener: Box<dyn Listener>) {
        let mut broken = self.broken.watch();
        loop {
            listener.hush(self.is_out_of_reach(balancer));
            let next = std::future::poll_fn(|cx| listener.poll_accept(cx));
            tokio::select! {
                biased;
                next = next => match next {
                    Ok((stream, _)) => {
                        spawn_local(self.clone().converse(balancer, Exchange::new(stream)));
                    }
                    Err(_) => sleep(Duration::from_millis(5)).await,
                },
                // Look now and then whether it still is.
                () = sleep(LOOK), if self.cuts || self.is_out_of_reach(balancer) => {}
                () = broken.changed() => {}
            }
        }
    }

    fn is_down(&self) -> bool {
        self.troubles.borrow().down > 0
    }

    async fn converse(self: Rc<Self>, balancer: usize, mut talk: Exchange) {
        let (mut broken, generation) = (self.broken.watch(), self.generation.get());
        let watch = Cell::new(None);
        let cut = tokio::select! {
            biased;
            () = async {
                while *broken.see() < generation {
                    broken.changed().await;
                }
            } => true,
            () = self.calls(balancer, &mut talk, &watch) => false,
        };
        if cut || watch.get().is_some() {
            let record = &self.stage.record;
            record.saw(Observation::ListCallFailed { balancer, watch: watch.get() });
        }
        if cut {
            talk.reset();
        }
    }

    async fn calls(&self, balancer: usize, talk: &mut Exchange, watch: &Cell<Option<u64>>) {
        while let Ok(call) = talk.message(Side::Requests).await {
            let target = call.start.1;
            let query = target.strip_prefix("/api/targets");
            let Some(query) = query.filter(|_| call.start.0 == "GET") else {
                let _ = talk.write(b"HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            };
            // Whoever has let go meanwhile is told nothing.
            tokio::select! {
                biased;
                _ = talk.end() => return,
                () = self.audible(balancer) => {}
            }
            self.stage.record.saw(Observation::ListCall { balancer });
            if self.is_down() || !self.turn().await {
                let answer = b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n";
                let _ = talk.write(answer).await;
                self.stage.record.saw(Observation::ListCallFailed { balancer, watch: None });
                continue;
            }
            let pairs = query.trim_start_matches('?').split('&');
            let value = |name: &str| {
                pairs.clone().filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)
            };
            let from = value("index").and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            if value("stream").is_some() {
                let number = self.watches.replace(self.watches.get() + 1);
                self.stage.record.saw(Observation::WatchStarted { balancer, watch: number });
                watch.set(Some(number));
                let _ = self.watch(balancer, from, talk).await;
                return;
            }
            let (text, told) = self.line(balancer, 0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if talk.write((head + &text).as_bytes()).await.is_err() {
                return;
            }
            self.told(balancer, told);
            self.stage.record.saw(Observation::WatchStarted { balancer, watch: u64::MAX });
        }
    }

    /// Waits for its turn at the service; `false` if that would take too long.
    async fn turn(&self) -> bool {
        let list = &self.stage.scenario.list;
        if !list.asked {
            return true;
        }
        let start = self.free.get().max(Instant::now());
        if start.saturating_duration_since(Instant::now()) > list.call_timeout {
            sleep(list.call_timeout).await;
            return false;
        }
        self.free.set(start + list.call);
        sleep_until(start + list.call).await;
        true
    }

    async fn watch(&self, balancer: usize, from: u64, talk: &mut Exchange) -> std::io::Result<()> {
        let mut revision = self.revision.watch();
        let mut at = from;
        // What may come again: messages of this watch, and the whole list as another replica still has it.
        let mut before: VecDeque<(String, Vec<Told>)> = VecDeque::new();
        before.push_back(self.line(balancer, 0));
        talk.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            tokio::select! {
                biased;
                _ = talk.end(), if self.deaf.borrow()[balancer] > 0 => return Ok(()),
                () = self.audible(balancer) => {}
            }
            let newest = *revision.see();
            let (text, told) = self.line(balancer, if at > newest { 0 } else { at });
            at = newest;
            talk.chunk(&format!("{text}\n")).await?;
            self.told(balancer, told.clone());
            if self.troubles.borrow().disorder > 0 {
                talk.chunk(&format!("{text}\n")).await?;
                self.told(balancer, told.clone());
                if let Some((older, what)) = before.pop_front() {
                    talk.chunk(&format!("{older}\n")).await?;
                    self.told(balancer, what);
                }
            }
            before.push_back((text, told));
            if before.len() > REMEMBERED {
                before.pop_front();
            }
            loop {
                tokio::select! {
                    biased;
                    () = revision.changed() => break,
                    _ = talk.end() => return Ok(()),
                    () = sleep(BEAT), if self.stage.scenario.list.asked => {}
                }
                if self.deaf.borrow()[balancer] > 0 {
                    continue;
                }
                // Late or not, a beat must not wait for a reader that has stopped reading.
                if !matches!(timeout(BEAT, talk.chunk("\n")).await, Ok(Ok(()))) {
                    return Ok(());
                }
            }
        }
    }

    /// What changed after a revision, or the whole list, as a line; and what it tells.
    fn line(&self, balancer: usize, after: u64) -> (String, Vec<Told>) {
        let revision = *self.revision.get();
        let complete = after == 0;
        let (log, entries) = (self.log.borrow(), self.entries.borrow());
        let mut told = Vec::new();
        let mut members = Vec::new();
        for &(at, node) in log.iter() {
            let Some((_, entry)) = entries[node] else { continue };
            if at <= after {
                continue;
            }
            told.push(Told { node, entry, revision });
            if complete && entry.phase == Phase::Deleted {
                continue;
            }
            members.push(self.member(node, entry, balancer));
        }
        let line = json!({"revision": revision, "complete": complete, "members": members});
        (line.to_string(), told)
    }

    fn member(&self, node: usize, entry: Entry, balancer: usize) -> serde_json::Value {
        member(&self.stage, &self.nodes[node], entry.phase, entry.since, balancer)
    }

    fn told(&self, balancer: usize, what: Vec<Told>) {
        for Told { node, entry: Entry { phase, since }, revision } in what {
            self.stage.record.saw(Observation::ListUpdate {
                balancer,
                node,
                phase,
                since,
                revision,
            });
        }
    }

    /// The whole list as it stands, for a balancer's start.
    pub fn known(&self, balancer: usize) -> serde_json::Value {
        let (text, told) = self.line(balancer, 0);
        self.told(balancer, told);
        serde_json::from_str(&text).unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
struct Told {
    node: usize,
    entry: Entry,
    revision: u64,
}

/// A node's entry in the list's own form.
fn member(
    stage: &Stage,
    node: &Node,
    phase: Phase,
    since: At,
    balancer: usize,
) -> serde_json::Value {
    let scenario: &Scenario = &stage.scenario;
    let machine = &stage.plan.machines[node.place];
    let up =
        if since.0 == 0 { 0.0 } else { (stage.epoch.as_micros() as u64 + since.0) as f64 / 1e3 };
    json!({
        "id": machine.id,
        "host_port": node.address(balancer).to_string(),
        "locality": scenario.fleet.zones[machine.zone],
        "flavor": scenario.fleet.machine_types[machine.machine_type].name,
        "cell": machine.cell,
        "phase": phase.name(),
        "size": 1.0,
        "up_since_ms": up,
    })
}
