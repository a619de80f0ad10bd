//! A cluster on a simulated network with simulated disks. The simulation checks committed and acknowledged entries
//! against its own record of them, which shares no code with the crate.
#![allow(dead_code, reason = "each test uses a part of this module")]

mod disk;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::time::Duration;

use hollowpaddle_consensus::{
    Action, DurableState, Entry, EntryPayload, Event, Learner, LearnerAction, LearnerConfig,
    LearnerEvent, LogIndex, Message, MessageBody, ProposalId, ProposalOutcome, Replica,
    ReplicaConfig, ReplicaStatus, Store, StoreError, View, VoterSet,
};
use hollowpaddle_failpoints::Points;
use hollowpaddle_peer_transport::{Channel, Incarnation, NodeId};
use oorandom::Rand64;

pub use disk::SimulatedDisk;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    Tick(u16, u32),
    Message(u16, u16, u32, u32, u64),
    Synced(u16, u32, u64),
    Start(u16),
    DiskRecovered(u16, u32),
}

/// The log as applied by a state machine: the numbers and ids of the entries, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedLog {
    pub ids: Vec<(u64, ProposalId)>,
    pub epoch: u32,
    pub last_op: u64,
}

pub struct Node {
    pub replica: Option<Replica>,
    pub learner: Option<Learner>,
    pub learner_log: AppliedLog,
    pub source: Option<u16>,
    pub incarnation: u32,
    pub started: Duration,
    pub paused: Duration,
    pub disk: SimulatedDisk,
    pub store: Option<Store>,
    /// Whether a sync is in progress.
    pub syncing: bool,
    pub disk_fails: bool,
    pub replica_log: AppliedLog,
    pub led_view: Option<View>,
    pub queued_events: Vec<Event>,
    pub queued_learner_events: Vec<LearnerEvent>,
}

pub struct Simulation {
    pub now: Duration,
    pub rng: Rand64,
    pub nodes: Vec<Node>,
    pub voters: Vec<NodeId>,
    pub size: u16,
    pub has_directories: bool,
    pub points: Points,
    pub loss: f64,
    pub delays_messages: bool,
    pub cut_links: BTreeSet<(u16, u16)>,
    queue: BinaryHeap<Reverse<(Duration, u64, SimulatedEvent)>>,
    messages_in_flight: BTreeMap<u64, Message>,
    seq: u64,
    /// The committed entries of all nodes by index, as id and digest.
    pub committed: BTreeMap<LogIndex, (ProposalId, u64)>,
    pub acknowledged: BTreeMap<ProposalId, LogIndex>,
    pub proposed: u64,
    /// The views that were led, with the simulated time at which their leader began to lead.
    pub led_views: BTreeMap<View, Duration>,
    pub quorum_heartbeats: BTreeMap<View, Duration>,
    /// Whether a majority was without state at one time after the first epoch began.
    pub majority_lost_state: bool,
    pub state_losses: Vec<&'static str>,
    pub sent: u64,
    pub longest_message: usize,
    pub longest_frequent_message: usize,
    pub takes_snapshots: bool,
    pub has_learners: bool,
    /// Events to be handled once all actions of the current event are executed, as in the runtime.
    deferred_events: Vec<(u16, Event)>,
    /// Smallest length of a snapshot, in bytes.
    pub min_snapshot_bytes: usize,
    pub answered: BTreeMap<ProposalId, ProposalOutcome>,
    /// Numbers of messages and of bytes sent on the channel `Log`, by sender.
    pub learner_traffic: BTreeMap<u16, (u64, u64)>,
    trace: bool,
}

fn digest(what: &EntryPayload) -> u64 {
    let text = format!("{what:?}");
    text.bytes().fold(1469598103934665603, |h, b| (h ^ u64::from(b)).wrapping_mul(1099511628211))
}

