//! The stand-in endpoint list: delayed, of limited capacity, and wrong in the ways that faults say.
//! It has one address for each balancer, so that the content and time of each balancer's updates
//! are known.

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
use crate::ordered_watch::OrderedWatch;
use crate::record::{At, Observation, Phase};
use crate::run_context::{Host, RunContext};
use crate::scenario::{FaultKind, Scenario};
use crate::wire::{Direction, Exchange};

/// Interval between the empty lines that a watch sends while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a move of the list when connections at the old address are closed.
const MOVE_GRACE: Duration = Duration::from_millis(1500);

/// Interval between checks whether a balancer can be reached.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Number of recent messages of a watch that may be repeated while the list is in disorder.
const MAX_REPLAYED: usize = 4;

/// The list's state of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Entry {
    phase: Phase,
    since: At,
}

/// A change that the list doesn't publish before `due`.
#[derive(Clone, Debug)]
struct PendingChange {
    due: Instant,
    /// The change with the highest number wins, whatever the order of publication.
    serial: u64,
    node: usize,
    entry: Entry,
}

#[derive(Clone, Copy, Debug, Default)]
struct ActiveFaults {
    down: u32,
    stale: u32,
    disorder: u32,
    late: Duration,
}

/// The stand-in endpoint list.
pub struct NodeList {
    context: Rc<RunContext>,
    nodes: Vec<Rc<Node>>,
    entries: RefCell<Vec<Option<(u64, Entry)>>>,
    /// Revision and node of every change.
    log: RefCell<Vec<(u64, usize)>>,
    pending: RefCell<Vec<PendingChange>>,
    serial: Cell<u64>,
    revision: OrderedWatch<u64>,
    /// The highest generation of connections that must be closed.
    broken: OrderedWatch<u64>,
    generation: Cell<u64>,
    active_faults: RefCell<ActiveFaults>,
    /// Time at which the service is free for its next call.
    free: Cell<Instant>,
    endpoints: RefCell<Vec<Endpoint>>,
    watches: Cell<u64>,
    /// Number of active faults that cut each balancer off from the list.
    silenced: RefCell<Vec<u32>>,
    /// Whether the scenario cuts any balancer off from the list.
    cuts: bool,
}

