//! Drives the cluster's [`Machine`] with sockets, a disk and a clock: waits, passes events to the machine and carries out
//! its actions.
//!
//! The runtime makes no decisions. The daemon runs it on a separate thread, simulations in virtual time run it as a task.

mod admin_calls;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowpaddle_failpoints::{Fault, Kind, Points};
use hollowpaddle_net::{Datagrams, MAX_DATAGRAM_BYTES, Network, receive};
use hollowpaddle_peer_transport::NodeId;
use hollowpaddle_revision::in_force::InForce;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use crate::cluster::durable_log::{DurableLog, DurableLogError};
use crate::cluster::machine::{Action, Event, Machine, StoppedUpstreams};
use crate::cluster::published::PublishedPolicy;
use crate::cluster::{ClusterEvent, EndpointListEvent};

pub use admin_calls::AdminCall;
use admin_calls::AdminCalls;

/// Time from a disk failure to the next attempt to use the disk.
const DISK_RETRY: Duration = Duration::from_secs(1);
/// Time from a failed bind to the next attempt. An earlier process of this balancer may still own the address.
const BIND_RETRY: Duration = Duration::from_millis(100);
/// Pause after a failed receive. Receive errors don't close the socket, and a repeated error must not keep the thread busy.
const RECEIVE_RETRY: Duration = Duration::from_millis(1);

/// The machine with its sockets, clock, disk and channels.
pub struct Runtime {
    /// The state machine.
    pub machine: Machine,
    /// Origin of the machine's clock.
    pub epoch: Instant,
    /// Address that receives the datagrams of other balancers.
    pub listen: SocketAddr,
    /// Address of each balancer of the cluster, this one included; the index is its [`NodeId`].
    pub peers: Vec<SocketAddr>,
    /// The policy that requests read.
    pub published: Arc<PublishedPolicy>,
    /// Events for the engine.
    pub events: mpsc::UnboundedSender<ClusterEvent>,
    /// Receiver of the endpoint lists that discovery delivered.
    pub lists: mpsc::UnboundedReceiver<EndpointListEvent>,
    /// Receiver of admin API calls. The runtime ends once all senders are dropped.
    pub calls: mpsc::UnboundedReceiver<AdminCall>,
    /// State that survives a restart; `None` if the balancer has no state directory.
    pub durable_log: Option<Box<dyn DurableLog + Send>>,
    /// Failpoints of the runtime's steps.
    pub failpoints: Points,
}

/// State of the event loop.
struct RunState {
    nodes: FxHashMap<SocketAddr, NodeId>,
    /// Time of the wake-up that the machine requested.
    wake_at: Option<Instant>,
    /// Time of the next attempt to use the disk after a failure.
    disk_retry_at: Option<Instant>,
    /// Expiry of the published policy's lease, unless the lease is renewed.
    lease_expires_at: Option<Instant>,
    is_disk_failing: bool,
    has_unsynced_records: bool,
    admin_calls: AdminCalls,
}

impl RunState {
    fn new(peers: &[SocketAddr]) -> Self {
        let nodes = peers.iter().enumerate().map(|(i, address)| (*address, NodeId(i as u16)));
        Self {
            nodes: nodes.collect(),
            wake_at: None,
            disk_retry_at: None,
            lease_expires_at: None,
            is_disk_failing: false,
            has_unsynced_records: false,
            admin_calls: AdminCalls::default(),
        }
    }

    /// Returns the earliest time at which a timer expires.
    fn next_due(&self) -> Option<Instant> {
        let call = self.admin_calls.next_timeout();
        [self.wake_at, self.disk_retry_at, self.lease_expires_at, call].into_iter().flatten().min()
    }

    /// Records a disk failure and returns the event for the machine. Logs only the first failure until the disk recovers.
    fn on_disk_failure(&mut self, cause: &DurableLogError) -> Event<'static> {
        let cause = cause.to_string();
        if !self.is_disk_failing {
            tracing::error!(cause, "consensus log not writable, voting suspended");
        }
        self.is_disk_failing = true;
        self.disk_retry_at = Some(Instant::now() + DISK_RETRY);
        Event::DiskFailed(cause)
    }
}