impl AppliedLog {
    fn apply(&mut self, index: LogIndex, entry: &Entry) {
        assert_eq!(
            (index.epoch(), index.op()),
            (self.epoch, self.last_op + 1),
            "entry delivered out of order"
        );
        self.last_op += 1;
        self.ids.push((index.op(), entry.id));
    }
    fn reset(&mut self, index: LogIndex, state: &[u8], may_go_back: bool) {
        let before = LogIndex::new(self.epoch, self.last_op);
        assert!(index >= before || may_go_back, "the log is reset to the earlier index {index}");
        let ids = || postcard::take_from_bytes(state).unwrap().0;
        self.ids = if state.is_empty() { Vec::new() } else { ids() };
        (self.epoch, self.last_op) = (index.epoch(), index.op());
    }
}

impl Simulation {
    pub fn new(seed: u64, nodes: u16, voters: &[u16], directory: bool) -> Self {
        Self::with(seed, nodes, voters, directory, false)
    }

    pub fn with(seed: u64, nodes: u16, voters: &[u16], directory: bool, learners: bool) -> Self {
        Self::at_points(seed, nodes, voters, directory, learners, Points::none())
    }

    pub fn at_points(
        seed: u64,
        nodes: u16,
        voters: &[u16],
        directory: bool,
        learners: bool,
        points: Points,
    ) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            rng: Rand64::new(u128::from(seed)),
            nodes: Vec::new(),
            voters: voters.iter().map(|m| NodeId(*m)).collect(),
            size: nodes,
            has_directories: directory,
            points,
            loss: 0.0,
            delays_messages: false,
            cut_links: BTreeSet::new(),
            queue: BinaryHeap::new(),
            messages_in_flight: BTreeMap::new(),
            seq: 0,
            committed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            proposed: 0,
            led_views: BTreeMap::new(),
            quorum_heartbeats: BTreeMap::new(),
            majority_lost_state: false,
            state_losses: Vec::new(),
            sent: 0,
            longest_message: 0,
            longest_frequent_message: 0,
            takes_snapshots: false,
            has_learners: learners,
            deferred_events: Vec::new(),
            min_snapshot_bytes: 0,
            answered: BTreeMap::new(),
            learner_traffic: BTreeMap::new(),
            trace: std::env::var_os("TRACE").is_some(),
        };
        for number in 0..nodes {
            simulation.nodes.push(Node {
                replica: None,
                learner: None,
                learner_log: AppliedLog::default(),
                source: None,
                incarnation: 0,
                started: Duration::ZERO,
                paused: Duration::ZERO,
                disk: SimulatedDisk::default(),
                store: None,
                syncing: false,
                disk_fails: false,
                replica_log: AppliedLog::default(),
                led_view: None,
                queued_events: Vec::new(),
                queued_learner_events: Vec::new(),
            });
            simulation.start(number);
        }
        simulation
    }

    fn push(&mut self, at: Duration, what: SimulatedEvent) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, what)));
    }

    pub fn sample_bool(&mut self, probability: f64) -> bool {
        self.rng.rand_float() < probability
    }
    pub fn sample_below(&mut self, n: u64) -> u64 {
        self.rng.rand_range(0..n.max(1))
    }

    pub fn start(&mut self, node_id: u16) {
        let (now, seed) = (self.now, self.rng.rand_u64());
        let config = ReplicaConfig {
            node_id: NodeId(node_id),
            incarnation: Incarnation(seed as u32),
            voters: self.voters.clone(),
            cluster_size: self.size,
            has_directory: self.has_directories,
            required_learner_copies: if self.has_learners { 2 } else { 0 },
            seed,
        };
        let learner = LearnerConfig {
            node_id: NodeId(node_id),
            voters: self.voters.clone(),
            cluster_size: config.cluster_size,
            seed,
        };
        let learners = self.has_learners;
        let node = &mut self.nodes[node_id as usize];
        node.incarnation += 1;
        node.started = now;
        node.paused = now;
        node.disk_fails = false;
        node.syncing = false;
        node.queued_events.clear();
        (node.replica_log, node.learner_log) = (AppliedLog::default(), AppliedLog::default());
        (node.led_view, node.source) = (None, None);
        node.queued_learner_events.clear();
        let mut failed = false;
        let found = self.has_directories.then(|| {
            let (disk, points) = (node.disk.clone(), self.points.of(u32::from(node_id)));
            match Store::open(disk.clone(), points.clone(), 1, NodeId(node_id)) {
                Ok((store, found)) => {
                    node.store = Some(store);
                    found.durable
                }
                Err(e) => {
                    failed = true;
                    node.store = Some(Store::closed(disk, points, 1, NodeId(node_id)));
                    if matches!(e, StoreError::FailpointCrash(_)) {
                        node.store = None;
                    }
                    DurableState::default()
                }
            }
        });
        if failed && node.store.is_none() {
            // A failpoint ended the process at its start.
            node.replica = None;
            self.start_after(node_id, ms(300));
            return;
        }
        node.learner = learners.then(|| Learner::new(Duration::ZERO, learner));
        node.replica = Some(Replica::new(Duration::ZERO, config, found));
        let incarnation = node.incarnation;
        self.push(now, SimulatedEvent::Tick(node_id, incarnation));
        if failed {
            self.handle_replica_event(node_id, Event::DiskFailed { cause: "unreadable".into() });
            self.push(now + ms(700), SimulatedEvent::DiskRecovered(node_id, incarnation));
        }
    }

    pub fn crash(&mut self, node_id: u16) {
        if self.trace {
            eprintln!("{:>6} {node_id} crashes", self.now.as_millis());
        }
        let node = &mut self.nodes[node_id as usize];
        node.replica = None;
        node.learner = None;
        node.led_view = None;
        node.store = None;
        let torn = self.rng.rand_u64();
        self.nodes[node_id as usize].disk.crash(torn);
        self.track_majority();
    }

    pub fn start_after(&mut self, node_id: u16, after: Duration) {
        self.push(self.now + after, SimulatedEvent::Start(node_id));
    }

    pub fn pause(&mut self, node_id: u16, time: Duration) {
        self.nodes[node_id as usize].paused = self.now + time;
    }

    pub fn isolate(&mut self, node_id: u16) {
        for other in 0..self.nodes.len() as u16 {
            self.cut_links.insert((node_id, other));
            self.cut_links.insert((other, node_id));
        }
    }

    /// Cuts all links except these, which work in both directions.
    pub fn keep_only_links(&mut self, links: &[(u16, u16)]) {
        let n = self.nodes.len() as u16;
        for a in 0..n {
            for b in 0..n {
                if !links.contains(&(a, b)) && !links.contains(&(b, a)) {
                    self.cut_links.insert((a, b));
                }
            }
        }
    }

    pub fn handle_replica_event(&mut self, node_id: u16, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[node_id as usize];
        if now < node.paused {
            node.queued_events.push(event);
            return;
        }
        let Some(replica) = &mut node.replica else { return };
        let mut actions = Vec::new();
        replica.handle(now - node.started, event, &mut actions);
        let leader = replica.leader();
        for action in actions {
            self.execute(node_id, action);
        }
        if self.has_learners {
            self.handle_learner_event(node_id, LearnerEvent::Leader(leader));
        }
    }

    pub fn handle_learner_event(&mut self, node_id: u16, event: LearnerEvent) {
        let now = self.now;
        let node = &mut self.nodes[node_id as usize];
        if now < node.paused {
            node.queued_learner_events.push(event);
            return;
        }
        let Some(learner) = &mut node.learner else { return };
        let mut actions = Vec::new();
        learner.handle(now - node.started, event, &mut actions);
        for action in actions {
            match action {
                LearnerAction::Send { to, message } => self.send(node_id, to.0, message),
                LearnerAction::Committed { index, entry } => {
                    self.check_committed(index, &entry);
                    let learner_log = &mut self.nodes[node_id as usize].learner_log;
                    learner_log.apply(index, &entry);
                    if self.takes_snapshots && index.op() % 64 == 0 {
                        let mut bytes = postcard::to_stdvec(&learner_log.ids).unwrap();
                        bytes.resize(bytes.len().max(self.min_snapshot_bytes), 0);
                        self.handle_learner_event(node_id, LearnerEvent::Snapshot { index, bytes });
                    }
                }
                LearnerAction::Reset { index, state } => {
                    self.nodes[node_id as usize].learner_log.reset(index, &state, false);
                }
                LearnerAction::Source(source) => {
                    self.nodes[node_id as usize].source = source.map(|m| m.0);
                }
                LearnerAction::LearnerAdvanced { by, index } => {
                    self.handle_replica_event(node_id, Event::LearnerAdvanced { by, index })
                }
                LearnerAction::Answered { id, outcome } => {
                    self.answered.insert(id, outcome);
                    if let ProposalOutcome::Committed(index) = outcome {
                        self.check_acknowledged(id, index);
                    }
                }
                LearnerAction::SnapshotWanted => {}
            }
        }
    }

    fn check_acknowledged(&mut self, id: ProposalId, index: LogIndex) {
        let before = self.acknowledged.insert(id, index);
        let same_epoch = before.is_none_or(|b| b.epoch() != index.epoch() || b == index);
        assert!(same_epoch, "{id:?} was committed as two entries");
        let committed_id = self.committed.get(&index).map(|a| a.0);
        assert_eq!(committed_id, Some(id), "the acknowledged proposal is not committed at {index}");
    }

    fn check_committed(&mut self, index: LogIndex, entry: &Entry) {
        let proposed_entry = (entry.id, digest(&entry.payload));
        let known = self.committed.entry(index).or_insert(proposed_entry);
        assert_eq!(*known, proposed_entry, "two different entries committed at {index}");
    }

    fn execute(&mut self, node_id: u16, action: Action) {
        let now = self.now;
        if self.trace
            && let Action::Persist { number, record } = &action
        {
            eprintln!(
                "{:>6} {node_id} persist {number} {:.40}",
                now.as_millis(),
                format!("{record:?}")
            );
        }
        if self.trace {
            let description = match &action {
                Action::Send { to, message } => match &message.body {
                    MessageBody::StartViewChange { is_bootstrap, .. } => {
                        format!("begin {:?} {is_bootstrap} to {to:?}", message.view)
                    }
                    MessageBody::DoViewChange { .. }
                    | MessageBody::Recovery { .. }
                    | MessageBody::RecoveryResponse { .. } => {
                        format!("{:?} {:?} to {to:?}", message.view, message.body)
                    }
                    MessageBody::GetState { .. } | MessageBody::LogPart(_) => {
                        format!("{:?} {:?} to {to:?}", message.view, message.body)
                    }
                    _ => String::new(),
                },
                Action::Committed { .. } | Action::Persist { .. } => String::new(),
                other => format!("{other:?}"),
            };
            if !description.is_empty() {
                let status = self.nodes[node_id as usize].replica.as_ref().map(|c| c.status());
                eprintln!("{:>6} {node_id} {status:?}: {description:.150}", now.as_millis());
            }
        }
        match action {
            Action::Send { to, message } => self.send(node_id, to.0, message),
            Action::Persist { number, record } => {
                let after = ms(1 + self.sample_below(8));
                let node = &mut self.nodes[node_id as usize];
                let Some(store) = &mut node.store else { return };
                let full = io::Error::from(io::ErrorKind::StorageFull);
                let done = if node.disk_fails {
                    let file = String::new();
                    Err(StoreError::Failed { file, attempted: "appended", cause: full })
                } else {
                    store.append(number, &record)
                };
                let paused = store.take_pause();
                if done.is_ok() && !std::mem::replace(&mut node.syncing, true) {
                    let incarnation = node.incarnation;
                    self.push(now + after, SimulatedEvent::Synced(node_id, incarnation, 0));
                }
                self.handle_store_result(node_id, done, paused);
            }
            Action::StartedLeading { view, since } => {
                let node = &mut self.nodes[node_id as usize];
                let since = node.started + since;
                node.led_view = Some(view);
                let before = self.led_views.insert(view, since);
                assert_eq!(before, None, "{view:?} is led twice");
                for (old, sent_at) in &self.quorum_heartbeats {
                    assert!(
                        self.majority_lost_state || *old >= view || *sent_at <= since,
                        "a majority of {old:?} acknowledged a heartbeat sent after {view:?} began"
                    );
                }
            }
            Action::StoppedLeading => self.nodes[node_id as usize].led_view = None,
            Action::QuorumHeartbeat { sent_at } => {
                let node = &self.nodes[node_id as usize];
                let (sent_at, view) = (
                    node.started + sent_at,
                    node.led_view.expect("only a leader sends numbered heartbeats"),
                );
                for (newer, since) in self.led_views.range(view..).skip(1) {
                    assert!(
                        self.majority_lost_state || sent_at <= *since,
                        "{view:?} has a quorum heartbeat of {sent_at:?}, but {newer:?} began at {since:?}"
                    );
                }
                self.quorum_heartbeats.insert(view, sent_at);
            }
            Action::Committed { index, entry } => {
                self.check_committed(index, &entry);
                let replica_log = &mut self.nodes[node_id as usize].replica_log;
                replica_log.apply(index, &entry);
                if self.takes_snapshots && index.op() % 16 == 0 {
                    let bytes = postcard::to_stdvec(&replica_log.ids).unwrap();
                    self.deferred_events.push((node_id, Event::Snapshot { index, bytes }));
                }
                if self.has_learners {
                    self.handle_learner_event(node_id, LearnerEvent::Committed { index, entry });
                }
            }
            Action::Reset { index, base } => {
                self.nodes[node_id as usize].replica_log.reset(
                    index,
                    &base.state,
                    self.majority_lost_state,
                );
                if self.has_learners {
                    self.handle_learner_event(node_id, LearnerEvent::Reset { index, base });
                }
            }
            Action::SnapshotWanted => {}
            Action::StateLost(why) => {
                self.state_losses.push(why);
                self.track_majority();
            }
        }
    }

    /// Handles the result of a store operation.
    fn handle_store_result(&mut self, node_id: u16, done: Result<(), StoreError>, paused: bool) {
        match done {
            Ok(()) => {}
            Err(StoreError::FailpointCrash(_)) => {
                self.crash(node_id);
                self.start_after(node_id, ms(300));
            }
            Err(_) => {
                self.handle_replica_event(node_id, Event::DiskFailed { cause: "injected".into() });
                let incarnation = self.nodes[node_id as usize].incarnation;
                self.push(self.now + ms(700), SimulatedEvent::DiskRecovered(node_id, incarnation));
            }
        }
        if paused {
            self.pause(node_id, ms(3000));
        }
    }

    fn send(&mut self, from: u16, to: u16, message: Message) {
        self.sent += 1;
        if self.sent.is_multiple_of(8) {
            let bytes = message.encode().expect("every message is within its bound");
            assert_eq!(Message::decode(&bytes).as_ref(), Ok(&message));
            self.longest_message = self.longest_message.max(bytes.len());
            if matches!(
                message.body,
                MessageBody::Heartbeat(_)
                    | MessageBody::PrepareOk { .. }
                    | MessageBody::Prepare { .. }
            ) {
                self.longest_frequent_message = self.longest_frequent_message.max(bytes.len());
            }
        }
        if self.cut_links.contains(&(from, to)) && from != to || self.sample_bool(self.loss) {
            return;
        }
        if message.body.channel() == Channel::Log {
            let sent = self.learner_traffic.entry(from).or_default();
            sent.0 += 1;
            if !self.has_learners {
                if let MessageBody::ProposalResponse {
                    id,
                    outcome: Some(ProposalOutcome::Committed(index)),
                    ..
                } = &message.body
                {
                    self.check_acknowledged(*id, *index);
                }
                return;
            }
            sent.1 += message.encode().map_or(0, |b| b.len() as u64);
        }
        let late =
            if self.delays_messages && self.sample_bool(0.1) { self.sample_below(300) } else { 0 };
        let after = ms(1 + self.sample_below(12) + late);
        self.seq += 1;
        let key = self.seq;
        self.messages_in_flight.insert(key, message);
        let incarnation = self.nodes[from as usize].incarnation;
        self.push(self.now + after, SimulatedEvent::Message(from, to, incarnation, 0, key));
    }

    /// Runs the simulation until this time.
    pub fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            for (node_id, event) in std::mem::take(&mut self.deferred_events) {
                self.handle_replica_event(node_id, event);
            }
            match what {
                SimulatedEvent::Start(node_id) => {
                    if self.nodes[node_id as usize].replica.is_none() {
                        self.start(node_id);
                    }
                }
                SimulatedEvent::Tick(node_id, incarnation) => {
                    let node = &mut self.nodes[node_id as usize];
                    if node.incarnation == incarnation && node.replica.is_some() {
                        if self.now >= node.paused {
                            let queued_events = std::mem::take(&mut node.queued_events);
                            let late = std::mem::take(&mut node.queued_learner_events);
                            queued_events
                                .into_iter()
                                .for_each(|e| self.handle_replica_event(node_id, e));
                            late.into_iter().for_each(|e| self.handle_learner_event(node_id, e));
                            self.handle_replica_event(node_id, Event::Tick);
                            self.handle_learner_event(node_id, LearnerEvent::Tick);
                            self.track_majority();
                        }
                        self.push(at + ms(25), SimulatedEvent::Tick(node_id, incarnation));
                    }
                }
                SimulatedEvent::Message(from, to, incarnation, _, key) => {
                    if let Some(message) = self.messages_in_flight.remove(&key) {
                        let (from, incarnation) = (NodeId(from), Incarnation(incarnation));
                        if message.body.channel() == Channel::Log {
                            self.handle_learner_event(
                                to,
                                LearnerEvent::Message { from, incarnation, message },
                            );
                        } else {
                            self.handle_replica_event(
                                to,
                                Event::Message { from, incarnation, message },
                            );
                        }
                    }
                }
                SimulatedEvent::DiskRecovered(node_id, incarnation) => {
                    let node = &mut self.nodes[node_id as usize];
                    let has_failed_disk = node
                        .replica
                        .as_ref()
                        .is_some_and(|c| c.status() == ReplicaStatus::DiskFailed);
                    if node.incarnation == incarnation && has_failed_disk && !node.disk_fails {
                        let reset = node.store.as_mut().map(Store::reset);
                        if matches!(reset, Some(Ok(()))) {
                            self.handle_replica_event(node_id, Event::DiskRecovered);
                        } else if let Some(reset) = reset {
                            self.handle_store_result(node_id, reset, false);
                        }
                    }
                }
                SimulatedEvent::Synced(node_id, incarnation, _) => {
                    let node = &mut self.nodes[node_id as usize];
                    if node.incarnation != incarnation || node.replica.is_none() {
                        continue;
                    }
                    node.syncing = false;
                    let Some(store) = &mut node.store else { continue };
                    let done = store.sync();
                    if self.trace {
                        eprintln!("{:>6} {node_id} synced {done:?}", at.as_millis());
                    }
                    let paused = store.take_pause();
                    if let Ok(through) = done {
                        self.handle_replica_event(node_id, Event::Persisted { through });
                    }
                    self.handle_store_result(node_id, done.map(|_| ()), paused);
                }
            }
        }
        self.now = until;
    }

    pub fn run_for_ms(&mut self, time: u64) {
        self.run(self.now + ms(time));
    }

    pub fn propose(&mut self, at: u16, bytes: Vec<u8>) -> ProposalId {
        self.proposed += 1;
        let id = ProposalId { by: NodeId(at), incarnation: Incarnation(1), number: self.proposed };
        self.repeat(at, id, bytes);
        id
    }
    pub fn repeat(&mut self, at: u16, id: ProposalId, bytes: Vec<u8>) {
        let message = Message {
            view: View::default(),
            incarnation_counts: BTreeMap::new(),
            body: MessageBody::Propose { id, payload: Some(EntryPayload::Command(bytes)) },
        };
        self.handle_replica_event(
            at,
            Event::Message { from: NodeId(at), incarnation: Incarnation(0), message },
        );
    }

    /// Returns the leader of the latest view, if a majority takes part in that view.
    pub fn leader(&self) -> Option<u16> {
        let leads = |n: &&Node| n.replica.is_some() && n.led_view.is_some();
        let view = self.nodes.iter().filter(leads).filter_map(|n| n.led_view).max()?;
        let takes_part = |n: &&Node| {
            n.replica
                .as_ref()
                .is_some_and(|c| c.view() == view && c.status() == ReplicaStatus::Normal)
        };
        let voter_set = VoterSet::of(self.voters.iter().copied());
        (self.nodes.iter().filter(takes_part).count() >= voter_set.majority())
            .then_some(view.leader.0)
    }

    pub fn await_leader(&mut self, within: u64) -> Option<u64> {
        let began = self.now;
        while self.now < began + ms(within) {
            if self.leader().is_some() {
                return Some((self.now - began).as_millis() as u64);
            }
            self.run_for_ms(5);
        }
        None
    }

    fn track_majority(&mut self) {
        let has_lost_state = |m: &&NodeId| {
            let node = &self.nodes[m.0 as usize];
            match &node.replica {
                None => !self.has_directories || node.disk.has_no_complete_record(),
                Some(c) => {
                    matches!(
                        c.advertised_status(),
                        ReplicaStatus::WithoutState | ReplicaStatus::DiskFailed
                    )
                }
            }
        };
        let voters_with_state =
            self.voters.len() - self.voters.iter().filter(has_lost_state).count();
        if !self.led_views.is_empty() && voters_with_state * 2 <= self.voters.len() {
            self.majority_lost_state = true;
        }
    }

    /// Repairs all faults, and asserts that all logs become equal and have every acknowledged entry.
    pub fn heal_and_assert_consistent(&mut self, seed: u64) {
        self.cut_links.clear();
        self.loss = 0.0;
        for node_id in 0..self.nodes.len() as u16 {
            self.nodes[node_id as usize].paused = self.now;
            self.nodes[node_id as usize].disk_fails = false;
            if self.nodes[node_id as usize].replica.is_none() {
                self.start(node_id);
            }
            let incarnation = self.nodes[node_id as usize].incarnation;
            self.push(self.now, SimulatedEvent::DiskRecovered(node_id, incarnation));
        }
        self.run_for_ms(5000);
        let leader = self.leader();
        assert!(
            leader.is_some(),
            "seed {seed}: no leader 5 s after all faults were repaired: {}",
            self.states()
        );
        for _ in 0..60 {
            let leader = self.leader().unwrap_or(0);
            self.propose(leader, vec![7]);
            self.run_for_ms(100);
            if self.logs_are_equal() {
                break;
            }
        }
        assert!(
            self.logs_are_equal(),
            "seed {seed}: logs differ without faults: {}",
            self.states()
        );
        if !self.majority_lost_state {
            let ops_by_id: BTreeMap<ProposalId, u64> = self.nodes[self.voters[0].0 as usize]
                .replica_log
                .ids
                .iter()
                .map(|(o, i)| (*i, *o))
                .collect();
            for (id, index) in &self.acknowledged {
                assert_eq!(
                    ops_by_id.get(id),
                    Some(&index.op()),
                    "seed {seed}: acknowledged proposal {id:?} is lost"
                );
            }
            let epochs: BTreeSet<u32> = self.led_views.keys().map(|v| v.epoch).collect();
            assert!(
                epochs.len() <= 1,
                "seed {seed}: several epochs although a majority kept its state: {epochs:?}"
            );
        }
        for (node_id, node) in self.nodes.iter().enumerate() {
            let mut seen = BTreeSet::new();
            assert!(
                node.replica_log.ids.iter().all(|(_, id)| seen.insert(*id)),
                "seed {seed}: node {node_id} delivered an entry twice"
            );
        }
    }

    fn logs_are_equal(&self) -> bool {
        let first = &self.nodes[self.voters[0].0 as usize].replica_log;
        self.voters.iter().all(|m| self.nodes[m.0 as usize].replica_log == *first)
            && !first.ids.is_empty()
    }

    pub fn states(&self) -> String {
        let one = |n: &Node| match &n.replica {
            None => "down".to_string(),
            Some(c) => {
                format!(
                    "{:?} {:?} leads {:?} at {}",
                    c.status(),
                    c.view(),
                    n.led_view,
                    c.committed()
                )
            }
        };
        self.nodes
            .iter()
            .enumerate()
            .map(|(node_id, n)| format!("\n  {node_id}: {}", one(n)))
            .collect()
    }
}
