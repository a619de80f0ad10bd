//! Frames of liars, and of chance: only from inside can they be made whole.

mod formats;

use std::time::Duration;

use proptest::prelude::*;

use crate::frame::{Bad, Body, Frame, HELLO, PIECE, Piece, Said};
use crate::{
    Action, Budget, Channel, Config, DATAGRAM, Event, Incarnation, MAX_MESSAGE_BYTES, NodeId, Wire,
};

const ME: NodeId = NodeId(0);
const PEER: NodeId = NodeId(1);

fn wire() -> Wire {
    let (incarnation, budget) = (Incarnation(5), Budget::default());
    Wire::new(Config { node_id: ME, members: 30, incarnation, seed: 9, budget }).expect("sound")
}

fn hear(
    wire: &mut Wire,
    now: Duration,
    from: Incarnation,
    to: Incarnation,
    sequence: u64,
    body: Body<'_>,
) -> Vec<Action> {
    let bytes = Frame { from, to, sequence, body }.encode(PEER, ME);
    let mut actions = Vec::new();
    wire.handle(now, Event::Received { from: PEER, bytes: &bytes }, &mut actions);
    actions
}

/// What the last hello asks for.
fn asked(actions: &[Action]) -> u32 {
    let mut hellos = actions.iter().filter_map(|action| match action {
        Action::Transmit { bytes, .. } => match Frame::decode(ME, PEER, bytes) {
            Ok(Frame { body: Body::Hello { ask, .. }, .. }) => Some(ask),
            _ => None,
        },
        _ => None,
    });
    hellos.next_back().unwrap_or(0)
}

fn hello(ask: u32, answer: u32) -> Body<'static> {
    Body::Hello { ask, answer, known: false }
}

/// Confirmed at once, as far as `sequence`.
fn confirmed(wire: &mut Wire, now: Duration, incarnation: Incarnation, sequence: u64) {
    let nonce = asked(&hear(wire, now, incarnation, Incarnation(0), 0, hello(1, 0)));
    let actions = hear(wire, now, incarnation, Incarnation(5), sequence, hello(0, nonce));
    assert!(actions.contains(&Action::Reborn { from: PEER, incarnation }), "{actions:?}");
}

fn message(message: &[u8]) -> Body<'_> {
    Body::Words(vec![Said { channel: Channel::Log, message }])
}

fn any_body() -> impl Strategy<Value = (u8, u64, u64, u8, u8, Vec<u8>)> {
    (
        0..4u8,
        0..400u64,
        any::<u64>(),
        0..95u8,
        0..95u8,
        proptest::collection::vec(any::<u8>(), 0..=PIECE),
    )
}

fn body((kind, near, far, index, count, data): &(u8, u64, u64, u8, u8, Vec<u8>)) -> Body<'_> {
    match kind {
        0 => Body::Hello { ask: *far as u32, answer: *near as u32, known: near % 2 == 0 },
        1 => message(data),
        2 => {
            let piece =
                Piece { channel: Channel::Lists, back: *near as u16, index: *index, count: *count };
            Body::Piece(piece, data)
        }
        _ => Body::Missing { message: *near, which: u128::from(*far) << (near % 64) },
    }
}

