//! The parts of a replica's state that several of its protocols share; what they lead to is left to those.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::entry::{LogIndex, ProposalId};
use crate::message::{ReplicaStatus, View};

/// What the last heartbeat of another voter told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PeerState {
    pub(crate) last_heartbeat_at: Duration,
    pub(crate) view: View,
    pub(crate) status: ReplicaStatus,
    /// It receives this node's heartbeats.
    pub(crate) receives_from_us: bool,
    pub(crate) is_leader: bool,
    pub(crate) is_leaderless: bool,
    /// Number of its last record on disk.
    pub(crate) persisted: u64,
}

/// What a voter told that takes part in a view change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DoViewChangeVote {
    pub(crate) incarnation_count: u32,
    pub(crate) last_normal_view: View,
    pub(crate) op: u64,
    pub(crate) commit: u64,
    pub(crate) state_lost: bool,
}

/// A learner's copy of the log, up to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LearnerCopy {
    pub(crate) index: LogIndex,
    pub(crate) learner: NodeId,
}

/// The bootstrap of an epoch that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EpochBootstrap {
    /// The best copy of a learner.
    pub(crate) copy: Option<LearnerCopy>,
    /// Operators ordered it and named the voters.
    pub(crate) is_forced: bool,
    pub(crate) began_at: Duration,
}

/// What a leader knows of a follower, from its acknowledgements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Acknowledgement {
    /// Number of the last entry that it has persisted.
    pub(crate) op: u64,
    /// When the latest heartbeat that it answered was sent.
    pub(crate) heartbeat_sent_at: Option<Duration>,
}

/// A heartbeat that the leader sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SentHeartbeat {
    pub(crate) number: u32,
    pub(crate) sent_at: Duration,
}

/// The state of a leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct LeaderState {
    pub(crate) since: Duration,
    /// When the latest heartbeat that a majority answered was sent.
    pub(crate) quorum_heartbeat_at: Duration,
    pub(crate) heartbeat_number: u32,
    /// The latest heartbeats.
    pub(crate) heartbeats: VecDeque<SentHeartbeat>,
    pub(crate) acknowledgements: BTreeMap<NodeId, Acknowledgement>,
    /// The nodes that wait for the outcome of each proposal.
    pub(crate) waiting: BTreeMap<ProposalId, BTreeSet<NodeId>>,
}

/// When a learner reported its position in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LearnerPosition {
    pub(crate) index: LogIndex,
    pub(crate) reported_at: Duration,
}

/// What a peer answered to a status request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StatusReport {
    /// When it was asked, on this node's clock in milliseconds.
    pub(crate) asked_at_ms: u64,
    pub(crate) status: ReplicaStatus,
    /// The peer's process.
    pub(crate) own_incarnation: u64,
    /// Number of this node's last record on disk that the peer knows of.
    pub(crate) persisted: u64,
    pub(crate) commit: u64,
    /// This node's incarnation count that the peer knows.
    pub(crate) our_incarnation_count: u32,
    pub(crate) view: View,
    pub(crate) received_at: Duration,
}

/// When a process of a peer first reported that it has lost its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StateLossReport {
    pub(crate) own_incarnation: u64,
    pub(crate) received_at: Duration,
}

/// The incarnation count that a recovering replica has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BegunIncarnation {
    pub(crate) count: u32,
    pub(crate) since: Duration,
}

/// What a peer answered to a recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecoveryReport {
    pub(crate) view: View,
    pub(crate) op: u64,
    pub(crate) is_leader: bool,
    /// The peer's own incarnation count.
    pub(crate) incarnation_count: u32,
}

/// A recovery that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecoveryState {
    pub(crate) nonce: u64,
    /// There is a directory, of which is not known yet whether to trust it.
    pub(crate) has_directory: bool,
    pub(crate) began_at: Duration,
    /// When to ask again.
    pub(crate) due: Duration,
    pub(crate) reports: BTreeMap<NodeId, StatusReport>,
    pub(crate) state_losses: BTreeMap<NodeId, StateLossReport>,
    pub(crate) begun: Option<BegunIncarnation>,
    pub(crate) responses: BTreeMap<NodeId, RecoveryReport>,
    /// The best copy of a learner.
    pub(crate) best_copy: Option<LearnerCopy>,
    /// The next learner to ask.
    pub(crate) next_learner: u16,
}
