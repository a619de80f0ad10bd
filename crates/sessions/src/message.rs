//! What balancers say to each other about vans, and how it is written: `postcard`, each word with the version
//! of the table that its sender acts on. Times in words are spans; nobody's clock is another's.

use serde::{Deserialize, Serialize};

use crate::store::KEYS_OF_ONE;
use crate::{Epoch, Key, Pod, Sid};

/// No word is longer, in bytes. All but those of a change of the table, and records with more than eight keys
/// fit a datagram.
pub const MAX_MESSAGE_BYTES: usize = 1600;
/// What a chunk holds beside its records.
pub(crate) const CHUNK: usize = 900;
/// Records in a chunk at most: decoding makes no longer list.
const ESTATES: usize = 128;
/// Keys of one van in a word: two that merged may have twice as many.
pub(crate) const KEYS: usize = 2 * KEYS_OF_ONE;
/// Spans in words are cut to this (ms): a wrong one from a broken peer blocks a key for so long, not for
/// ever.
const LONGEST_SPAN: u64 = 120_000;

/// A key that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct KeyWord {
    pub key: Key,
    pub pod: Pod,
    pub first_ago: u64,
    pub free_in: u64,
}

/// What is known of a van.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Estate {
    pub sid: Sid,
    pub epoch: Epoch,
    pub pod: Pod,
    pub blind_in: u64,
    pub keys: Vec<KeyWord>,
}

/// What a home says to one who wants to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Said {
    /// To this pod, under this ownership; a copy may be used for so long (ms).
    Go { pod: Pod, epoch: Epoch, copy: u32 },
    /// Not before so long (ms).
    Busy { ms: u64 },
    /// No room for another key.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Message {
    /// To a home of the same site: where does this go?
    Ask { n: u32, sid: Sid, key: Option<Key>, first: bool },
    /// Its answer.
    Answer { n: u32, said: Said },
    /// The one attempt that was allowed did not run.
    Unran { n: u32, sid: Sid, key: Key },
    /// A home sends something itself; another must know, too.
    Keep { n: u32, sid: Sid, note: KeyWord },
    /// It does.
    Kept { n: u32 },
    /// To holders of copies: use them no more.
    Withdraw { sid: Sid, epoch: Epoch },
    /// They don't, and nothing that was placed under it is still to go out.
    Withdrawn { sid: Sid, epoch: Epoch },
    /// To the homes at all other sites: this van is here now. `floor`: the epoch must be above. `arrived`:
    /// the record is here already, and only your answer is missing.
    Want { ask: u32, sid: Sid, floor: Epoch, arrived: bool },
    /// It is not mine, and what I know.
    Nothing { ask: u32, floor: Epoch, estate: Estate },
    /// It was mine, and is yours under this epoch.
    Hand { ask: u32, estate: Estate },
    /// It is; or it is not, and is to be wanted anew.
    Got { sid: Sid, epoch: Epoch, taken: bool },
    /// To all of the same site after a change of the table: what do you know of vans whose home I am? From
    /// the so-manieth.
    Pull { stamp: u64, at: u32 },
    /// That. `worst_in`: at the end, for how long something may have been lost with those who are gone.
    Chunk { stamp: u64, at: u32, estates: Vec<Estate>, worst_in: Option<u64> },
}

/// A word that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    /// Longer than any.
    #[error(
        "a word about vans of {0} bytes was to be read; the longest has {MAX_MESSAGE_BYTES}: it is dropped"
    )]
    TooLong(usize),
    /// Not one of ours, cut short, or with something behind it.
    #[error(
        "a word about vans is torn, of another version, or has {0} bytes behind it: it is dropped"
    )]
    Torn(usize),
    /// A list in it is longer than any balancer writes.
    #[error(
        "a word about vans names {0} records or keys; no balancer names as many: it is dropped"
    )]
    TooMany(usize),
}

pub(crate) fn write(version: u64, message: &Message) -> Vec<u8> {
    postcard::to_allocvec(&(version, message))
        .expect("words hold nothing that postcard can't write")
}

pub(crate) fn read(bytes: &[u8]) -> Result<(u64, Message), Bad> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(Bad::TooLong(bytes.len()));
    }
    let (mut read, rest) =
        postcard::take_from_bytes::<(u64, Message)>(bytes).map_err(|_| Bad::Torn(0))?;
    if !rest.is_empty() {
        return Err(Bad::Torn(rest.len()));
    }
    let cut = |span: &mut u64| *span = (*span).min(LONGEST_SPAN);
    let trim = |estate: &mut Estate| {
        cut(&mut estate.blind_in);
        estate.keys.iter_mut().for_each(|k| cut(&mut k.free_in));
        if estate.keys.len() > KEYS { Err(Bad::TooMany(estate.keys.len())) } else { Ok(()) }
    };
    match &mut read.1 {
        Message::Nothing { estate, .. } | Message::Hand { estate, .. } => trim(estate)?,
        Message::Chunk { estates, worst_in, .. } => {
            if estates.len() > ESTATES {
                return Err(Bad::TooMany(estates.len()));
            }
            estates.iter_mut().try_for_each(trim)?;
            worst_in.iter_mut().for_each(cut);
        }
        Message::Answer { said: Said::Busy { ms }, .. } => cut(ms),
        Message::Keep { note, .. } => cut(&mut note.free_in),
        _ => {}
    }
    Ok(read)
}

#[cfg(test)]
mod formats;

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn a_record_with_eight_keys_fits_a_datagram_and_the_longest_word_its_bound() {
        let key = KeyWord { key: Key(u64::MAX), pod: Pod(300), first_ago: 9_000, free_in: 13_000 };
        let estate = |keys| Estate {
            sid: Sid(u64::MAX),
            epoch: Epoch(1 << 50),
            pod: Pod(300),
            blind_in: 13_000,
            keys: vec![key; keys],
        };
        let hand =
            |keys| write(1 << 20, &Message::Hand { ask: u32::MAX, estate: estate(keys) }).len();
        assert!(hand(8) <= 200, "{}", hand(8));
        assert!(hand(KEYS) + CHUNK <= MAX_MESSAGE_BYTES, "{}", hand(KEYS));
        let bytes = write(7, &Message::Hand { ask: 1, estate: estate(2) });
        assert!(matches!(read(&bytes), Ok((7, Message::Hand { ask: 1, .. }))));
        assert_eq!(read(&[bytes.as_slice(), &[0]].concat()), Err(Bad::Torn(1)));
        assert_eq!(read(&[0; MAX_MESSAGE_BYTES + 1]), Err(Bad::TooLong(MAX_MESSAGE_BYTES + 1)));
    }

    proptest! {
        #[test]
        fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            if let Ok((version, message)) = read(&bytes) {
                prop_assert!(write(version, &message).len() <= bytes.len() + 60);
            }
        }
    }
}
