//! A voter of the replicated log as a state machine: its state, and the dispatch of events to handlers.
//!
//! The handlers are in `dispatch` (messages), `durability`, `heartbeat`, `view_change`, `leadership`, `catch_up`,
//! `replication`, `proposals`, `recovery` and `epoch_bootstrap`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::entry::{EntryPayload, LogIndex, ProposalId};
use crate::interface::{Action, Event, OperatorCommand, ReplicaConfig};
use crate::log::{Log, SnapshotBase};
use crate::log_record::DurableState;
use crate::message::{IncarnationCounts, Message, ReplicaStatus, View};
use crate::replica_state::{
    DoViewChangeVote, EpochBootstrap, LeaderState, LearnerPosition, PeerState, RecoveryState,
};
use crate::split_mix;
use crate::state_transfer::StateTransfer;
use crate::timing::{HEARTBEAT_INTERVAL, QUORUM_LOSS_TIMEOUT, VIEW_CHANGE_TIMEOUT};
use crate::voter_set::VoterSet;

/// Largest number of learners whose positions are tracked.
const MAX_TRACKED_LEARNERS: usize = 64;
/// Shortest delay between the loss of the leader and the start of a view, in milliseconds.
const MIN_ELECTION_DELAY_MS: u64 = 20;
/// Random part of that delay, in milliseconds.
const ELECTION_JITTER_MS: u64 = 130;

/// A message that is sent once the records issued before it are on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AwaitingSync {
    /// Number of the last record that must be on disk before the message is sent.
    pub(crate) record_number: u64,
    pub(crate) to: NodeId,
    pub(crate) message: Message,
}

/// A voter of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(crate) config: ReplicaConfig,
    pub(crate) now: Duration,
    pub(crate) rng_state: u64,
    pub(crate) incarnation_counts: IncarnationCounts,
    pub(crate) view: View,
    /// The last view in which the replica's status was normal.
    pub(crate) last_normal_view: View,
    pub(crate) status: ReplicaStatus,
    /// Whether the replica has lost its state and not yet fetched the peers' state.
    pub(crate) state_lost: bool,
    pub(crate) log: Log,
    /// Number of the last entry that is known to be committed.
    pub(crate) commit: u64,
    pub(crate) voter_set: VoterSet,
    /// Recent proposals, with the numbers of their entries.
    pub(crate) proposals: BTreeMap<ProposalId, u64>,
    /// The last entry that was delivered.
    pub(crate) delivered: Option<LogIndex>,
    pub(crate) peers: BTreeMap<NodeId, PeerState>,
    /// The greatest known number of a view of this epoch.
    pub(crate) highest_view_number: u32,
    pub(crate) votes: BTreeMap<NodeId, DoViewChangeVote>,
    pub(crate) bootstrap: Option<EpochBootstrap>,
    /// Present while the replica leads its view.
    pub(crate) leadership: Option<LeaderState>,
    pub(crate) transfer: Option<StateTransfer>,
    /// Earliest time at which the replica begins another view.
    pub(crate) next_view_change: Duration,
    /// Time since which the replica is connected to no leader.
    pub(crate) leaderless_since: Option<Duration>,
    pub(crate) heartbeat_due: Duration,
    pub(crate) recovery: Option<RecoveryState>,
    pub(crate) learner_positions: BTreeMap<NodeId, LearnerPosition>,
    /// Number of the entry at which a snapshot was last requested.
    pub(crate) snapshot_wanted_at: u64,
    /// The incarnation counts that were last persisted before a response to a recovering peer.
    pub(crate) persisted_counts: Option<IncarnationCounts>,
    /// Number of the last record on disk.
    pub(crate) persisted: u64,
    /// Number of the last record that was issued to be persisted.
    pub(crate) issued: u64,
    pub(crate) awaiting_sync: VecDeque<AwaitingSync>,
    /// Messages from the replica to itself.
    pub(crate) loopback: VecDeque<Message>,
}

impl Replica {
    /// Creates a replica that starts recovery, with the state that was read from its directory, if any.
    pub fn new(now: Duration, config: ReplicaConfig, found: Option<DurableState>) -> Self {
        let mut replica = Self::without_state(now, config);
        let found = found.filter(|_| replica.config.has_directory);
        let has_state = found.is_some_and(|durable| replica.restore_durable(durable));
        replica.start_recovery(has_state);
        replica
    }

