//! A model of the consensus state machine ([`Replica`]) for a model checker. Three members exchange messages that are
//! lost, duplicated, delayed and reordered. Members crash and lose their state, or restart with the state on their
//! disk.
//!
//! Three simplifications keep the state space finite:
//!
//! - `Heartbeat`, `StatusRequest` and `StatusResponse` are delivered at once or not at all, by the [`Partition`] of the
//!   current step.
//! - At most [`MAX_MESSAGES_PER_LINK`] messages of one kind are in flight from one member to another; the oldest of
//!   more are lost.
//! - Time advances in steps of 250 ms. Each member sends one heartbeat a step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_consensus::{
    Action as ReplicaAction, DurableState, Entry, EntryPayload, Event, LogIndex, Message,
    MessageBody, ProposalId, ProposalOutcome, Record, Replica, ReplicaConfig, ReplicaStatus, View,
};
use hollowpaddle_peer_transport::{Incarnation, NodeId};
use stateright::{Chooser, Model, Property};

/// Number of members.
pub const MEMBERS: u16 = 3;
/// Messages of one kind in flight on one link.
pub const MAX_MESSAGES_PER_LINK: usize = 2;
const STEP_DURATION: Duration = Duration::from_millis(250);
/// The node that proposes. It is not a voter.
const CLIENT: NodeId = NodeId(9);

/// Bounds of the state space.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Whether members have directories. A record is on disk only after a separate [`ModelAction::SyncDisk`].
    pub has_directories: bool,
    /// Time steps.
    pub steps: u8,
    /// Proposals.
    pub proposals: u8,
    /// Crashes of members.
    pub crashes: u8,
    /// Duplicated messages.
    pub duplicates: u8,
    /// Whether a majority may be without state at one moment. An acknowledged proposal may be lost then, which the
    /// protocol's guarantee allows; one index still never has two entries.
    pub allows_majority_loss: bool,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    replica: Replica,
    incarnation: u32,
    /// The last entry that the replica reported as committed.
    last_committed: Option<LogIndex>,
    disk: DurableState,
    unsynced: Vec<(u64, Record)>,
}

/// The members and the messages in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    step: u8,
    now: Duration,
    members: Vec<Member>,
    in_flight: BTreeMap<(u16, u16, u8), VecDeque<Message>>,
    allows_majority_loss: bool,
    /// The epoch of the first log.
    first_epoch: u32,
    committed_entries: BTreeMap<LogIndex, ProposalId>,
    acknowledged: BTreeMap<ProposalId, LogIndex>,
    /// The view in which each proposal was acknowledged.
    acknowledged_views: BTreeMap<ProposalId, View>,
    proposals: u8,
    crashes: u8,
    duplicates: u8,
    /// The partition since the last step.
    partition: Partition,
    violation: Option<String>,
    leaders: BTreeSet<NodeId>,
    has_recovered: bool,
}

/// Which links deliver `Heartbeat`, `StatusRequest` and `StatusResponse` during a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Partition {
    /// All links.
    None,
    /// No link to or from this member.
    Isolated(u16),
    /// No link to this member. Its own messages are delivered.
    InboundCut(u16),
    /// This member is paused, and the others go on.
    Paused(u16),
}

/// A transition of the model. Messages are named by sender, recipient, kind and position in the queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ModelAction {
    /// Advances time by one step with this partition.
    AdvanceTime(Partition),
    /// Delivers a message.
    Deliver(u16, u16, u8, usize),
    /// Delivers a message that stays in flight, and so is delivered again.
    DeliverDuplicate(u16, u16, u8, usize),
    /// Sends a proposal to this leader.
    Propose(u16),
    /// Crashes a member and restarts it without state, or with the state on its disk.
    Crash(u16),
    /// Syncs the records that a member has written.
    SyncDisk(u16),
}

fn message_kind(body: &MessageBody) -> u8 {
    match body {
        MessageBody::Heartbeat(_) => 0,
        MessageBody::Prepare { .. } => 1,
        MessageBody::PrepareOk { .. } => 2,
        MessageBody::StartViewChange { .. } => 3,
        MessageBody::DoViewChange { .. } => 4,
        MessageBody::GetState { .. } => 5,
        MessageBody::LogPart(_) => 6,
        MessageBody::StatusRequest { .. } => 7,
        MessageBody::StatusResponse { .. } => 8,
        MessageBody::Recovery { .. } => 9,
        MessageBody::RecoveryResponse { .. } => 10,
        MessageBody::ProposalResponse { .. } => 11,
        _ => 12,
    }
}

