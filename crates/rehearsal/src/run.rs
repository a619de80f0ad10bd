//! One run from the first start to the last answer: who is there, when clients come, and who strikes whom.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::clients::{Clients, PATIENCE};
use crate::cluster::{Bank, LaunchError, Launcher};
use crate::list::NodeList;
use crate::node::Node;
use crate::operator::Operator;
use crate::peers::MOST_LIVE;
use crate::plan::{FaultEvent, Plan};
use crate::policy_actions::{PlannedAction, PlannedStep};
use crate::record::{CompletedRun, Observation, Phase};
use crate::scenario::{Closed, FaultKind, LeaderFault, Scenario};
use crate::stage::{Stage, Testbed, Who};

/// Clients come when all balancers are ready, or after this.
const READY: Duration = Duration::from_secs(30);
/// What balancers use is looked at this often.
const MEASURE: Duration = Duration::from_millis(500);
/// Who leads is asked for so long, where that is to be struck.
const LEADERLESS: Duration = Duration::from_secs(5);
/// After the last answer is due, so that what should not come has time to.
const AFTER: Duration = Duration::from_millis(500);

/// A run could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A stand-in could not listen.
    #[error("a stand-in could not listen: {0}; are there descriptors and loopback addresses left?")]
    Listen(#[from] io::Error),
    /// A balancer could not be started.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// The scenario holds what only virtual time has.
    #[error(
        "line {line}: `{kind}` can be played in virtual time only, {why}; play it with --virtual, or take it out"
    )]
    VirtualOnly {
        /// Of the file.
        line: usize,
        /// Which kind of fault.
        kind: &'static str,
        /// Why.
        why: &'static str,
    },
    /// Too many balancers that may send one another datagrams.
    #[error(
        "{0} balancers with `peers`: {MOST_LIVE} are the most in a live run, whose relay holds a descriptor for \
         each ordered pair; play it with --virtual, or with fewer"
    )]
    TooManyPeers(usize),
    /// No balancer was ready in time.
    #[error("no balancer was ready within {0:?}; what does its log say?")]
    NoneReady(Duration),
}

/// How far a run is, for whoever waits.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Of the run's own time.
    pub at: Duration,
    /// Its length.
    pub of: Duration,
    /// Requests whose end is not known yet.
    pub open: usize,
}

/// Plays a scenario in virtual time, on a network inside this process. The same scenario, seed and build give
/// the same account, byte for byte.
///
/// # Errors
/// A balancer can't be started, or none is ready.
pub fn play_virtual(
    scenario: &Scenario,
    seed: u64,
    launcher: Rc<dyn Launcher>,
) -> Result<CompletedRun, RunError> {
    play_plan_virtual(scenario, Plan::generate(scenario, seed), launcher)
}

/// The same of a plan that was drawn before.
///
/// # Errors
/// See [`play_virtual`].
pub fn play_plan_virtual(
    scenario: &Scenario,
    plan: Plan,
    launcher: Rc<dyn Launcher>,
) -> Result<CompletedRun, RunError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    LocalSet::new().block_on(&runtime, async {
        let ground = Testbed::simulated(scenario, &plan);
        play(scenario.clone(), plan, ground, launcher, |_| {}).await
    })
}

/// Plays a scenario in real time, on this machine's loopback.
///
/// # Errors
/// A stand-in can't listen, a balancer can't be started, or none is ready.
pub fn play_live(
    scenario: &Scenario,
    seed: u64,
    launcher: Rc<dyn Launcher>,
    progress: impl Fn(Progress) + 'static,
) -> Result<CompletedRun, RunError> {
    play_plan_live(scenario, Plan::generate(scenario, seed), launcher, progress)
}

/// The same of a plan that was drawn before.
///
/// # Errors
/// See [`play_live`].
pub fn play_plan_live(
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
    if scenario.cluster.peers && scenario.cluster.count > MOST_LIVE {
        return Err(RunError::TooManyPeers(scenario.cluster.count));
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        play(scenario.clone(), plan, Testbed::loopback(), launcher, progress).await
    })
}

struct World {
    stage: Rc<Stage>,
    nodes: Vec<Rc<Node>>,
    list: Rc<NodeList>,
    bank: Rc<Bank>,
    operator: Rc<Operator>,
    /// What kept a stand-in or a balancer from coming back: the run is not what was asked for.
    failed: RefCell<Option<RunError>>,
    /// Newcomers that do not come.
    void: RefCell<Vec<usize>>,
}

