//! Tests with random frames and with frames of a malicious peer. Only tests inside the package can give these
//! frames a valid checksum.

mod formats;

use std::time::Duration;

use proptest::prelude::*;

use crate::frame::{
    Body, ChannelMessage, FRAGMENT_BYTES, FragmentHeader, Frame, FrameError, HANDSHAKE_BYTES,
};
use crate::{
    Action, Budget, Channel, Config, Event, Incarnation, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES,
    NodeId, Transport,
};

const LOCAL: NodeId = NodeId(0);
const PEER: NodeId = NodeId(1);

fn transport() -> Transport {
    let (incarnation, budget) = (Incarnation(5), Budget::default());
    Transport::new(Config { node_id: LOCAL, members: 30, incarnation, seed: 9, budget })
        .expect("sound")
}

fn receive(
    transport: &mut Transport,
    now: Duration,
    from: Incarnation,
    to: Incarnation,
    sequence: u64,
    body: Body<'_>,
) -> Vec<Action> {
    let bytes = Frame { from, to, sequence, body }.encode(PEER, LOCAL);
    let mut actions = Vec::new();
    transport.handle(now, Event::Received { from: PEER, bytes: &bytes }, &mut actions);
    actions
}

/// Returns the challenge of the last handshake.
fn challenge_in(actions: &[Action]) -> u32 {
    let mut handshakes = actions.iter().filter_map(|action| match action {
        Action::Transmit { bytes, .. } => match Frame::decode(LOCAL, PEER, bytes) {
            Ok(Frame { body: Body::Handshake { challenge, .. }, .. }) => Some(challenge),
            _ => None,
        },
        _ => None,
    });
    handshakes.next_back().unwrap_or(0)
}

fn handshake(challenge: u32, response: u32) -> Body<'static> {
    Body::Handshake { challenge, response, confirmed: false }
}

/// Completes the handshake with an incarnation that has used sequence numbers up to `sequence`.
fn confirmed(transport: &mut Transport, now: Duration, incarnation: Incarnation, sequence: u64) {
    let nonce =
        challenge_in(&receive(transport, now, incarnation, Incarnation(0), 0, handshake(1, 0)));
    let actions =
        receive(transport, now, incarnation, Incarnation(5), sequence, handshake(0, nonce));
    assert!(actions.contains(&Action::PeerRestarted { from: PEER, incarnation }), "{actions:?}");
}

fn message(message: &[u8]) -> Body<'_> {
    Body::Messages(vec![ChannelMessage { channel: Channel::Log, message }])
}

fn any_body() -> impl Strategy<Value = (u8, u64, u64, u8, u8, Vec<u8>)> {
    (
        0..4u8,
        0..400u64,
        any::<u64>(),
        0..95u8,
        0..95u8,
        proptest::collection::vec(any::<u8>(), 0..=FRAGMENT_BYTES),
    )
}

fn body((kind, near, far, index, count, data): &(u8, u64, u64, u8, u8, Vec<u8>)) -> Body<'_> {
    match kind {
        0 => Body::Handshake {
            challenge: *far as u32,
            response: *near as u32,
            confirmed: near % 2 == 0,
        },
        1 => message(data),
        2 => {
            let fragment = FragmentHeader {
                channel: Channel::Lists,
                sequence_distance: *near as u16,
                index: *index,
                count: *count,
            };
            Body::Fragment(fragment, data)
        }
        _ => Body::RetransmissionRequest {
            message_number: *near,
            missing: u128::from(*far) << (near % 64),
        },
    }
}