impl Partition {
    fn allows(self, from: u16, to: u16) -> bool {
        match self {
            Self::None => true,
            Self::Isolated(node_id) => from != node_id && to != node_id,
            Self::InboundCut(node_id) => to != node_id,
            Self::Paused(node_id) => from != node_id && to != node_id,
        }
    }
}

impl State {
    fn handle_event(&mut self, node_id: u16, event: Event) {
        let mut actions = Vec::new();
        self.members[usize::from(node_id)].replica.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute_action(node_id, action);
        }
    }

    fn execute_action(&mut self, node_id: u16, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => self.send(node_id, to, message),
            ReplicaAction::Persist { number, record } => {
                self.members[usize::from(node_id)].unsynced.push((number, record));
            }
            ReplicaAction::Committed { index, entry } => {
                self.check_committed(node_id, index, &entry)
            }
            ReplicaAction::Reset { index, base } => {
                for (id, position) in
                    self.acknowledged.iter().filter(|_| !self.allows_majority_loss)
                {
                    let is_covered =
                        position.epoch() == index.epoch() && position.op() <= index.op();
                    if is_covered && !base.proposals.iter().any(|(i, _)| i == id) {
                        self.violation =
                            Some(format!("node {node_id} resets to a snapshot without {id:?}"));
                    }
                }
                self.members[usize::from(node_id)].last_committed = Some(index);
            }
            ReplicaAction::StartedLeading { view, .. } => {
                self.leaders.insert(NodeId(node_id));
                // A leader has all entries acknowledged in earlier views. A leader of an old view that learns of its
                // election late is no violation: no member answers it.
                let op = self.members[usize::from(node_id)].replica.op();
                let in_earlier_view = |id| {
                    self.acknowledged_views
                        .get(id)
                        .is_some_and(|acknowledged_view| *acknowledged_view < view)
                };
                let mut acknowledged =
                    self.acknowledged.iter().filter(|(id, _)| in_earlier_view(*id));
                let missing = acknowledged.find(|(_, p)| p.op() > op && !self.allows_majority_loss);
                if let Some((id, position)) = missing {
                    self.violation = Some(format!(
                        "node {node_id} leads with {op} entries, but {id:?} is acknowledged at {position}"
                    ));
                }
            }
            _ => {}
        }
    }

    fn check_committed(&mut self, node_id: u16, index: LogIndex, entry: &Entry) {
        let member = &mut self.members[usize::from(node_id)];
        let next = member.last_committed.map_or(1, |t| t.op() + 1);
        if index.op() != next {
            self.violation = Some(format!("node {node_id} commits {index}, but {next} comes next"));
        }
        member.last_committed = Some(index);
        let first_entry = *self.committed_entries.entry(index).or_insert(entry.id);
        if first_entry != entry.id {
            self.violation =
                Some(format!("{index} has two entries: {first_entry:?} and {:?}", entry.id));
        }
        let conflicting = self
            .acknowledged
            .iter()
            .find(|(id, p)| p.op() == index.op() && **id != entry.id && !self.allows_majority_loss);
        if let Some((id, _)) = conflicting {
            self.violation =
                Some(format!("{id:?} was acknowledged at {index}, which has {:?}", entry.id));
        }
    }

    fn send(&mut self, from: u16, to: NodeId, message: Message) {
        if to == CLIENT {
            if let MessageBody::ProposalResponse {
                id,
                outcome: Some(ProposalOutcome::Committed(index)),
                ..
            } = message.body
                && *self.acknowledged.entry(id).or_insert(index) != index
                && !self.allows_majority_loss
            {
                self.violation =
                    Some(format!("{id:?} was acknowledged at two indexes, one of them {index}"));
            }
            if let MessageBody::ProposalResponse {
                id,
                outcome: Some(ProposalOutcome::Committed(_)),
                ..
            } = message.body
            {
                self.acknowledged_views.entry(id).or_insert(message.view);
            }
            return;
        }
        if to.0 >= MEMBERS
            || message.body.channel() != hollowpaddle_peer_transport::Channel::Consensus
        {
            return;
        }
        if matches!(
            message.body,
            MessageBody::Heartbeat(_)
                | MessageBody::StatusRequest { .. }
                | MessageBody::StatusResponse { .. }
        ) {
            if self.partition.allows(from, to.0) {
                self.deliver(from, to.0, message);
            }
            return;
        }
        let keeps_latest_only = matches!(message.body, MessageBody::PrepareOk { .. });
        let queue = self.in_flight.entry((from, to.0, message_kind(&message.body))).or_default();
        if queue.contains(&message) {
            return;
        }
        while queue.len() >= if keeps_latest_only { 1 } else { MAX_MESSAGES_PER_LINK } {
            queue.pop_front();
        }
        queue.push_back(message);
    }

    fn deliver(&mut self, from: u16, to: u16, message: Message) {
        let incarnation = Incarnation(self.members[usize::from(from)].incarnation);
        self.handle_event(to, Event::Message { from: NodeId(from), incarnation, message });
    }

    fn sync_disk(&mut self, node_id: u16) {
        let member = &mut self.members[usize::from(node_id)];
        let mut persisted_through = None;
        for (number, record) in std::mem::take(&mut member.unsynced) {
            member.disk.apply(number, record);
            persisted_through = Some(number);
        }
        if let Some(persisted_through) = persisted_through {
            self.handle_event(node_id, Event::Persisted { through: persisted_through });
        }
    }

    fn has_no_state(&self, node_id: u16) -> bool {
        let status = self.members[usize::from(node_id)].replica.advertised_status();
        matches!(
            status,
            ReplicaStatus::WithoutState | ReplicaStatus::Recovering | ReplicaStatus::DiskFailed
        )
    }

    /// Delivers all messages in flight, in order, until none is left.
    fn deliver_all(&mut self, bounds: &Bounds) {
        for _ in 0..200 {
            if bounds.has_directories {
                (0..MEMBERS).for_each(|node_id| self.sync_disk(node_id));
            }
            let Some(link) =
                self.in_flight.iter().find(|(_, queue)| !queue.is_empty()).map(|(k, _)| *k)
            else {
                return;
            };
            if let Some(message) = self.in_flight.get_mut(&link).and_then(VecDeque::pop_front) {
                self.deliver(link.0, link.1, message);
            }
        }
    }

    fn advance_time(&mut self, time: Duration, partition: Partition) {
        self.now += time;
        self.partition = partition;
        for node_id in (0..MEMBERS).filter(|node_id| partition != Partition::Paused(*node_id)) {
            self.handle_event(node_id, Event::Tick);
        }
    }
}

