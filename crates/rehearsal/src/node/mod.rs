//! A stand-in upstream, with one address for each balancer, so that it knows the sender of each
//! request and can be unreachable for one of them. Its timing is in [`model`], its connections are
//! in `serving`; this module has its starts, stops and faults.

pub mod model;
mod serving;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowpaddle_net::Listener;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::ordered_watch::OrderedWatch;
use crate::plan::Machine;
use crate::record::{At, Observation};
use crate::run_context::{Host, RunContext};
use crate::scenario::MachineType;
use model::{Model, OverloadLimit};

/// Active faults of a node, by number or by factor.
#[derive(Clone, Debug, Default)]
struct ActiveFaults {
    dead: u32,
    vanished: u32,
    draining: u32,
    removed: bool,
    cut_off: Vec<u32>,
    slow: Vec<f64>,
    malformed_shares: Vec<f64>,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    inflight: f64,
    qps: f64,
    eps: f64,
}

/// A stand-in upstream.
pub struct Node {
    context: Rc<RunContext>,
    /// Index of its machine in the plan.
    pub index: usize,
    machine: Machine,
    kind: MachineType,
    active_faults: RefCell<ActiveFaults>,
    /// The process, while it runs.
    process: RefCell<Option<Process>>,
    /// Start time of the process, for the endpoint list.
    since: Cell<At>,
    overloaded: Cell<bool>,
    /// Listening address for each balancer, reused after a restart.
    addresses: RefCell<Vec<SocketAddr>>,
    /// The state that its connections watch.
    state: OrderedWatch<ConnectionState>,
    rng: RefCell<ChaCha8Rng>,
    errors: Cell<u64>,
    reports: RefCell<VecDeque<(Instant, Load)>>,
    changed: Rc<Notify>,
}

/// The state of a node that its connections depend on.
#[derive(Clone, Debug, Default, PartialEq)]
struct ConnectionState {
    /// Number of the current process; a connection belongs to one process.
    process: u64,
    alive: bool,
    /// Whether the machine is silent.
    silent: bool,
    /// Whether each balancer is cut off from the node.
    cut_off: Vec<bool>,
}

struct Process {
    model: Model,
    waiting: FxHashMap<u32, oneshot::Sender<()>>,
    connections: u32,
    wake: Rc<Notify>,
    tasks: Vec<AbortHandle>,
    listeners: Vec<SharedListener>,
}

/// A listener shared by its accepting task and its process, and closed with the process.
type SharedListener = Rc<RefCell<Option<Box<dyn Listener>>>>;

impl Drop for Process {
    fn drop(&mut self) {
        // Closes the listeners at once: an aborted task holds its resources until it is polled
        // again, and with them the address.
        for listener in &self.listeners {
            listener.take();
        }
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Node {
    /// Creates a node that doesn't run yet.
    pub fn new(context: &Rc<RunContext>, index: usize) -> Rc<Self> {
        let machine = context.plan.machines[index].clone();
        let kind = context.scenario.fleet.machine_types[machine.machine_type].clone();
        let balancers = context.scenario.cluster.count;
        let active_faults = ActiveFaults { cut_off: vec![0; balancers], ..ActiveFaults::default() };
        let state =
            ConnectionState { cut_off: vec![false; balancers], ..ConnectionState::default() };
        Rc::new(Self {
            context: context.clone(),
            index,
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(machine.seed)),
            machine,
            kind,
            active_faults: RefCell::new(active_faults),
            process: RefCell::default(),
            since: Cell::default(),
            overloaded: Cell::new(false),
            addresses: RefCell::default(),
            state: OrderedWatch::new(state),
            errors: Cell::new(0),
            reports: RefCell::default(),
            changed: Rc::default(),
        })
    }

    /// Returns the node's id in the endpoint list.
    pub fn id(&self) -> &str {
        &self.machine.id
    }

    /// Returns the start time of the process.
    pub fn since(&self) -> At {
        self.since.get()
    }

    /// Returns whether the process runs on a machine that is not silent.
    pub fn serves(&self) -> bool {
        self.process.borrow().is_some() && self.active_faults.borrow().vanished == 0
    }

    /// Returns whether the node drains.
    pub fn drains(&self) -> bool {
        self.active_faults.borrow().draining > 0
    }

    /// Returns the node's address for a balancer.
    pub fn address(&self, balancer: usize) -> SocketAddr {
        self.addresses.borrow()[balancer]
    }

    /// Returns all addresses, for a replacement that takes them over.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.borrow().clone()
    }

