//! Messages between voters and learners. They are encoded in `message_encoding`, and handled by the replica and the
//! learner.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hollowpaddle_peer_transport::{Channel, NodeId};
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, EntryPayload, LogIndex, ProposalId, ProposalOutcome};
use crate::voter_set::VoterSet;

/// Largest number of bytes of entries, or of a snapshot, in one message. A longer message would delay all other
/// messages to the same peer.
pub const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 20 << 10;
/// Largest encoded [`crate::SnapshotBase`], in bytes. It bounds the memory of a node that assembles a
/// snapshot.
pub const MAX_SNAPSHOT_BYTES: usize = 2 << 20;

/// A view. Views are ordered, and the greatest view wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct View {
    /// Number of the epoch; 0 before the first bootstrap.
    pub epoch: u32,
    /// Number of the view within the epoch, as its leader knew it when it began the view.
    pub number: u32,
    /// The leader of the view. Its node id orders two views that began with the same number.
    pub leader: NodeId,
}

/// The number of times that each voter has lost its state: the crash vector of Michael et al. (2017).
pub type IncarnationCounts = BTreeMap<NodeId, u32>;

/// A part of a log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogPart {
    /// Consecutive entries.
    Entries {
        /// Number of the first entry.
        first: u64,
        /// The entries, as many as fit a message.
        entries: Vec<Entry>,
    },
    /// A part of a snapshot.
    Chunk {
        /// Number of the last entry in the snapshot.
        op: u64,
        /// Length of the snapshot, in bytes.
        total_bytes: u32,
        /// CRC-32 (IEEE 802.3) of the snapshot.
        checksum: u32,
        /// Position of the first of `bytes` in the snapshot.
        offset: u32,
        /// The bytes of the snapshot, at most [`MAX_CHUNK_BYTES`].
        bytes: Vec<u8>,
    },
}

/// The status of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplicaStatus {
    /// The replica is not a voter.
    NonVoter,
    /// The replica has lost its state and does not vote.
    WithoutState,
    /// The replica has started with a directory, and does not yet know whether its peers know of later state.
    Recovering,
    /// The replica takes part in a view change.
    ViewChange,
    /// The replica takes part in its view.
    Normal,
    /// The disk of the replica has failed, and the replica does not vote.
    DiskFailed,
}

/// Writes the text that the admin API returns.
impl fmt::Display for ReplicaStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NonVoter => "outside",
            Self::WithoutState => "blank",
            Self::Recovering => "waking",
            Self::ViewChange => "changing",
            Self::Normal => "normal",
            Self::DiskFailed => "mute",
        })
    }
}

/// The state that a voter sends to all other voters every 100 ms.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's status.
    pub status: ReplicaStatus,
    /// Whether the sender leads its view, and a majority has acknowledged its heartbeats recently.
    pub is_leader: bool,
    /// Whether the sender is connected to no leader.
    pub is_leaderless: bool,
    /// The voters that the sender is connected to.
    pub connected: BTreeSet<NodeId>,
    /// Number of the last entry of the sender's log.
    pub op: u64,
    /// Number of the last entry that the sender knows to be committed.
    pub commit: u64,
    /// Number of the sender's last record on disk. A restored old copy of the directory has a lower number.
    pub persisted: u64,
    /// Number of a leader's heartbeat, which [`MessageBody::PrepareOk`] acknowledges; 0 if the sender does not lead.
    pub number: u32,
    /// The current voters, as known to the sender.
    pub voter_set: VoterSet,
}

