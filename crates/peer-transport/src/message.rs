//! Encoding of messages as bytes, for every component that sends to its peers; the types of the messages are
//! left to their components.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::MAX_MESSAGE_BYTES;

#[cfg(test)]
mod tests;

/// Why bytes are no message of the requested type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// They are longer than any message may be.
    #[error(
        "reading a word: {found} bytes, and {MAX_MESSAGE_BYTES} are the most; its sender must split it"
    )]
    TooLong {
        /// Their number.
        found: usize,
    },
    /// They are truncated, or of another version of the type.
    #[error("reading a word of {length} bytes: {cause}; do both ends run the same version?")]
    Malformed {
        /// Their number.
        length: usize,
        /// `postcard`'s error.
        cause: postcard::Error,
    },
    /// They hold a complete message and more.
    #[error(
        "reading a word of {length} bytes: it ended {rest} bytes before; do both ends run the same version?"
    )]
    Trailing {
        /// Their number.
        length: usize,
        /// Number of bytes after the message.
        rest: usize,
    },
}

/// Encodes a message in postcard's wire format, version 1.
///
/// # Panics
///
/// If the type's own `Serialize` fails, or starts a sequence without its length. No derived implementation
/// does.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message)
        .expect("derived types say the length of what they hold, and memory is not bounded")
}

/// Decodes a message that takes up all the bytes, which are at most [`MAX_MESSAGE_BYTES`].
///
/// No input makes it panic, or reserve more than serde's cautious megabyte. A type with a sequence of empty
/// elements (`Vec<()>`) must not be decoded with it, since its length costs no bytes.
///
/// # Errors
///
/// [`MessageError`] if the bytes are too many, are not a `T`, or hold more than a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let length = bytes.len();
    if length > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong { found: length });
    }
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok((_, rest)) => Err(MessageError::Trailing { length, rest: rest.len() }),
        Err(cause) => Err(MessageError::Malformed { length, cause }),
    }
}