    /// Waits until the node has been overloaded and must stop.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Starts the process, at these addresses if given, `cold` or warm.
    ///
    /// # Errors
    /// The node can't listen.
    pub fn start(self: &Rc<Self>, cold: bool, at: Option<Vec<SocketAddr>>) -> std::io::Result<()> {
        if let Some(at) = at {
            *self.addresses.borrow_mut() = at;
        }
        let network = self.context.testbed.network(Host::Node(self.index));
        let mut addresses = self.addresses.borrow().clone();
        let anywhere = self.context.testbed.address(Host::Node(self.index));
        addresses.resize(self.context.scenario.cluster.count, anywhere);
        let mut listeners = Vec::new();
        for address in &mut addresses {
            let listener = network.listen(*address)?;
            *address = listener.local_addr();
            listeners.push(Rc::new(RefCell::new(Some(listener))));
        }
        *self.addresses.borrow_mut() = addresses;

        let scenario = &self.context.scenario;
        let cold_ms = if cold { self.kind.warm_up.as_secs_f64() * 1e3 } else { 0.0 };
        let overload = OverloadLimit {
            multiple: scenario.rules.fall_multiple,
            window: scenario.rules.tip_after.as_secs_f64() * 1e3,
            mean: scenario.mean_work(),
        };
        let mut model = Model::start(&self.kind, self.machine.speed, self.now(), cold_ms, overload);
        model.slow = self.active_faults.borrow().slow.iter().product();
        let record = &self.context.record;
        self.since.set(if cold { record.now() } else { At(0) });
        record.saw(Observation::NodeUp {
            node: self.index,
            full_speed: model.full(),
            initial_share: self.kind.initial_capacity,
            warm_up_ms: cold_ms,
        });
        let wake = Rc::new(Notify::new());
        self.state.send_modify(|state| {
            state.process += 1;
            state.alive = true;
        });
        let mut tasks = Vec::new();
        for (balancer, listener) in listeners.iter().enumerate() {
            let accepting = self.clone().accept(balancer, listener.clone());
            tasks.push(spawn_local(accepting).abort_handle());
        }
        tasks.push(spawn_local(self.clone().work(wake.clone())).abort_handle());
        tasks.push(spawn_local(self.clone().report()).abort_handle());
        let waiting = FxHashMap::default();
        let process = Process { model, waiting, connections: 0, wake, tasks, listeners };
        *self.process.borrow_mut() = Some(process);
        self.hush();
        Ok(())
    }

    /// Stops the process: connections are reset and requests in work are lost.
    pub fn stop(&self) {
        if self.process.take().is_some() {
            self.context.record.saw(Observation::NodeDown { node: self.index });
        }
        self.state.send_modify(|state| state.alive = false);
    }

    fn now(&self) -> f64 {
        self.context.record.now().0 as f64 / 1e3
    }

    /// Returns whether no fault keeps the process from running.
    pub fn may_run(&self) -> bool {
        let t = self.active_faults.borrow();
        t.dead == 0 && !t.removed && !self.overloaded.get()
    }

    /// Starts or ends a fault that kills the process. At its end the caller starts the process
    /// again.
    pub fn die(&self, begins: bool) {
        count(&mut self.active_faults.borrow_mut().dead, begins);
        if begins {
            self.stop();
        }
    }

    /// Removes the node for good. Returns `false` if it was removed before.
    pub fn retire(&self) -> bool {
        let before = std::mem::replace(&mut self.active_faults.borrow_mut().removed, true);
        self.stop();
        !before
    }

    /// Starts or ends a fault that silences the machine. At its end the process stops, and must be
    /// started anew.
    pub fn vanish(&self, begins: bool) {
        count(&mut self.active_faults.borrow_mut().vanished, begins);
        let silent = self.active_faults.borrow().vanished > 0;
        if !begins && !silent {
            self.stop();
        }
        self.state.send_modify(|state| state.silent = silent);
        self.hush();
    }

    /// Returns whether the machine is silent.
    pub fn silent(&self) -> bool {
        self.active_faults.borrow().vanished > 0
    }

    /// Cuts the node off from one balancer, or ends the cut, which resets the connections that were
    /// open.
    pub fn cut(&self, balancer: usize, begins: bool) {
        count(&mut self.active_faults.borrow_mut().cut_off[balancer], begins);
        let cut_off = self.active_faults.borrow().cut_off[balancer] > 0;
        self.state.send_modify(|state| state.cut_off[balancer] = cut_off);
        self.hush();
    }

    /// Starts or ends draining.
    pub fn drain(&self, begins: bool) {
        count(&mut self.active_faults.borrow_mut().draining, begins);
    }

