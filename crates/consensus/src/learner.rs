//! A learner, which every node runs. A learner learns the committed entries in order, forwards them to its children in
//! the dissemination tree, and sends proposals to the leader. [`crate::Replica`] is the voter.

mod children;
mod interface;
mod learning;
mod proposals;
mod source;

use std::collections::BTreeMap;
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

pub use interface::{LearnerAction, LearnerConfig, LearnerEvent};

use crate::entry::{EntryPayload, LogIndex, ProposalId};
use crate::log::{Log, SnapshotBase};
use crate::message::{IncarnationCounts, MAX_SNAPSHOT_BYTES, Message, MessageBody, View};
use crate::replication::SNAPSHOT_RESERVE_BYTES;
use crate::state_transfer::SnapshotAssembly;
use crate::voter_set::VoterSet;

use children::Child;
use learning::Update;
use proposals::PendingProposal;

/// Interval at which a learner polls its source.
pub const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a message of the source, which covers two polls, after which the source is changed.
pub const SOURCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time since the leader was last known to lead, according to the source, after which the source is changed.
pub const MAX_LEADER_AGE: Duration = Duration::from_millis(1500);
/// Time after which an unanswered request, or the sending of unconfirmed entries, is repeated. This is also the
/// interval of [`MAX_CHUNKS_PER_INTERVAL`].
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of parts of a log, of at most 16 KiB each, that a learner sends to all nodes together within 100 ms.
/// The limit bounds the burst when many nodes catch up at once.
pub const MAX_CHUNKS_PER_INTERVAL: u32 = 32;
/// Time after which the outcome of a proposal without an answer is reported as unknown.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of pending proposals at one node. The outcome of a further proposal is reported as unknown at once.
pub const MAX_PENDING_PROPOSALS: usize = 256;

/// A learner of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Learner {
    config: LearnerConfig,
    now: Duration,
    rng_state: u64,
    epoch: u32,
    log: Log,
    voter_set: VoterSet,
    /// The last reported leader.
    leader: Option<NodeId>,
    /// Whether this process's replica is connected to the leader.
    is_replica_connected: bool,
    /// Time at which the leader was last known to lead, according to the source.
    leader_seen_at: Option<Duration>,
    /// All nodes in the order of the dissemination tree.
    tree_order: Vec<NodeId>,
    source: Option<NodeId>,
    /// Number of changes of the source since the source was the parent in the tree.
    source_changes: u32,
    /// Time at which the source was chosen.
    source_since: Duration,
    /// Time of the last message of the source.
    source_active_at: Duration,
    polled_at: Option<Duration>,
    /// Whether the source has entries that this learner lacks.
    is_behind: bool,
    snapshot: SnapshotAssembly,
    /// The epoch of the snapshot that is being fetched.
    snapshot_epoch: u32,
    /// Number of snapshot requests to nodes other than the source.
    other_requests: usize,
    children: BTreeMap<NodeId, Child>,
    /// Number of parts sent in the current interval.
    chunks_sent: u32,
    chunk_interval_began: Duration,
    pending_proposals: BTreeMap<ProposalId, PendingProposal>,
    /// Number of the entry at which a snapshot was last requested.
    snapshot_wanted_at: u64,
}

impl Learner {
    /// Creates a learner without entries.
    pub fn new(now: Duration, config: LearnerConfig) -> Self {
        let voter_set = VoterSet::of(config.voters.iter().copied());
        let base = SnapshotBase { voter_set: voter_set.clone(), ..SnapshotBase::default() };
        let mut learner = Self {
            now,
            rng_state: config.seed ^ 0x1EA4_0000,
            epoch: 0,
            log: Log::new(base),
            leader: None,
            is_replica_connected: false,
            leader_seen_at: None,
            tree_order: crate::learner_tree::tree_order(config.cluster_size, &voter_set, None),
            voter_set,
            source: None,
            source_changes: 0,
            source_since: now,
            source_active_at: now,
            polled_at: None,
            is_behind: false,
            snapshot: SnapshotAssembly::default(),
            snapshot_epoch: 0,
            other_requests: 0,
            children: BTreeMap::new(),
            chunks_sent: 0,
            chunk_interval_began: now,
            pending_proposals: BTreeMap::new(),
            snapshot_wanted_at: 0,
            config,
        };
        learner.source = learner.tree_source();
        learner
    }

