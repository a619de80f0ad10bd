//! Frames: what one datagram holds, to and from bytes. Which of them count is [`crate::Wire`]'s to decide.
//!
//! ```text
//! version 1 | crc32 4 | kind 1 | from-life 4 | to-life 4 | sequence 5 | body (postcard)
//! ```
//!
//! The sum (CRC-32, IEEE 802.3) is over all the rest and, as UDP does with addresses (RFC 768), over the
//! numbers of the two members: where settings disagree on who is which number, nothing is understood instead
//! of being taken for another's. It finds every flip of up to four bits at this length (Koopman 2002); of
//! other damage it misses one in 2^32.

use serde::{Deserialize, Serialize};

use crate::{Channel, DATAGRAM, Incarnation, MAX_MESSAGE_BYTES, NodeId};

/// Version of the frames. One of another is dropped and counted.
pub const VERSION: u8 = 1;
/// Bytes before the body.
pub(crate) const HEAD: usize = 19;
/// A hello's length. Other frames are filled up to it, so that a hello in answer is not longer than what
/// asked for it.
pub(crate) const HELLO: usize = HEAD + 9;
/// The longest word that goes in one datagram with its channel and length, in bytes.
pub const ONE_DATAGRAM: usize = DATAGRAM - HEAD - 1 - 3;
/// Bytes of a word in each of its pieces but the last.
pub(crate) const PIECE: usize = DATAGRAM - HEAD - 5;
/// Pieces of the longest word.
pub(crate) const PIECES: usize = MAX_MESSAGE_BYTES.div_ceil(PIECE);
/// The last sequence. At 2,000 datagrams a second to one peer it is reached after 17 years; then nothing more
/// is sent.
pub(crate) const LAST: u64 = (1 << 40) - 1;

// What is asked for again is told as bits of a u128.
const _: () = assert!(PIECES <= 128);

/// One word among several of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Said<'a> {
    pub(crate) channel: Channel,
    #[serde(borrow)]
    pub(crate) message: &'a [u8],
}

impl Said<'_> {
    /// Bytes that it takes in a frame.
    pub(crate) fn length(message: usize) -> usize {
        1 + if message < 128 { 1 } else { 2 } + message
    }
}

/// Which piece of which word. The word's number is the sequence `back` before the frame's own: unique, never
/// wrapped, and two bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Piece {
    pub(crate) channel: Channel,
    #[serde(with = "postcard::fixint::le")]
    pub(crate) back: u16,
    pub(crate) index: u8,
    pub(crate) count: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Body<'a> {
    /// Asks for a nonce back (0: not), gives one back (0: none), and says whether the life that it goes to is
    /// the one that its sender has confirmed.
    Hello { ask: u32, answer: u32, known: bool },
    /// One or more whole words.
    Words(Vec<Said<'a>>),
    /// A part of a longer word.
    Piece(Piece, &'a [u8]),
    /// Pieces of this word that have not come.
    Missing { message: u64, which: u128 },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub(crate) from: Incarnation,
    pub(crate) to: Incarnation,
    /// Counts the frames from one life to one member, from 1. A hello has none of its own: it says the last
    /// one.
    pub(crate) sequence: u64,
    pub(crate) body: Body<'a>,
}

#[derive(Serialize, Deserialize)]
struct Nonces {
    #[serde(with = "postcard::fixint::le")]
    ask: u32,
    #[serde(with = "postcard::fixint::le")]
    answer: u32,
    known: bool,
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bad {
    TooLong,
    Version,
    Torn,
    /// The sum is right, and what it sums up can't be read or can't be.
    Unreadable,
}

/// Reads from the front.
fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (first, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*first)
}

fn sum(from: NodeId, to: NodeId, version: u8, rest: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&from.0.to_le_bytes());
    sum.update(&to.0.to_le_bytes());
    sum.update(&[version]);
    sum.update(rest);
    sum.finalize()
}