/// The model.
#[derive(Clone, Debug)]
pub struct ConsensusModel(pub Bounds);

fn replica_config(bounds: &Bounds, node_id: u16, incarnation: u32) -> ReplicaConfig {
    ReplicaConfig {
        node_id: NodeId(node_id),
        incarnation: Incarnation(incarnation),
        voters: (0..MEMBERS).map(NodeId).collect(),
        cluster_size: 0,
        has_directory: bounds.has_directories,
        required_learner_copies: 0,
        seed: u64::from(node_id) << 32 | u64::from(incarnation),
    }
}

impl ConsensusModel {
    /// Returns the state with one leader, two followers and an empty log.
    fn initial_state(&self) -> State {
        let members = (0..MEMBERS).map(|node_id| Member {
            replica: Replica::new(Duration::ZERO, replica_config(&self.0, node_id, 1), None),
            incarnation: 1,
            last_committed: None,
            disk: DurableState::default(),
            unsynced: Vec::new(),
        });
        let mut state = State {
            step: 0,
            now: Duration::ZERO,
            members: members.collect(),
            in_flight: BTreeMap::new(),
            allows_majority_loss: self.0.allows_majority_loss,
            first_epoch: 0,
            committed_entries: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            acknowledged_views: BTreeMap::new(),
            proposals: 0,
            crashes: 0,
            duplicates: 0,
            partition: Partition::None,
            violation: None,
            leaders: BTreeSet::new(),
            has_recovered: false,
        };
        for _ in 0..200 {
            state.advance_time(Duration::from_millis(25), Partition::None);
            state.deliver_all(&self.0);
        }
        state.leaders.clear();
        state.first_epoch = state.members[0].replica.view().epoch;
        state
    }
}