    /// Handles one event. `now` is the time since the start of the process.
    pub fn handle(&mut self, now: Duration, event: LearnerEvent, actions: &mut Vec<LearnerAction>) {
        self.now = self.now.max(now);
        match event {
            LearnerEvent::Tick => self.tick(actions),
            LearnerEvent::Message { from, incarnation: _, message } => {
                self.on_message(from, message.body, actions)
            }
            LearnerEvent::Committed { index, entry } => {
                if index.epoch() == self.epoch && self.apply(index.op(), entry, actions) {
                    self.push_to_children(index.op(), actions);
                }
            }
            LearnerEvent::Reset { index, base } => self.adopt(index.epoch(), base, actions),
            LearnerEvent::Leader(leader) => {
                self.is_replica_connected = leader.is_some();
                self.learn_leader(leader, actions);
            }
            LearnerEvent::Snapshot { index, bytes } => self.on_snapshot(index, bytes),
            LearnerEvent::ChangeSource(source) => self.on_change_source(source, actions),
            LearnerEvent::Propose { id, bytes } => self.on_propose(id, bytes, actions),
            LearnerEvent::ReplaceVoter { id, removed, replacement } => {
                let payload = EntryPayload::RemoveVoter { removed, replacement };
                self.start_proposal(id, Some(payload), actions);
            }
            LearnerEvent::QueryOutcome { id } => self.start_proposal(id, None, actions),
        }
    }

    /// Returns the index of the learner's last entry.
    pub fn last_index(&self) -> LogIndex {
        LogIndex::new(self.epoch, self.log.op())
    }

    /// Returns the node that this learner learns from.
    pub fn source(&self) -> Option<NodeId> {
        self.source
    }

    /// Returns the nodes that learn from this learner.
    pub fn children(&self) -> impl Iterator<Item = NodeId> {
        self.children.keys().copied()
    }

    /// Returns the last reported leader.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the current voters, as known to the learner.
    pub fn voter_set(&self) -> &VoterSet {
        &self.voter_set
    }

    /// Returns a random number below `bound`.
    fn sample(&mut self, bound: usize) -> usize {
        // A linear congruential generator (Knuth's MMIX), of which the upper bits are used.
        self.rng_state = self
            .rng_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 33) as usize % bound.max(1)
    }

    /// Whether at least `period` has passed since `since`.
    fn has_passed(&self, since: Duration, period: Duration) -> bool {
        self.now.saturating_sub(since) >= period
    }

    fn send(&self, to: NodeId, body: MessageBody, actions: &mut Vec<LearnerAction>) {
        let view = View { epoch: self.epoch, ..View::default() };
        let incarnation_counts = IncarnationCounts::new();
        let message = Message { view, incarnation_counts, body };
        actions.push(LearnerAction::Send { to, message });
    }

    fn on_snapshot(&mut self, index: LogIndex, bytes: Vec<u8>) {
        let op = index.op();
        let is_of_log =
            index.epoch() == self.epoch && op <= self.log.op() && op > self.log.base().op;
        if is_of_log && bytes.len() <= MAX_SNAPSHOT_BYTES - SNAPSHOT_RESERVE_BYTES {
            self.log.rebase(self.log.snapshot_at(op, bytes));
        }
    }

    fn tick(&mut self, actions: &mut Vec<LearnerAction>) {
        self.check_source(actions);
        self.drop_silent_children();
        self.push_again(actions);
        let interval = if self.is_behind { RETRY_INTERVAL } else { POLL_INTERVAL };
        if self.polled_at.is_none_or(|polled_at| self.has_passed(polled_at, interval)) {
            self.poll_source(actions);
        }
        self.expire_proposals(actions);
        self.repeat_proposals(actions);
    }

    fn on_message(&mut self, from: NodeId, body: MessageBody, actions: &mut Vec<LearnerAction>) {
        match body {
            MessageBody::LearnerPoll { index, offset, checksum } => {
                self.on_poll(from, index, offset, checksum, actions)
            }
            MessageBody::LearnerUpdate { index, leader, voter_set, leader_age_ms, part } => {
                let update = Update { index, leader, voter_set, leader_age_ms };
                self.on_update(from, update, part, actions);
            }
            MessageBody::SnapshotChunkRequest { offset, checksum } => {
                self.on_snapshot_chunk_request(from, offset, checksum, actions)
            }
            MessageBody::LearnerStatusRequest { nonce } => {
                self.send_status(from, nonce, actions);
            }
            MessageBody::GetLearnerState { first, offset } => {
                self.on_get_state(from, first, offset, actions)
            }
            MessageBody::ProposalResponse { id, outcome, leader } => {
                self.on_proposal_response(from, id, outcome, leader, actions)
            }
            _ => {}
        }
    }

    /// Reports the last entry of this learner's copy of the log.
    fn send_status(&self, to: NodeId, nonce: u64, actions: &mut Vec<LearnerAction>) {
        let (index, voter_set) = (self.last_index(), self.voter_set.clone());
        let body = MessageBody::LearnerStatusResponse { nonce, index, voter_set };
        self.send(to, body, actions);
    }
}
