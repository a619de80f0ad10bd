//! What balancers say to each other about vans, and how it is written: `postcard`, each word with the version
//! of the table that its sender acts on. Times in words are spans; nobody's clock is another's.

use serde::{Deserialize, Serialize};

use crate::record_store::MAX_SESSION_KEYS;
use crate::{Cell, Epoch, IdempotencyKey, SessionId};

/// No word is longer, in bytes. All but those of a change of the table, and records with more than eight keys
/// fit a datagram.
pub const MAX_MESSAGE_BYTES: usize = 1600;
/// What a chunk holds beside its records.
pub(crate) const MAX_CHUNK_BYTES: usize = 900;
/// Records in a chunk at most: decoding makes no longer list.
const MAX_CHUNK_RECORDS: usize = 128;
/// Keys of one van in a word: two that merged may have twice as many.
pub(crate) const MAX_RECORD_KEYS: usize = 2 * MAX_SESSION_KEYS;
/// Spans in words are cut to this (ms): a wrong one from a broken peer blocks a key for so long, not for
/// ever.
const MAX_SPAN_MS: u64 = 120_000;

/// A key that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct KeyRecord {
    pub key: IdempotencyKey,
    pub cell: Cell,
    pub first_permit_ago: u64,
    pub expires_in: u64,
}

/// What is known of a van.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct SessionRecord {
    pub session: SessionId,
    pub epoch: Epoch,
    pub cell: Cell,
    pub uncertain_for: u64,
    pub keys: Vec<KeyRecord>,
}

/// What a home says to one who wants to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum RouteOutcome {
    /// To this pod, under this ownership; a copy may be used for so long (ms).
    Send { cell: Cell, epoch: Epoch, copy: u32 },
    /// Not before so long (ms).
    Busy { ms: u64 },
    /// No room for another key.
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Message {
    /// To a home of the same site: where does this go?
    RouteRequest { n: u32, session: SessionId, key: Option<IdempotencyKey>, first: bool },
    /// Its answer.
    RouteResponse { n: u32, outcome: RouteOutcome },
    /// The one attempt that was allowed did not run.
    AttemptNotRun { n: u32, session: SessionId, key: IdempotencyKey },
    /// A home sends something itself; another must know, too.
    Replicate { n: u32, session: SessionId, note: KeyRecord },
    /// It does.
    ReplicateAck { n: u32 },
    /// To holders of copies: use them no more.
    Revoke { session: SessionId, epoch: Epoch },
    /// They don't, and nothing that was placed under it is still to go out.
    RevokeAck { session: SessionId, epoch: Epoch },
    /// To the homes at all other sites: this van is here now. `floor`: the epoch must be above. `arrived`:
    /// the record is here already, and only your answer is missing.
    ClaimRequest { ask: u32, session: SessionId, floor: Epoch, arrived: bool },
    /// It is not mine, and what I know.
    NoRecord { ask: u32, floor: Epoch, session_record: SessionRecord },
    /// It was mine, and is yours under this epoch.
    Transfer { ask: u32, session_record: SessionRecord },
    /// It is; or it is not, and is to be wanted anew.
    TransferAck { session: SessionId, epoch: Epoch, taken: bool },
    /// To all of the same site after a change of the table: what do you know of vans whose home I am? From
    /// the so-manieth.
    FetchRecords { stamp: u64, at: u32 },
    /// That. `worst_in`: at the end, for how long something may have been lost with those who are gone.
    RecordChunk { stamp: u64, at: u32, session_records: Vec<SessionRecord>, worst_in: Option<u64> },
}

/// A word that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
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

pub(crate) fn read(bytes: &[u8]) -> Result<(u64, Message), MessageError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MessageError::TooLong(bytes.len()));
    }
    let (mut read, rest) =
        postcard::take_from_bytes::<(u64, Message)>(bytes).map_err(|_| MessageError::Torn(0))?;
    if !rest.is_empty() {
        return Err(MessageError::Torn(rest.len()));
    }
    let cut = |span: &mut u64| *span = (*span).min(MAX_SPAN_MS);
    let trim = |session_record: &mut SessionRecord| {
        cut(&mut session_record.uncertain_for);
        session_record.keys.iter_mut().for_each(|k| cut(&mut k.expires_in));
        if session_record.keys.len() > MAX_RECORD_KEYS {
            Err(MessageError::TooMany(session_record.keys.len()))
        } else {
            Ok(())
        }
    };
    match &mut read.1 {
        Message::NoRecord { session_record, .. } | Message::Transfer { session_record, .. } => {
            trim(session_record)?
        }
        Message::RecordChunk { session_records, worst_in, .. } => {
            if session_records.len() > MAX_CHUNK_RECORDS {
                return Err(MessageError::TooMany(session_records.len()));
            }
            session_records.iter_mut().try_for_each(trim)?;
            worst_in.iter_mut().for_each(cut);
        }
        Message::RouteResponse { outcome: RouteOutcome::Busy { ms }, .. } => cut(ms),
        Message::Replicate { note, .. } => cut(&mut note.expires_in),
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
        let key = KeyRecord {
            key: IdempotencyKey(u64::MAX),
            cell: Cell(300),
            first_permit_ago: 9_000,
            expires_in: 13_000,
        };
        let session_record = |keys| SessionRecord {
            session: SessionId(u64::MAX),
            epoch: Epoch(1 << 50),
            cell: Cell(300),
            uncertain_for: 13_000,
            keys: vec![key; keys],
        };
        let hand = |keys| {
            write(
                1 << 20,
                &Message::Transfer { ask: u32::MAX, session_record: session_record(keys) },
            )
            .len()
        };
        assert!(hand(8) <= 200, "{}", hand(8));
        assert!(
            hand(MAX_RECORD_KEYS) + MAX_CHUNK_BYTES <= MAX_MESSAGE_BYTES,
            "{}",
            hand(MAX_RECORD_KEYS)
        );
        let bytes = write(7, &Message::Transfer { ask: 1, session_record: session_record(2) });
        assert!(matches!(read(&bytes), Ok((7, Message::Transfer { ask: 1, .. }))));
        assert_eq!(read(&[bytes.as_slice(), &[0]].concat()), Err(MessageError::Torn(1)));
        assert_eq!(
            read(&[0; MAX_MESSAGE_BYTES + 1]),
            Err(MessageError::TooLong(MAX_MESSAGE_BYTES + 1))
        );
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
