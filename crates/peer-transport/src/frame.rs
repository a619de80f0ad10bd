//! Encoding and decoding of frames, one in each datagram. [`crate::Transport`] decides which frames are accepted.
//!
//! ```text
//! version 1 | crc32 4 | kind 1 | from incarnation 4 | to incarnation 4 | sequence 5 | body (postcard)
//! ```
//!
//! The checksum (CRC-32, IEEE 802.3) covers the rest of the frame and, as UDP's does with addresses (RFC 768),
//! the node ids of both ends: if their configurations number the nodes differently, frames are rejected instead
//! of being attributed to another node. It detects every error of up to four bits at this length (Koopman
//! 2002), and misses one in 2^32 of others.

use serde::{Deserialize, Serialize};

use crate::{Channel, Incarnation, MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, NodeId};

/// Version of the frame format. Frames of another version are dropped and counted.
pub const VERSION: u8 = 1;
/// Longest message that is sent unfragmented, in bytes: it fits one datagram together with its channel and
/// length.
pub const MAX_UNFRAGMENTED_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - 1 - 3;

/// Bytes before the body.
pub(crate) const HEADER_BYTES: usize = 19;
/// Length of a handshake, in bytes. Other frames are padded to it, so that a handshake is never longer than
/// the frame that it answers.
pub(crate) const HANDSHAKE_BYTES: usize = HEADER_BYTES + 9;
/// Bytes of a message in each of its fragments except the last.
pub(crate) const FRAGMENT_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - 5;
/// Number of fragments of the longest message.
pub(crate) const MAX_FRAGMENTS: usize = MAX_MESSAGE_BYTES.div_ceil(FRAGMENT_BYTES);
/// The last sequence number, after which no more frames are sent. At 2,000 datagrams a second to one peer this
/// number is reached after 17 years.
pub(crate) const MAX_SEQUENCE: u64 = (1 << (8 * SEQUENCE_BYTES)) - 1;

/// Bytes of a sequence number in a frame.
const SEQUENCE_BYTES: usize = 5;
/// Bytes before the kind: the version, which the checksum covers separately, and the checksum itself.
const UNCHECKED_BYTES: usize = 5;

// A retransmission request has one bit of a u128 for each fragment.
const _: () = assert!(MAX_FRAGMENTS <= 128);

/// One of the complete messages in a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ChannelMessage<'a> {
    pub(crate) channel: Channel,
    #[serde(borrow)]
    pub(crate) message: &'a [u8],
}

impl ChannelMessage<'_> {
    /// Bytes that a message of this length takes in a frame.
    pub(crate) fn encoded_bytes(message_bytes: usize) -> usize {
        1 + if message_bytes < 128 { 1 } else { 2 } + message_bytes
    }
}

/// The position of a fragment in its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FragmentHeader {
    pub(crate) channel: Channel,
    /// The frame's sequence number minus the message's number. Message numbers are unique and never reused, and
    /// their distance takes only two bytes.
    #[serde(with = "postcard::fixint::le")]
    pub(crate) sequence_distance: u16,
    pub(crate) index: u8,
    pub(crate) count: u8,
}

/// Identifies a fragmented message: the peer that sends or receives the message, and its number among that
/// peer's messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct MessageKey {
    pub(crate) peer: NodeId,
    pub(crate) number: u64,
}

impl MessageKey {
    /// Returns the range of all keys of this peer up to this number.
    pub(crate) fn range_through(peer: NodeId, number: u64) -> std::ops::RangeInclusive<Self> {
        Self { peer, number: 0 }..=Self { peer, number }
    }

    /// Returns the range of all keys of this peer.
    pub(crate) fn range_of(peer: NodeId) -> std::ops::RangeInclusive<Self> {
        Self::range_through(peer, u64::MAX)
    }
}

/// Returns a set of `count` fragments, as one bit for each.
pub(crate) fn all_fragments(count: u8) -> u128 {
    u128::MAX >> (128 - u32::from(count.clamp(1, 128)))
}

