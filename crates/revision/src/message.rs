//! Messages between balancers about leases and policy generations, and their encoding; the module
//! [`leases`](crate::leases) acts on them.

use hollowpaddle_peer_transport::Incarnation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::codec::decode_exact;
use crate::node_set::NodeSet;

/// The longest message, in bytes. With the transport's frame it fits a datagram of 256 bytes.
pub const MAX_MESSAGE_BYTES: usize = 208;

/// A state of the agreed policy: it changes whenever the log changes what is in force. The greater of two is the
/// later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation {
    /// How often the cluster has started a new log from a copy after a majority had lost the old one.
    pub epoch: u32,
    /// The index of the log entry that changed what is in force.
    pub index: u64,
}

/// A message between a node and its parent in the dissemination tree.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A child requests a lease and reports its progress.
    Renew {
        /// When the request was sent, in microseconds of the sender's clock. The response returns it; nobody else
        /// interprets it.
        sent_at_us: u64,
        /// The generation that the sender acts on.
        generation: Generation,
        /// Neither the sender nor any node below it acts on an older generation than this.
        confirmed: Generation,
        /// The sender and the nodes below it that were heard of recently at its generation.
        present: NodeSet,
        /// While the fallback policy changes: its generation, and the nodes at and below the sender that hold it.
        fallback_holders: Option<(Generation, NodeSet)>,
    },
    /// Tells a former parent what its former child has confirmed. It requests nothing and is not answered.
    Departed {
        /// Neither the sender nor any node below it acts on an older generation than this.
        confirmed: Generation,
    },
    /// Grants the requested lease.
    Grant {
        /// The incarnation that sent the request.
        incarnation: Incarnation,
        /// The time of the request, as [`Message::Renew`] gave it.
        sent_at_us: u64,
        /// The generation that the lease is for.
        generation: Generation,
        /// How long the lease holds, in microseconds from the request on.
        duration_us: u64,
    },
    /// Rejects the request for a lease.
    LeaseRejection {
        /// The incarnation that sent the request.
        incarnation: Incarnation,
        /// The time of the request, as [`Message::Renew`] gave it.
        sent_at_us: u64,
        /// The generation that the parent acts on.
        generation: Generation,
        /// Why there is no lease.
        reason: LeaseRejection,
    },
}

/// Why a request for a lease was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRejection {
    /// Child and parent are at different generations; the one that is behind has to catch up.
    Generation,
    /// The parent holds no lease itself.
    Lease,
    /// The parent has as many children as it accepts; the child has to find another parent.
    Full,
}

/// Bytes that cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{length} bytes are no word about leases ({cause}); a balancer of another version, or a broken one"
)]
pub struct MessageError {
    /// How many bytes there were.
    pub length: usize,
    /// What was wrong with them.
    pub cause: String,
}

/// Decodes a message of at most [`MAX_MESSAGE_BYTES`].
pub(crate) fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let length = bytes.len();
    if length > MAX_MESSAGE_BYTES {
        let cause = format!("expected {MAX_MESSAGE_BYTES} at most");
        return Err(MessageError { length, cause });
    }
    decode_exact(bytes).map_err(|cause| MessageError { length, cause })
}

impl Message {
    /// Encodes the message in [`MAX_MESSAGE_BYTES`] at most.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Numbers and bounded sets always encode.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// If the bytes hold no message, are too many, or continue after it.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode_message(bytes)
    }
}
