//! What stands in the log: entries in bytes, read back without trust. What they come to is the book's to say.

use hollowpaddle_peer_transport::NodeId;
use serde::{Deserialize, Serialize};

use crate::canary::{CanaryTerms, RollbackCause};
use crate::document::Document;
use crate::fallback_policy::FallbackPolicy;
use crate::fleet::Facts;

/// The longest entry, in bytes: the council's bound.
pub const MAX_ENTRY_BYTES: usize = 16 << 10;

/// A question's name, drawn by whoever asks: 128 bits, so that no two askers draw one. The same question
/// again gets the same answer and does nothing more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId(pub u128);

/// What is asked of a new revision, whatever its content.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalOptions {
    /// The question's name.
    pub id: CommandId,
    /// Only if this revision is the newest (`if_revision`).
    pub base: Option<u64>,
    /// On which terms it is on trial.
    pub canary: Option<CanaryTerms>,
    /// Also where it does not fit the fleet.
    pub forced: bool,
    /// The fleet as the council's leader knew it.
    pub facts: Facts,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A new revision.
    Propose(Box<ProposalOptions>, Box<Document>),
    /// A new revision with the content of a kept one.
    Rollback(Box<ProposalOptions>, u64),
    /// Nobody acts on an older stage than this one.
    GenerationConfirmed(u64),
    /// Another charter.
    FallbackPolicy(CommandId, FallbackPolicy, Box<Facts>),
    /// Every member that is not dead has said that it holds this generation of the charter.
    FallbackPolicyConfirmed(u64),
    /// The revision on trial is to stay.
    Confirm(CommandId, u64),
    /// The revision on trial is taken back.
    AutomaticRollback(u64, RollbackCause),
    /// Operators say that this balancer acts on nothing any more, and won't before it has learned the book
    /// anew.
    Dead(CommandId, NodeId),
    /// It is one of the bank again.
    Alive(CommandId, NodeId),
}

/// Why bytes are no entry, or an entry no bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// It is too long for the log.
    #[error(
        "an entry of {found} bytes; expected {MAX_ENTRY_BYTES} at most: name pods or sites instead of upstreams"
    )]
    TooLong {
        /// Bytes.
        found: usize,
    },
    /// The bytes are another thing's.
    #[error(
        "{length} bytes are no entry of this version ({cause}); balancers of two versions are in one bank"
    )]
    Unreadable {
        /// How many.
        length: usize,
        /// What was wrong.
        cause: String,
    },
}

impl Entry {
    /// As it stands in the log.
    ///
    /// # Errors
    /// If it is too long.
    pub fn to_bytes(&self) -> Result<Vec<u8>, EntryError> {
        let bytes = postcard::to_stdvec(self)
            .map_err(|e| EntryError::Unreadable { length: 0, cause: e.to_string() })?;
        let found = bytes.len();
        if found > MAX_ENTRY_BYTES { Err(EntryError::TooLong { found }) } else { Ok(bytes) }
    }

    /// From the log.
    ///
    /// # Errors
    /// If it is none, too long, or something follows it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, EntryError> {
        let length = bytes.len();
        if length > MAX_ENTRY_BYTES {
            return Err(EntryError::TooLong { found: length });
        }
        let unreadable = |cause: String| EntryError::Unreadable { length, cause };
        let (entry, rest) =
            postcard::take_from_bytes(bytes).map_err(|e| unreadable(e.to_string()))?;
        if rest.is_empty() {
            Ok(entry)
        } else {
            Err(unreadable(format!("{} more behind it", rest.len())))
        }
    }
}