    fn without_state(now: Duration, config: ReplicaConfig) -> Self {
        let voter_set = VoterSet::of(config.voters.iter().copied());
        let base = SnapshotBase { voter_set: voter_set.clone(), ..SnapshotBase::default() };
        Self {
            now,
            rng_state: config.seed ^ split_mix::GOLDEN_GAMMA,
            incarnation_counts: IncarnationCounts::new(),
            view: View::default(),
            last_normal_view: View::default(),
            status: ReplicaStatus::WithoutState,
            state_lost: true,
            log: Log::new(base),
            commit: 0,
            voter_set,
            proposals: BTreeMap::new(),
            delivered: None,
            peers: BTreeMap::new(),
            highest_view_number: 0,
            votes: BTreeMap::new(),
            bootstrap: None,
            leadership: None,
            transfer: None,
            next_view_change: now,
            leaderless_since: None,
            heartbeat_due: now,
            recovery: None,
            learner_positions: BTreeMap::new(),
            snapshot_wanted_at: 0,
            persisted_counts: None,
            persisted: 0,
            issued: 0,
            awaiting_sync: VecDeque::new(),
            loopback: VecDeque::new(),
            config,
        }
    }

    /// Restores the state of the directory, and returns whether there is any.
    fn restore_durable(&mut self, durable: DurableState) -> bool {
        self.issued = durable.last_number;
        self.persisted = durable.last_number;
        let Some(state) = durable.state else { return false };
        self.view = state.view;
        self.last_normal_view = state.last_normal_view;
        self.incarnation_counts = state.incarnation_counts;
        self.log = state.log;
        self.commit = state.commit.clamp(self.log.base().op, self.log.op());
        self.voter_set = self.log.voters_at(self.commit);
        self.proposals = self.log.proposals_at(self.log.op());
        true
    }

