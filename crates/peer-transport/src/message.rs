//! Encoding of messages as bytes, for every component that sends to its peers. Each component defines the types
//! of its messages.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::MAX_MESSAGE_BYTES;

#[cfg(test)]
mod tests;

/// Bytes that are not a message of the requested type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The bytes are longer than any message may be.
    #[error(
        "decoding a message: {found} bytes, where {MAX_MESSAGE_BYTES} is the maximum; its sender must split it"
    )]
    TooLong {
        /// Number of bytes.
        found: usize,
    },
    /// The bytes are truncated, or encode another version of the type.
    #[error("decoding a message of {length} bytes: {cause}; do both ends run the same version?")]
    Malformed {
        /// Number of bytes.
        length: usize,
        /// Error of `postcard`.
        cause: postcard::Error,
    },
    /// The bytes hold a complete message and further bytes.
    #[error(
        "decoding a message of {length} bytes: {rest} bytes follow its end; do both ends run the same version?"
    )]
    Trailing {
        /// Number of bytes.
        length: usize,
        /// Number of bytes after the message.
        rest: usize,
    },
}

/// Encodes a message in postcard's wire format, version 1.
///
/// # Panics
///
/// If the type's `Serialize` fails, or starts a sequence without its length. Derived implementations do
/// neither.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message)
        .expect("derived types give the lengths of their sequences, and the buffer is not bounded")
}

/// Decodes a message that takes up all the bytes, which are at most [`MAX_MESSAGE_BYTES`].
///
/// No input causes a panic, or an allocation beyond the megabyte that serde reserves in advance for a sequence.
/// A type with a sequence of empty elements (`Vec<()>`) must not be decoded, since the elements take no bytes
/// and the input does not bound their number.
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