proptest! {
    #[test]
    fn frames_come_back_as_they_were_and_flipped_cut_or_of_others_not_at_all(
        one in any_body(), incarnations in any::<(u32, u32)>(), sequence in 0..=crate::frame::LAST,
        flips in proptest::collection::btree_set(0..DATAGRAM * 8, 1..=4),
    ) {
        let (from, to) = (Incarnation(incarnations.0.max(1)), Incarnation(incarnations.1));
        let frame = Frame { from, to, sequence, body: body(&one) };
        let bytes = frame.encode(PEER, ME);
        prop_assert!(bytes.len() <= DATAGRAM && (bytes.len() >= HELLO || one.0 == 2));
        match Frame::decode(PEER, ME, &bytes) {
            Ok(read) => prop_assert_eq!(read, frame),
            // What is no piece of any word.
            Err(bad) => prop_assert_eq!((bad, one.0), (Bad::Unreadable, 2)),
        }
        prop_assert_eq!(Frame::decode(NodeId(2), ME, &bytes), Err(Bad::Torn));
        prop_assert_eq!(Frame::decode(PEER, NodeId(2), &bytes), Err(Bad::Torn));
        prop_assert!(Frame::decode(PEER, ME, &bytes[..bytes.len() - 1]).is_err(), "cut");
        let mut flipped = bytes.clone();
        flips.iter().filter(|bit| *bit / 8 < bytes.len()).for_each(|bit| flipped[bit / 8] ^= 1 << (bit % 8));
        if flipped != bytes {
            let read = Frame::decode(PEER, ME, &flipped);
            prop_assert!(matches!(read, Err(Bad::Torn | Bad::Version)), "up to four flips are found");
        }
    }

    #[test]
    fn any_bytes_are_counted_and_bring_nothing_about(
        garbage in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..=300), 1..40),
    ) {
        let mut wire = wire();
        let mut actions = Vec::new();
        for bytes in &garbage {
            wire.handle(Duration::ZERO, Event::Received { from: PEER, bytes }, &mut actions);
            let mut as_ours = bytes.clone();
            as_ours.insert(0, crate::VERSION);
            wire.handle(Duration::ZERO, Event::Received { from: PEER, bytes: &as_ours }, &mut actions);
        }
        prop_assert_eq!(&actions, &[]);
        let dropped = &wire.counts().dropped;
        prop_assert_eq!(dropped.too_long + dropped.version + dropped.torn, 2 * garbage.len() as u64);
    }

    #[test]
    fn a_confirmed_liar_s_frames_are_its_own_words_or_nothing_and_hold_no_more_than_they_may(
        frames in proptest::collection::vec((any_body(), 1..2_000u64, 0..50u64), 1..150),
    ) {
        let mut wire = wire();
        let (mut now, incarnation) = (Duration::ZERO, Incarnation(8));
        confirmed(&mut wire, now, incarnation, 0);
        let mut actions = Vec::new();
        let send = Event::Send {
            to: PEER, channel: Channel::Log, message: vec![1; MAX_MESSAGE_BYTES], how: crate::How::Usual,
        };
        wire.handle(now, send, &mut actions);
        for (one, sequence, later) in &frames {
            now += Duration::from_millis(*later);
            for action in hear(&mut wire, now, incarnation, Incarnation(5), *sequence, body(one)) {
                match action {
                    Action::Deliver { from, incarnation: whose, message, .. } => {
                        prop_assert_eq!((from, whose), (PEER, incarnation));
                        prop_assert!(message.len() <= MAX_MESSAGE_BYTES);
                    }
                    Action::Transmit { to, .. } => prop_assert_eq!(to, PEER),
                    Action::Reborn { .. } => prop_assert!(false, "no new life"),
                    Action::WakeAt(_) => {}
                }
            }
            wire.handle(now, Event::Due, &mut actions);
        }
        prop_assert!(wire.held().incoming <= 64 << 10);
        prop_assert!(wire.counts().sent.pieces_again <= 4 * 89);
    }
}

#[test]
fn only_the_answer_to_the_nonce_that_is_asked_now_confirms_a_life() {
    let (mut wire, now) = (wire(), Duration::from_secs(1));
    let first =
        asked(&hear(&mut wire, now, Incarnation(8), Incarnation(5), 3, message(b"who is there")));
    assert_eq!(wire.counts().dropped.unconfirmed, 1);
    assert_ne!(first, 0, "it is asked who it is");
    // A guess, an answer to a former life of ours, and the right one too late.
    hear(&mut wire, now, Incarnation(8), Incarnation(5), 3, hello(0, first ^ 1));
    hear(&mut wire, now, Incarnation(8), Incarnation(4), 3, hello(0, first));
    hear(
        &mut wire,
        now + Duration::from_secs(5),
        Incarnation(8),
        Incarnation(5),
        3,
        hello(0, first),
    );
    assert_eq!((wire.incarnation(PEER), wire.counts().heard.stale_nonces), (None, 3));
    let now = now + Duration::from_secs(9);
    let second = asked(&hear(&mut wire, now, Incarnation(8), Incarnation(5), 4, message(b"again")));
    assert!(second != 0 && second != first);
    hear(&mut wire, now, Incarnation(8), Incarnation(5), 4, hello(0, second));
    assert_eq!(wire.incarnation(PEER), Some(Incarnation(8)));
    // Once: the same answer makes no other life.
    hear(&mut wire, now, Incarnation(7), Incarnation(5), 4, hello(0, second));
    assert_eq!(wire.incarnation(PEER), Some(Incarnation(8)));
}