    /// Handles one event. `now` is the time since the start of the process, and does not go back.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // This check comes before any handler: after a pause the replica may no longer lead.
        self.step_down_without_quorum(actions);
        match event {
            Event::Tick => self.tick(actions),
            Event::Message { from, incarnation: _, message } => {
                self.on_message(from, message, actions)
            }
            Event::Persisted { through } => self.on_persisted(through, actions),
            Event::DiskFailed { cause: _ } => self.on_disk_failed(actions),
            Event::DiskRecovered => self.on_disk_recovered(actions),
            Event::Snapshot { index, bytes } => self.on_snapshot(index, bytes, actions),
            Event::LearnerAdvanced { by, index } => self.on_learner_position(by, index, actions),
            Event::OperatorCommand(command) => self.on_operator_command(command, actions),
        }
        while let Some(message) = self.loopback.pop_front() {
            self.on_message(self.config.node_id, message, actions);
        }
    }

    fn on_learner_position(&mut self, by: NodeId, index: LogIndex, actions: &mut Vec<Action>) {
        let is_tracked = self.learner_positions.contains_key(&by);
        if is_tracked || self.learner_positions.len() < MAX_TRACKED_LEARNERS {
            let position = LearnerPosition { index, reported_at: self.now };
            self.learner_positions.insert(by, position);
        }
        self.answer_committed(actions);
    }

    fn on_operator_command(&mut self, command: OperatorCommand, actions: &mut Vec<Action>) {
        match command {
            OperatorCommand::ReplaceVoter { id, removed, replacement } => {
                let payload = EntryPayload::RemoveVoter { removed, replacement };
                self.on_propose(self.config.node_id, id, Some(payload), actions);
            }
            OperatorCommand::ForceNewEpoch { voters } => self.force_epoch(&voters, actions),
        }
    }

    /// Returns the status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.status
    }

    /// Returns the status that the replica reports to its peers. A replica that takes part in a bootstrap without
    /// state still reports that it has lost its state.
    pub fn advertised_status(&self) -> ReplicaStatus {
        if self.state_lost && self.status == ReplicaStatus::ViewChange {
            ReplicaStatus::WithoutState
        } else {
            self.status
        }
    }

    /// Returns the view that the replica takes part in, or changes to.
    pub fn view(&self) -> View {
        self.view
    }

    /// Returns the leader that the replica is connected to, or the replica itself if it leads.
    pub fn leader(&self) -> Option<NodeId> {
        if self.leadership.is_some() {
            return Some(self.config.node_id);
        }
        let has_leader = self.status == ReplicaStatus::Normal && !self.is_leaderless();
        has_leader.then_some(self.view.leader)
    }

    /// Returns the number of the last entry of the log, committed or not.
    pub fn op(&self) -> u64 {
        self.log.op()
    }

    /// Returns the index of the last entry that is known to be committed.
    pub fn committed(&self) -> LogIndex {
        LogIndex::new(self.last_normal_view.epoch, self.commit)
    }

    /// Returns the current set of voters, as known to the replica.
    pub fn voter_set(&self) -> &VoterSet {
        &self.voter_set
    }

    /// Whether the replica takes part in a view or a view change.
    pub(crate) fn is_active(&self) -> bool {
        matches!(self.status, ReplicaStatus::Normal | ReplicaStatus::ViewChange)
    }

    /// Returns this node's incarnation count.
    pub(crate) fn own_incarnation_count(&self) -> u32 {
        self.incarnation_count(self.config.node_id)
    }

    pub(crate) fn incarnation_count(&self, node: NodeId) -> u32 {
        self.incarnation_counts.get(&node).copied().unwrap_or(0)
    }

    /// Whether at least `period` has passed since `since`.
    pub(crate) fn has_passed(&self, since: Duration, period: Duration) -> bool {
        self.now.saturating_sub(since) >= period
    }

    /// Returns a random number below `bound`.
    pub(crate) fn sample(&mut self, bound: u64) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(split_mix::GOLDEN_GAMMA);
        split_mix::finalize(self.rng_state) % bound.max(1)
    }

    /// Steps down if the replica leads and no majority has acknowledged a recent heartbeat.
    fn step_down_without_quorum(&mut self, actions: &mut Vec<Action>) {
        let Some(leadership) = &self.leadership else { return };
        let silence = self.now.saturating_sub(leadership.quorum_heartbeat_at);
        if silence > QUORUM_LOSS_TIMEOUT {
            self.step_down(actions);
            self.send_heartbeat(actions);
        }
    }

    pub(crate) fn step_down(&mut self, actions: &mut Vec<Action>) {
        if self.leadership.take().is_some() {
            actions.push(Action::StoppedLeading);
            self.next_view_change = self.now + VIEW_CHANGE_TIMEOUT;
        }
    }

    /// Abandons the state transfer, the bootstrap and the recovery in progress, if any.
    pub(crate) fn abandon_transitions(&mut self) {
        self.transfer = None;
        self.bootstrap = None;
        self.recovery = None;
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        let requested_at = self.transfer.as_ref().map(|transfer| transfer.requested_at);
        if requested_at.is_some_and(|at| self.has_passed(at, HEARTBEAT_INTERVAL)) {
            self.request_state(actions);
        }
        if self.recovery.is_some() {
            self.tick_recovery(actions);
            return;
        }
        if self.status == ReplicaStatus::NonVoter {
            return;
        }
        let is_leaderless = self.is_leaderless();
        self.track_leaderless(is_leaderless);
        if self.now >= self.heartbeat_due {
            self.run_heartbeat(actions);
        }
        self.consider_view_change(is_leaderless, actions);
    }

    fn track_leaderless(&mut self, is_leaderless: bool) {
        if !is_leaderless {
            self.leaderless_since = None;
        } else if self.leaderless_since.is_none() {
            self.leaderless_since = Some(self.now);
            // Peers support a view change only after a heartbeat that reports the loss of the leader, so it is sent
            // at once. The replica with the shortest delay begins the view change.
            self.heartbeat_due = self.now;
            let delay = MIN_ELECTION_DELAY_MS + self.sample(ELECTION_JITTER_MS);
            let earliest = self.now + Duration::from_millis(delay);
            self.next_view_change = self.next_view_change.max(earliest);
        }
    }

    fn run_heartbeat(&mut self, actions: &mut Vec<Action>) {
        self.heartbeat_due = self.now + HEARTBEAT_INTERVAL;
        self.send_heartbeat(actions);
        self.admit_joining_voter(actions);
        self.answer_committed(actions);
        let would_lead =
            self.status == ReplicaStatus::ViewChange && self.view.leader == self.config.node_id;
        if would_lead {
            self.send_start_view_change(actions);
            self.try_lead(actions);
        }
    }
}
