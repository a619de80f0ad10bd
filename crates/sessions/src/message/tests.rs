//! Tests the bounds of the encoding and the decoding of arbitrary bytes.

use proptest::prelude::*;

use super::*;
use crate::ids::{Cell, Epoch, IdempotencyKey, SessionId};
use crate::session_record::{KeyRecord, SessionRecord};

#[test]
fn record_with_eight_keys_fits_a_datagram_and_the_longest_one_its_bound() {
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
    let transfer_length = |keys| {
        encode(1 << 20, &Message::Transfer { claim: u32::MAX, record: session_record(keys) }).len()
    };
    assert!(transfer_length(8) <= 200, "{}", transfer_length(8));
    assert!(
        transfer_length(MAX_RECORD_KEYS) + MAX_CHUNK_BYTES <= MAX_MESSAGE_BYTES,
        "{}",
        transfer_length(MAX_RECORD_KEYS)
    );
    let bytes = encode(7, &Message::Transfer { claim: 1, record: session_record(2) });
    assert!(matches!(decode(&bytes), Ok((7, Message::Transfer { claim: 1, .. }))));
    assert_eq!(decode(&[bytes.as_slice(), &[0]].concat()), Err(MessageError::Malformed(1)));
    assert_eq!(
        decode(&[0; MAX_MESSAGE_BYTES + 1]),
        Err(MessageError::TooLong(MAX_MESSAGE_BYTES + 1))
    );
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok((version, message)) = decode(&bytes) {
            prop_assert!(encode(version, &message).len() <= bytes.len() + 60);
        }
    }
}
