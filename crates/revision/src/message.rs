//! What balancers say to each other about leases and stages; who acts on it is in `leases`.

use hollowpaddle_peer_transport::Incarnation;
use serde::{Deserialize, Serialize};

use crate::node_set::NodeSet;

/// The longest word, in bytes: with the wire's frame it fits a datagram of 256.
pub const MAX_MESSAGE_BYTES: usize = 208;

/// A state of the rule book: where the log has changed what is in force. Of two the later one counts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation {
    /// How often a bank that had forgotten its log began another from a copy.
    pub epoch: u32,
    /// The entry.
    pub index: u64,
}

/// Up the tree, or down it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A child asks for a lease and says how far it is.
    Renew {
        /// When, by its own clock, in microseconds. The answer brings it back; nobody else reads it.
        asked: u64,
        /// What it acts on.
        generation: Generation,
        /// Neither it nor anybody under a lease that it gave acts on an older one.
        confirmed: Generation,
        /// Who at and under it was heard of lately, at its stage.
        here: NodeSet,
        /// While a charter is on its way: its generation, and who at and under it holds it by their own word.
        fallback_policy: Option<(Generation, NodeSet)>,
    },
    /// To a former parent: what it may wait for. It asks for nothing, and is not answered.
    Departed {
        /// Neither the sender nor anybody under a lease that it gave acts on an older one.
        confirmed: Generation,
    },
    /// A lease.
    Grant {
        /// The life that asked.
        to: Incarnation,
        /// As it said.
        asked: u64,
        /// That the lease is for.
        generation: Generation,
        /// From the asking on, in microseconds.
        length: u64,
    },
    /// None.
    LeaseRejection {
        /// The life that asked.
        to: Incarnation,
        /// As it said.
        asked: u64,
        /// What the parent acts on.
        generation: Generation,
        /// Why.
        why: LeaseRejection,
    },
}

/// Why there is no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRejection {
    /// The asker is at another stage: whoever is behind is to learn.
    Generation,
    /// The parent has none itself.
    Lease,
    /// It has as many children as it takes; go elsewhere.
    Full,
}

/// Bytes that are no word.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{length} bytes are no word about leases ({cause}); a balancer of another version, or a broken one"
)]
pub struct MessageError {
    /// How many.
    pub length: usize,
    /// What was wrong.
    pub cause: String,
}

impl Message {
    /// As bytes, [`MAX_MESSAGE_BYTES`] at most.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Words are of fixed parts and two bounded sets, which can't fail to be written.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From bytes.
    ///
    /// # Errors
    /// If they are no word, too many, or something follows it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        let length = bytes.len();
        let wrong = |cause: String| MessageError { length, cause };
        if length > MAX_MESSAGE_BYTES {
            return Err(wrong(format!("expected {MAX_MESSAGE_BYTES} at most")));
        }
        let (message, rest) = postcard::take_from_bytes(bytes).map_err(|e| wrong(e.to_string()))?;
        if rest.is_empty() {
            Ok(message)
        } else {
            Err(wrong(format!("{} more behind it", rest.len())))
        }
    }
}
