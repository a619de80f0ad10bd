//! One run from the first start to the last answer: participants, load and faults.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::clients::{ANSWER_GRACE, Clients};
use crate::cluster::{Balancers, LaunchError, Launcher};
use crate::list::NodeList;
use crate::node::Node;
use crate::operator::Operator;
use crate::peers::MAX_LIVE_BALANCERS;
use crate::plan::{FaultEvent, Plan};
use crate::policy_actions::{PlannedAction, PlannedStep};
use crate::record::{CompletedRun, Observation, Phase};
use crate::run_context::{Host, RunContext, Testbed};
use crate::scenario::{Closed, FaultKind, LeaderFault, Scenario};

/// Timeout for all balancers to become ready; the load starts then in any case if one is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between samples of the balancers' resources.
const MEASURE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum wait for a known leader before a fault of the leader is skipped.
const LEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait after the last answer is due, in which unexpected messages can arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// An error of a run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A stand-in could not listen.
    #[error("a stand-in could not listen: {0}; are there descriptors and loopback addresses left?")]
    Listen(#[from] io::Error),
    /// A balancer could not be started.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// The scenario has a fault that exists only in virtual time.
    #[error(
        "line {line}: `{kind}` can be played in virtual time only, {why}; play it with --virtual, or take it out"
    )]
    VirtualOnly {
        /// Line of the scenario file.
        line: usize,
        /// Kind of the fault.
        kind: &'static str,
        /// Reason.
        why: &'static str,
    },
    /// Too many balancers with peer messages for a live run.
    #[error(
        "{0} balancers with `peers`: {MAX_LIVE_BALANCERS} are the most in a live run, whose relay holds a descriptor for \
         each ordered pair; play it with --virtual, or with fewer"
    )]
    TooManyPeers(usize),
    /// No balancer was ready in time.
    #[error("no balancer was ready within {0:?}; what does its log say?")]
    NoneReady(Duration),
}

/// Progress of a run.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Elapsed time of the run.
    pub elapsed: Duration,
    /// Length of the run.
    pub length: Duration,
    /// Number of requests that are not finished.
    pub open: usize,
}

/// Runs a scenario in virtual time, on a network inside this process. The same scenario, seed and
/// build give the same trace, byte for byte.
///
/// # Errors
/// A balancer can't be started, or none is ready.
pub fn run_virtual(
    scenario: &Scenario,
    seed: u64,
    launcher: Rc<dyn Launcher>,
) -> Result<CompletedRun, RunError> {
    run_plan_virtual(scenario, Plan::generate(scenario, seed), launcher)
}

/// Does the same with a plan generated before.
///
/// # Errors
/// See [`run_virtual`].
pub fn run_plan_virtual(
    scenario: &Scenario,
    plan: Plan,
    launcher: Rc<dyn Launcher>,
) -> Result<CompletedRun, RunError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    LocalSet::new().block_on(&runtime, async {
        let testbed = Testbed::simulated(scenario, &plan);
        run(scenario.clone(), plan, testbed, launcher, |_| {}).await
    })
}

/// Runs a scenario in real time, on this machine's loopback.
///
/// # Errors
/// A stand-in can't listen, a balancer can't be started, or none is ready.
pub fn run_live(
    scenario: &Scenario,
    seed: u64,
    launcher: Rc<dyn Launcher>,
    progress: impl Fn(Progress) + 'static,
) -> Result<CompletedRun, RunError> {
    run_plan_live(scenario, Plan::generate(scenario, seed), launcher, progress)
}

/// Does the same with a plan generated before.
///
/// # Errors
/// See [`run_live`].
pub fn run_plan_live(
    scenario: &Scenario,
    plan: Plan,
    launcher: Rc<dyn Launcher>,
    progress: impl Fn(Progress) + 'static,
) -> Result<CompletedRun, RunError> {
    for fault in &scenario.faults {
        if let Some(why) = fault.kind.virtual_only() {
            let (line, kind) = (fault.line, fault.kind.name());
            return Err(RunError::VirtualOnly { line, kind, why });
        }
    }
    if scenario.cluster.peers && scenario.cluster.count > MAX_LIVE_BALANCERS {
        return Err(RunError::TooManyPeers(scenario.cluster.count));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        run(scenario.clone(), plan, Testbed::loopback(), launcher, progress).await
    })
}