#[test]
fn what_a_life_said_before_it_was_confirmed_again_never_counts_again() {
    let (mut wire, now) = (wire(), Duration::ZERO);
    let delivers =
        |actions: Vec<Action>| actions.iter().any(|a| matches!(a, Action::Deliver { .. }));
    confirmed(&mut wire, now, Incarnation(8), 0);
    assert!(delivers(hear(&mut wire, now, Incarnation(8), Incarnation(5), 1, message(b"one"))));
    let piece = |back, index| Piece { channel: Channel::Log, back, index, count: 2 };
    let first = Body::Piece(piece(1, 0), &[7; PIECE]);
    assert!(!delivers(hear(&mut wire, now, Incarnation(8), Incarnation(5), 3, first)));
    // Another process under the same name, and the first one again.
    confirmed(&mut wire, now, Incarnation(9), 0);
    assert!(!delivers(hear(&mut wire, now, Incarnation(8), Incarnation(5), 4, message(b"late"))));
    confirmed(&mut wire, now + Duration::from_secs(9), Incarnation(8), 4);
    assert!(!delivers(hear(&mut wire, now, Incarnation(8), Incarnation(5), 1, message(b"one"))));
    assert_eq!(wire.counts().dropped.late, 1);
    // Word 2 began before; its pieces may have been put together then.
    for index in [0, 1] {
        let body = Body::Piece(piece(3 + u16::from(index), index), &[7; PIECE]);
        assert!(!delivers(hear(
            &mut wire,
            now,
            Incarnation(8),
            Incarnation(5),
            5 + u64::from(index),
            body
        )));
    }
    assert!(!delivers(hear(
        &mut wire,
        now,
        Incarnation(8),
        Incarnation(4),
        9,
        message(b"to a former life of ours")
    )));
    assert!(delivers(hear(&mut wire, now, Incarnation(8), Incarnation(5), 10, message(b"new"))));
}

#[test]
fn pieces_that_can_t_be_are_not_read() {
    let reads = |back, index, count, length, sequence| {
        let body =
            Body::Piece(Piece { channel: Channel::Log, back, index, count }, &[7; PIECE][..length]);
        Frame::decode(
            PEER,
            ME,
            &Frame { from: Incarnation(8), to: Incarnation(5), sequence, body }.encode(PEER, ME),
        )
        .is_ok()
    };
    assert!(reads(1, 0, 2, PIECE, 2) && reads(1, 1, 2, 1, 2) && reads(1, 88, 89, 64, 2));
    let ill = [
        (0, 1, PIECE),
        (0, 0, PIECE),
        (2, 2, PIECE),
        (0, 2, PIECE - 1),
        (1, 2, 0),
        (88, 89, 65),
        (0, 90, PIECE),
    ];
    for (index, count, length) in ill {
        assert!(!reads(1, index, count, length, 2), "{index} of {count}, {length} bytes");
    }
    assert!(!reads(2, 0, 2, PIECE, 2), "a word before all words");
}

#[test]
fn what_was_to_be_said_to_one_life_is_not_said_to_the_next() {
    let (mut wire, now, mut actions) = (wire(), Duration::from_secs(1), Vec::new());
    for incarnation in [Incarnation(8), Incarnation(9)] {
        confirmed(&mut wire, now, incarnation, 0);
        hear(&mut wire, now, incarnation, Incarnation(5), 1, message(b"I know you"));
        for message in
            [vec![1; 9], vec![2; 900]].into_iter().filter(|_| incarnation == Incarnation(8))
        {
            let (channel, how) = (Channel::Log, crate::How::Usual);
            wire.handle(now, Event::Send { to: PEER, channel, message, how }, &mut actions);
        }
    }
    wire.handle(now, Event::Due, &mut actions);
    let went = actions.iter().filter(|action| matches!(action, Action::Transmit { .. })).count();
    assert_eq!(
        (went, wire.counts().words.previous_incarnation, wire.held()),
        (0, 2, crate::Held::default())
    );
}