/// The content of a message.
///
/// A message that makes a promise is accepted only from the latest incarnation of its sender that the receiver knows
/// of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Reports the state of the sender, which is alive.
    Heartbeat(Heartbeat),
    /// Replicates entries of the leader's log.
    Prepare {
        /// Number of the first entry.
        first: u64,
        /// Consecutive entries.
        entries: Vec<Entry>,
        /// Number of the last entry that the leader has committed.
        commit: u64,
    },
    /// Acknowledges entries and a heartbeat of the leader.
    PrepareOk {
        /// Number of the last entry that the sender has persisted.
        op: u64,
        /// The number of the leader's heartbeat; 0 for none.
        heartbeat: u32,
    },
    /// Asks for votes: the sender is the candidate for the view of this message.
    StartViewChange {
        /// Whether the view bootstraps an epoch, after a majority has lost its state or on an operator command.
        is_bootstrap: bool,
        /// The voters of the epoch, if operators named them.
        voter_set: Option<VoterSet>,
    },
    /// Votes for the view of this message. The sender promises not to take part in any view before that one.
    DoViewChange {
        /// The last view in which the sender's status was normal.
        last_normal_view: View,
        /// Number of the last entry of the sender's log.
        op: u64,
        /// Number of the last entry that the sender knows to be committed.
        commit: u64,
        /// Whether the sender has lost its state, so that the other fields are meaningless.
        state_lost: bool,
    },
    /// Requests entries of a log, or bytes of its snapshot.
    GetState {
        /// Number of the first entry.
        first: u64,
        /// Number of the snapshot's bytes that the sender has.
        offset: u32,
    },
    /// Sends the requested part of a log.
    LogPart(LogPart),
    /// Requests the status of a peer, for a recovering replica.
    StatusRequest {
        /// Identifies the sender's recovery.
        nonce: u64,
        /// Time of the request on the sender's clock, in milliseconds.
        requested_at_ms: u64,
    },
    /// Answers a status request.
    StatusResponse {
        /// As in the request.
        nonce: u64,
        /// As in the request.
        requested_at_ms: u64,
        /// The sender's status.
        status: ReplicaStatus,
        /// The incarnation of the sender's process.
        own_incarnation: u64,
        /// Number of the receiver's last record on disk, as known to the sender.
        persisted: u64,
        /// Number of the last entry that the sender knows to be committed.
        commit: u64,
        /// The current voters, as known to the sender.
        voter_set: VoterSet,
    },
    /// Begins the incarnation that the message counts for its sender, a replica that has lost its state.
    Recovery {
        /// Identifies the sender's recovery.
        nonce: u64,
    },
    /// Answers a recovery message with the sender's view, which is the view of this message.
    RecoveryResponse {
        /// As in the recovery message.
        nonce: u64,
        /// Number of the last entry of the sender's log. Used only from the leader of the latest view.
        op: u64,
        /// Whether the sender leads its view.
        is_leader: bool,
    },
    /// Proposes an entry, or queries the outcome of a proposal.
    Propose {
        /// Identifies the proposal.
        id: ProposalId,
        /// The content of the entry; `None` only queries the outcome.
        payload: Option<EntryPayload>,
    },

    /// Queries a learner for the last entry of its copy of the log.
    LearnerStatusRequest {
        /// Identifies the sender's recovery.
        nonce: u64,
    },
    /// Answers a status request to a learner.
    LearnerStatusResponse {
        /// As in the request.
        nonce: u64,
        /// The last entry of the learner's copy.
        index: LogIndex,
        /// The current voters, as known to the learner.
        voter_set: VoterSet,
    },
    /// Requests a part of a learner's copy of the log.
    GetLearnerState {
        /// As in `GetState`.
        first: u64,
        /// As in `GetState`.
        offset: u32,
    },
    /// Polls the sender's source for updates, every 300 ms and after each change of the sender's log.
    LearnerPoll {
        /// The last entry that the learner has.
        index: LogIndex,
        /// Number of bytes that the learner has of a snapshot in transfer.
        offset: u32,
        /// Checksum of that snapshot.
        checksum: u32,
    },
    /// Sends new entries or snapshot bytes to a learner, or reports that there are none.
    LearnerUpdate {
        /// The last entry that the sender has.
        index: LogIndex,
        /// The current leader, as known to the sender.
        leader: Option<NodeId>,
        /// The current voters, as known to the sender.
        voter_set: VoterSet,
        /// Time since the leader was last known to lead, according to the sender and its sources, in milliseconds.
        leader_age_ms: u32,
        /// The next part of the log that the receiver lacks, if any.
        part: Option<LogPart>,
    },
    /// Requests bytes of a snapshot from a node other than the sender's source. The node answers if it has the same
    /// snapshot.
    SnapshotChunkRequest {
        /// Number of bytes that the sender has.
        offset: u32,
        /// Checksum of the snapshot.
        checksum: u32,
    },
    /// Answers a proposal.
    ProposalResponse {
        /// Identifies the proposal.
        id: ProposalId,
        /// The outcome of the proposal; `None` redirects to the leader.
        outcome: Option<ProposalOutcome>,
        /// The current leader, as known to the sender.
        leader: Option<NodeId>,
    },
}

impl MessageBody {
    /// Returns the channel of the message's receiver: `Consensus` for the replica, `Log` for the learner.
    pub const fn channel(&self) -> Channel {
        match self {
            Self::LearnerStatusRequest { .. }
            | Self::GetLearnerState { .. }
            | Self::LearnerPoll { .. }
            | Self::LearnerUpdate { .. }
            | Self::SnapshotChunkRequest { .. }
            | Self::ProposalResponse { .. } => Channel::Log,
            _ => Channel::Consensus,
        }
    }

    /// Whether the message makes a promise on behalf of its sender's incarnation, so that it is dropped once a
    /// later incarnation is known.
    pub(crate) const fn is_promise(&self) -> bool {
        matches!(
            self,
            Self::Heartbeat(_)
                | Self::Prepare { .. }
                | Self::PrepareOk { .. }
                | Self::StartViewChange { .. }
                | Self::DoViewChange { .. }
                | Self::RecoveryResponse { .. }
                | Self::LogPart(_)
                | Self::GetState { .. }
        )
    }
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's view. In a message of a learner, only the epoch is set.
    pub view: View,
    /// The incarnation counts that the sender knows, including its own.
    pub incarnation_counts: IncarnationCounts,
    /// The content.
    pub body: MessageBody,
}
