//! The state of one peer: its incarnation, the handshake with the peer, and the messages that wait for the
//! handshake. The transport sends these messages.

use std::collections::VecDeque;
use std::time::Duration;

use crate::receive_window::ReceiveWindow;
use crate::rng::{Nonces, Rng};
use crate::token_bucket::TokenBucket;
use crate::{Channel, DeliveryMode, Incarnation};

/// How long a challenge is valid. A later response is ignored, since the incarnation that sent it may have
/// ended.
pub(crate) const CHALLENGE_LIFETIME: Duration = Duration::from_secs(5);
/// How long a message waits for the handshake.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of messages that wait for the handshake with one peer.
const MAX_PENDING_MESSAGES: usize = 32;
/// Largest size of the messages that wait for the handshake with one peer: enough for one of the longest.
const MAX_PENDING_BYTES: usize = 24 << 10;
/// Memory that a pending message takes besides its bytes.
const PENDING_OVERHEAD_BYTES: usize = 64;
/// Upper bound of the first backoff between handshakes; it doubles each time (full jitter).
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Largest upper bound of the backoff, which limits the delay where handshakes are lost.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Smallest backoff, which keeps a handshake from being repeated within a round trip.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
/// Handshakes a second to one peer. The limit holds, too, for a peer that never confirms this process, and for
/// replays of a peer's datagrams.
const HANDSHAKE_RATE: u32 = 5;
/// Burst of handshakes to one peer.
const HANDSHAKE_BURST: u32 = 8;

/// A message that waits for the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingMessage {
    pub(crate) deadline: Duration,
    pub(crate) channel: Channel,
    pub(crate) mode: DeliveryMode,
    pub(crate) message: Vec<u8>,
}

impl PendingMessage {
    fn memory_bytes(&self) -> usize {
        PENDING_OVERHEAD_BYTES + self.message.len()
    }
}

/// A challenge to which no response has been accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Challenge {
    nonce: u32,
    issued_at: Duration,
}

impl Challenge {
    fn is_valid(&self, now: Duration) -> bool {
        now < self.issued_at + CHALLENGE_LIFETIME
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    /// The incarnation that completed the handshake last.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether the peer has shown that it has confirmed our incarnation. Messages wait until then, since the
    /// peer would drop messages that overtake the handshake.
    pub(crate) has_confirmed_us: bool,
    /// Sequence numbers received from the peer's incarnation.
    pub(crate) window: ReceiveWindow,
    /// The last sequence number sent to this node.
    pub(crate) last_sequence: u64,
    pub(crate) handshake_bucket: TokenBucket,
    /// When the next handshake is due. Messages may wait only while a handshake is scheduled, so that each
    /// message is sent or dropped in time.
    pub(crate) next_handshake: Option<Duration>,
    challenge: Option<Challenge>,
    /// Consecutive handshakes without a response.
    attempts: u32,
    pending: VecDeque<PendingMessage>,
    pending_bytes: usize,
}

impl Peer {
    pub(crate) fn new() -> Self {
        Self {
            incarnation: None,
            has_confirmed_us: false,
            window: ReceiveWindow::starting_after(0),
            last_sequence: 0,
            handshake_bucket: TokenBucket::new(HANDSHAKE_RATE, HANDSHAKE_BURST),
            next_handshake: None,
            challenge: None,
            attempts: 0,
            pending: VecDeque::new(),
            pending_bytes: 0,
        }
    }

    /// Returns the challenge for this peer. A challenge is used until it is answered or expires: with a new
    /// challenge for each handshake, an attacker that triggers handshakes could invalidate all responses in
    /// flight.
    pub(crate) fn challenge(&mut self, now: Duration, nonces: &mut Nonces) -> u32 {
        if let Some(challenge) = self.challenge.filter(|challenge| challenge.is_valid(now)) {
            return challenge.nonce;
        }
        let nonce = nonces.next();
        self.challenge = Some(Challenge { nonce, issued_at: now });
        nonce
    }

    /// Returns whether this is the response to the current challenge, and if so removes the challenge.
    pub(crate) fn accept_response(&mut self, now: Duration, response: u32) -> bool {
        let is_match =
            |challenge: &mut Challenge| challenge.nonce == response && challenge.is_valid(now);
        self.challenge.take_if(is_match).is_some()
    }

    /// Sets the incarnation that has responded. It has used sequence numbers up to `sequence` before, and
    /// frames with these are not accepted.
    pub(crate) fn confirm(&mut self, incarnation: Incarnation, sequence: u64) {
        self.incarnation = Some(incarnation);
        self.has_confirmed_us = false;
        self.window = ReceiveWindow::starting_after(sequence);
        self.attempts = 0;
    }

    /// Returns whether both ends have confirmed each other.
    pub(crate) fn is_established(&self) -> bool {
        self.incarnation.is_some() && self.has_confirmed_us
    }

    /// Returns the time until the next handshake: exponential backoff with full jitter.
    pub(crate) fn next_backoff(&mut self, rng: &mut Rng) -> Duration {
        let bound = INITIAL_BACKOFF.saturating_mul(1 << self.attempts.min(16)).min(MAX_BACKOFF);
        self.attempts = self.attempts.saturating_add(1);
        rng.sample_up_to(bound).max(MIN_BACKOFF)
    }

    /// Stops repeating handshakes; the next message starts with the initial backoff.
    pub(crate) fn reset_backoff(&mut self) {
        (self.attempts, self.next_handshake) = (0, None);
    }

    /// Queues a message until the handshake completes. Returns `false` if the message exceeds this peer's
    /// bounds, or the `available_bytes` that all peers share.
    pub(crate) fn push_pending(&mut self, pending: PendingMessage, available_bytes: usize) -> bool {
        let bytes = self.pending_bytes + pending.memory_bytes();
        let fits = self.pending.len() < MAX_PENDING_MESSAGES
            && bytes <= MAX_PENDING_BYTES
            && pending.memory_bytes() <= available_bytes;
        if fits {
            self.pending_bytes = bytes;
            self.pending.push_back(pending);
        }
        fits
    }

    /// Drops pending messages past their deadline, and returns their number.
    pub(crate) fn drop_expired(&mut self, now: Duration) -> u64 {
        let mut dropped = 0;
        while let Some(expired) = self.pending.pop_front_if(|pending| pending.deadline <= now) {
            self.pending_bytes -= expired.memory_bytes();
            dropped += 1;
        }
        dropped
    }

    /// Removes and returns all pending messages.
    pub(crate) fn take_pending(&mut self) -> VecDeque<PendingMessage> {
        self.pending_bytes = 0;
        std::mem::take(&mut self.pending)
    }

    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }
}