/// The body of a frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Body<'a> {
    /// A challenge to the receiver (0: none), the response to the receiver's challenge (0: none), and whether the
    /// sender has confirmed the addressed incarnation.
    Handshake { challenge: u32, response: u32, confirmed: bool },
    /// One or more complete messages.
    Messages(Vec<ChannelMessage<'a>>),
    /// A part of a longer message.
    Fragment(FragmentHeader, &'a [u8]),
    /// Requests the fragments of this message that have not arrived, as a set of bits.
    RetransmissionRequest { message_number: u64, missing: u128 },
}

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub(crate) from: Incarnation,
    pub(crate) to: Incarnation,
    /// Number of the frame among those from one incarnation to one node, from 1. A handshake has no number of
    /// its own, and repeats the last one.
    pub(crate) sequence: u64,
    pub(crate) body: Body<'a>,
}

/// The encoded body of a handshake.
#[derive(Serialize, Deserialize)]
struct HandshakeBody {
    #[serde(with = "postcard::fixint::le")]
    challenge: u32,
    #[serde(with = "postcard::fixint::le")]
    response: u32,
    confirmed: bool,
}

/// Bytes that are not a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// The bytes are longer than a datagram.
    TooLong,
    /// The frame format has another version.
    Version,
    /// The bytes are truncated, or their checksum is wrong.
    Corrupted,
    /// The checksum is right, and the content is invalid.
    Unreadable,
}

impl<'a> Frame<'a> {
    /// Encodes the frame: at most [`MAX_DATAGRAM_BYTES`] bytes, for bodies within their bounds.
    pub(crate) fn encode(&self, from: NodeId, to: NodeId) -> Vec<u8> {
        let mut checked = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        checked.push(self.body.kind());
        checked.extend_from_slice(&self.from.0.to_le_bytes());
        checked.extend_from_slice(&self.to.0.to_le_bytes());
        checked.extend_from_slice(&self.sequence.to_le_bytes()[..SEQUENCE_BYTES]);
        self.body.encode_into(&mut checked);
        if !matches!(self.body, Body::Fragment(..)) {
            checked.resize(checked.len().max(HANDSHAKE_BYTES - UNCHECKED_BYTES), 0);
        }
        let mut bytes = Vec::with_capacity(checked.len() + UNCHECKED_BYTES);
        bytes.push(VERSION);
        bytes.extend_from_slice(&checksum(from, to, VERSION, &checked).to_le_bytes());
        bytes.extend(checked);
        bytes
    }

    /// Decodes a datagram from one node to the other.
    pub(crate) fn decode(from: NodeId, to: NodeId, bytes: &'a [u8]) -> Result<Self, FrameError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(FrameError::TooLong);
        }
        let (version, mut rest) = bytes.split_first().ok_or(FrameError::Corrupted)?;
        if *version != VERSION {
            return Err(FrameError::Version);
        }
        let expected = u32::from_le_bytes(take(&mut rest).ok_or(FrameError::Corrupted)?);
        if expected != checksum(from, to, *version, rest) {
            return Err(FrameError::Corrupted);
        }
        Self::decode_checked(rest, bytes.len() == HANDSHAKE_BYTES).ok_or(FrameError::Unreadable)
    }

    /// Decodes bytes whose checksum is right. Only a frame as long as a handshake may be padded.
    fn decode_checked(mut rest: &'a [u8], may_be_padded: bool) -> Option<Self> {
        let [kind] = take(&mut rest)?;
        let from = Incarnation(u32::from_le_bytes(take(&mut rest)?));
        let to = Incarnation(u32::from_le_bytes(take(&mut rest)?));
        let low_bytes: [u8; SEQUENCE_BYTES] = take(&mut rest)?;
        let mut sequence_bytes = [0; 8];
        sequence_bytes[..SEQUENCE_BYTES].copy_from_slice(&low_bytes);
        let sequence = u64::from_le_bytes(sequence_bytes);
        let body = Body::decode(kind, rest, sequence, may_be_padded)?;
        (from != Incarnation(0)).then_some(Self { from, to, sequence, body })
    }
}

