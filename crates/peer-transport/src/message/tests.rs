//! Encoding and decoding are inverse, and reject everything else.

use proptest::prelude::*;

use super::*;
use crate::{Channel, NodeId};

type Message = (Channel, Vec<(NodeId, String)>, Option<u64>);

proptest! {
    #[test]
    fn decodes_what_was_encoded_and_rejects_truncated_longer_or_arbitrary_bytes(
        members in proptest::collection::vec((any::<u16>(), ".{0,8}"), 0..8), at in any::<Option<u64>>(),
        garbage in proptest::collection::vec(any::<u8>(), 0..64),
    ) {
        let members = members.into_iter().map(|(m, name)| (NodeId(m), name)).collect();
        let message: Message = (Channel::Leases, members, at);
        let mut bytes = encode(&message);
        prop_assert_eq!(decode::<Message>(&bytes), Ok(message));
        let cut = decode::<Message>(&bytes[..bytes.len() - 1]);
        prop_assert!(matches!(cut, Err(MessageError::Malformed { .. })), "truncated");
        bytes.push(0);
        let longer = decode::<Message>(&bytes);
        prop_assert!(matches!(longer, Err(MessageError::Trailing { rest: 1, .. })), "longer");
        let _ = decode::<Message>(&garbage);
    }
}

#[test]
fn decodes_the_longest_message_and_rejects_one_byte_more() {
    let too_long = MessageError::TooLong { found: MAX_MESSAGE_BYTES + 1 };
    assert_eq!(decode::<Vec<u8>>(&vec![0; MAX_MESSAGE_BYTES + 1]), Err(too_long));
    let longest = encode(&vec![7u8; MAX_MESSAGE_BYTES - 3]);
    assert_eq!(longest.len(), MAX_MESSAGE_BYTES);
    assert_eq!(decode(&longest), Ok(vec![7u8; MAX_MESSAGE_BYTES - 3]));
}