impl Model for ConsensusModel {
    type State = State;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<State> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &State, actions: &mut Vec<ModelAction>) {
        let bounds = &self.0;
        for ((from, to, message_kind), messages) in &state.in_flight {
            if state.partition == Partition::Paused(*to) {
                continue;
            }
            for position in 0..messages.len() {
                actions.push(ModelAction::Deliver(*from, *to, *message_kind, position));
                if state.duplicates < bounds.duplicates {
                    actions.push(ModelAction::DeliverDuplicate(
                        *from,
                        *to,
                        *message_kind,
                        position,
                    ));
                }
            }
        }
        for node_id in 0..MEMBERS {
            let member = &state.members[usize::from(node_id)];
            if state.proposals < bounds.proposals
                && member.replica.leader() == Some(NodeId(node_id))
            {
                actions.push(ModelAction::Propose(node_id));
            }
            if !member.unsynced.is_empty() {
                actions.push(ModelAction::SyncDisk(node_id));
            }
            // With directories any member may crash at any time: a replica persists its state before it sends a
            // promise. Without directories only one member at a time may be without state.
            let others_have_state = (0..MEMBERS)
                .filter(|other| *other != node_id)
                .all(|other| !state.has_no_state(other));
            if state.crashes < bounds.crashes
                && (bounds.has_directories || bounds.allows_majority_loss || others_have_state)
            {
                actions.push(ModelAction::Crash(node_id));
            }
        }
        if state.step < bounds.steps {
            actions.push(ModelAction::AdvanceTime(Partition::None));
            for node_id in 0..MEMBERS {
                let partitions = [
                    Partition::Isolated(node_id),
                    Partition::InboundCut(node_id),
                    Partition::Paused(node_id),
                ];
                actions.extend(partitions.map(ModelAction::AdvanceTime));
            }
        }
    }

    fn next_state(&self, last: &State, action: ModelAction) -> Option<State> {
        let mut state = last.clone();
        match action {
            ModelAction::AdvanceTime(partition) => {
                state.step += 1;
                state.advance_time(STEP_DURATION, partition);
            }
            ModelAction::Deliver(from, to, message_kind, position) => {
                let messages = state.in_flight.get_mut(&(from, to, message_kind))?;
                let message = messages.remove(position)?;
                if messages.is_empty() {
                    state.in_flight.remove(&(from, to, message_kind));
                }
                state.deliver(from, to, message);
            }
            ModelAction::DeliverDuplicate(from, to, message_kind, position) => {
                state.duplicates += 1;
                let message =
                    state.in_flight.get(&(from, to, message_kind))?.get(position)?.clone();
                state.deliver(from, to, message);
            }
            ModelAction::Propose(node_id) => {
                state.proposals += 1;
                let number = u64::from(state.proposals);
                let id = ProposalId { by: CLIENT, incarnation: Incarnation(1), number };
                let body = MessageBody::Propose {
                    id,
                    payload: Some(EntryPayload::Command(vec![state.proposals])),
                };
                let message = Message {
                    view: Default::default(),
                    incarnation_counts: Default::default(),
                    body,
                };
                state.handle_event(
                    node_id,
                    Event::Message { from: CLIENT, incarnation: Incarnation(1), message },
                );
            }
            ModelAction::Crash(node_id) => {
                state.crashes += 1;
                let member = &mut state.members[usize::from(node_id)];
                member.incarnation += 1;
                member.unsynced.clear();
                member.last_committed = None;
                let found = self.0.has_directories.then(|| member.disk.clone());
                member.replica = Replica::new(
                    state.now,
                    replica_config(&self.0, node_id, member.incarnation),
                    found,
                );
            }
            ModelAction::SyncDisk(node_id) => state.sync_disk(node_id),
        }
        state.has_recovered |=
            state.crashes > 0 && (0..MEMBERS).all(|node_id| !state.has_no_state(node_id));
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "each index has one entry, in order, and no acknowledged proposal is lost",
                |_, s: &State| s.violation.is_none(),
            ),
            Property::sometimes("a proposal is acknowledged", |_, s: &State| {
                !s.acknowledged.is_empty()
            }),
            Property::sometimes("another member leads", |_, s: &State| {
                s.leaders.iter().any(|m| m.0 != 0) || s.leaders.len() > 1
            }),
            Property::sometimes("a crashed member recovers", |_, s: &State| s.has_recovered),
            Property::sometimes("a new log is bootstrapped", |m: &Self, s: &State| {
                !m.0.allows_majority_loss
                    || s.committed_entries.keys().any(|i| i.epoch() > s.first_epoch)
            }),
        ]
    }
}

impl State {
    /// Returns the last violation found, if any.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }
}

/// Prefers deliveries and disk syncs in three of four steps, so that a random walk makes progress.
#[derive(Clone, Copy, Debug)]
pub struct RandomWalk;

impl Chooser<ConsensusModel> for RandomWalk {
    type State = oorandom::Rand32;

    fn new_state(&self, seed: u64) -> Self::State {
        oorandom::Rand32::new(seed)
    }
    fn choose_initial_state(&self, _: &mut Self::State, _: &[State]) -> usize {
        0
    }
    fn choose_action(&self, rng: &mut Self::State, _: &State, actions: &[ModelAction]) -> usize {
        let is_delivery_or_sync = |action: &ModelAction| {
            matches!(action, ModelAction::Deliver(..) | ModelAction::SyncDisk(_))
        };
        let preferred: Vec<usize> =
            (0..actions.len()).filter(|i| is_delivery_or_sync(&actions[*i])).collect();
        if !preferred.is_empty() && rng.rand_range(0..4) > 0 {
            preferred[rng.rand_range(0..preferred.len() as u32) as usize]
        } else {
            rng.rand_range(0..actions.len() as u32) as usize
        }
    }
}
