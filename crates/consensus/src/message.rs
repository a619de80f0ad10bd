//! Messages between voters and learners; how they are encoded is left to `message_encoding`, and what they lead
//! to, to the replica and the learner.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use hollowpaddle_peer_transport::{Channel, NodeId};
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, EntryPayload, LogIndex, ProposalId, ProposalOutcome};
use crate::voter_set::VoterSet;

/// Largest number of bytes of entries, or of a snapshot, in one message. A longer message would delay all
/// others to the same peer.
pub const MAX_CHUNK_BYTES: usize = 16 << 10;
/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 20 << 10;
/// Largest encoded [`crate::SnapshotBase`], in bytes. It bounds the memory of whoever assembles one.
pub const MAX_SNAPSHOT_BYTES: usize = 2 << 20;

/// A view: its leader and its place in the order of views, of which the greatest wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct View {
    /// Number of the epoch; 0 before the first bootstrap.
    pub epoch: u32,
    /// Number of the view within the epoch, as its leader knew it when it began the view.
    pub number: u32,
    /// The leader. It orders two views that began with the same number.
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
        /// As many as fit a message.
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
        /// Position of these bytes in the snapshot.
        offset: u32,
        /// At most [`MAX_CHUNK_BYTES`].
        bytes: Vec<u8>,
    },
}

/// The status of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ReplicaStatus {
    /// It is not a voter.
    NonVoter,
    /// It has lost its state and does not vote.
    WithoutState,
    /// It has started with a directory, and has not yet heard whether its peers know of later state.
    Recovering,
    /// It takes part in a view change.
    ViewChange,
    /// It takes part in its view.
    Normal,
    /// Its disk has failed, and it does not vote.
    DiskFailed,
}

/// The text that the admin API prints.
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

/// What a voter tells all others every 100 ms.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's status.
    pub status: ReplicaStatus,
    /// The sender leads its view, and a majority answered it recently.
    pub is_leader: bool,
    /// The sender is connected to no leader.
    pub is_leaderless: bool,
    /// The voters that the sender is connected to.
    pub connected: BTreeSet<NodeId>,
    /// Number of the last entry of its log.
    pub op: u64,
    /// Number of the last committed entry that it knows of.
    pub commit: u64,
    /// Number of its last record on disk. A restored old copy of the directory has a lower one.
    pub persisted: u64,
    /// A leader's number of this heartbeat, to be answered by [`MessageBody::PrepareOk`]; 0 for others.
    pub number: u32,
    /// The voters that it knows.
    pub voter_set: VoterSet,
}

/// The content of a message.
///
/// Those that promise something count only if they come from the latest incarnation of their sender that the
/// receiver knows of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// The sender is alive.
    Heartbeat(Heartbeat),
    /// Replicates entries of the leader.
    Prepare {
        /// Number of the first entry.
        first: u64,
        /// Consecutive entries.
        entries: Vec<Entry>,
        /// Number of the last committed entry.
        commit: u64,
    },
    /// Acknowledges entries and a heartbeat of the leader.
    PrepareOk {
        /// Number of the last entry that the sender has persisted.
        op: u64,
        /// The number of the leader's heartbeat; 0 for none.
        heartbeat: u32,
    },
    /// The sender would lead the view of this message.
    StartViewChange {
        /// It bootstraps an epoch: a majority has lost its state, or operators ordered it.
        is_bootstrap: bool,
        /// The voters that operators named for the epoch.
        voter_set: Option<VoterSet>,
    },
    /// The sender takes part in no view before this message's.
    DoViewChange {
        /// The last view in which its status was normal.
        last_normal_view: View,
        /// Number of the last entry of its log.
        op: u64,
        /// Number of the last committed entry that it knows of.
        commit: u64,
        /// It has lost its state, so that the fields above mean nothing.
        state_lost: bool,
    },
    /// Requests entries of a log, or bytes of its snapshot.
    GetState {
        /// Number of the first entry.
        first: u64,
        /// Number of the snapshot's bytes that the sender has.
        offset: u32,
    },
    /// The requested part of a log.
    LogPart(LogPart),
    /// A recovering replica asks for its peers' status.
    StatusRequest {
        /// Identifies the sender's recovery.
        nonce: u64,
        /// Time of the request on the sender's clock, in milliseconds.
        asked_at_ms: u64,
    },
    /// Answers a status request.
    StatusResponse {
        /// As in the request.
        nonce: u64,
        /// As in the request.
        asked_at_ms: u64,
        /// The sender's status.
        status: ReplicaStatus,
        /// The sender's own process.
        own_incarnation: u64,
        /// Number of the receiver's last record on disk that the sender knows of.
        persisted: u64,
        /// Number of the last committed entry that the sender knows of.
        commit: u64,
        /// The voters that the sender knows.
        voter_set: VoterSet,
    },
    /// A replica that has lost its state begins the incarnation that the message counts for it.
    Recovery {
        /// Identifies the sender's recovery.
        nonce: u64,
    },
    /// Answers a recovery with the view of this message.
    RecoveryResponse {
        /// As in the recovery.
        nonce: u64,
        /// Number of the last entry. It counts only from the leader of the latest view.
        op: u64,
        /// The sender leads its view.
        is_leader: bool,
    },
    /// Proposes an entry, or asks for its outcome.
    Propose {
        /// Identifies the proposal.
        id: ProposalId,
        /// The entry's content; `None` only asks for the outcome.
        what: Option<EntryPayload>,
    },

    /// Asks a learner for the last entry of its copy of the log.
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
        /// The voters that it knows.
        voter_set: VoterSet,
    },
    /// Requests a learner's copy of the log.
    GetLearnerState {
        /// As in `GetState`.
        first: u64,
        /// As in `GetState`.
        offset: u32,
    },
    /// A learner polls its source, every 300 ms and after each change.
    LearnerPoll {
        /// The last entry that the learner has.
        index: LogIndex,
        /// Number of the snapshot's bytes that it has.
        offset: u32,
        /// Checksum of that snapshot.
        checksum: u32,
    },
    /// A source tells its learner what is new, or that nothing is.
    LearnerUpdate {
        /// The last entry that the sender has.
        index: LogIndex,
        /// The leader that the sender knows.
        leader: Option<NodeId>,
        /// The voters that the sender knows.
        voter_set: VoterSet,
        /// Time since the leader was known to lead, by the sender and its own sources, in milliseconds.
        leader_age_ms: u32,
        /// Part of the log that the receiver lacks.
        part: Option<LogPart>,
    },
    /// Requests bytes of a snapshot from a node that is not the sender's source, if it has the same snapshot.
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
        /// Its outcome; `None` redirects to the leader.
        outcome: Option<ProposalOutcome>,
        /// The leader that the sender knows.
        leader: Option<NodeId>,
    },
}

impl MessageBody {
    /// The channel of the receiver: `Consensus` for the replica, `Log` for the learner.
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

    /// Whether it promises something for its sender's incarnation, so that it is dropped once a later
    /// incarnation is known.
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
    /// The sender's view. A learner sends its epoch alone.
    pub view: View,
    /// The incarnation counts that the sender knows, its own included.
    pub incarnation_counts: IncarnationCounts,
    /// The content.
    pub body: MessageBody,
}
