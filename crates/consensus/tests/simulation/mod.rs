//! A cluster on a simulated network with simulated disks, and a record of what it committed and acknowledged that
//! shares no code with it.
#![allow(dead_code, reason = "each test uses its part")]

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
    Well(u16, u32),
}

/// What a state machine above made of the log: the ids in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedLog {
    pub ids: Vec<(u64, ProposalId)>,
    pub epoch: u32,
    pub at: u64,
}

pub struct Node {
    pub replica: Option<Replica>,
    pub learner: Option<Learner>,
    pub copy: AppliedLog,
    pub source: Option<u16>,
    pub incarnation: u32,
    pub started: Duration,
    pub paused: Duration,
    pub disk: SimulatedDisk,
    pub store: Option<Store>,
    /// A sync is under way.
    pub syncing: bool,
    pub disk_fails: bool,
    pub app: AppliedLog,
    pub leads: Option<View>,
    pub queued_events: Vec<Event>,
    pub queued_learner_events: Vec<LearnerEvent>,
}

pub struct Simulation {
    pub now: Duration,
    pub rng: Rand64,
    pub nodes: Vec<Node>,
    pub voters: Vec<NodeId>,
    pub size: u16,
    pub directory: bool,
    pub points: Points,
    pub loss: f64,
    pub late: bool,
    pub cuts: BTreeSet<(u16, u16)>,
    queue: BinaryHeap<Reverse<(Duration, u64, SimulatedEvent)>>,
    messages_in_flight: BTreeMap<u64, Message>,
    seq: u64,
    /// The committed entries by index, over all nodes: the id and a digest.
    pub committed: BTreeMap<LogIndex, (ProposalId, u64)>,
    pub acknowledged: BTreeMap<ProposalId, LogIndex>,
    pub proposed: u64,
    /// When each view began to be led, in simulated time.
    pub led: BTreeMap<View, Duration>,
    pub quorum_heartbeats: BTreeMap<View, Duration>,
    /// A majority lost its state at one time after the first epoch began.
    pub majority_lost_state: bool,
    pub state_losses: Vec<&'static str>,
    pub sent: u64,
    pub longest_message: usize,
    pub longest_frequent_message: usize,
    pub snapshots: bool,
    pub learners: bool,
    /// Events to hand in once all actions of the current one are carried out, as the runtime does.
    later: Vec<(u16, Event)>,
    /// Smallest length of a snapshot.
    pub state_len: usize,
    pub answered: BTreeMap<ProposalId, ProposalOutcome>,
    /// Messages and bytes of the channel `Log`, by sender.
    pub learner_traffic: BTreeMap<u16, (u64, u64)>,
    trace: bool,
}

fn digest(what: &EntryPayload) -> u64 {
    let text = format!("{what:?}");
    text.bytes().fold(1469598103934665603, |h, b| (h ^ u64::from(b)).wrapping_mul(1099511628211))
}

