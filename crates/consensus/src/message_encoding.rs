//! Encodes and decodes messages, and checks the bounds that every sender observes.

use crate::message::{LogPart, MAX_CHUNK_BYTES, MAX_MESSAGE_BYTES, Message, MessageBody};
use crate::voter_set::{MAX_VOTERS, VoterSet};

/// The error of encoding or decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("message of {found} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// Number of bytes.
        found: usize,
    },
    /// The bytes cannot be decoded.
    #[error("message is damaged or of another version: {0}")]
    Damaged(postcard::Error),
    /// Further bytes follow the message.
    #[error("message is followed by {found} unexpected bytes")]
    Trailing {
        /// Number of bytes.
        found: usize,
    },
    /// A collection in the message exceeds its bound, which no sender does.
    #[error(
        "message has more than {MAX_VOTERS} voters, or a chunk of more than {MAX_CHUNK_BYTES} bytes"
    )]
    Unbounded,
}

impl Message {
    /// Encodes the message in postcard's wire format.
    ///
    /// # Errors
    ///
    /// [`MessageError::TooLong`] if the message is longer than [`MAX_MESSAGE_BYTES`], which replicas and learners never
    /// produce.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = postcard::to_stdvec(self).map_err(MessageError::Damaged)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { found: bytes.len() });
        }
        Ok(bytes)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The bytes are too long, damaged or followed by further bytes, or a collection exceeds its bound.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong { found: bytes.len() });
        }
        let (message, rest): (Self, _) =
            postcard::take_from_bytes(bytes).map_err(MessageError::Damaged)?;
        if !rest.is_empty() {
            return Err(MessageError::Trailing { found: rest.len() });
        }
        if message.is_bounded() { Ok(message) } else { Err(MessageError::Unbounded) }
    }

    fn is_bounded(&self) -> bool {
        self.incarnation_counts.len() <= MAX_VOTERS && self.body.is_bounded()
    }
}

impl MessageBody {
    fn is_bounded(&self) -> bool {
        let is_small = |voter_set: &VoterSet| voter_set.voters.len() <= MAX_VOTERS;
        match self {
            Self::Heartbeat(heartbeat) => {
                heartbeat.connected.len() <= MAX_VOTERS && is_small(&heartbeat.voter_set)
            }
            Self::StatusResponse { voter_set, .. }
            | Self::LearnerStatusResponse { voter_set, .. }
            | Self::LearnerUpdate { voter_set, .. } => is_small(voter_set),
            Self::StartViewChange { voter_set, .. } => voter_set.as_ref().is_none_or(is_small),
            Self::LogPart(LogPart::Chunk { bytes, .. }) => bytes.len() <= MAX_CHUNK_BYTES,
            _ => true,
        }
    }
}
