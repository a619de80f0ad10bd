//! The bank's machine on sockets, a disk and a clock: waits, hands in what came, and carries out what is said. It decides
//! nothing. In the daemon it has a thread of its own, in virtual time a task.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_consensus::Record;
use hollowpaddle_failpoints::{Fault, Kind, Points};
use hollowpaddle_net::{DATAGRAM, Datagrams, Network, receive};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::entry::{CommandId, Entry};
use hollowpaddle_revision::fallback_policy::FallbackPolicy;
use hollowpaddle_revision::fleet::Facts;
use hollowpaddle_revision::message::Generation;
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use crate::cluster::admin_api::{AdminRequest, AdminResponse};
use crate::cluster::machine::{Action, Event, Machine};
use crate::cluster::published::PublishedPolicy;
use crate::cluster::{ClusterEvent, EndpointListEvent};

/// After a disk has failed it is looked at again so often.
const DISK_RETRY: Duration = Duration::from_secs(1);
/// An address that can't be had is asked for again so often: a process of this balancer that ends may still have it.
const BIND_RETRY: Duration = Duration::from_millis(100);

/// Where what outlives the process is written. Each call returns once it is on disk, or says why not.
pub trait DurableLog {
    /// Adds a record.
    ///
    /// # Errors
    /// In words: it is not there, and may be in part.
    fn append(&mut self, number: u64, record: &Record) -> Result<(), String>;

    /// Has all that was added survive the machine's end: the number of the last of it.
    ///
    /// # Errors
    /// It can't be had so.
    fn sync(&mut self) -> Result<u64, String>;

    /// Writes and syncs the charter.
    ///
    /// # Errors
    /// As above.
    fn save_fallback_policy(
        &mut self,
        fallback_generation: Generation,
        fallback_policy: &FallbackPolicy,
    ) -> Result<(), String>;

    /// After a failure: makes room for a whole new record, if there is any again.
    ///
    /// # Errors
    /// There is none yet.
    fn reset(&mut self) -> Result<(), String>;
}

/// A call from the operators' door.
pub struct AdminCall {
    /// What is wanted.
    pub ask: AdminRequest,
    /// The fleet as this balancer has it.
    pub facts: Facts,
    /// Where the answer goes.
    pub reply: oneshot::Sender<AdminResponse>,
}

/// The machine, and all that it is on.
pub struct Runtime {
    /// The machine.
    pub machine: Machine,
    /// When its clock began.
    pub epoch: Instant,
    /// Where datagrams of the others arrive, and where each other one is reached.
    pub listen: SocketAddr,
    /// By number, this one too.
    pub peers: Vec<SocketAddr>,
    /// What requests read.
    pub published: Arc<PublishedPolicy>,
    /// ClusterEvent for the engine.
    pub news: mpsc::UnboundedSender<ClusterEvent>,
    /// What discovery says.
    pub lists: mpsc::UnboundedReceiver<EndpointListEvent>,
    /// Operators' calls.
    pub calls: mpsc::UnboundedReceiver<AdminCall>,
    /// Where things are kept, if anywhere.
    pub durable_log: Option<Box<dyn DurableLog + Send>>,
    /// Points at which a step can be made to fail.
    pub points: Points,
}

/// A caller that waits for an answer.
struct PendingCommand {
    reply: oneshot::Sender<AdminResponse>,
    ask: AdminRequest,
    id: CommandId,
    /// The charter comes first.
    fallback_pending: bool,
}

/// What is underway.
struct RunState {
    members: FxHashMap<SocketAddr, NodeId>,
    due: Option<Instant>,
    waiting: FxHashMap<u64, PendingCommand>,
    /// Answers that wait until a revision is in force everywhere.
    until_all: Vec<(oneshot::Sender<AdminResponse>, AdminResponse, u64, Instant)>,
    tickets: u64,
    failing: bool,
    unsynced: bool,
    retry: Option<Instant>,
    /// When what is published ends, if nothing follows.
    ends: Option<Instant>,
}