proptest! {
    #[test]
    fn decodes_what_was_encoded_and_rejects_flipped_truncated_or_misattributed_frames(
        one in any_body(), incarnations in any::<(u32, u32)>(), sequence in 0..=crate::frame::MAX_SEQUENCE,
        flips in proptest::collection::btree_set(0..MAX_DATAGRAM_BYTES * 8, 1..=4),
    ) {
        let (from, to) = (Incarnation(incarnations.0.max(1)), Incarnation(incarnations.1));
        let frame = Frame { from, to, sequence, body: body(&one) };
        let bytes = frame.encode(PEER, LOCAL);
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES && (bytes.len() >= HANDSHAKE_BYTES || one.0 == 2));
        match Frame::decode(PEER, LOCAL, &bytes) {
            Ok(read) => prop_assert_eq!(read, frame),
            // The frame is a fragment that no message can have.
            Err(bad) => prop_assert_eq!((bad, one.0), (FrameError::Unreadable, 2)),
        }
        prop_assert_eq!(Frame::decode(NodeId(2), LOCAL, &bytes), Err(FrameError::Corrupted));
        prop_assert_eq!(Frame::decode(PEER, NodeId(2), &bytes), Err(FrameError::Corrupted));
        prop_assert!(Frame::decode(PEER, LOCAL, &bytes[..bytes.len() - 1]).is_err(), "truncated");
        let mut flipped = bytes.clone();
        flips.iter().filter(|bit| *bit / 8 < bytes.len()).for_each(|bit| flipped[bit / 8] ^= 1 << (bit % 8));
        if flipped != bytes {
            let read = Frame::decode(PEER, LOCAL, &flipped);
            prop_assert!(matches!(read, Err(FrameError::Corrupted | FrameError::Version)), "up to four flipped bits are detected");
        }
    }

    #[test]
    fn arbitrary_bytes_are_only_counted(
        garbage in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..=300), 1..40),
    ) {
        let mut transport = transport();
        let mut actions = Vec::new();
        for bytes in &garbage {
            transport.handle(Duration::ZERO, Event::Received { from: PEER, bytes }, &mut actions);
            let mut as_ours = bytes.clone();
            as_ours.insert(0, crate::VERSION);
            transport.handle(Duration::ZERO, Event::Received { from: PEER, bytes: &as_ours }, &mut actions);
        }
        prop_assert_eq!(&actions, &[]);
        let dropped = &transport.counts().dropped;
        prop_assert_eq!(dropped.too_long + dropped.unsupported_version + dropped.corrupted, 2 * garbage.len() as u64);
    }

    #[test]
    fn malicious_confirmed_peer_sends_only_as_itself_and_within_memory_bounds(
        frames in proptest::collection::vec((any_body(), 1..2_000u64, 0..50u64), 1..150),
    ) {
        let mut transport = transport();
        let (mut now, incarnation) = (Duration::ZERO, Incarnation(8));
        confirmed(&mut transport, now, incarnation, 0);
        let mut actions = Vec::new();
        let send = Event::Send {
            to: PEER, channel: Channel::Log, message: vec![1; MAX_MESSAGE_BYTES], mode: crate::DeliveryMode::Normal,
        };
        transport.handle(now, send, &mut actions);
        for (one, sequence, later) in &frames {
            now += Duration::from_millis(*later);
            for action in receive(&mut transport, now, incarnation, Incarnation(5), *sequence, body(one)) {
                match action {
                    Action::Deliver { from, incarnation: whose, message, .. } => {
                        prop_assert_eq!((from, whose), (PEER, incarnation));
                        prop_assert!(message.len() <= MAX_MESSAGE_BYTES);
                    }
                    Action::Transmit { to, .. } => prop_assert_eq!(to, PEER),
                    Action::PeerRestarted { .. } => prop_assert!(false, "no new incarnation"),
                    Action::WakeAt(_) => {}
                }
            }
            transport.handle(now, Event::Due, &mut actions);
        }
        prop_assert!(transport.memory_usage().incoming <= 64 << 10);
        prop_assert!(transport.counts().sent.retransmitted_fragments <= 4 * 89);
    }
}