impl Runtime {
    /// Runs until the last sender of admin calls is dropped.
    pub async fn run(mut self, network: Rc<dyn Network>) {
        let mut socket = self.bind(&*network).await;
        tracing::info!(listen = %self.listen, peers = self.peers.len(), "joined the cluster");
        let mut state = RunState::new(&self.peers);
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        self.dispatch(Event::Due, &mut state, &*socket).await;
        loop {
            state.admin_calls.answer_expired();
            if state.admin_calls.has_rollouts() {
                state.admin_calls.answer_rollouts(&self.machine.policy().status());
            }
            let due = wait_until(state.next_due());
            tokio::select! {
                biased;
                call = self.calls.recv() => match call {
                    Some(call) => self.on_admin_call(call, &mut state, &*socket).await,
                    None => return,
                },
                Some(list) = self.lists.recv() => {
                    self.dispatch(list.into(), &mut state, &*socket).await;
                }
                received = receive(&mut *socket, &mut bytes) => match received {
                    Ok((length, from)) => {
                        let from = state.nodes.get(&from).copied();
                        self.on_datagram(from, &bytes[..length], &mut state, &*socket).await;
                    }
                    Err(_) => sleep(RECEIVE_RETRY).await,
                },
                () = due => self.on_due(&mut state, &*socket).await,
            }
        }
    }

    /// Binds the socket for datagrams of other balancers, with retries until the bind succeeds.
    async fn bind(&self, network: &dyn Network) -> Box<dyn Datagrams> {
        loop {
            match network.datagrams(self.listen) {
                Ok(socket) => return socket,
                Err(cause) => {
                    tracing::warn!(listen = %self.listen, %cause, "bind failed for cluster datagrams");
                    sleep(BIND_RETRY).await;
                }
            }
        }
    }

    async fn on_due(&mut self, state: &mut RunState, socket: &dyn Datagrams) {
        let now = Instant::now();
        if state.lease_expires_at.is_some_and(|at| at <= now) {
            state.lease_expires_at = None;
            self.notify(ClusterEvent::PolicyChanged);
        }
        if state.disk_retry_at.is_some_and(|at| at <= now) {
            state.disk_retry_at = None;
            self.retry_disk(state, socket).await;
        }
        if state.wake_at.is_some_and(|at| at <= now) {
            state.wake_at = None;
            self.failpoints.meet("bank.timer", Kind::Timer);
            self.dispatch(Event::Due, state, socket).await;
        }
    }

    async fn on_datagram(
        &mut self,
        from: Option<NodeId>,
        bytes: &[u8],
        state: &mut RunState,
        socket: &dyn Datagrams,
    ) {
        for _ in 0..copies(self.failpoints.meet("bank.receive", Kind::Receive)) {
            self.dispatch(Event::Datagram { from, bytes }, state, socket).await;
        }
    }

    /// Passes one event to the machine, and carries out the resulting actions until none are left.
    async fn dispatch(&mut self, event: Event<'_>, state: &mut RunState, socket: &dyn Datagrams) {
        let mut actions = Vec::new();
        self.machine.handle(self.epoch.elapsed(), event, &mut actions);
        let mut next = Vec::new();
        while !actions.is_empty() {
            for action in actions.drain(..) {
                if let Some(event) = self.carry_out(action, state, socket) {
                    next.push(event);
                }
            }
            // A single sync covers all records that this round appended.
            next.extend(self.sync_records(state));
            for event in next.drain(..) {
                self.machine.handle(self.epoch.elapsed(), event, &mut actions);
            }
        }
    }

