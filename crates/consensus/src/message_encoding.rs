//! Encodes and decodes messages, within the bounds that every sender keeps.

use crate::message::{LogPart, MAX_CHUNK_BYTES, MAX_MESSAGE_BYTES, Message, MessageBody};
use crate::voter_set::{MAX_VOTERS, VoterSet};

/// Why bytes are no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// They are longer than any message.
    #[error("reading a word: {found} bytes, where {MAX_MESSAGE_BYTES} are the most; drop it")]
    TooLong {
        /// Their number.
        found: usize,
    },
    /// They can't be decoded.
    #[error("reading a word: it is damaged or of another version ({0}); drop it")]
    Damaged(postcard::Error),
    /// Bytes follow the message.
    #[error("reading a word: {found} bytes behind its end, where none belong; drop it")]
    Trailing {
        /// Their number.
        found: usize,
    },
    /// A collection in the message is larger than any sender makes it.
    #[error(
        "reading a word: it names more members than {MAX_VOTERS}, or bytes beyond {MAX_CHUNK_BYTES}; drop it"
    )]
    Unbounded,
}

impl Message {
    /// Encodes the message in postcard's wire format.
    ///
    /// # Errors
    /// It is longer than [`MAX_MESSAGE_BYTES`], which replicas and learners never produce.
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
    /// The bytes are too many, damaged, followed by others, or have a collection beyond its bound.
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