impl AppliedLog {
    fn take(&mut self, index: LogIndex, entry: &Entry) {
        assert_eq!((index.epoch(), index.op()), (self.epoch, self.at + 1), "out of order");
        self.at += 1;
        self.ids.push((index.op(), entry.id));
    }
    fn reset(&mut self, index: LogIndex, state: &[u8], may_go_back: bool) {
        let before = LogIndex::new(self.epoch, self.at);
        assert!(index >= before || may_go_back, "back to {index}");
        let ids = || postcard::take_from_bytes(state).unwrap().0;
        self.ids = if state.is_empty() { Vec::new() } else { ids() };
        (self.epoch, self.at) = (index.epoch(), index.op());
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
            directory,
            points,
            loss: 0.0,
            late: false,
            cuts: BTreeSet::new(),
            queue: BinaryHeap::new(),
            messages_in_flight: BTreeMap::new(),
            seq: 0,
            committed: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            proposed: 0,
            led: BTreeMap::new(),
            quorum_heartbeats: BTreeMap::new(),
            majority_lost_state: false,
            state_losses: Vec::new(),
            sent: 0,
            longest_message: 0,
            longest_frequent_message: 0,
            snapshots: false,
            learners,
            later: Vec::new(),
            state_len: 0,
            answered: BTreeMap::new(),
            learner_traffic: BTreeMap::new(),
            trace: std::env::var_os("TRACE").is_some(),
        };
        for number in 0..nodes {
            simulation.nodes.push(Node {
                replica: None,
                learner: None,
                copy: AppliedLog::default(),
                source: None,
                incarnation: 0,
                started: Duration::ZERO,
                paused: Duration::ZERO,
                disk: SimulatedDisk::default(),
                store: None,
                syncing: false,
                disk_fails: false,
                app: AppliedLog::default(),
                leads: None,
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

    pub fn happens(&mut self, share: f64) -> bool {
        self.rng.rand_float() < share
    }
    pub fn sample_below(&mut self, n: u64) -> u64 {
        self.rng.rand_range(0..n.max(1))
    }

    pub fn start(&mut self, who: u16) {
        let (now, seed) = (self.now, self.rng.rand_u64());
        let config = ReplicaConfig {
            node_id: NodeId(who),
            incarnation: Incarnation(seed as u32),
            voters: self.voters.clone(),
            cluster_size: self.size,
            has_directory: self.directory,
            required_learner_copies: if self.learners { 2 } else { 0 },
            seed,
        };
        let learner = LearnerConfig {
            node_id: NodeId(who),
            voters: self.voters.clone(),
            cluster_size: config.cluster_size,
            seed,
        };
        let learners = self.learners;
        let node = &mut self.nodes[who as usize];
        node.incarnation += 1;
        node.started = now;
        node.paused = now;
        node.disk_fails = false;
        node.syncing = false;
        node.queued_events.clear();
        (node.app, node.copy) = (AppliedLog::default(), AppliedLog::default());
        (node.leads, node.source) = (None, None);
        node.queued_learner_events.clear();
        let mut failed = false;
        let found = self.directory.then(|| {
            let (disk, points) = (node.disk.clone(), self.points.of(u32::from(who)));
            match Store::open(disk.clone(), points.clone(), 1, NodeId(who)) {
                Ok((store, found)) => {
                    node.store = Some(store);
                    found.durable
                }
                Err(e) => {
                    failed = true;
                    node.store = Some(Store::closed(disk, points, 1, NodeId(who)));
                    if matches!(e, StoreError::FailpointCrash(_)) {
                        node.store = None;
                    }
                    DurableState::default()
                }
            }
        });
        if failed && node.store.is_none() {
            // A failpoint ended it at its start.
            node.replica = None;
            self.start_after(who, ms(300));
            return;
        }
        node.learner = learners.then(|| Learner::new(Duration::ZERO, learner));
        node.replica = Some(Replica::new(Duration::ZERO, config, found));
        let incarnation = node.incarnation;
        self.push(now, SimulatedEvent::Tick(who, incarnation));
        if failed {
            self.event(who, Event::DiskFailed { cause: "unreadable".into() });
            self.push(now + ms(700), SimulatedEvent::Well(who, incarnation));
        }
    }

    pub fn crash(&mut self, who: u16) {
        if self.trace {
            eprintln!("{:>6} {who} crashes", self.now.as_millis());
        }
        let node = &mut self.nodes[who as usize];
        node.replica = None;
        node.learner = None;
        node.leads = None;
        node.store = None;
        let torn = self.rng.rand_u64();
        self.nodes[who as usize].disk.end(torn);
        self.track_majority();
    }

    pub fn start_after(&mut self, who: u16, after: Duration) {
        self.push(self.now + after, SimulatedEvent::Start(who));
    }

    pub fn pause(&mut self, who: u16, time: Duration) {
        self.nodes[who as usize].paused = self.now + time;
    }

    pub fn isolate(&mut self, who: u16) {
        for other in 0..self.nodes.len() as u16 {
            self.cuts.insert((who, other));
            self.cuts.insert((other, who));
        }
    }

    /// Cuts all links that are not in this list.
    pub fn only(&mut self, links: &[(u16, u16)]) {
        let n = self.nodes.len() as u16;
        for a in 0..n {
            for b in 0..n {
                if !links.contains(&(a, b)) && !links.contains(&(b, a)) {
                    self.cuts.insert((a, b));
                }
            }
        }
    }

    pub fn event(&mut self, who: u16, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[who as usize];
        if now < node.paused {
            node.queued_events.push(event);
            return;
        }
        let Some(replica) = &mut node.replica else { return };
        let mut actions = Vec::new();
        replica.handle(now - node.started, event, &mut actions);
        let leader = replica.leader();
        for action in actions {
            self.carry_out(who, action);
        }
        if self.learners {
            self.learn(who, LearnerEvent::Leader(leader));
        }
    }

    pub fn learn(&mut self, who: u16, event: LearnerEvent) {
        let now = self.now;
        let node = &mut self.nodes[who as usize];
        if now < node.paused {
            node.queued_learner_events.push(event);
            return;
        }
        let Some(learner) = &mut node.learner else { return };
        let mut actions = Vec::new();
        learner.handle(now - node.started, event, &mut actions);
        for action in actions {
            match action {
                LearnerAction::Send { to, message } => self.send(who, to.0, message),
                LearnerAction::Committed { index, entry } => {
                    self.check_committed(index, &entry);
                    let copy = &mut self.nodes[who as usize].copy;
                    copy.take(index, &entry);
                    if self.snapshots && index.op() % 64 == 0 {
                        let mut bytes = postcard::to_stdvec(&copy.ids).unwrap();
                        bytes.resize(bytes.len().max(self.state_len), 0);
                        self.learn(who, LearnerEvent::Snapshot { index, bytes });
                    }
                }
                LearnerAction::Reset { index, state } => {
                    self.nodes[who as usize].copy.reset(index, &state, false);
                }
                LearnerAction::Source(source) => {
                    self.nodes[who as usize].source = source.map(|m| m.0);
                }
                LearnerAction::LearnerAdvanced { by, index } => {
                    self.event(who, Event::LearnerAdvanced { by, index })
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
        assert!(same_epoch, "{id:?} is two entries");
        let there = self.committed.get(&index).map(|a| a.0);
        assert_eq!(there, Some(id), "yes to what is not at {index}");
    }

    fn check_committed(&mut self, index: LogIndex, entry: &Entry) {
        let proposed_entry = (entry.id, digest(&entry.payload));
        let known = self.committed.entry(index).or_insert(proposed_entry);
        assert_eq!(*known, proposed_entry, "two entries at {index}");
    }

    fn carry_out(&mut self, who: u16, action: Action) {
        let now = self.now;
        if self.trace
            && let Action::Persist { number, record } = &action
        {
            eprintln!(
                "{:>6} {who} persist {number} {:.40}",
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
                let status = self.nodes[who as usize].replica.as_ref().map(|c| c.status());
                eprintln!("{:>6} {who} {status:?}: {description:.150}", now.as_millis());
            }
        }
        match action {
            Action::Send { to, message } => self.send(who, to.0, message),
            Action::Persist { number, record } => {
                let after = ms(1 + self.sample_below(8));
                let node = &mut self.nodes[who as usize];
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
                    self.push(now + after, SimulatedEvent::Synced(who, incarnation, 0));
                }
                self.stored(who, done, paused);
            }
            Action::StartedLeading { view, since } => {
                let node = &mut self.nodes[who as usize];
                let since = node.started + since;
                node.leads = Some(view);
                let before = self.led.insert(view, since);
                assert_eq!(before, None, "{view:?} is led twice");
                for (old, began) in &self.quorum_heartbeats {
                    assert!(
                        self.majority_lost_state || *old >= view || *began <= since,
                        "{old:?} has a round after {view:?} began"
                    );
                }
            }
            Action::StoppedLeading => self.nodes[who as usize].leads = None,
            Action::QuorumHeartbeat { sent_at } => {
                let node = &self.nodes[who as usize];
                let (began, view) =
                    (node.started + sent_at, node.leads.expect("only a leader has rounds"));
                for (newer, since) in self.led.range(view..).skip(1) {
                    assert!(
                        self.majority_lost_state || began <= *since,
                        "{view:?} was answered a round of {began:?}; {newer:?} began {since:?}"
                    );
                }
                self.quorum_heartbeats.insert(view, began);
            }
            Action::Committed { index, entry } => {
                self.check_committed(index, &entry);
                let app = &mut self.nodes[who as usize].app;
                app.take(index, &entry);
                if self.snapshots && index.op() % 16 == 0 {
                    let bytes = postcard::to_stdvec(&app.ids).unwrap();
                    self.later.push((who, Event::Snapshot { index, bytes }));
                }
                if self.learners {
                    self.learn(who, LearnerEvent::Committed { index, entry });
                }
            }
            Action::Reset { index, base } => {
                self.nodes[who as usize].app.reset(index, &base.state, self.majority_lost_state);
                if self.learners {
                    self.learn(who, LearnerEvent::Reset { index, base });
                }
            }
            Action::SnapshotWanted => {}
            Action::StateLost(why) => {
                self.state_losses.push(why);
                self.track_majority();
            }
        }
    }

    /// Handles the result of a step on the disk.
    fn stored(&mut self, who: u16, done: Result<(), StoreError>, paused: bool) {
        match done {
            Ok(()) => {}
            Err(StoreError::FailpointCrash(_)) => {
                self.crash(who);
                self.start_after(who, ms(300));
            }
            Err(_) => {
                self.event(who, Event::DiskFailed { cause: "played".into() });
                let incarnation = self.nodes[who as usize].incarnation;
                self.push(self.now + ms(700), SimulatedEvent::Well(who, incarnation));
            }
        }
        if paused {
            self.pause(who, ms(3000));
        }
    }

    fn send(&mut self, from: u16, to: u16, message: Message) {
        self.sent += 1;
        if self.sent.is_multiple_of(8) {
            let bytes = message.encode().expect("every word is within its bound");
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
        if self.cuts.contains(&(from, to)) && from != to || self.happens(self.loss) {
            return;
        }
        if message.body.channel() == Channel::Log {
            let sent = self.learner_traffic.entry(from).or_default();
            sent.0 += 1;
            if !self.learners {
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
        let late = if self.late && self.happens(0.1) { self.sample_below(300) } else { 0 };
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
            for (who, event) in std::mem::take(&mut self.later) {
                self.event(who, event);
            }
            match what {
                SimulatedEvent::Start(who) => {
                    if self.nodes[who as usize].replica.is_none() {
                        self.start(who);
                    }
                }
                SimulatedEvent::Tick(who, incarnation) => {
                    let node = &mut self.nodes[who as usize];
                    if node.incarnation == incarnation && node.replica.is_some() {
                        if self.now >= node.paused {
                            let queued_events = std::mem::take(&mut node.queued_events);
                            let late = std::mem::take(&mut node.queued_learner_events);
                            queued_events.into_iter().for_each(|e| self.event(who, e));
                            late.into_iter().for_each(|e| self.learn(who, e));
                            self.event(who, Event::Tick);
                            self.learn(who, LearnerEvent::Tick);
                            self.track_majority();
                        }
                        self.push(at + ms(25), SimulatedEvent::Tick(who, incarnation));
                    }
                }
                SimulatedEvent::Message(from, to, incarnation, _, key) => {
                    if let Some(message) = self.messages_in_flight.remove(&key) {
                        let (from, incarnation) = (NodeId(from), Incarnation(incarnation));
                        if message.body.channel() == Channel::Log {
                            self.learn(to, LearnerEvent::Message { from, incarnation, message });
                        } else {
                            self.event(to, Event::Message { from, incarnation, message });
                        }
                    }
                }
                SimulatedEvent::Well(who, incarnation) => {
                    let node = &mut self.nodes[who as usize];
                    let mute = node
                        .replica
                        .as_ref()
                        .is_some_and(|c| c.status() == ReplicaStatus::DiskFailed);
                    if node.incarnation == incarnation && mute && !node.disk_fails {
                        let reset = node.store.as_mut().map(Store::reset);
                        if matches!(reset, Some(Ok(()))) {
                            self.event(who, Event::DiskRecovered);
                        } else if let Some(reset) = reset {
                            self.stored(who, reset, false);
                        }
                    }
                }
                SimulatedEvent::Synced(who, incarnation, _) => {
                    let node = &mut self.nodes[who as usize];
                    if node.incarnation != incarnation || node.replica.is_none() {
                        continue;
                    }
                    node.syncing = false;
                    let Some(store) = &mut node.store else { continue };
                    let done = store.sync();
                    if self.trace {
                        eprintln!("{:>6} {who} synced {done:?}", at.as_millis());
                    }
                    let paused = store.take_pause();
                    if let Ok(through) = done {
                        self.event(who, Event::Persisted { through });
                    }
                    self.stored(who, done.map(|_| ()), paused);
                }
            }
        }
        self.now = until;
    }

    pub fn for_ms(&mut self, time: u64) {
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
        self.event(at, Event::Message { from: NodeId(at), incarnation: Incarnation(0), message });
    }

    /// The leader of the latest view, if a majority takes part in it.
    pub fn leader(&self) -> Option<u16> {
        let leads = |n: &&Node| n.replica.is_some() && n.leads.is_some();
        let view = self.nodes.iter().filter(leads).filter_map(|n| n.leads).max()?;
        let takes_part = |n: &&Node| {
            n.replica
                .as_ref()
                .is_some_and(|c| c.view() == view && c.status() == ReplicaStatus::Normal)
        };
        let members = VoterSet::of(self.voters.iter().copied());
        (self.nodes.iter().filter(takes_part).count() >= members.majority())
            .then_some(view.leader.0)
    }

    pub fn await_leader(&mut self, within: u64) -> Option<u64> {
        let began = self.now;
        while self.now < began + ms(within) {
            if self.leader().is_some() {
                return Some((self.now - began).as_millis() as u64);
            }
            self.for_ms(5);
        }
        None
    }

    fn track_majority(&mut self) {
        let blank = |m: &&NodeId| {
            let node = &self.nodes[m.0 as usize];
            match &node.replica {
                None => !self.directory || node.disk.is_small(),
                Some(c) => {
                    matches!(
                        c.advertised_status(),
                        ReplicaStatus::WithoutState | ReplicaStatus::DiskFailed
                    )
                }
            }
        };
        let knowing = self.voters.len() - self.voters.iter().filter(blank).count();
        if !self.led.is_empty() && knowing * 2 <= self.voters.len() {
            self.majority_lost_state = true;
        }
    }

    /// Repairs everything, and asserts that all logs become equal, with every acknowledged entry.
    pub fn heal_and_assert_consistent(&mut self, seed: u64) {
        self.cuts.clear();
        self.loss = 0.0;
        for who in 0..self.nodes.len() as u16 {
            self.nodes[who as usize].paused = self.now;
            self.nodes[who as usize].disk_fails = false;
            if self.nodes[who as usize].replica.is_none() {
                self.start(who);
            }
            let incarnation = self.nodes[who as usize].incarnation;
            self.push(self.now, SimulatedEvent::Well(who, incarnation));
        }
        self.for_ms(5000);
        let leader = self.leader();
        assert!(
            leader.is_some(),
            "seed {seed}: no leader 5 s after everything is whole: {}",
            self.states()
        );
        for _ in 0..60 {
            let leader = self.leader().unwrap_or(0);
            self.propose(leader, vec![7]);
            self.for_ms(100);
            if self.all_alike() {
                break;
            }
        }
        assert!(self.all_alike(), "seed {seed}: logs differ at rest: {}", self.states());
        if !self.majority_lost_state {
            let app: BTreeMap<ProposalId, u64> = self.nodes[self.voters[0].0 as usize]
                .app
                .ids
                .iter()
                .map(|(o, i)| (*i, *o))
                .collect();
            for (id, index) in &self.acknowledged {
                assert_eq!(app.get(id), Some(&index.op()), "seed {seed}: a yes to {id:?} is lost");
            }
            let foundings: BTreeSet<u32> = self.led.keys().map(|v| v.epoch).collect();
            assert!(
                foundings.len() <= 1,
                "seed {seed}: founded again with a majority that knows: {foundings:?}"
            );
        }
        for (who, node) in self.nodes.iter().enumerate() {
            let mut seen = BTreeSet::new();
            assert!(
                node.app.ids.iter().all(|(_, id)| seen.insert(*id)),
                "seed {seed}: an entry twice at {who}"
            );
        }
    }

    fn all_alike(&self) -> bool {
        let first = &self.nodes[self.voters[0].0 as usize].app;
        self.voters.iter().all(|m| self.nodes[m.0 as usize].app == *first) && !first.ids.is_empty()
    }

    pub fn states(&self) -> String {
        let one = |n: &Node| match &n.replica {
            None => "down".to_string(),
            Some(c) => {
                format!("{:?} {:?} leads {:?} at {}", c.status(), c.view(), n.leads, c.committed())
            }
        };
        self.nodes.iter().enumerate().map(|(who, n)| format!("\n  {who}: {}", one(n))).collect()
    }
}