async fn play(
    scenario: Scenario,
    plan: Plan,
    ground: Testbed,
    launcher: Rc<dyn Launcher>,
    progress: impl Fn(Progress) + 'static,
) -> Result<CompletedRun, RunError> {
    let stage = Stage::new(scenario, plan, ground);
    let scenario = &stage.scenario;
    let nodes: Vec<Rc<Node>> =
        (0..stage.plan.machines.len()).map(|n| Node::new(&stage, n)).collect();
    for node in &nodes[..scenario.fleet.nodes] {
        node.start(false, None)?;
    }
    let list = NodeList::start(&stage, &nodes)?;
    let clients = Clients::new(&stage);
    let bank = Bank::new(&stage, &list, &clients, launcher)?;
    for balancer in 0..scenario.cluster.count {
        bank.start(balancer)?;
    }
    let started = Instant::now();
    let ready = || (0..scenario.cluster.count).filter(|b| clients.taken_in(*b)).count();
    while ready() < scenario.cluster.count && started.elapsed() < READY {
        if let Some(early) = bank.ended_early() {
            bank.end();
            return Err(early.into());
        }
        sleep(Duration::from_millis(5)).await;
    }
    if ready() == 0 {
        bank.end();
        return Err(RunError::NoneReady(READY));
    }
    let world = Rc::new(World {
        stage: stage.clone(),
        nodes,
        list,
        bank: bank.clone(),
        operator: Operator::new(&stage, &bank),
        failed: RefCell::default(),
        void: RefCell::default(),
    });
    for node in &world.nodes {
        spawn_local(world.clone().tipping(node.clone()));
    }
    let (began, zero) = (stage.record.now(), Instant::now());
    if !scenario.policy_actions.is_empty() {
        world.operator.look();
        spawn_local(world.clone().operators(zero));
    }
    let faults = spawn_local(world.clone().faults(zero));
    let measure = spawn_local({
        let (bank, stage) = (bank.clone(), stage.clone());
        async move {
            loop {
                bank.measure();
                let of = stage.scenario.length;
                progress(Progress { at: zero.elapsed().min(of), of, open: stage.open.get() });
                sleep(MEASURE).await;
            }
        }
    });
    match scenario.load.closed {
        None => {
            for request in 0..stage.plan.original_count {
                sleep_until(zero + stage.arrival(request).at).await;
                spawn_local(clients.clone().ask(request));
            }
        }
        Some(closed) => take_turns(&stage, &clients, closed, zero),
    }
    sleep_until(zero + scenario.length).await;
    let longest = scenario.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let end = Instant::now() + longest + PATIENCE + AFTER;
    while stage.open.get() > 0 && Instant::now() < end {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(AFTER).await;
    clients.finish().await;
    bank.measure();
    faults.abort();
    measure.abort();
    let resources = bank.resources();
    let trace = stage.record.take();
    bank.end();
    if let Some(failed) = world.failed.take() {
        return Err(failed);
    }
    Ok(CompletedRun {
        scenario: scenario.clone(),
        plan: stage.plan.clone(),
        trace,
        began,
        resources,
        simulated: stage.ground.is_simulated(),
    })
}

/// Clients that ask one request after another until the load ends. Their starts are spread over one pause.
fn take_turns(stage: &Rc<Stage>, clients: &Rc<Clients>, closed: Closed, zero: Instant) {
    let turn = Rc::new(Cell::new(0));
    let end = zero + stage.scenario.length;
    for n in 0..closed.clients {
        let (stage, clients, turn) = (stage.clone(), clients.clone(), turn.clone());
        spawn_local(async move {
            sleep_until(zero + closed.pause * n / closed.clients).await;
            while Instant::now() < end && turn.get() < stage.plan.original_count {
                let request = turn.replace(turn.get() + 1);
                clients.clone().ask(request).await;
                sleep(closed.pause).await;
            }
        });
    }
}

impl World {
    async fn faults(self: Rc<Self>, zero: Instant) {
        for act in self.stage.plan.fault_events.clone() {
            sleep_until(zero + act.at).await;
            self.stage.record.saw(Observation::Fault { fault: act.fault, begins: act.begins });
            self.strike(&act);
        }
    }

    /// What operators do, and what is done to whoever leads then.
    async fn operators(self: Rc<Self>, zero: Instant) {
        for PlannedAction { at, action, step } in self.stage.plan.policy_actions.clone() {
            sleep_until(zero + at).await;
            match step {
                PlannedStep::Call(call) => drop(spawn_local(self.operator.clone().say(call))),
                PlannedStep::Leader(strike, length) => {
                    spawn_local(self.clone().strike_leader(action, strike, length));
                }
            }
        }
    }

    /// Strikes whoever leads, as soon as the doors tell who that is; nobody, if they can't for a while.
    async fn strike_leader(self: Rc<Self>, act: usize, strike: LeaderFault, length: Duration) {
        let from = Instant::now();
        let leader = loop {
            match self.operator.leader() {
                Some(leader) => break leader,
                None if from.elapsed() >= LEADERLESS => return,
                None => sleep(Duration::from_millis(20)).await,
            }
        };
        for begins in [true, false] {
            match strike {
                LeaderFault::Killed => drop(self.well(self.bank.hold_down(leader, begins))),
                LeaderFault::Paused => self.bank.pause(leader, begins),
                LeaderFault::CutOff => self.bank.cut_off(act, leader, begins),
            }
            if begins {
                sleep(length).await;
            }
        }
    }

    /// A node that has fallen over stays down.
    async fn tipping(self: Rc<Self>, node: Rc<Node>) {
        loop {
            node.changed().await;
            node.stop();
            self.gone(&node, self.stage.scenario.list.notice);
        }
    }

    /// Whether it went well; the first time that it did not ends the run with an error.
    fn well<T, E: Into<RunError>>(&self, done: Result<T, E>) -> bool {
        match done {
            Ok(_) => true,
            Err(error) => {
                self.failed.borrow_mut().get_or_insert_with(|| error.into());
                false
            }
        }
    }

    fn gone(&self, node: &Node, after: Duration) {
        self.list.learn(node.place, Phase::Deleted, node.since(), after);
    }

    /// Starts a node again, if nothing keeps it down.
    fn back(&self, node: &Rc<Node>) {
        if node.serves() || !node.may_run() || node.silent() {
            return;
        }
        if self.well(node.start(true, None)) {
            let phase = if node.drains() { Phase::Draining } else { Phase::Serving };
            self.list.learn(node.place, phase, node.since(), self.stage.scenario.list.add);
        }
    }

    fn strike(self: &Rc<Self>, act: &FaultEvent) {
        let begins = act.begins;
        let list = &self.stage.scenario.list;
        let struck = act.nodes.iter().map(|n| &self.nodes[*n]);
        match &self.stage.scenario.faults[act.fault].kind {
            FaultKind::Die => struck.for_each(|node| {
                node.die(begins);
                if begins { self.gone(node, list.notice) } else { self.back(node) }
            }),
            FaultKind::Vanish => struck.for_each(|node| {
                node.vanish(begins);
                if begins { self.gone(node, list.silent_notice) } else { self.back(node) }
            }),
            FaultKind::Unreachable { balancers } => {
                struck.for_each(|node| balancers.iter().for_each(|b| node.cut(*b, begins)));
            }
            FaultKind::Drain => struck.for_each(|node| {
                node.drain(begins);
                if begins && node.serves() {
                    self.list.learn(node.place, Phase::Draining, node.since(), Duration::ZERO);
                } else if !begins {
                    node.stop();
                    self.back(node);
                }
            }),
            FaultKind::Replace { .. } if begins => {
                for (node, newcomer) in struck.zip(&act.replacements) {
                    if node.go() {
                        self.gone(node, list.notice);
                    } else {
                        // Somebody else comes for it already.
                        self.void.borrow_mut().push(*newcomer);
                    }
                }
            }
            FaultKind::Replace { same_address } => {
                for (old, new) in act.nodes.iter().zip(&act.replacements) {
                    if self.void.borrow().contains(new) {
                        continue;
                    }
                    let (old, new) = (&self.nodes[*old], &self.nodes[*new]);
                    let at = same_address.then(|| old.addresses());
                    if self.well(new.start(true, at)) {
                        self.list.learn(new.place, Phase::Serving, new.since(), list.add);
                    }
                }
            }
            FaultKind::Slow { factor } => struck.for_each(|node| node.slow(*factor, begins)),
            FaultKind::Spoil { share } => struck.for_each(|node| node.spoil(*share, begins)),
            FaultKind::ListDown => self.list.down(begins),
            FaultKind::ListLate { by } => self.list.late(*by, begins),
            FaultKind::ListStale => self.list.stale(begins),
            FaultKind::ListDisorder => self.list.disorder(begins),
            // Drawn into the arrivals.
            FaultKind::Burst { .. } | FaultKind::Heavy { .. } => {}
            FaultKind::BalancerKill { .. } => {
                for balancer in &act.balancers {
                    self.well(self.bank.hold_down(*balancer, begins));
                }
            }
            FaultKind::BalancerRestart { .. } if begins => {
                for balancer in &act.balancers {
                    spawn_local(self.bank.clone().restart(*balancer));
                }
            }
            FaultKind::BalancerPause => {
                act.balancers.iter().for_each(|b| self.bank.pause(*b, begins));
            }
            kind @ (FaultKind::LinksCut { .. } | FaultKind::LinksBad { .. }) => {
                self.bank.links(act.fault, kind, &act.balancers, begins);
            }
            FaultKind::ListCut => act.balancers.iter().for_each(|b| self.list.cut(*b, begins)),
            kind @ (FaultKind::StateLost
            | FaultKind::StateOld { .. }
            | FaultKind::StateTorn { .. }
            | FaultKind::StateForeign)
                if begins =>
            {
                for balancer in &act.balancers {
                    self.well(self.bank.stored(*balancer, kind));
                }
            }
            kind @ (FaultKind::StateFull | FaultKind::StateSlow { .. }) => {
                act.balancers.iter().for_each(|b| self.bank.disk(*b, kind, begins));
            }
            FaultKind::ClockStep { by_ms } if begins => {
                for balancer in &act.balancers {
                    self.stage.ground.step_clock(Who::Balancer(*balancer), by_ms * 1000);
                }
            }
            FaultKind::ListMove if begins => {
                if self.well(self.list.relocate()) {
                    self.bank.reload();
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
