//! The configuration, the events and the actions of a learner; handling them is left to [`crate::Learner`].

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::entry::{Entry, LogIndex, ProposalId, ProposalOutcome};
use crate::log::SnapshotBase;
use crate::message::Message;

/// The configuration of a learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LearnerConfig {
    /// This node.
    pub node_id: NodeId,
    /// The configured voters.
    pub voters: Vec<NodeId>,
    /// Number of nodes in the cluster.
    pub cluster: u16,
    /// Seed of the choice of sources.
    pub seed: u64,
}

/// Input of a learner.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LearnerEvent {
    /// Time has passed: at least every 50 ms.
    Tick,
    /// A message of the channel `Log` was received.
    Message {
        /// The sender.
        from: NodeId,
        /// The sender's process.
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
    /// The leader that this process's replica is connected to ([`crate::Replica::leader`]), at each change.
    Leader(Option<NodeId>),
    /// The state machine above made a snapshot at an entry. If all nodes make theirs at the same entries (every
    /// 1,024) the snapshots are equal, and one can be fetched from several nodes.
    Snapshot {
        /// The entry.
        index: LogIndex,
        /// At most [`crate::MAX_SNAPSHOT_BYTES`] less 64 KiB.
        bytes: Vec<u8>,
    },
    /// Proposes an entry.
    Propose {
        /// Identifies the proposal.
        id: ProposalId,
        /// The command.
        bytes: Vec<u8>,
    },
    /// Proposes that a voter is removed, or replaced.
    ReplaceVoter {
        /// Identifies the proposal.
        id: ProposalId,
        /// The voter that is removed.
        removed: NodeId,
        /// The node that joins.
        replacement: Option<NodeId>,
    },
    /// Leases, which are disseminated the same way, need another source than this one.
    ChangeSource(NodeId),
    /// Asks for the outcome of a proposal whose answer did not come.
    Ask {
        /// Identifies the proposal.
        id: ProposalId,
    },
}

/// Output of a learner, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LearnerAction {
    /// Send a message to another node, or to this node's replica if its channel is `Consensus`.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// An entry is committed. Each is delivered once per process and epoch, in order and without a gap.
    Committed {
        /// The entry's index.
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// Replace the state by this snapshot, which voids everything delivered before. An empty state is that of a
    /// log without entries.
    Reset {
        /// The last entry in the snapshot.
        index: LogIndex,
        /// The snapshot of the state machine above.
        state: Vec<u8>,
    },
    /// The node that it learns from has changed, and leases are disseminated the same way. `None`: it is the
    /// root, or has none yet.
    Source(Option<NodeId>),
    /// A child has the log up to an entry, to be handed to this process's replica as [`crate::Event::LearnerAdvanced`].
    LearnerAdvanced {
        /// The child.
        by: NodeId,
        /// The entry.
        index: LogIndex,
    },
    /// The outcome of a proposal.
    Answered {
        /// Identifies the proposal.
        id: ProposalId,
        /// Its outcome.
        outcome: ProposalOutcome,
    },
    /// The log grows long, and [`LearnerEvent::Snapshot`] is wanted.
    SnapshotWanted,
}