impl Runtime {
    /// Runs for as long as it is polled.
    pub async fn run(mut self, network: Rc<dyn Network>) {
        let mut socket = loop {
            match network.datagrams(self.listen) {
                Ok(socket) => break socket,
                Err(cause) => {
                    tracing::warn!(%cause, "no address for words of other balancers: {}", self.listen);
                    sleep(BIND_RETRY).await;
                }
            }
        };
        tracing::info!(peers = self.peers.len(), "one of a bank, at {}", self.listen);
        let members = self.peers.iter().enumerate().map(|(i, a)| (*a, NodeId(i as u16))).collect();
        let mut running = RunState {
            members,
            due: None,
            waiting: FxHashMap::default(),
            until_all: Vec::new(),
            tickets: 0,
            failing: false,
            unsynced: false,
            retry: None,
            ends: None,
        };
        let mut bytes = [0; DATAGRAM];
        self.dispatch(Event::Due, &mut running, &*socket).await;
        loop {
            self.answer_rollout_waits(&mut running);
            let waits = running.until_all.iter().map(|(_, _, _, until)| *until).min();
            let next = [running.due, running.retry, running.ends, waits];
            let next = next.into_iter().flatten().min();
            let until = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                call = self.calls.recv() => match call {
                    Some(call) => self.on_admin_call(call, &mut running, &*socket).await,
                    None => return,
                },
                Some(list) = self.lists.recv() => {
                    let event = match list {
                        EndpointListEvent::List { version, whole, entries } => {
                            Event::EndpointList { version, whole, entries }
                        }
                        EndpointListEvent::CountsAnew => Event::CountsAnew,
                    };
                    self.dispatch(event, &mut running, &*socket).await;
                }
                came = receive(&mut *socket, &mut bytes) => match came {
                    Ok((length, from)) => {
                        let from = running.members.get(&from).copied();
                        self.on_datagram(from, &bytes[..length], &mut running, &*socket).await;
                    }
                    // None of its errors ends an address; one that comes at once must not keep this thread busy.
                    Err(_) => sleep(Duration::from_millis(1)).await,
                },
                () = until => {
                    let now = Instant::now();
                    if running.ends.is_some_and(|at| at <= now) {
                        running.ends = None;
                        let _ = self.news.send(ClusterEvent::Changed);
                    }
                    if running.retry.is_some_and(|at| at <= now) {
                        running.retry = None;
                        self.repair_disk(&mut running, &*socket).await;
                    }
                    if running.due.is_some_and(|at| at <= now) {
                        running.due = None;
                        self.points.meet("bank.timer", Kind::Timer);
                        self.dispatch(Event::Due, &mut running, &*socket).await;
                    }
                }
            }
        }
    }

    async fn on_datagram(
        &mut self,
        from: Option<NodeId>,
        bytes: &[u8],
        running: &mut RunState,
        socket: &dyn Datagrams,
    ) {
        for _ in 0..copies(self.points.meet("bank.receive", Kind::Receive)) {
            self.dispatch(Event::Datagram { from, bytes }, running, socket).await;
        }
    }

    /// Hands in one event, and carries out all that follows of it.
    async fn dispatch(&mut self, event: Event<'_>, running: &mut RunState, socket: &dyn Datagrams) {
        let mut actions = Vec::new();
        self.machine.handle(self.epoch.elapsed(), event, &mut actions);
        let mut next = Vec::new();
        while !actions.is_empty() {
            for action in actions.drain(..) {
                if let Some(event) = self.carry_out(action, running, socket).await {
                    next.push(event);
                }
            }
            // One sync for all that came of one event.
            if std::mem::take(&mut running.unsynced)
                && let Some(durable_log) = &mut self.durable_log
            {
                next.push(match durable_log.sync() {
                    Ok(through) => Event::Persisted(through),
                    Err(cause) => fails(cause, running),
                });
            }
            for event in next.drain(..) {
                self.machine.handle(self.epoch.elapsed(), event, &mut actions);
            }
        }
    }

    /// One action; what the machine is to be told of it.
    async fn carry_out(
        &mut self,
        action: Action,
        running: &mut RunState,
        socket: &dyn Datagrams,
    ) -> Option<Event<'static>> {
        match action {
            Action::Transmit { to, bytes } => {
                let at = self.peers.get(usize::from(to.0))?;
                for _ in 0..copies(self.points.meet("bank.transmit", Kind::Send)) {
                    // One that does not go out is lost, as any may be.
                    let _ = socket.send(&bytes, *at);
                }
                None
            }
            Action::WakeAt(at) => {
                running.due = Some(self.epoch + at);
                None
            }
            Action::Publish(in_force) => {
                self.points.meet("bank.publish", Kind::Handover);
                running.ends = Some(self.epoch + in_force.until);
                if self.published.write(in_force, self.epoch.elapsed()) {
                    let _ = self.news.send(ClusterEvent::Changed);
                }
                None
            }
            Action::Stop(stops) => {
                self.points.meet("bank.stop", Kind::Handover);
                if self.published.stop(stops, self.epoch.elapsed()) {
                    let _ = self.news.send(ClusterEvent::Changed);
                }
                None
            }
            Action::RefreshList => {
                let _ = self.news.send(ClusterEvent::RefreshList);
                None
            }
            Action::Persist { number, record } => {
                match self.durable_log.as_mut()?.append(number, &record) {
                    Ok(()) => {
                        running.unsynced = true;
                        None
                    }
                    Err(cause) => Some(fails(cause, running)),
                }
            }
            Action::PersistFallbackPolicy { fallback_generation, fallback_policy } => {
                let durable_log = self.durable_log.as_mut()?;
                match durable_log.save_fallback_policy(fallback_generation, &fallback_policy) {
                    Ok(()) => Some(Event::FallbackPolicyPersisted(fallback_generation)),
                    Err(cause) => Some(fails(cause, running)),
                }
            }
            Action::ProposalResult { ticket, answer } => {
                let PendingCommand { reply, ask, id, fallback_pending } =
                    running.waiting.remove(&ticket)?;
                let told = AdminResponse::of(&ask, id, &answer, fallback_pending);
                match told.wait {
                    Some((revision, within)) => {
                        let until = Instant::now() + within;
                        running.until_all.push((reply, told, revision, until));
                    }
                    None => drop(reply.send(told)),
                }
                None
            }
            Action::Log(what) => {
                tracing::info!("bank: {what}");
                None
            }
        }
    }

    async fn repair_disk(&mut self, running: &mut RunState, socket: &dyn Datagrams) {
        let healed = self.durable_log.as_mut().map(|log| log.reset());
        match healed {
            Some(Ok(())) => {
                tracing::info!("what the council says is kept again");
                running.failing = false;
                self.dispatch(Event::DiskWell, running, socket).await;
            }
            Some(Err(_)) => running.retry = Some(Instant::now() + DISK_RETRY),
            None => {}
        }
    }

    async fn on_admin_call(
        &mut self,
        call: AdminCall,
        running: &mut RunState,
        socket: &dyn Datagrams,
    ) {
        let AdminCall { ask, facts, reply } = call;
        running.tickets += 1;
        let ticket = running.tickets;
        // No two processes draw one life, and no process counts to one number twice.
        let incarnation = u128::from(self.machine.wire().own_incarnation().0);
        let id = CommandId(
            incarnation << 96 | u128::from(self.machine.node_id().0) << 64 | u128::from(ticket),
        );
        match ask.event(ticket, id, &facts, &self.machine) {
            Ok(event) => {
                running.waiting.retain(|_, waiting| !waiting.reply.is_closed());
                let fallback_pending = ask.is_retried()
                    && matches!(&event, Event::Propose { entry: Entry::FallbackPolicy(..), .. });
                running.waiting.insert(ticket, PendingCommand { reply, ask, id, fallback_pending });
                self.dispatch(event, running, socket).await;
            }
            Err(told) => drop(reply.send(told)),
        }
    }

    /// Answers callers that wait until a revision is in force everywhere, once it is or their time is over.
    fn answer_rollout_waits(&self, running: &mut RunState) {
        if running.until_all.is_empty() {
            return;
        }
        let (now, status) = (Instant::now(), self.machine.policy().status());
        for (reply, mut told, revision, until) in std::mem::take(&mut running.until_all) {
            let everywhere =
                status.revision >= revision && !status.unconfirmed && status.towards.is_none();
            if everywhere || now >= until {
                told.text["everywhere"] = everywhere.into();
                let _ = reply.send(told);
            } else {
                running.until_all.push((reply, told, revision, until));
            }
        }
    }
}

/// How many of a datagram go on.
fn copies(fault: Option<Fault>) -> usize {
    match fault {
        Some(Fault::Lose) => 0,
        Some(Fault::Copy) => 2,
        _ => 1,
    }
}

fn fails(cause: String, running: &mut RunState) -> Event<'static> {
    if !running.failing {
        tracing::error!(
            cause,
            "what the council says can't be kept: no votes from here until it can"
        );
    }
    running.failing = true;
    running.retry = Some(Instant::now() + DISK_RETRY);
    Event::DiskFailed(cause)
}
