//! Datagrams of each kind, byte for byte as recorded in `tests/formats`.

#[path = "../../tests/formats/hex.rs"]
mod hex;

use hex::{assert_all_recorded, assert_recorded, recorded};

use crate::frame::{Body, ChannelMessage, FRAGMENT_BYTES, FragmentHeader, Frame, MAX_FRAGMENTS};
use crate::{Channel, Incarnation, NodeId};

const SENDER: NodeId = NodeId(0x0102);
const RECEIVER: NodeId = NodeId(0x0304);

/// Returns one datagram of each kind, by the name of its recorded bytes. `fragment` is the content of every
/// fragment except the last.
fn datagrams(fragment: &[u8]) -> Vec<(&'static str, Frame<'_>)> {
    let frame = |body| Frame {
        from: Incarnation(0x1122_3344),
        to: Incarnation(0x5566_7788),
        sequence: 0x01_0203_0405,
        body,
    };
    let first_contact = Frame {
        to: Incarnation(0),
        sequence: 0,
        ..frame(Body::Handshake { challenge: 0xa1a2_a3a4, response: 0, confirmed: false })
    };
    let message = |channel, message| ChannelMessage { channel, message };
    let fragment_of = |channel, sequence_distance, index, count| FragmentHeader {
        channel,
        sequence_distance,
        index,
        count,
    };
    vec![
        ("handshake_first_contact", first_contact),
        (
            "handshake_challenge_and_response",
            frame(Body::Handshake {
                challenge: 0xa1a2_a3a4,
                response: 0xb1b2_b3b4,
                confirmed: false,
            }),
        ),
        (
            "handshake_response_to_confirmed",
            frame(Body::Handshake { challenge: 0, response: 0xb1b2_b3b4, confirmed: true }),
        ),
        ("message_padded", frame(Body::Messages(vec![message(Channel::Log, b"x")]))),
        ("message_empty", frame(Body::Messages(vec![message(Channel::Consensus, b"")]))),
        ("message_long", frame(Body::Messages(vec![message(Channel::Sessions, &fragment[..200])]))),
        (
            "messages_on_each_channel",
            frame(Body::Messages(vec![
                message(Channel::Consensus, b"consensus"),
                message(Channel::Log, b"log"),
                message(Channel::Leases, b"leases"),
                message(Channel::Sessions, b"sessions"),
                message(Channel::Lists, b"lists"),
            ])),
        ),
        (
            "fragment_first",
            frame(Body::Fragment(fragment_of(Channel::Lists, 0, 0, MAX_FRAGMENTS as u8), fragment)),
        ),
        (
            "fragment_last",
            frame(Body::Fragment(fragment_of(Channel::Leases, 0x0203, 2, 3), b"end")),
        ),
        (
            "retransmission_request",
            frame(Body::RetransmissionRequest {
                message_number: 0x0102_0304,
                missing: 1 << 88 | 0b1011,
            }),
        ),
    ]
}

#[test]
fn datagrams_have_their_recorded_bytes() {
    let fragment = [0x5a; FRAGMENT_BYTES];
    let encoded = |(name, frame): (_, Frame<'_>)| (name, frame.encode(SENDER, RECEIVER));
    assert_recorded(datagrams(&fragment).into_iter().map(encoded));
}

#[test]
fn recorded_datagrams_decode_to_the_frames_that_they_encode() {
    let fragment = [0x5a; FRAGMENT_BYTES];
    for (name, frame) in datagrams(&fragment) {
        assert_eq!(Frame::decode(SENDER, RECEIVER, &recorded(name)), Ok(frame), "{name}");
    }
}

#[test]
fn every_recorded_datagram_is_compared() {
    assert_all_recorded(datagrams(&[0; FRAGMENT_BYTES]).iter().map(|(name, _)| *name));
}
