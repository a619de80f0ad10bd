//! State that several protocols of a replica share. Each protocol's module contains the logic on it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use hollowpaddle_peer_transport::NodeId;

use crate::entry::{LogIndex, ProposalId};
use crate::message::{ReplicaStatus, View};

/// The state of another voter, as its last heartbeat reported it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PeerState {
    pub(crate) last_heartbeat_at: Duration,
    pub(crate) view: View,
    pub(crate) status: ReplicaStatus,
    /// Whether the peer receives this node's heartbeats.
    pub(crate) receives_from_us: bool,
    pub(crate) is_leader: bool,
    pub(crate) is_leaderless: bool,
    /// Number of the peer's last record on disk.
    pub(crate) persisted: u64,
}

/// A voter's vote for a candidate in a view change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DoViewChangeVote {
    pub(crate) incarnation_count: u32,
    pub(crate) last_normal_view: View,
    pub(crate) op: u64,
    pub(crate) commit: u64,
    pub(crate) state_lost: bool,
}

/// A learner's copy of the log up to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LearnerCopy {
    pub(crate) index: LogIndex,
    pub(crate) learner: NodeId,
}

/// An epoch bootstrap in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EpochBootstrap {
    /// The most complete copy of the log that a learner has reported.
    pub(crate) copy: Option<LearnerCopy>,
    /// Whether operators requested the bootstrap and named its voters.
    pub(crate) is_forced: bool,
    pub(crate) began_at: Duration,
}

/// The position of a follower, as its acknowledgements to the leader report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Acknowledgement {
    /// Number of the last entry that the follower has persisted.
    pub(crate) op: u64,
    /// Time at which the latest heartbeat that the follower acknowledged was sent.
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
    /// Time at which the latest heartbeat that a majority acknowledged was sent.
    pub(crate) quorum_heartbeat_at: Duration,
    pub(crate) heartbeat_number: u32,
    /// The latest heartbeats that were sent.
    pub(crate) heartbeats: VecDeque<SentHeartbeat>,
    pub(crate) acknowledgements: BTreeMap<NodeId, Acknowledgement>,
    /// The nodes that wait for the outcome of a proposal, by its id.
    pub(crate) waiting_nodes: BTreeMap<ProposalId, BTreeSet<NodeId>>,
}

/// A learner's position in the log, and the time of its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LearnerPosition {
    pub(crate) index: LogIndex,
    pub(crate) reported_at: Duration,
}

/// A peer's response to a status request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StatusReport {
    /// Time of the request on this node's clock, in milliseconds.
    pub(crate) requested_at_ms: u64,
    pub(crate) status: ReplicaStatus,
    /// The incarnation of the peer's process.
    pub(crate) own_incarnation: u64,
    /// Number of this node's last record on disk that the peer knows of.
    pub(crate) persisted: u64,
    pub(crate) commit: u64,
    /// This node's incarnation count, as known to the peer.
    pub(crate) our_incarnation_count: u32,
    pub(crate) view: View,
    pub(crate) received_at: Duration,
}

/// The first report of a peer's process that it has lost its state.
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

/// A peer's response to a recovery message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecoveryReport {
    pub(crate) view: View,
    pub(crate) op: u64,
    pub(crate) is_leader: bool,
    /// The peer's own incarnation count.
    pub(crate) incarnation_count: u32,
}

/// A recovery in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RecoveryState {
    pub(crate) nonce: u64,
    /// Whether the node has state from a directory that is not yet known to be trustworthy.
    pub(crate) has_directory: bool,
    pub(crate) began_at: Duration,
    /// Time of the next requests to the peers.
    pub(crate) due: Duration,
    pub(crate) reports: BTreeMap<NodeId, StatusReport>,
    pub(crate) state_losses: BTreeMap<NodeId, StateLossReport>,
    pub(crate) begun_incarnation: Option<BegunIncarnation>,
    pub(crate) responses: BTreeMap<NodeId, RecoveryReport>,
    /// The most complete copy of the log that a learner has reported.
    pub(crate) best_copy: Option<LearnerCopy>,
    /// Node id of the next learner to query.
    pub(crate) next_learner: u16,
}