#[test]
fn only_the_response_to_the_current_challenge_confirms_an_incarnation() {
    let (mut transport, now) = (transport(), Duration::from_secs(1));
    let first = challenge_in(&receive(
        &mut transport,
        now,
        Incarnation(8),
        Incarnation(5),
        3,
        message(b"who is there"),
    ));
    assert_eq!(transport.counts().dropped.unconfirmed, 1);
    assert_ne!(first, 0, "the handshake contains a challenge");
    // A guessed response, a response to a previous incarnation of this node, and the right response too late.
    receive(&mut transport, now, Incarnation(8), Incarnation(5), 3, handshake(0, first ^ 1));
    receive(&mut transport, now, Incarnation(8), Incarnation(4), 3, handshake(0, first));
    receive(
        &mut transport,
        now + Duration::from_secs(5),
        Incarnation(8),
        Incarnation(5),
        3,
        handshake(0, first),
    );
    assert_eq!(
        (transport.incarnation(PEER), transport.counts().received.stale_responses),
        (None, 3)
    );
    let now = now + Duration::from_secs(9);
    let second = challenge_in(&receive(
        &mut transport,
        now,
        Incarnation(8),
        Incarnation(5),
        4,
        message(b"again"),
    ));
    assert!(second != 0 && second != first);
    receive(&mut transport, now, Incarnation(8), Incarnation(5), 4, handshake(0, second));
    assert_eq!(transport.incarnation(PEER), Some(Incarnation(8)));
    // A response is accepted once: the same response confirms no other incarnation.
    receive(&mut transport, now, Incarnation(7), Incarnation(5), 4, handshake(0, second));
    assert_eq!(transport.incarnation(PEER), Some(Incarnation(8)));
}

#[test]
fn ignores_what_an_incarnation_sent_before_it_was_confirmed_again() {
    let (mut transport, now) = (transport(), Duration::ZERO);
    let delivers =
        |actions: Vec<Action>| actions.iter().any(|a| matches!(a, Action::Deliver { .. }));
    confirmed(&mut transport, now, Incarnation(8), 0);
    assert!(delivers(receive(
        &mut transport,
        now,
        Incarnation(8),
        Incarnation(5),
        1,
        message(b"one")
    )));
    let fragment = |sequence_distance, index| FragmentHeader {
        channel: Channel::Log,
        sequence_distance,
        index,
        count: 2,
    };
    let first = Body::Fragment(fragment(1, 0), &[7; FRAGMENT_BYTES]);
    assert!(!delivers(receive(&mut transport, now, Incarnation(8), Incarnation(5), 3, first)));
    // Another process of the same node is confirmed, and then the first process again.
    confirmed(&mut transport, now, Incarnation(9), 0);
    assert!(!delivers(receive(
        &mut transport,
        now,
        Incarnation(8),
        Incarnation(5),
        4,
        message(b"late")
    )));
    confirmed(&mut transport, now + Duration::from_secs(9), Incarnation(8), 4);
    assert!(!delivers(receive(
        &mut transport,
        now,
        Incarnation(8),
        Incarnation(5),
        1,
        message(b"one")
    )));
    assert_eq!(transport.counts().dropped.too_old, 1);
    // Message 2 began before the handshake, so that its fragments may have been reassembled before.
    for index in [0, 1] {
        let body = Body::Fragment(fragment(3 + u16::from(index), index), &[7; FRAGMENT_BYTES]);
        assert!(!delivers(receive(
            &mut transport,
            now,
            Incarnation(8),
            Incarnation(5),
            5 + u64::from(index),
            body
        )));
    }
    assert!(!delivers(receive(
        &mut transport,
        now,
        Incarnation(8),
        Incarnation(4),
        9,
        message(b"to a previous incarnation")
    )));
    assert!(delivers(receive(
        &mut transport,
        now,
        Incarnation(8),
        Incarnation(5),
        10,
        message(b"new")
    )));
}

