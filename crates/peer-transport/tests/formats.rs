//! Formats other than frames, as literal text and recorded bytes: values in messages, and the JSON of the admin
//! API. The formats of frames are tested in `src/tests/formats.rs`.

use std::fmt::Debug;

use hollowpaddle_peer_transport::{
    Channel, DeliveredMetrics, DroppedMetrics, Incarnation, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES,
    MAX_UNFRAGMENTED_BYTES, MemoryUsage, MessageMetrics, NodeId, ReceivedMetrics, SentMetrics,
    TransportMetrics, VERSION, decode, encode,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn assert_encoding<T>(value: T, bytes: &[u8])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    assert_eq!(encode(&value), bytes, "{value:?}");
    assert_eq!(decode(bytes), Ok(value));
}

#[test]
fn values_within_messages_have_their_bytes() {
    assert_encoding(NodeId(300), &[0xac, 0x02]);
    assert_encoding(Incarnation(0x0102_0304), &[0x84, 0x86, 0x88, 0x08]);
    assert_encoding(Channel::Consensus, &[0]);
    assert_encoding(Channel::Log, &[1]);
    assert_encoding(Channel::Leases, &[2]);
    assert_encoding(Channel::Sessions, &[3]);
    assert_encoding(Channel::Lists, &[4]);
    assert!(decode::<Channel>(&[5]).is_err(), "there is no other channel");
}

#[test]
fn bounds_that_both_ends_rely_on_are_unchanged() {
    assert_eq!(
        (VERSION, MAX_DATAGRAM_BYTES, MAX_UNFRAGMENTED_BYTES, MAX_MESSAGE_BYTES),
        (1, 256, 233, 20_480)
    );
}

fn counts() -> TransportMetrics {
    TransportMetrics {
        sent: SentMetrics {
            datagrams: 1,
            bytes: 2,
            handshakes: 3,
            fragments: 4,
            retransmitted_fragments: 5,
            retransmission_requests: 6,
            suppressed_handshakes: 7,
            refused_fragments: 8,
        },
        received: ReceivedMetrics {
            handshakes: 11,
            message_datagrams: 12,
            fragments: 13,
            duplicate_fragments: 14,
            retransmission_requests: 15,
            stale_responses: 16,
            incarnations: 17,
        },
        dropped: DroppedMetrics {
            unknown_source: 21,
            too_long: 22,
            unsupported_version: 23,
            corrupted: 24,
            unreadable: 25,
            unconfirmed: 26,
            previous_incarnation: 27,
            duplicate: 28,
            too_old: 29,
        },
        messages: MessageMetrics {
            sent: 31,
            no_such_peer: 32,
            too_long: 33,
            queue_full: 34,
            budget_timeout: 35,
            handshake_timeout: 36,
            previous_incarnation: 37,
            sequences_exhausted: 38,
        },
        delivered: DeliveredMetrics { messages: 41, abandoned: 42 },
    }
}

#[test]
fn counters_have_their_json_keys() {
    let sent = r#""sent":{"datagrams":1,"bytes":2,"hellos":3,"pieces":4,"pieces_again":5,"asks":6,"hellos_held_back":7,"pieces_refused":8}"#;
    let received = r#""heard":{"hellos":11,"words":12,"pieces":13,"pieces_again":14,"asks":15,"stale_nonces":16,"lives":17}"#;
    let dropped = r#""dropped":{"strange":21,"too_long":22,"version":23,"torn":24,"unreadable":25,"unconfirmed":26,"former_life":27,"copy":28,"late":29}"#;
    let messages = r#""words":{"said":31,"nowhere":32,"too_long":33,"no_room":34,"no_tokens":35,"waited_in_vain":36,"former_life":37,"used_up":38}"#;
    let delivered = r#""delivered":{"words":41,"pieces_given_up":42}"#;
    let expected = format!("{{{sent},{received},{dropped},{messages},{delivered}}}");
    assert_eq!(serde_json::to_string(&counts()).expect("plain numbers"), expected);
}

#[test]
fn memory_usage_has_its_json_keys() {
    let memory = MemoryUsage { incoming: 1, outgoing: 2, queued: 3, waiting: 4 };
    let expected = r#"{"incoming":1,"outgoing":2,"queued":3,"waiting":4}"#;
    assert_eq!(serde_json::to_string(&memory).expect("plain numbers"), expected);
}