struct RunState {
    context: Rc<RunContext>,
    nodes: Vec<Rc<Node>>,
    list: Rc<NodeList>,
    balancers: Rc<Balancers>,
    operator: Rc<Operator>,
    /// The first error of a restart of a stand-in or a balancer, which fails the run.
    failed: RefCell<Option<RunError>>,
    /// Replacement nodes that are not started.
    cancelled_replacements: RefCell<Vec<usize>>,
}

async fn run(
    scenario: Scenario,
    plan: Plan,
    testbed: Testbed,
    launcher: Rc<dyn Launcher>,
    progress: impl Fn(Progress) + 'static,
) -> Result<CompletedRun, RunError> {
    let context = RunContext::new(scenario, plan, testbed);
    let scenario = &context.scenario;
    let nodes: Vec<Rc<Node>> =
        (0..context.plan.machines.len()).map(|n| Node::new(&context, n)).collect();
    for node in &nodes[..scenario.fleet.nodes] {
        node.start(false, None)?;
    }
    let list = NodeList::start(&context, &nodes)?;
    let clients = Clients::new(&context);
    let balancers = Balancers::new(&context, &list, &clients, launcher)?;
    for balancer in 0..scenario.cluster.count {
        balancers.start(balancer)?;
    }
    let started = Instant::now();
    let ready = || (0..scenario.cluster.count).filter(|b| clients.in_rotation(*b)).count();
    while ready() < scenario.cluster.count && started.elapsed() < READY_TIMEOUT {
        if let Some(early) = balancers.early_exit() {
            balancers.end();
            return Err(early.into());
        }
        sleep(Duration::from_millis(5)).await;
    }
    if ready() == 0 {
        balancers.end();
        return Err(RunError::NoneReady(READY_TIMEOUT));
    }
    let state = Rc::new(RunState {
        context: context.clone(),
        nodes,
        list,
        balancers: balancers.clone(),
        operator: Operator::new(&context, &balancers),
        failed: RefCell::default(),
        cancelled_replacements: RefCell::default(),
    });
    for node in &state.nodes {
        spawn_local(state.clone().remove_when_overloaded(node.clone()));
    }
    let (began, run_start) = (context.record.now(), Instant::now());
    if !scenario.policy_actions.is_empty() {
        state.operator.start_polling();
        spawn_local(state.clone().run_policy_actions(run_start));
    }
    let faults = spawn_local(state.clone().run_faults(run_start));
    let measure = spawn_local({
        let (balancers, context) = (balancers.clone(), context.clone());
        async move {
            loop {
                balancers.measure();
                let length = context.scenario.length;
                progress(Progress {
                    elapsed: run_start.elapsed().min(length),
                    length,
                    open: context.open.get(),
                });
                sleep(MEASURE_INTERVAL).await;
            }
        }
    });
    match scenario.load.closed {
        None => {
            for request in 0..context.plan.original_count {
                sleep_until(run_start + context.arrival(request).at).await;
                spawn_local(clients.clone().send_with_repeats(request));
            }
        }
        Some(closed) => start_closed_clients(&context, &clients, closed, run_start),
    }
    sleep_until(run_start + scenario.length).await;
    let longest = scenario.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let end = Instant::now() + longest + ANSWER_GRACE + SETTLE_TIME;
    while context.open.get() > 0 && Instant::now() < end {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(SETTLE_TIME).await;
    clients.finish().await;
    balancers.measure();
    faults.abort();
    measure.abort();
    let resources = balancers.resources();
    let trace = context.record.take();
    balancers.end();
    if let Some(failed) = state.failed.take() {
        return Err(failed);
    }
    Ok(CompletedRun {
        scenario: scenario.clone(),
        plan: context.plan.clone(),
        trace,
        began,
        resources,
        simulated: context.testbed.is_simulated(),
    })
}

/// Starts clients that send one request after another until the load ends. Their starts are spread
/// over one pause.
fn start_closed_clients(
    context: &Rc<RunContext>,
    clients: &Rc<Clients>,
    closed: Closed,
    run_start: Instant,
) {
    let next_request = Rc::new(Cell::new(0));
    let end = run_start + context.scenario.length;
    for n in 0..closed.clients {
        let (context, clients, next_request) =
            (context.clone(), clients.clone(), next_request.clone());
        spawn_local(async move {
            sleep_until(run_start + closed.pause * n / closed.clients).await;
            while Instant::now() < end && next_request.get() < context.plan.original_count {
                let request = next_request.replace(next_request.get() + 1);
                clients.clone().send_with_repeats(request).await;
                sleep(closed.pause).await;
            }
        });
    }
}

impl RunState {
    async fn run_faults(self: Rc<Self>, run_start: Instant) {
        for event in self.context.plan.fault_events.clone() {
            sleep_until(run_start + event.at).await;
            self.context
                .record
                .saw(Observation::Fault { fault: event.fault, begins: event.begins });
            self.apply_fault(&event);
        }
    }

    /// Makes the operators' calls and starts the faults of the leader, at their times.
    async fn run_policy_actions(self: Rc<Self>, run_start: Instant) {
        for PlannedAction { at, action, step } in self.context.plan.policy_actions.clone() {
            sleep_until(run_start + at).await;
            match step {
                PlannedStep::Call(call) => drop(spawn_local(self.operator.clone().execute(call))),
                PlannedStep::Leader(fault, length) => {
                    spawn_local(self.clone().apply_leader_fault(action, fault, length));
                }
            }
        }
    }

    /// Applies a fault to the leader as soon as the balancers report one. Does nothing if there is
    /// none in time.
    async fn apply_leader_fault(
        self: Rc<Self>,
        event: usize,
        fault: LeaderFault,
        length: Duration,
    ) {
        let from = Instant::now();
        let leader = loop {
            match self.operator.leader() {
                Some(leader) => break leader,
                None if from.elapsed() >= LEADER_TIMEOUT => return,
                None => sleep(Duration::from_millis(20)).await,
            }
        };
        for begins in [true, false] {
            match fault {
                LeaderFault::Killed => drop(self.check(self.balancers.set_down(leader, begins))),
                LeaderFault::Paused => self.balancers.pause(leader, begins),
                LeaderFault::CutOff => self.balancers.cut_off(event, leader, begins),
            }
            if begins {
                sleep(length).await;
            }
        }
    }

    /// Stops a node that is overloaded; it stays down.
    async fn remove_when_overloaded(self: Rc<Self>, node: Rc<Node>) {
        loop {
            node.changed().await;
            node.stop();
            self.list_as_deleted(&node, self.context.scenario.list.notice);
        }
    }

    /// Returns whether the result is `Ok`. The first error fails the run.
    fn check<T, E: Into<RunError>>(&self, done: Result<T, E>) -> bool {
        match done {
            Ok(_) => true,
            Err(error) => {
                self.failed.borrow_mut().get_or_insert_with(|| error.into());
                false
            }
        }
    }

    fn list_as_deleted(&self, node: &Node, after: Duration) {
        self.list.schedule_change(node.index, Phase::Deleted, node.since(), after);
    }

    /// Starts a node again if it is down and no fault keeps it down.
    fn restart_if_allowed(&self, node: &Rc<Node>) {
        if node.serves() || !node.may_run() || node.silent() {
            return;
        }
        if self.check(node.start(true, None)) {
            let phase = if node.drains() { Phase::Draining } else { Phase::Serving };
            self.list.schedule_change(
                node.index,
                phase,
                node.since(),
                self.context.scenario.list.add,
            );
        }
    }

    fn apply_fault(self: &Rc<Self>, event: &FaultEvent) {
        let begins = event.begins;
        let list = &self.context.scenario.list;
        let affected = event.nodes.iter().map(|n| &self.nodes[*n]);
        match &self.context.scenario.faults[event.fault].kind {
            FaultKind::Die => affected.for_each(|node| {
                node.die(begins);
                if begins {
                    self.list_as_deleted(node, list.notice)
                } else {
                    self.restart_if_allowed(node)
                }
            }),
            FaultKind::Vanish => affected.for_each(|node| {
                node.vanish(begins);
                if begins {
                    self.list_as_deleted(node, list.silent_notice)
                } else {
                    self.restart_if_allowed(node)
                }
            }),
            FaultKind::Unreachable { balancers } => {
                affected.for_each(|node| balancers.iter().for_each(|b| node.cut(*b, begins)));
            }
            FaultKind::Drain => affected.for_each(|node| {
                node.drain(begins);
                if begins && node.serves() {
                    self.list.schedule_change(
                        node.index,
                        Phase::Draining,
                        node.since(),
                        Duration::ZERO,
                    );
                } else if !begins {
                    node.stop();
                    self.restart_if_allowed(node);
                }
            }),
            FaultKind::Replace { .. } if begins => {
                for (node, newcomer) in affected.zip(&event.replacements) {
                    if node.retire() {
                        self.list_as_deleted(node, list.notice);
                    } else {
                        // The node is being replaced already.
                        self.cancelled_replacements.borrow_mut().push(*newcomer);
                    }
                }
            }
            FaultKind::Replace { same_address } => {
                for (old, new) in event.nodes.iter().zip(&event.replacements) {
                    if self.cancelled_replacements.borrow().contains(new) {
                        continue;
                    }
                    let (old, new) = (&self.nodes[*old], &self.nodes[*new]);
                    let at = same_address.then(|| old.addresses());
                    if self.check(new.start(true, at)) {
                        self.list.schedule_change(new.index, Phase::Serving, new.since(), list.add);
                    }
                }
            }
            FaultKind::Slow { factor } => affected.for_each(|node| node.slow(*factor, begins)),
            FaultKind::Spoil { share } => affected.for_each(|node| node.spoil(*share, begins)),
            FaultKind::ListDown => self.list.down(begins),
            FaultKind::ListLate { by } => self.list.late(*by, begins),
            FaultKind::ListStale => self.list.stale(begins),
            FaultKind::ListDisorder => self.list.disorder(begins),
            // Part of the planned arrivals.
            FaultKind::Burst { .. } | FaultKind::Heavy { .. } => {}
            FaultKind::BalancerKill { .. } => {
                for balancer in &event.balancers {
                    self.check(self.balancers.set_down(*balancer, begins));
                }
            }
            FaultKind::BalancerRestart { .. } if begins => {
                for balancer in &event.balancers {
                    spawn_local(self.balancers.clone().restart(*balancer));
                }
            }
            FaultKind::BalancerPause => {
                event.balancers.iter().for_each(|b| self.balancers.pause(*b, begins));
            }
            kind @ (FaultKind::LinksCut { .. } | FaultKind::LinksBad { .. }) => {
                self.balancers.set_link_fault(event.fault, kind, &event.balancers, begins);
            }
            FaultKind::ListCut => event.balancers.iter().for_each(|b| self.list.cut(*b, begins)),
            kind @ (FaultKind::StateLost
            | FaultKind::StateOld { .. }
            | FaultKind::StateTorn { .. }
            | FaultKind::StateForeign)
                if begins =>
            {
                for balancer in &event.balancers {
                    self.check(self.balancers.damage_state(*balancer, kind));
                }
            }
            kind @ (FaultKind::StateFull | FaultKind::StateSlow { .. }) => {
                event
                    .balancers
                    .iter()
                    .for_each(|b| self.balancers.set_disk_fault(*b, kind, begins));
            }
            FaultKind::ClockStep { by_ms } if begins => {
                for balancer in &event.balancers {
                    self.context.testbed.step_clock(Host::Balancer(*balancer), by_ms * 1000);
                }
            }
            FaultKind::ListMove if begins => {
                if self.check(self.list.relocate()) {
                    self.balancers.reload();
                }
            }
            FaultKind::BalancerRestart { .. }
            | FaultKind::ListMove
            | FaultKind::StateLost
            | FaultKind::StateOld { .. }
            | FaultKind::StateTorn { .. }
            | FaultKind::StateForeign
            | FaultKind::ClockStep { .. } => {}
        }
    }
}