impl<'a> Frame<'a> {
    /// At most [`DATAGRAM`] bytes, for bodies within the bounds above.
    pub(crate) fn encode(&self, from: NodeId, to: NodeId) -> Vec<u8> {
        let mut rest = Vec::with_capacity(DATAGRAM);
        rest.push(match self.body {
            Body::Hello { .. } => 0,
            Body::Words(_) => 1,
            Body::Piece(..) => 2,
            Body::Missing { .. } => 3,
        });
        rest.extend_from_slice(&self.from.0.to_le_bytes());
        rest.extend_from_slice(&self.to.0.to_le_bytes());
        rest.extend_from_slice(&self.sequence.to_le_bytes()[..5]);
        match &self.body {
            Body::Hello { ask, answer, known } => {
                rest.extend(crate::encode(&Nonces { ask: *ask, answer: *answer, known: *known }));
            }
            Body::Words(words) => rest.extend(crate::encode(words)),
            Body::Piece(piece, data) => {
                rest.extend(crate::encode(piece));
                rest.extend_from_slice(data);
            }
            Body::Missing { message, which } => rest.extend(crate::encode(&(message, which))),
        }
        if !matches!(self.body, Body::Piece(..)) {
            rest.resize(rest.len().max(HELLO - 5), 0);
        }
        let mut bytes = Vec::with_capacity(rest.len() + 5);
        bytes.push(VERSION);
        bytes.extend_from_slice(&sum(from, to, VERSION, &rest).to_le_bytes());
        bytes.extend(rest);
        bytes
    }

    pub(crate) fn decode(from: NodeId, to: NodeId, bytes: &'a [u8]) -> Result<Self, Bad> {
        if bytes.len() > DATAGRAM {
            return Err(Bad::TooLong);
        }
        let (version, mut rest) = bytes.split_first().ok_or(Bad::Torn)?;
        if *version != VERSION {
            return Err(Bad::Version);
        }
        let said = u32::from_le_bytes(take(&mut rest).ok_or(Bad::Torn)?);
        if said != sum(from, to, *version, rest) {
            return Err(Bad::Torn);
        }
        Self::whole(rest, bytes.len() == HELLO).ok_or(Bad::Unreadable)
    }

    /// Of bytes whose sum is right.
    fn whole(mut rest: &'a [u8], shortest: bool) -> Option<Self> {
        let [kind] = take(&mut rest)?;
        let from = Incarnation(u32::from_le_bytes(take(&mut rest)?));
        let to = Incarnation(u32::from_le_bytes(take(&mut rest)?));
        let [a, b, c, d, e] = take(&mut rest)?;
        let sequence = u64::from_le_bytes([a, b, c, d, e, 0, 0, 0]);
        // What is behind the body: zeros, and only where a frame had to be filled up.
        let filled = |rest: &[u8]| rest.is_empty() || shortest && rest.iter().all(|b| *b == 0);
        let body = match kind {
            0 => {
                let (Nonces { ask, answer, known }, rest) = postcard::take_from_bytes(rest).ok()?;
                rest.is_empty().then_some(Body::Hello { ask, answer, known })?
            }
            1 => {
                let [count] = take(&mut rest)?;
                // One by one, so that a count that lies reserves nothing.
                let mut words = Vec::new();
                for _ in 0..count {
                    let (message, behind) = postcard::take_from_bytes(rest).ok()?;
                    words.push(message);
                    rest = behind;
                }
                (filled(rest) && !words.is_empty()).then_some(Body::Words(words))?
            }
            2 => {
                let (piece, data): (Piece, _) = postcard::take_from_bytes(rest).ok()?;
                fits(&piece, data, sequence).then_some(Body::Piece(piece, data))?
            }
            3 => {
                let ((message, which), rest) = postcard::take_from_bytes(rest).ok()?;
                (filled(rest) && message <= LAST).then_some(Body::Missing { message, which })?
            }
            _ => return None,
        };
        (from != Incarnation(0)).then_some(Self { from, to, sequence, body })
    }
}

/// Whether such a piece can be: every one but the last is full, and none is of a longer word than the
/// longest.
fn fits(piece: &Piece, data: &[u8], sequence: u64) -> bool {
    let (index, count) = (usize::from(piece.index), usize::from(piece.count));
    (2..=PIECES).contains(&count)
        && index < count
        && (data.len() == PIECE || index + 1 == count && !data.is_empty())
        && index * PIECE + data.len() <= MAX_MESSAGE_BYTES
        && u64::from(piece.back) < sequence
}
