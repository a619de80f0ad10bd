//! Entries of the log, their indexes, and the ids and outcomes of proposals.

use std::fmt;

use hollowpaddle_peer_transport::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// Largest command of an entry, in bytes. Larger commands are rejected, since every voter and learner holds
/// hundreds of entries.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;
/// Bits of a [`LogIndex`] for the entry's number.
const OP_BITS: u32 = 32;
/// Upper bound of the encoded length of an entry without its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// A position in the log: the epoch in which the entry was committed, and its number, from 1.
///
/// Numbering continues across epochs. An epoch that was bootstrapped from a copy without the latest entries assigns
/// the numbers of those entries again, so an entry is identified only by epoch and number together.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Creates the index of an epoch and an entry number below 2^32, which is a century at one entry a second.
    pub const fn new(epoch: u32, op: u64) -> Self {
        Self((epoch as u64) << OP_BITS | (op & ((1 << OP_BITS) - 1)))
    }

    /// The epoch, which counts bootstraps.
    pub const fn epoch(self) -> u32 {
        (self.0 >> OP_BITS) as u32
    }

    /// The number of the entry, over all epochs: the op-number of Viewstamped Replication.
    pub const fn op(self) -> u64 {
        self.0 & ((1 << OP_BITS) - 1)
    }
}

impl fmt::Display for LogIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch(), self.op())
    }
}

/// The id of a proposal. Repetitions of a proposal have the same id and become one entry.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ProposalId {
    /// The node that proposed it.
    pub by: NodeId,
    /// The incarnation of the proposing process.
    pub incarnation: Incarnation,
    /// Number of the proposal, counted by the proposing process.
    pub number: u64,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A command of the state machine above, of at most [`MAX_ENTRY_BYTES`].
    Command(Vec<u8>),
    /// Removes a voter. Another node may replace it.
    RemoveVoter {
        /// The voter that is removed.
        removed: NodeId,
        /// The node that joins.
        replacement: Option<NodeId>,
    },
    /// Adds a voter.
    AddVoter(NodeId),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The id of the proposal that became this entry.
    pub id: ProposalId,
    /// The content of the entry.
    pub payload: EntryPayload,
}

impl Entry {
    /// Returns an upper bound of the encoded length, in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        match &self.payload {
            EntryPayload::Command(bytes) => ENTRY_OVERHEAD_BYTES + bytes.len(),
            _ => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// The outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal is committed at this index.
    Committed(LogIndex),
    /// The proposal is rejected and will never be committed: its command is larger than [`MAX_ENTRY_BYTES`], or
    /// its change of voters is impossible.
    Rejected,
    /// No response arrived in time. The proposal may be committed now or later; its outcome can be queried by its id.
    Unknown,
}
