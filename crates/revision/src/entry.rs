//! Commands in the replicated log and their encoding; [`policy_state`](crate::policy_state) executes the commands.

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Serialize};

use crate::canary::{CanaryTerms, RollbackCause};
use crate::codec::decode_exact;
use crate::document::Document;
use crate::fallback_policy::FallbackPolicy;
use crate::fleet::FleetFacts;

/// Maximum length of an entry, in bytes: the bound of the replicated log.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;

/// The id of a command, chosen at random by the proposer. It has 128 bits, so that no two proposers choose the same id.
/// A command that is repeated under its id gets the first result and has no further effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId(pub u128);

/// The options of a proposal of a new revision, besides its content.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalOptions {
    /// The id of the command.
    pub id: CommandId,
    /// Accept the proposal only if this revision is the newest (`if_revision` in the admin API).
    pub base: Option<u64>,
    /// Run the revision as a canary on these terms.
    pub canary: Option<CanaryTerms>,
    /// Accept the revision in spite of conflicts that operators may override.
    pub forced: bool,
    /// The facts about the fleet that the leader had when it made the proposal.
    pub facts: FleetFacts,
}

/// One command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// Proposes a new revision.
    Propose(Box<ProposalOptions>, Box<Document>),
    /// Proposes a new revision with the content of the retained revision of this number.
    Rollback(Box<ProposalOptions>, u64),
    /// Confirms that no node acts on an older generation than the one with this index.
    GenerationConfirmed(u64),
    /// Proposes another fallback policy.
    FallbackPolicy(CommandId, FallbackPolicy, Box<FleetFacts>),
    /// Confirms that every node that is not marked dead holds the fallback policy of this generation.
    FallbackPolicyConfirmed(u64),
    /// Confirms the canary of this revision.
    ConfirmCanary(CommandId, u64),
    /// Rolls back the canary of this revision.
    AutomaticRollback(u64, RollbackCause),
    /// Marks a node dead: operators state that the node acts on no policy, and will not do so before it has learned the
    /// policy anew.
    MarkDead(CommandId, NodeId),
    /// Revokes [`Entry::MarkDead`] for a node.
    MarkAlive(CommandId, NodeId),
}

/// An error while encoding or decoding an entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The entry is longer than the log allows.
    #[error(
        "an entry of {found} bytes; expected {MAX_ENTRY_BYTES} at most: name pods or sites instead of upstreams"
    )]
    TooLong {
        /// Length of the entry, in bytes.
        found: usize,
    },
    /// The bytes hold no entry of this version.
    #[error(
        "{length} bytes are no entry of this version ({cause}); balancers of two versions are in one bank"
    )]
    Unreadable {
        /// Number of bytes.
        length: usize,
        /// The error of the decoder or encoder.
        cause: String,
    },
}

impl Entry {
    /// Returns the id of the command; `None` for entries that the leader proposes on its own, which have no result.
    pub(crate) fn command_id(&self) -> Option<CommandId> {
        match self {
            Self::Propose(options, _) | Self::Rollback(options, _) => Some(options.id),
            Self::FallbackPolicy(id, ..)
            | Self::ConfirmCanary(id, _)
            | Self::MarkDead(id, _)
            | Self::MarkAlive(id, _) => Some(*id),
            Self::GenerationConfirmed(_)
            | Self::FallbackPolicyConfirmed(_)
            | Self::AutomaticRollback(..) => None,
        }
    }

    /// Encodes the entry for the log.
    ///
    /// # Errors
    /// If the encoded entry takes more than [`MAX_ENTRY_BYTES`].
    pub fn to_bytes(&self) -> Result<Vec<u8>, EntryError> {
        let bytes = postcard::to_stdvec(self)
            .map_err(|e| EntryError::Unreadable { length: 0, cause: e.to_string() })?;
        let found = bytes.len();
        if found > MAX_ENTRY_BYTES { Err(EntryError::TooLong { found }) } else { Ok(bytes) }
    }

    /// Decodes an entry of the log.
    ///
    /// # Errors
    /// If the bytes hold no entry, are more than [`MAX_ENTRY_BYTES`], or continue after the entry.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, EntryError> {
        let length = bytes.len();
        if length > MAX_ENTRY_BYTES {
            return Err(EntryError::TooLong { found: length });
        }
        decode_exact(bytes).map_err(|cause| EntryError::Unreadable { length, cause })
    }
}