#[test]
fn nobody_is_told_a_word_for_ever_nor_trickles_one_in_for_ever() {
    let (mut wire, mut now, mut actions) = (wire(), Duration::ZERO, Vec::new());
    confirmed(&mut wire, now, Incarnation(8), 0);
    hear(&mut wire, now, Incarnation(8), Incarnation(5), 1, message(b"I know you"));
    let (channel, message, how) = (Channel::Log, vec![1; MAX_MESSAGE_BYTES], crate::How::Usual);
    wire.handle(now, Event::Send { to: PEER, channel, message, how }, &mut actions);
    for step in 0..39u64 {
        now += Duration::from_millis(100);
        wire.handle(now, Event::Due, &mut actions);
        hear(
            &mut wire,
            now,
            Incarnation(8),
            Incarnation(5),
            2 + step,
            Body::Missing { message: 1, which: u128::MAX },
        );
    }
    let sent = &wire.counts().sent;
    assert_eq!((sent.pieces, sent.pieces_again), (5 * 89, 4 * 89));
    assert!(sent.pieces_refused > 89);
    for step in 0..40u16 {
        now += Duration::from_millis(500);
        let piece = Piece { channel, back: 1 + step, index: step as u8, count: 89 };
        hear(
            &mut wire,
            now,
            Incarnation(8),
            Incarnation(5),
            101 + u64::from(step),
            Body::Piece(piece, &[7; PIECE]),
        );
        wire.handle(now, Event::Due, &mut actions);
        assert_eq!(wire.held().incoming > 0, step < 8, "after {step} halves of a second");
    }
}

#[test]
fn a_piece_that_comes_after_its_word_was_whole_begins_nothing() {
    let mut wire = wire();
    confirmed(&mut wire, Duration::ZERO, Incarnation(8), 0);
    let mut sequence = 0;
    let mut say = |wire: &mut Wire, message: u64| {
        let mut delivered = 0;
        for index in [0, 1] {
            sequence = 700.max(sequence + 1);
            let piece =
                Piece { channel: Channel::Log, back: (sequence - message) as u16, index, count: 2 };
            let body = Body::Piece(piece, &[7; PIECE]);
            let actions =
                hear(wire, Duration::ZERO, Incarnation(8), Incarnation(5), sequence, body);
            delivered += actions.iter().filter(|a| matches!(a, Action::Deliver { .. })).count();
        }
        delivered
    };
    // The numbers of the last 256 are kept; of those before none counts.
    let first: usize = (1..=600).map(|message| say(&mut wire, message)).sum();
    let again: usize = (1..=600).map(|message| say(&mut wire, message)).sum();
    assert_eq!((first, again), (600, 0));
    assert_eq!((wire.counts().heard.pieces_again, wire.held().incoming), (1_200, 0));
}

#[test]
fn peers_that_begin_words_without_end_keep_no_other_from_being_heard() {
    let (mut wire, mut actions, honest) = (wire(), Vec::new(), NodeId(1));
    for member in (1..30).map(NodeId) {
        wire.confirm(member, Incarnation(8), 0, &mut actions);
    }
    let mut piece = |from, sequence, back, index| {
        let body =
            Body::Piece(Piece { channel: Channel::Log, back, index, count: 88 }, &[7; PIECE]);
        let bytes =
            Frame { from: Incarnation(8), to: Incarnation(5), sequence, body }.encode(from, ME);
        wire.handle(Duration::ZERO, Event::Received { from, bytes: &bytes }, &mut actions);
    };
    for index in 0..88 {
        piece(honest, 2 + u64::from(index), 1 + u16::from(index), index);
        for liar in (2..30).map(NodeId) {
            piece(liar, 2 + u64::from(index), 1, 0);
        }
    }
    let delivered = actions.iter().filter(|a| matches!(a, Action::Deliver { .. })).count();
    assert_eq!((delivered, wire.held().incoming <= 1 << 20), (1, true));
}

#[test]
fn an_unconfirmed_peer_gets_no_more_than_it_says_and_five_hellos_a_second() {
    let mut wire = wire();
    let (mut now, mut said, mut heard, mut hellos) = (Duration::ZERO, 0, 0, 0);
    for i in 0..4_000u32 {
        now += Duration::from_millis(1);
        // The shortest of each kind.
        let piece = Piece { channel: Channel::Log, back: 0, index: 1, count: 2 };
        let body =
            [hello(i + 1, i), message(&[]), Body::Piece(piece, &[7])][i as usize % 3].clone();
        let bytes = Frame { from: Incarnation(i + 1), to: Incarnation(5), sequence: 1, body }
            .encode(PEER, ME);
        let mut actions = Vec::new();
        wire.handle(now, Event::Received { from: PEER, bytes: &bytes }, &mut actions);
        said += bytes.len();
        for action in actions {
            let Action::Transmit { to: PEER, bytes: answer } = action else { panic!("{action:?}") };
            assert!(answer.len() <= bytes.len());
            (heard, hellos) = (heard + answer.len(), hellos + 1);
        }
    }
    assert!(
        heard <= said && (20..=8 + 4 * 5).contains(&hellos),
        "{hellos} hellos, {heard} of {said}"
    );
}
