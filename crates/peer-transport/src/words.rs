//! Words as bytes: what every part of the bank says to its peers goes through here. What they mean is their
//! owners'.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::LONGEST_WORD;

/// Bytes that are no word of the type that was asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WordError {
    /// Longer than any word may be.
    #[error(
        "reading a word: {found} bytes, and {LONGEST_WORD} are the most; its sender must split it"
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
pub fn encode<T: Serialize + ?Sized>(word: &T) -> Vec<u8> {
    postcard::to_allocvec(word)
        .expect("derived types say the length of what they hold, and memory is not bounded")
}

/// The word that these bytes are: all of them, and at most [`LONGEST_WORD`]. Nothing in the bytes makes it
/// panic or reserve more than serde's cautious megabyte; a type that holds a sequence of nothing (`Vec<()>`)
/// must not be read with it, since its length costs no bytes.
///
/// # Errors
///
/// [`WordError`], where they are too long, not a `T`, or a `T` and more.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WordError> {
    let length = bytes.len();
    if length > LONGEST_WORD {
        return Err(WordError::TooLong { found: length });
    }
    match postcard::take_from_bytes(bytes) {
        Ok((word, [])) => Ok(word),
        Ok((_, rest)) => Err(WordError::Trailing { length, rest: rest.len() }),
        Err(cause) => Err(WordError::Malformed { length, cause }),
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::{Channel, Member};

    type Word = (Channel, Vec<(Member, String)>, Option<u64>);

    proptest! {
        #[test]
        fn words_come_back_and_what_is_cut_longer_or_garbage_is_an_error_at_most(
            members in proptest::collection::vec((any::<u16>(), ".{0,8}"), 0..8), at in any::<Option<u64>>(),
            garbage in proptest::collection::vec(any::<u8>(), 0..64),
        ) {
            let members = members.into_iter().map(|(m, name)| (Member(m), name)).collect();
            let word: Word = (Channel::Leases, members, at);
            let mut bytes = encode(&word);
            prop_assert_eq!(decode::<Word>(&bytes), Ok(word));
            let cut = decode::<Word>(&bytes[..bytes.len() - 1]);
            prop_assert!(matches!(cut, Err(WordError::Malformed { .. })), "cut");
            bytes.push(0);
            let longer = decode::<Word>(&bytes);
            prop_assert!(matches!(longer, Err(WordError::Trailing { rest: 1, .. })), "longer");
            let _ = decode::<Word>(&garbage);
        }
    }

    #[test]
    fn the_longest_word_is_read_and_one_byte_more_is_not() {
        let too_long = WordError::TooLong { found: LONGEST_WORD + 1 };
        assert_eq!(decode::<Vec<u8>>(&vec![0; LONGEST_WORD + 1]), Err(too_long));
        let longest = encode(&vec![7u8; LONGEST_WORD - 3]);
        assert_eq!(longest.len(), LONGEST_WORD);
        assert_eq!(decode(&longest), Ok(vec![7u8; LONGEST_WORD - 3]));
    }
}
