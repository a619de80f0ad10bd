//! Words as bytes: what every part of the bank says to its peers goes through here. What they mean is their
//! owners'.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::MAX_MESSAGE_BYTES;

/// Bytes that are no word of the type that was asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Longer than any word may be.
    #[error(
        "reading a word: {found} bytes, and {MAX_MESSAGE_BYTES} are the most; its sender must split it"
    )]
    TooLong {
        /// Its length in bytes.
        found: usize,
    },
    /// Not of this type: cut short, or of another build.
    #[error("reading a word of {length} bytes: {cause}; do both ends run the same version?")]
    Malformed {
        /// Its length in bytes.
        length: usize,
        /// What `postcard` stumbled over.
        cause: postcard::Error,
    },
    /// A whole word, and more behind it.
    #[error(
        "reading a word of {length} bytes: it ended {rest} bytes before; do both ends run the same version?"
    )]
    Trailing {
        /// Its length in bytes.
        length: usize,
        /// Bytes behind its end.
        rest: usize,
    },
}

/// A word as bytes (postcard's wire format, version 1).
///
/// # Panics
///
/// Only for a type that can't be written at all: one whose own `Serialize` fails or starts a sequence without
/// saying its length. No derived one does, whatever it holds.
pub fn encode<T: Serialize + ?Sized>(message: &T) -> Vec<u8> {
    postcard::to_allocvec(message)
        .expect("derived types say the length of what they hold, and memory is not bounded")
}

/// The word that these bytes are: all of them, and at most [`MAX_MESSAGE_BYTES`]. Nothing in the bytes makes it
/// panic or reserve more than serde's cautious megabyte; a type that holds a sequence of nothing (`Vec<()>`)
/// must not be read with it, since its length costs no bytes.
///
/// # Errors
///
/// [`MessageError`], where they are too long, not a `T`, or a `T` and more.
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

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::{Channel, NodeId};

    type Message = (Channel, Vec<(NodeId, String)>, Option<u64>);

    proptest! {
        #[test]
        fn words_come_back_and_what_is_cut_longer_or_garbage_is_an_error_at_most(
            members in proptest::collection::vec((any::<u16>(), ".{0,8}"), 0..8), at in any::<Option<u64>>(),
            garbage in proptest::collection::vec(any::<u8>(), 0..64),
        ) {
            let members = members.into_iter().map(|(m, name)| (NodeId(m), name)).collect();
            let message: Message = (Channel::Leases, members, at);
            let mut bytes = encode(&message);
            prop_assert_eq!(decode::<Message>(&bytes), Ok(message));
            let cut = decode::<Message>(&bytes[..bytes.len() - 1]);
            prop_assert!(matches!(cut, Err(MessageError::Malformed { .. })), "cut");
            bytes.push(0);
            let longer = decode::<Message>(&bytes);
            prop_assert!(matches!(longer, Err(MessageError::Trailing { rest: 1, .. })), "longer");
            let _ = decode::<Message>(&garbage);
        }
    }

    #[test]
    fn the_longest_word_is_read_and_one_byte_more_is_not() {
        let too_long = MessageError::TooLong { found: MAX_MESSAGE_BYTES + 1 };
        assert_eq!(decode::<Vec<u8>>(&vec![0; MAX_MESSAGE_BYTES + 1]), Err(too_long));
        let longest = encode(&vec![7u8; MAX_MESSAGE_BYTES - 3]);
        assert_eq!(longest.len(), MAX_MESSAGE_BYTES);
        assert_eq!(decode(&longest), Ok(vec![7u8; MAX_MESSAGE_BYTES - 3]));
    }
}