/// The list's address for one balancer.
struct Endpoint {
    balancer: usize,
    address: SocketAddr,
    accepting: AbortHandle,
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl NodeList {
    /// Starts a list that has all running `nodes` as serving since long ago.
    ///
    /// # Errors
    /// The list can't listen.
    pub fn start(context: &Rc<RunContext>, nodes: &[Rc<Node>]) -> std::io::Result<Rc<Self>> {
        let long_ago = Entry { phase: Phase::Serving, since: At(0) };
        let initial_entry = |n: &Rc<Node>| n.serves().then_some((0, long_ago));
        let list = Rc::new(Self {
            context: context.clone(),
            nodes: nodes.to_vec(),
            entries: RefCell::new(nodes.iter().map(initial_entry).collect()),
            log: RefCell::new((0..nodes.len()).map(|n| (1, n)).collect()),
            pending: RefCell::default(),
            serial: Cell::new(0),
            revision: OrderedWatch::new(1),
            broken: OrderedWatch::new(0),
            generation: Cell::new(1),
            active_faults: RefCell::default(),
            free: Cell::new(Instant::now()),
            endpoints: RefCell::default(),
            watches: Cell::new(0),
            silenced: RefCell::new(vec![0; context.scenario.cluster.count]),
            cuts: context.scenario.faults.iter().any(|f| f.kind == FaultKind::ListCut),
        });
        for balancer in 0..context.scenario.cluster.count {
            list.open_endpoint(balancer)?;
        }
        let publishing = Rc::downgrade(&list);
        let period = context.scenario.list.period;
        spawn_local(async move {
            loop {
                sleep(period).await;
                let Some(list) = Weak::upgrade(&publishing) else { return };
                list.publish();
            }
        });
        Ok(list)
    }

    fn open_endpoint(self: &Rc<Self>, balancer: usize) -> std::io::Result<()> {
        let network = self.context.testbed.network(Host::List(balancer));
        let mut listener = network.listen(self.context.testbed.address(Host::List(balancer)))?;
        listener.set_silent(self.active_faults.borrow().down > 0);
        let address = listener.local_addr();
        let accepting = spawn_local(self.clone().accept(balancer, listener)).abort_handle();
        self.endpoints.borrow_mut().push(Endpoint { balancer, address, accepting });
        Ok(())
    }

    /// Returns the list's address for a balancer.
    pub fn address(&self, balancer: usize) -> SocketAddr {
        let endpoints = self.endpoints.borrow();
        let endpoint = endpoints.iter().rev().find(|d| d.balancer == balancer);
        endpoint.map_or(SocketAddr::from(([127, 0, 0, 1], 1)), |d| d.address)
    }

    /// Moves the list to other addresses. The old ones accept no new connections, and open
    /// connections are closed after a grace period.
    ///
    /// # Errors
    /// The list can't listen.
    pub fn relocate(self: &Rc<Self>) -> std::io::Result<()> {
        self.endpoints.borrow_mut().clear();
        for balancer in 0..self.context.scenario.cluster.count {
            self.open_endpoint(balancer)?;
        }
        let (list, old) = (self.clone(), self.generation.replace(self.generation.get() + 1));
        spawn_local(async move {
            sleep(MOVE_GRACE).await;
            list.broken.send_modify(|b| *b = old.max(*b));
        });
        Ok(())
    }

    /// Schedules a change of a node's state, which the list learns `after` a delay.
    pub fn schedule_change(&self, node: usize, phase: Phase, since: At, after: Duration) {
        let late = self.active_faults.borrow().late;
        let serial = self.serial.replace(self.serial.get() + 1);
        let (due, entry) = (Instant::now() + after + late, Entry { phase, since });
        self.pending.borrow_mut().push(PendingChange { due, serial, node, entry });
    }

    /// Applies the changes that are due and notifies all watches.
    fn publish(&self) {
        if self.active_faults.borrow().stale > 0 {
            return;
        }
        let now = Instant::now();
        let mut due: Vec<PendingChange> = Vec::new();
        self.pending.borrow_mut().retain(|n| {
            let is_due = n.due <= now;
            if is_due {
                due.push(n.clone());
            }
            !is_due
        });
        due.sort_by_key(|n| n.serial);
        let revision = *self.revision.get() + 1;
        let mut changed = false;
        for pending in due {
            let mut entries = self.entries.borrow_mut();
            let entry = &mut entries[pending.node];
            if entry.is_some_and(|(serial, e)| serial > pending.serial || e == pending.entry) {
                continue;
            }
            *entry = Some((pending.serial, pending.entry));
            let mut log = self.log.borrow_mut();
            log.retain(|(_, node)| *node != pending.node);
            log.push((revision, pending.node));
            changed = true;
            let Entry { phase, since } = pending.entry;
            self.context.record.saw(Observation::Listed { node: pending.node, phase, since });
        }
        if changed {
            self.revision.send_modify(|r| *r = revision);
        }
    }

    /// Starts or ends an outage: watches end, and no new connection is accepted.
    pub fn down(&self, begins: bool) {
        count(&mut self.active_faults.borrow_mut().down, begins);
        if begins {
            let old = self.generation.replace(self.generation.get() + 1);
            self.broken.send_modify(|b| *b = old.max(*b));
        }
    }

    /// Starts or ends a fault in which the list answers but applies no changes.
    pub fn stale(&self, begins: bool) {
        count(&mut self.active_faults.borrow_mut().stale, begins);
    }

    /// Starts or ends a fault in which the list repeats messages, and sends older ones after newer
    /// ones.
    pub fn disorder(&self, begins: bool) {
        count(&mut self.active_faults.borrow_mut().disorder, begins);
    }

    /// Starts or ends an additional delay of changes.
    pub fn late(&self, by: Duration, begins: bool) {
        let mut active_faults = self.active_faults.borrow_mut();
        let late = &mut active_faults.late;
        *late = if begins { *late + by } else { late.saturating_sub(by) };
    }

    /// Cuts one balancer off from the list, or ends the cut: open connections stay open and silent,
    /// and no new connection is accepted.
    pub fn cut(&self, balancer: usize, begins: bool) {
        count(&mut self.silenced.borrow_mut()[balancer], begins);
    }

    /// Returns whether a balancer can't reach the list.
    fn is_unreachable_for(&self, balancer: usize) -> bool {
        self.is_down() || self.silenced.borrow()[balancer] > 0
    }

    /// Waits until the balancer is no longer cut off.
    async fn wait_until_reachable(&self, balancer: usize) {
        while self.silenced.borrow()[balancer] > 0 {
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn accept(self: Rc<Self>, balancer: usize, mut listener: Box<dyn Listener>) {
        let mut broken = self.broken.subscribe();
        loop {
            listener.set_silent(self.is_unreachable_for(balancer));
            let next = std::future::poll_fn(|cx| listener.poll_accept(cx));
            tokio::select! {
                biased;
                next = next => match next {
                    Ok((stream, _)) => {
                        spawn_local(self.clone().converse(balancer, Exchange::new(stream)));
                    }
                    Err(_) => sleep(Duration::from_millis(5)).await,
                },
                // Check regularly whether the balancer can reach the list.
                () = sleep(POLL_INTERVAL), if self.cuts || self.is_unreachable_for(balancer) => {}
                () = broken.changed() => {}
            }
        }
    }

    fn is_down(&self) -> bool {
        self.active_faults.borrow().down > 0
    }

    async fn converse(self: Rc<Self>, balancer: usize, mut exchange: Exchange) {
        let (mut broken, generation) = (self.broken.subscribe(), self.generation.get());
        let watch = Cell::new(None);
        let cut = tokio::select! {
            biased;
            () = async {
                while *broken.borrow_and_update() < generation {
                    broken.changed().await;
                }
            } => true,
            () = self.calls(balancer, &mut exchange, &watch) => false,
        };
        if cut || watch.get().is_some() {
            let record = &self.context.record;
            record.saw(Observation::ListCallFailed { balancer, watch: watch.get() });
        }
        if cut {
            exchange.reset();
        }
    }

    async fn calls(&self, balancer: usize, exchange: &mut Exchange, watch: &Cell<Option<u64>>) {
        while let Ok(call) = exchange.message(Direction::Requests).await {
            let target = call.start.1;
            let query = target.strip_prefix("/api/targets");
            let Some(query) = query.filter(|_| call.start.0 == "GET") else {
                let _ = exchange.write(b"HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            };
            // A caller that has closed the connection meanwhile gets no answer.
            tokio::select! {
                biased;
                _ = exchange.end() => return,
                () = self.wait_until_reachable(balancer) => {}
            }
            self.context.record.saw(Observation::ListCall { balancer });
            if self.is_down() || !self.wait_for_service().await {
                let answer = b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n";
                let _ = exchange.write(answer).await;
                self.context.record.saw(Observation::ListCallFailed { balancer, watch: None });
                continue;
            }
            let pairs = query.trim_start_matches('?').split('&');
            let value = |name: &str| {
                pairs.clone().filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)
            };
            let from = value("index").and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            if value("stream").is_some() {
                let number = self.watches.replace(self.watches.get() + 1);
                self.context.record.saw(Observation::WatchStarted { balancer, watch: number });
                watch.set(Some(number));
                let _ = self.watch(balancer, from, exchange).await;
                return;
            }
            let (text, updates) = self.line(balancer, 0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if exchange.write((head + &text).as_bytes()).await.is_err() {
                return;
            }
            self.record_updates(balancer, updates);
            self.context.record.saw(Observation::WatchStarted { balancer, watch: u64::MAX });
        }
    }

    /// Waits for the service to be free. Returns `false` if that takes too long.
    async fn wait_for_service(&self) -> bool {
        let list = &self.context.scenario.list;
        if !list.is_polled {
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

    async fn watch(
        &self,
        balancer: usize,
        from: u64,
        exchange: &mut Exchange,
    ) -> std::io::Result<()> {
        let mut revision = self.revision.subscribe();
        let mut at = from;
        // Messages that may be repeated: those of this watch, and the whole list as another replica
        // still has it.
        let mut recent: VecDeque<(String, Vec<Update>)> = VecDeque::new();
        recent.push_back(self.line(balancer, 0));
        exchange.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            tokio::select! {
                biased;
                _ = exchange.end(), if self.silenced.borrow()[balancer] > 0 => return Ok(()),
                () = self.wait_until_reachable(balancer) => {}
            }
            let newest = *revision.borrow_and_update();
            let (text, updates) = self.line(balancer, if at > newest { 0 } else { at });
            at = newest;
            exchange.chunk(&format!("{text}\n")).await?;
            self.record_updates(balancer, updates.clone());
            if self.active_faults.borrow().disorder > 0 {
                exchange.chunk(&format!("{text}\n")).await?;
                self.record_updates(balancer, updates.clone());
                if let Some((older, older_updates)) = recent.pop_front() {
                    exchange.chunk(&format!("{older}\n")).await?;
                    self.record_updates(balancer, older_updates);
                }
            }
            recent.push_back((text, updates));
            if recent.len() > MAX_REPLAYED {
                recent.pop_front();
            }
            loop {
                tokio::select! {
                    biased;
                    () = revision.changed() => break,
                    _ = exchange.end() => return Ok(()),
                    () = sleep(HEARTBEAT_INTERVAL), if self.context.scenario.list.is_polled => {}
                }
                if self.silenced.borrow()[balancer] > 0 {
                    continue;
                }
                // A heartbeat must not wait for a client that has stopped reading.
                if !matches!(timeout(HEARTBEAT_INTERVAL, exchange.chunk("\n")).await, Ok(Ok(()))) {
                    return Ok(());
                }
            }
        }
    }

    /// Returns the changes after a revision, or the whole list, as a line, and the updates in it.
    fn line(&self, balancer: usize, after: u64) -> (String, Vec<Update>) {
        let revision = *self.revision.get();
        let complete = after == 0;
        let (log, entries) = (self.log.borrow(), self.entries.borrow());
        let mut updates = Vec::new();
        let mut members = Vec::new();
        for &(at, node) in log.iter() {
            let Some((_, entry)) = entries[node] else { continue };
            if at <= after {
                continue;
            }
            updates.push(Update { node, entry, revision });
            if complete && entry.phase == Phase::Deleted {
                continue;
            }
            members.push(self.member(node, entry, balancer));
        }
        let line = json!({"revision": revision, "complete": complete, "members": members});
        (line.to_string(), updates)
    }

    fn member(&self, node: usize, entry: Entry, balancer: usize) -> serde_json::Value {
        member(&self.context, &self.nodes[node], entry.phase, entry.since, balancer)
    }

    fn record_updates(&self, balancer: usize, updates: Vec<Update>) {
        for Update { node, entry: Entry { phase, since }, revision } in updates {
            self.context.record.saw(Observation::ListUpdate {
                balancer,
                node,
                phase,
                since,
                revision,
            });
        }
    }

    /// Returns the whole current list, for a balancer's start.
    pub fn initial_list(&self, balancer: usize) -> serde_json::Value {
        let (text, updates) = self.line(balancer, 0);
        self.record_updates(balancer, updates);
        serde_json::from_str(&text).unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
struct Update {
    node: usize,
    entry: Entry,
    revision: u64,
}

/// Returns a node's entry in the list's JSON form.
fn member(
    context: &RunContext,
    node: &Node,
    phase: Phase,
    since: At,
    balancer: usize,
) -> serde_json::Value {
    let scenario: &Scenario = &context.scenario;
    let machine = &context.plan.machines[node.index];
    let up =
        if since.0 == 0 { 0.0 } else { (context.epoch.as_micros() as u64 + since.0) as f64 / 1e3 };
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
