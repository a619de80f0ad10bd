//! The configuration, the events and the actions of a learner; [`crate::Learner`] handles the events.

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::entry::{Entry, LogIndex, ProposalId, ProposalOutcome};
use crate::log::SnapshotBase;
use crate::message::Message;

/// The configuration of a learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LearnerConfig {
    /// The id of this node.
    pub node_id: NodeId,
    /// The configured voters.
    pub voters: Vec<NodeId>,
    /// Number of nodes in the cluster.
    pub cluster_size: u16,
    /// Seed of the random choices of sources and of voters.
    pub seed: u64,
}

/// Input of a learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LearnerEvent {
    /// Reports the passage of time, at least every 50 ms.
    Tick,
    /// A message of the channel `Log` was received.
    Message {
        /// The sender.
        from: NodeId,
        /// The incarnation of the sender's process.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// This process's replica returned [`crate::Action::Committed`].
    Committed {
        /// The entry's index.
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// This process's replica returned [`crate::Action::Reset`].
    Reset {
        /// The last entry in the snapshot.
        index: LogIndex,
        /// The snapshot.
        base: SnapshotBase,
    },
    /// Reports the leader that this process's replica is connected to ([`crate::Replica::leader`]), at each change.
    Leader(Option<NodeId>),
    /// The state machine above took a snapshot at an entry. If all nodes take snapshots at the same entries (every
    /// 1,024), the snapshots are equal, and a snapshot can be fetched from several nodes.
    Snapshot {
        /// The entry.
        index: LogIndex,
        /// The snapshot, of at most [`crate::MAX_SNAPSHOT_BYTES`] less 64 KiB.
        bytes: Vec<u8>,
    },
    /// Proposes an entry.
    Propose {
        /// Identifies the proposal.
        id: ProposalId,
        /// The command.
        bytes: Vec<u8>,
    },
    /// Proposes to remove or replace a voter.
    ReplaceVoter {
        /// Identifies the proposal.
        id: ProposalId,
        /// The voter that is removed.
        removed: NodeId,
        /// The node that joins.
        replacement: Option<NodeId>,
    },
    /// Requests a source other than this one, for the leases, which are disseminated through the same tree.
    ChangeSource(NodeId),
    /// Queries the outcome of a proposal whose answer did not arrive.
    QueryOutcome {
        /// Identifies the proposal.
        id: ProposalId,
    },
}

/// Output of a learner. The runtime executes actions in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LearnerAction {
    /// Sends a message to another node, or to this node's replica if the message's channel is `Consensus`.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Delivers a committed entry. Each entry is delivered once per process and epoch, in order and without a gap.
    Committed {
        /// The entry's index.
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// Replaces the state of the state machine above by this snapshot, which voids all earlier deliveries. An empty
    /// snapshot is that of a log without entries.
    Reset {
        /// The last entry in the snapshot.
        index: LogIndex,
        /// The snapshot of the state machine above.
        state: Vec<u8>,
    },
    /// Reports a new source, from which leases are to be received as well. `None` if this node is the root or has no
    /// source yet.
    Source(Option<NodeId>),
    /// Reports that a child has the log up to an entry. The runtime passes the report to this process's replica as
    /// [`crate::Event::LearnerAdvanced`].
    LearnerAdvanced {
        /// The child.
        by: NodeId,
        /// The entry.
        index: LogIndex,
    },
    /// Reports the outcome of a proposal.
    Answered {
        /// Identifies the proposal.
        id: ProposalId,
        /// The outcome of the proposal.
        outcome: ProposalOutcome,
    },
    /// Requests a [`LearnerEvent::Snapshot`], because the log has grown long.
    SnapshotWanted,
}