#[test]
fn rejects_fragments_that_no_message_has() {
    let reads = |sequence_distance, index, count, length, sequence| {
        let body = Body::Fragment(
            FragmentHeader { channel: Channel::Log, sequence_distance, index, count },
            &[7; FRAGMENT_BYTES][..length],
        );
        Frame::decode(
            PEER,
            LOCAL,
            &Frame { from: Incarnation(8), to: Incarnation(5), sequence, body }.encode(PEER, LOCAL),
        )
        .is_ok()
    };
    assert!(reads(1, 0, 2, FRAGMENT_BYTES, 2) && reads(1, 1, 2, 1, 2) && reads(1, 88, 89, 64, 2));
    let invalid = [
        (0, 1, FRAGMENT_BYTES),
        (0, 0, FRAGMENT_BYTES),
        (2, 2, FRAGMENT_BYTES),
        (0, 2, FRAGMENT_BYTES - 1),
        (1, 2, 0),
        (88, 89, 65),
        (0, 90, FRAGMENT_BYTES),
    ];
    for (index, count, length) in invalid {
        assert!(!reads(1, index, count, length, 2), "{index} of {count}, {length} bytes");
    }
    assert!(!reads(2, 0, 2, FRAGMENT_BYTES, 2), "the number of a message before the first one");
}

#[test]
fn does_not_send_queued_messages_to_the_next_incarnation() {
    let (mut transport, now, mut actions) = (transport(), Duration::from_secs(1), Vec::new());
    for incarnation in [Incarnation(8), Incarnation(9)] {
        confirmed(&mut transport, now, incarnation, 0);
        receive(&mut transport, now, incarnation, Incarnation(5), 1, message(b"I know you"));
        for message in
            [vec![1; 9], vec![2; 900]].into_iter().filter(|_| incarnation == Incarnation(8))
        {
            let (channel, mode) = (Channel::Log, crate::DeliveryMode::Normal);
            transport.handle(now, Event::Send { to: PEER, channel, message, mode }, &mut actions);
        }
    }
    transport.handle(now, Event::Due, &mut actions);
    let went = actions.iter().filter(|action| matches!(action, Action::Transmit { .. })).count();
    assert_eq!(
        (went, transport.counts().messages.previous_incarnation, transport.memory_usage()),
        (0, 2, crate::MemoryUsage::default())
    );
}

#[test]
fn retransmissions_and_slow_fragments_are_bounded() {
    let (mut transport, mut now, mut actions) = (transport(), Duration::ZERO, Vec::new());
    confirmed(&mut transport, now, Incarnation(8), 0);
    receive(&mut transport, now, Incarnation(8), Incarnation(5), 1, message(b"I know you"));
    let (channel, message, mode) =
        (Channel::Log, vec![1; MAX_MESSAGE_BYTES], crate::DeliveryMode::Normal);
    transport.handle(now, Event::Send { to: PEER, channel, message, mode }, &mut actions);
    for step in 0..39u64 {
        now += Duration::from_millis(100);
        transport.handle(now, Event::Due, &mut actions);
        receive(
            &mut transport,
            now,
            Incarnation(8),
            Incarnation(5),
            2 + step,
            Body::RetransmissionRequest { message_number: 1, missing: u128::MAX },
        );
    }
    let sent = &transport.counts().sent;
    assert_eq!((sent.fragments, sent.retransmitted_fragments), (5 * 89, 4 * 89));
    assert!(sent.refused_fragments > 89);
    for step in 0..40u16 {
        now += Duration::from_millis(500);
        let fragment =
            FragmentHeader { channel, sequence_distance: 1 + step, index: step as u8, count: 89 };
        receive(
            &mut transport,
            now,
            Incarnation(8),
            Incarnation(5),
            101 + u64::from(step),
            Body::Fragment(fragment, &[7; FRAGMENT_BYTES]),
        );
        transport.handle(now, Event::Due, &mut actions);
        assert_eq!(transport.memory_usage().incoming > 0, step < 8, "after {step} half seconds");
    }
}

