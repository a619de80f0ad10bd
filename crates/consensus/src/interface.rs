//! The configuration, the events and the actions of a replica; [`crate::Replica`] handles the events.

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::entry::{Entry, LogIndex, ProposalId};
use crate::log::SnapshotBase;
use crate::log_record::Record;
use crate::message::{Message, View};

/// The configuration of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaConfig {
    /// The id of this node.
    pub node_id: NodeId,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The configured voters, which are used until a peer reports a later change of the voters.
    pub voters: Vec<NodeId>,
    /// Number of nodes in the cluster. A recovering replica queries the learners of all nodes for copies of the log.
    pub cluster_size: u16,
    /// Whether the node has a state directory, so that messages wait for [`Event::Persisted`].
    pub has_directory: bool,
    /// Number of learners on non-voters that must have an entry before its proposal is acknowledged. If fewer
    /// such learners report their position, all of them must have the entry. 2 without directories, 0 with them.
    pub required_learner_copies: u8,
    /// Seed of timeouts and epochs.
    pub seed: u64,
}

/// An operator command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperatorCommand {
    /// Replaces a voter, which may be dead. The response is that of a proposal with this id.
    ReplaceVoter {
        /// Identifies the proposal.
        id: ProposalId,
        /// The voter that is removed.
        removed: NodeId,
        /// The node that joins.
        replacement: Option<NodeId>,
    },
    /// Bootstraps an epoch with these voters and the best copy of the log that they have, after the permanent
    /// loss of a majority. If the majority is only disconnected, the log forks, and the greater epoch
    /// wins on reconnection.
    ForceNewEpoch {
        /// The voters of the new epoch.
        voters: Vec<NodeId>,
    },
}

/// Input of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Reports the passage of time, at least every 25 ms.
    Tick,
    /// A message of the channel `Consensus` was received.
    Message {
        /// The sender.
        from: NodeId,
        /// The incarnation of the sender's process.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// The records up to this number are on disk, and survive a crash of the machine.
    Persisted {
        /// Number of the last record.
        through: u64,
    },
    /// A write or a sync of a record failed.
    DiskFailed {
        /// The error.
        cause: String,
    },
    /// The directory is empty and accepts records again.
    DiskRecovered,
    /// The state machine above took a snapshot at an entry.
    Snapshot {
        /// The entry.
        index: LogIndex,
        /// The snapshot, of at most [`crate::MAX_SNAPSHOT_BYTES`] less 64 KiB.
        bytes: Vec<u8>,
    },
    /// A learner on a non-voter reports that it has the log up to an entry.
    LearnerAdvanced {
        /// The learner.
        by: NodeId,
        /// The entry.
        index: LogIndex,
    },
    /// An operator command was received.
    OperatorCommand(OperatorCommand),
}

/// Output of a replica. The runtime executes actions in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Sends a message to another node, or to this node's learner if the message's channel is `Log`.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Writes and syncs a record, in the order of the record numbers.
    Persist {
        /// Number of the record, counted over all processes that used the directory.
        number: u64,
        /// The record.
        record: Record,
    },
    /// The replica begins to lead a view, possibly directly after another view that it led.
    StartedLeading {
        /// The view.
        view: View,
        /// Time at which the replica began to lead, on its own clock.
        since: Duration,
    },
    /// The replica stops leading.
    StoppedLeading,
    /// A majority of the view acknowledged a heartbeat. Leases are based on its time.
    QuorumHeartbeat {
        /// Time at which the heartbeat was sent, on the replica's clock.
        sent_at: Duration,
    },
    /// Delivers a committed entry. Each entry is delivered once per process and epoch, in order.
    Committed {
        /// The entry's index.
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// Replaces the state of the state machine above by this snapshot, which voids all earlier deliveries.
    Reset {
        /// The last entry in the snapshot.
        index: LogIndex,
        /// The snapshot, including that of the state machine above.
        base: SnapshotBase,
    },
    /// Requests an [`Event::Snapshot`], because the log has grown long.
    SnapshotWanted,
    /// The replica has lost its state, or does not trust its directory. The text is the reason.
    StateLost(&'static str),
}
