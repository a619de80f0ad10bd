//! The configuration, the events and the actions of a replica; handling them is left to [`crate::Replica`].

use std::time::Duration;

use hollowpaddle_peer_transport::{Incarnation, NodeId};

use crate::entry::{Entry, LogIndex, ProposalId};
use crate::log::SnapshotBase;
use crate::log_record::Record;
use crate::message::{Message, View};

/// The configuration of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaConfig {
    /// This node.
    pub node_id: NodeId,
    /// This process.
    pub incarnation: Incarnation,
    /// The configured voters, which count until a peer tells of a later change.
    pub voters: Vec<NodeId>,
    /// Number of nodes in the cluster, whose learners are asked for copies of the log.
    pub cluster: u16,
    /// There is a state directory, so that messages wait for [`Event::Persisted`].
    pub directory: bool,
    /// Number of learners that are not voters which must have an entry before its proposal is acknowledged, as
    /// far as there are such learners. Without directories 2, with them 0.
    pub copies: u8,
    /// Seed of timeouts and epochs.
    pub seed: u64,
}

/// A command of the operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OperatorCommand {
    /// Replaces a voter, which may be dead. Answered like a proposal with this id.
    ReplaceVoter {
        /// Identifies the proposal.
        id: ProposalId,
        /// The voter that is removed.
        removed: NodeId,
        /// The node that joins.
        replacement: Option<NodeId>,
    },
    /// Bootstraps an epoch with these voters on their best copy of the log, because a majority is lost for good.
    /// If the majority is only disconnected the log forks, and the greater epoch wins when they meet.
    ForceNewEpoch {
        /// The voters of the new epoch.
        members: Vec<NodeId>,
    },
}

/// Input of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed: at least every 25 ms.
    Tick,
    /// A message of the channel `Consensus` was received.
    Message {
        /// The sender.
        from: NodeId,
        /// The sender's process.
        incarnation: Incarnation,
        /// The message.
        message: Message,
    },
    /// The records up to this number are on disk, and survive a crash of the machine.
    Persisted {
        /// Number of the last record.
        through: u64,
    },
    /// A record could not be written or synced.
    DiskFailed {
        /// The error.
        cause: String,
    },
    /// The directory takes records again, and is empty.
    DiskWell,
    /// The state machine above made a snapshot at an entry.
    Snapshot {
        /// The entry.
        index: LogIndex,
        /// At most [`crate::MAX_SNAPSHOT_BYTES`] less 64 KiB.
        bytes: Vec<u8>,
    },
    /// A learner that is not a voter has the log up to an entry.
    LearnerAdvanced {
        /// The learner.
        by: NodeId,
        /// The entry.
        index: LogIndex,
    },
    /// A command of the operators.
    OperatorCommand(OperatorCommand),
}

/// Output of a replica, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message to another node, or to this node's learner if its channel is `Log`.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Write and sync a record, in the order of the numbers.
    Persist {
        /// Its number, counted over all processes that used the directory.
        number: u64,
        /// The record.
        record: Record,
    },
    /// The replica leads a view from now on, possibly after another one that it led.
    Leads {
        /// The view.
        view: View,
        /// When it began to lead, on its own clock.
        since: Duration,
    },
    /// The replica leads no longer.
    Follows,
    /// A majority of the view answered a heartbeat, on which leases are based.
    Round {
        /// When the heartbeat was sent, on the replica's clock.
        began: Duration,
    },
    /// An entry is committed. Each is delivered once per process and epoch, in order.
    Committed {
        /// The entry's index.
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// Replace the state by this snapshot, which voids everything delivered before.
    Reset {
        /// The last entry in it.
        index: LogIndex,
        /// The snapshot, with that of the state machine above.
        base: SnapshotBase,
    },
    /// The log grows long, and [`Event::Snapshot`] is wanted.
    SnapshotWanted,
    /// The replica has lost its state, or its directory is not trusted; with the reason.
    StateLost(&'static str),
}
