//! Messages between balancers about leases and policy generations, and their encoding; the module
//! [`leases`](crate::leases) handles the messages.

use hollowpaddle_peer_transport::Incarnation;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::codec::decode_exact;
use crate::node_set::NodeSet;

/// Maximum length of a message, in bytes. With the transport's frame, a message fits a datagram of 256 bytes.
pub const MAX_MESSAGE_BYTES: usize = 208;

/// A version of the agreed policy. A new generation starts whenever an entry of the log changes the rules in force. The
/// greater of two generations is the later one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation {
    /// Number of times that the cluster has started a new log from a copy, after a majority had lost the previous log.
    pub epoch: u32,
    /// Index of the log entry that started the generation.
    pub index: u64,
}

/// A message between a node and its parent in the dissemination tree.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A child requests a lease and reports its progress.
    Renew {
        /// Time at which the request was sent, in microseconds of the sender's clock. The response returns the time
        /// unchanged; only the sender interprets it.
        sent_at_us: u64,
        /// The generation that the sender acts on.
        generation: Generation,
        /// Neither the sender nor any node below it in the tree acts on an older generation than this.
        confirmed: Generation,
        /// The sender, and the nodes below it that have recently reported the sender's generation.
        present: NodeSet,
        /// While the fallback policy changes: the generation of the new policy, and the nodes among the sender and
        /// those below it that hold the new policy.
        fallback_holders: Option<(Generation, NodeSet)>,
    },
    /// Informs a former parent of the sender's confirmed generation. The message requests nothing and has no response.
    Departed {
        /// Neither the sender nor any node below it in the tree acts on an older generation than this.
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
        /// Remaining time of the parent's lease, in microseconds. The child's lease lasts as long, counted from the
        /// time of the request.
        duration_us: u64,
    },
    /// Rejects a request for a lease.
    LeaseRejection {
        /// The incarnation that sent the request.
        incarnation: Incarnation,
        /// The time of the request, as [`Message::Renew`] gave it.
        sent_at_us: u64,
        /// The generation that the parent acts on.
        generation: Generation,
        /// The reason for the rejection.
        reason: LeaseRejection,
    },
}

/// The reason for which a request for a lease was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseRejection {
    /// Child and parent are at different generations; whichever is at the older generation has to catch up.
    Generation,
    /// The parent holds no lease.
    Lease,
    /// The parent accepts no more children; the child has to find another parent.
    Full,
}

/// Bytes that cannot be decoded as a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{length} bytes are no word about leases ({cause}); a balancer of another version, or a broken one"
)]
pub struct MessageError {
    /// Number of bytes.
    pub length: usize,
    /// The error of the decoder.
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
        // Encoding numbers and bounded sets cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// If the bytes hold no message, are more than [`MAX_MESSAGE_BYTES`], or continue after the message.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MessageError> {
        decode_message(bytes)
    }
}