impl<'a> Body<'a> {
    fn kind(&self) -> u8 {
        match self {
            Self::Handshake { .. } => 0,
            Self::Messages(_) => 1,
            Self::Fragment(..) => 2,
            Self::RetransmissionRequest { .. } => 3,
        }
    }

    fn encode_into(&self, bytes: &mut Vec<u8>) {
        match self {
            Self::Handshake { challenge, response, confirmed } => {
                let (challenge, response, confirmed) = (*challenge, *response, *confirmed);
                bytes.extend(crate::encode(&HandshakeBody { challenge, response, confirmed }));
            }
            Self::Messages(messages) => bytes.extend(crate::encode(messages)),
            Self::Fragment(header, data) => {
                bytes.extend(crate::encode(header));
                bytes.extend_from_slice(data);
            }
            Self::RetransmissionRequest { message_number, missing } => {
                bytes.extend(crate::encode(&(message_number, missing)));
            }
        }
    }

    fn decode(kind: u8, bytes: &'a [u8], sequence: u64, may_be_padded: bool) -> Option<Self> {
        let is_padding =
            |rest: &[u8]| rest.is_empty() || may_be_padded && rest.iter().all(|byte| *byte == 0);
        match kind {
            0 => {
                let (body, rest): (HandshakeBody, _) = postcard::take_from_bytes(bytes).ok()?;
                let HandshakeBody { challenge, response, confirmed } = body;
                rest.is_empty().then_some(Self::Handshake { challenge, response, confirmed })
            }
            1 => {
                let (messages, rest) = decode_messages(bytes)?;
                let is_valid = is_padding(rest) && !messages.is_empty();
                is_valid.then_some(Self::Messages(messages))
            }
            2 => {
                let (header, data): (FragmentHeader, _) = postcard::take_from_bytes(bytes).ok()?;
                header.is_valid(data, sequence).then_some(Self::Fragment(header, data))
            }
            3 => {
                let ((message_number, missing), rest) = postcard::take_from_bytes(bytes).ok()?;
                let is_valid = is_padding(rest) && message_number <= MAX_SEQUENCE;
                is_valid.then_some(Self::RetransmissionRequest { message_number, missing })
            }
            _ => None,
        }
    }
}

/// Returns the messages of a frame, and the bytes after them. The messages are decoded one by one, so that a
/// wrong count reserves no memory.
fn decode_messages(bytes: &[u8]) -> Option<(Vec<ChannelMessage<'_>>, &[u8])> {
    let mut rest = bytes;
    let [count] = take(&mut rest)?;
    let mut messages = Vec::new();
    for _ in 0..count {
        let (message, behind) = postcard::take_from_bytes(rest).ok()?;
        messages.push(message);
        rest = behind;
    }
    Some((messages, rest))
}

impl FragmentHeader {
    /// Returns whether a message can have this fragment: each fragment except the last is full, and no message
    /// exceeds the longest.
    fn is_valid(&self, data: &[u8], sequence: u64) -> bool {
        let (index, count) = (usize::from(self.index), usize::from(self.count));
        let is_last = index + 1 == count;
        (2..=MAX_FRAGMENTS).contains(&count)
            && index < count
            && (data.len() == FRAGMENT_BYTES || is_last && !data.is_empty())
            && index * FRAGMENT_BYTES + data.len() <= MAX_MESSAGE_BYTES
            && u64::from(self.sequence_distance) < sequence
    }
}

/// Takes `N` bytes from the front.
fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (first, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*first)
}

fn checksum(from: NodeId, to: NodeId, version: u8, rest: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&from.0.to_le_bytes());
    hasher.update(&to.0.to_le_bytes());
    hasher.update(&[version]);
    hasher.update(rest);
    hasher.finalize()
}