    /// Starts or ends a slowdown by a factor.
    pub fn slow(&self, factor: f64, begins: bool) {
        toggle(&mut self.active_faults.borrow_mut().slow, factor, begins);
        let slow = self.active_faults.borrow().slow.iter().product();
        self.advance();
        if let Some(process) = &mut *self.process.borrow_mut() {
            process.model.slow = slow;
            process.wake.notify_one();
        }
    }

    /// Starts or ends a fault that malforms a share of the answers.
    pub fn spoil(&self, share: f64, begins: bool) {
        toggle(&mut self.active_faults.borrow_mut().malformed_shares, share, begins);
    }

    /// Silences or reopens each listener according to the current faults.
    fn hush(&self) {
        let state = self.state.get().clone();
        if let Some(process) = &*self.process.borrow() {
            for (listener, cut_off) in process.listeners.iter().zip(&state.cut_off) {
                if let Some(listener) = &mut *listener.borrow_mut() {
                    listener.set_silent(state.silent || *cut_off);
                }
            }
        }
    }

    /// Advances the model to the current time and notifies the finished requests.
    fn advance(&self) {
        let now = self.now();
        let mut process = self.process.borrow_mut();
        let Some(process) = &mut *process else { return };
        let mut finished = Vec::new();
        let before = process.model.warmth();
        process.model.advance(now, &mut finished);
        let warmth = process.model.warmth();
        if (warmth * 100.0).floor() > (before * 100.0).floor() {
            self.context
                .record
                .saw(Observation::WarmUpProgress { node: self.index, share: warmth });
        }
        for id in finished {
            if let Some(done) = process.waiting.remove(&id) {
                let _ = done.send(());
            }
        }
    }

    /// Runs the process: finishes requests when they are due.
    async fn work(self: Rc<Self>, wake: Rc<Notify>) {
        loop {
            self.advance();
            let next = self.process.borrow().as_ref().and_then(|p| p.model.next());
            let wait = next.map(|at| Duration::from_secs_f64((at - self.now()).max(0.0) / 1e3));
            // Rounded up: just before that time nothing would be finished.
            let due = wait.map(|w| Instant::now() + w + Duration::from_micros(1));
            tokio::select! {
                biased;
                () = wake.notified() => {}
                () = async {
                    match due {
                        Some(at) => sleep_until(at).await,
                        None => std::future::pending().await,
                    }
                } => {}
            }
        }
    }

    /// Reports the load periodically.
    async fn report(self: Rc<Self>) {
        let list = &self.context.scenario.list;
        let phase: f64 = self.rng.borrow_mut().random();
        sleep(list.report_period.mul_f64(phase)).await;
        let (mut served, mut errors) = (0, self.errors.get());
        loop {
            let now = match &*self.process.borrow() {
                Some(p) => (p.model.held() as f64, p.model.served()),
                None => return,
            };
            let per_second = 1.0 / list.report_period.as_secs_f64();
            let load = Load {
                inflight: now.0,
                qps: (now.1.saturating_sub(served)) as f64 * per_second,
                eps: self.errors.get().saturating_sub(errors) as f64 * per_second,
            };
            (served, errors) = (now.1, self.errors.get());
            let visible = Instant::now() + list.report_delay;
            self.note_load(visible, load);
            sleep(list.report_period).await;
        }
    }

    fn note_load(&self, visible: Instant, load: Load) {
        let mut reports = self.reports.borrow_mut();
        reports.push_back((visible, load));
        while reports.len() > 1 && reports[1].0 <= Instant::now() {
            reports.pop_front();
        }
    }

    fn load_header(&self) -> String {
        let load = match self.reports.borrow().front() {
            Some((at, load)) if *at <= Instant::now() => *load,
            _ => return String::new(),
        };
        let noise = self.context.scenario.list.report_noise;
        let mut rng = self.rng.borrow_mut();
        let mut noisy = |x: f64| x * (1.0 + noise * (rng.random::<f64>() * 2.0 - 1.0));
        format!(
            "X-Load: TEXT eps={:.2}, qps={:.2}, inflight={:.0}\r\n",
            noisy(load.eps),
            noisy(load.qps),
            noisy(load.inflight)
        )
    }
}

/// Increments or decrements the number of overlapping faults of one kind.
pub(crate) fn count(of: &mut u32, begins: bool) {
    *of = if begins { *of + 1 } else { of.saturating_sub(1) };
}

fn toggle(all: &mut Vec<f64>, one: f64, begins: bool) {
    if begins {
        all.push(one);
    } else if let Some(at) = all.iter().position(|x| *x == one) {
        all.remove(at);
    }
}