    /// Carries out one action, and returns the event that reports the result, if the action has one.
    fn carry_out(
        &mut self,
        action: Action,
        state: &mut RunState,
        socket: &dyn Datagrams,
    ) -> Option<Event<'static>> {
        match action {
            Action::Transmit { to, bytes } => self.transmit(to, &bytes, socket),
            Action::WakeAt(at) => state.wake_at = Some(self.epoch + at),
            Action::Publish(in_force) => self.publish(in_force, state),
            Action::Stop(stops) => self.publish_stops(stops),
            Action::RefreshList => self.notify(ClusterEvent::RefreshList),
            Action::Persist { number, record } => {
                match self.durable_log.as_mut()?.append(number, &record) {
                    Ok(()) => state.has_unsynced_records = true,
                    Err(cause) => return Some(state.on_disk_failure(&cause)),
                }
            }
            Action::PersistFallbackPolicy { fallback_generation, fallback_policy } => {
                let durable_log = self.durable_log.as_mut()?;
                let saved = durable_log.save_fallback_policy(fallback_generation, &fallback_policy);
                return Some(match saved {
                    Ok(()) => Event::FallbackPolicyPersisted(fallback_generation),
                    Err(cause) => state.on_disk_failure(&cause),
                });
            }
            Action::ProposalResult { ticket, answer } => state.admin_calls.answer(ticket, &answer),
            Action::Log(message) => tracing::info!(detail = message, "cluster state changed"),
        }
        None
    }

    fn transmit(&self, to: NodeId, bytes: &[u8], socket: &dyn Datagrams) {
        let Some(address) = self.peers.get(usize::from(to.0)) else { return };
        for _ in 0..copies(self.failpoints.meet("bank.transmit", Kind::Send)) {
            // The protocols tolerate the loss of any datagram, so a send error is ignored.
            let _ = socket.send(bytes, *address);
        }
    }

    fn publish(&self, in_force: InForce, state: &mut RunState) {
        self.failpoints.meet("bank.publish", Kind::Handover);
        state.lease_expires_at = Some(self.epoch + in_force.until);
        if self.published.write(in_force, self.epoch.elapsed()) {
            self.notify(ClusterEvent::PolicyChanged);
        }
    }

    fn publish_stops(&self, stops: StoppedUpstreams) {
        self.failpoints.meet("bank.stop", Kind::Handover);
        if self.published.stop(stops, self.epoch.elapsed()) {
            self.notify(ClusterEvent::PolicyChanged);
        }
    }

    fn notify(&self, event: ClusterEvent) {
        // Sending fails only if the engine has ended, and then no component needs the event.
        let _ = self.events.send(event);
    }

    /// Syncs the records appended since the last sync, and returns the event that reports the result. Returns `None` if no
    /// record was appended.
    fn sync_records(&mut self, state: &mut RunState) -> Option<Event<'static>> {
        if !std::mem::take(&mut state.has_unsynced_records) {
            return None;
        }
        match self.durable_log.as_mut()?.sync() {
            Ok(through) => Some(Event::Persisted(through)),
            Err(cause) => Some(state.on_disk_failure(&cause)),
        }
    }

    async fn retry_disk(&mut self, state: &mut RunState, socket: &dyn Datagrams) {
        let Some(durable_log) = &mut self.durable_log else { return };
        match durable_log.reset() {
            Ok(()) => {
                tracing::info!("consensus log writable again");
                state.is_disk_failing = false;
                self.dispatch(Event::DiskRecovered, state, socket).await;
            }
            Err(_) => state.disk_retry_at = Some(Instant::now() + DISK_RETRY),
        }
    }
}

impl From<EndpointListEvent> for Event<'static> {
    fn from(list: EndpointListEvent) -> Self {
        match list {
            EndpointListEvent::List { version, is_complete, entries } => {
                Event::EndpointList { version, is_complete, entries }
            }
            EndpointListEvent::VersionsReset => Event::VersionsReset,
        }
    }
}

/// Waits until `at`, or forever if there is no time.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Returns the number of copies of a datagram to pass on, by the fault that a failpoint injects.
fn copies(fault: Option<Fault>) -> usize {
    match fault {
        Some(Fault::Lose) => 0,
        Some(Fault::Copy) => 2,
        _ => 1,
    }
}