#[test]
fn ignores_fragments_of_a_message_that_is_already_complete() {
    let mut transport = transport();
    confirmed(&mut transport, Duration::ZERO, Incarnation(8), 0);
    let mut sequence = 0;
    let mut send = |transport: &mut Transport, message: u64| {
        let mut delivered = 0;
        for index in [0, 1] {
            sequence = 700.max(sequence + 1);
            let fragment = FragmentHeader {
                channel: Channel::Log,
                sequence_distance: (sequence - message) as u16,
                index,
                count: 2,
            };
            let body = Body::Fragment(fragment, &[7; FRAGMENT_BYTES]);
            let actions =
                receive(transport, Duration::ZERO, Incarnation(8), Incarnation(5), sequence, body);
            delivered += actions.iter().filter(|a| matches!(a, Action::Deliver { .. })).count();
        }
        delivered
    };
    // The numbers of the last 256 messages are retained, and fragments of older messages are ignored.
    let first: usize = (1..=600).map(|message| send(&mut transport, message)).sum();
    let again: usize = (1..=600).map(|message| send(&mut transport, message)).sum();
    assert_eq!((first, again), (600, 0));
    assert_eq!(
        (transport.counts().received.duplicate_fragments, transport.memory_usage().incoming),
        (1_200, 0)
    );
}

#[test]
fn peers_that_never_complete_messages_do_not_block_others() {
    let (mut transport, mut actions, honest) = (transport(), Vec::new(), NodeId(1));
    for member in (1..30).map(NodeId) {
        transport.confirm(member, Incarnation(8), 0, &mut actions);
    }
    let mut fragment = |from, sequence, sequence_distance, index| {
        let body = Body::Fragment(
            FragmentHeader { channel: Channel::Log, sequence_distance, index, count: 88 },
            &[7; FRAGMENT_BYTES],
        );
        let bytes =
            Frame { from: Incarnation(8), to: Incarnation(5), sequence, body }.encode(from, LOCAL);
        transport.handle(Duration::ZERO, Event::Received { from, bytes: &bytes }, &mut actions);
    };
    for index in 0..88 {
        fragment(honest, 2 + u64::from(index), 1 + u16::from(index), index);
        for malicious in (2..30).map(NodeId) {
            fragment(malicious, 2 + u64::from(index), 1, 0);
        }
    }
    let delivered = actions.iter().filter(|a| matches!(a, Action::Deliver { .. })).count();
    assert_eq!((delivered, transport.memory_usage().incoming <= 1 << 20), (1, true));
}

#[test]
fn unconfirmed_peers_get_no_amplification_and_five_handshakes_a_second() {
    let mut transport = transport();
    let (mut now, mut sent_bytes, mut received_bytes, mut handshakes) = (Duration::ZERO, 0, 0, 0);
    for i in 0..4_000u32 {
        now += Duration::from_millis(1);
        // Each body is the shortest of its kind.
        let fragment =
            FragmentHeader { channel: Channel::Log, sequence_distance: 0, index: 1, count: 2 };
        let body = [handshake(i + 1, i), message(&[]), Body::Fragment(fragment, &[7])]
            [i as usize % 3]
            .clone();
        let bytes = Frame { from: Incarnation(i + 1), to: Incarnation(5), sequence: 1, body }
            .encode(PEER, LOCAL);
        let mut actions = Vec::new();
        transport.handle(now, Event::Received { from: PEER, bytes: &bytes }, &mut actions);
        sent_bytes += bytes.len();
        for action in actions {
            let Action::Transmit { to: PEER, bytes: answer } = action else { panic!("{action:?}") };
            assert!(answer.len() <= bytes.len());
            (received_bytes, handshakes) = (received_bytes + answer.len(), handshakes + 1);
        }
    }
    assert!(
        received_bytes <= sent_bytes && (20..=8 + 4 * 5).contains(&handshakes),
        "{handshakes} handshakes, {received_bytes} of {sent_bytes} bytes"
    );
}
