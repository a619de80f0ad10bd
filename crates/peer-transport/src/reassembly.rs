//! Reassembles peers' fragmented messages, each at most once and within a memory bound. The transport sends the
//! requests for missing fragments.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::frame::{FRAGMENT_BYTES, FragmentHeader, MessageKey, all_fragments};
use crate::token_bucket::TokenBucket;
use crate::{Channel, NodeId};

/// Bytes of all incomplete messages. To make room, the oldest message of the peer that uses most memory is
/// abandoned. If the oldest message of all peers were abandoned, a few peers that only begin messages would
/// stop all others.
const MAX_BYTES: usize = 1 << 20;
/// Bytes of one peer's incomplete messages: three of the longest.
const MAX_BYTES_PER_PEER: usize = 64 << 10;
/// Time without a new fragment after which missing fragments are requested. Each request extends the time to
/// the next request by half.
const INITIAL_REQUEST_DELAY: Duration = Duration::from_millis(40);
/// Longest time between two requests.
const MAX_REQUEST_DELAY: Duration = Duration::from_millis(160);
/// Consecutive requests without a new fragment after which a message is abandoned.
const MAX_REQUESTS: u8 = 20;
/// Time from its first fragment after which a message is abandoned. The sender retains the message for the same
/// time.
const REASSEMBLY_TIMEOUT: Duration = crate::retransmission::RETENTION;
/// Requests a second to one peer, however many messages it has begun.
const REQUEST_RATE: u32 = 50;
/// Burst of requests to one peer.
const REQUEST_BURST: u32 = 8;
/// Finished messages whose numbers are retained for each peer. Fragments of older messages are ignored: a
/// message is lost if 256 later messages of the same peer finish before it.
const MAX_FINISHED_NUMBERS: usize = 256;

/// An incomplete message.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PartialMessage {
    channel: Channel,
    fragment_count: u8,
    received: u128,
    bytes: Vec<u8>,
    /// Length of the last fragment, once it is received.
    last_fragment_bytes: usize,
    started_at: Duration,
    /// Position in the order in which messages began.
    position: u64,
    request_due: Duration,
    /// Requests since the last new fragment.
    requests: u8,
}

impl PartialMessage {
    fn missing(&self) -> u128 {
        !self.received & all_fragments(self.fragment_count)
    }

    /// Stores a fragment.
    ///
    /// # Errors
    ///
    /// `Duplicate` or `Inconsistent`, if the fragment is not stored.
    fn store(&mut self, header: &FragmentHeader, data: &[u8]) -> Result<(), FragmentOutcome> {
        if (self.channel, self.fragment_count) != (header.channel, header.count) {
            return Err(FragmentOutcome::Inconsistent);
        }
        let bit = 1u128 << header.index.min(127);
        if self.received & bit != 0 {
            return Err(FragmentOutcome::Duplicate);
        }
        let start = usize::from(header.index) * FRAGMENT_BYTES;
        let Some(target) = self.bytes.get_mut(start..start + data.len()) else {
            return Err(FragmentOutcome::Inconsistent);
        };
        target.copy_from_slice(data);
        self.received |= bit;
        self.requests = 0;
        if header.index + 1 == header.count {
            self.last_fragment_bytes = data.len();
        }
        Ok(())
    }

    fn into_message(mut self) -> Vec<u8> {
        let full_fragments = usize::from(self.fragment_count) - 1;
        self.bytes.truncate(full_fragments * FRAGMENT_BYTES + self.last_fragment_bytes);
        self.bytes
    }

    /// Returns the time until the next request, which grows by half with each request.
    fn request_delay(&self) -> Duration {
        let mut delay = INITIAL_REQUEST_DELAY;
        for _ in 0..self.requests {
            delay = MAX_REQUEST_DELAY.min(delay * 3 / 2);
        }
        delay
    }
}

/// The state of one peer's incarnation as a sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sender {
    /// Fragments of messages up to this number are ignored.
    floor: u64,
    /// Messages that are complete or abandoned, and that a retransmitted fragment must not start again.
    finished: BTreeSet<u64>,
    bytes: usize,
    request_bucket: TokenBucket,
}

impl Sender {
    fn new(floor: u64) -> Self {
        let request_bucket = TokenBucket::new(REQUEST_RATE, REQUEST_BURST);
        Self { floor, finished: BTreeSet::new(), bytes: 0, request_bucket }
    }

    fn is_finished(&self, number: u64) -> bool {
        number <= self.floor || self.finished.contains(&number)
    }

    fn finish(&mut self, number: u64) {
        self.finished.insert(number);
        while self.finished.len() > MAX_FINISHED_NUMBERS {
            self.floor = self.floor.max(self.finished.pop_first().unwrap_or(0));
        }
    }
}

/// Outcome of receiving a fragment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FragmentOutcome {
    /// Other fragments of the message are missing.
    Incomplete,
    /// The fragment was received before, or its message is finished.
    Duplicate,
    /// The fragment contradicts other fragments of its message.
    Inconsistent,
    /// The fragment completes its message.
    Complete { channel: Channel, message: Vec<u8> },
}

/// The incomplete messages of all peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ReassemblyBuffer {
    partial: BTreeMap<MessageKey, PartialMessage>,
    /// When missing fragments are to be requested.
    requests_due: BTreeSet<(Duration, MessageKey)>,
    senders: BTreeMap<NodeId, Sender>,
    last_position: u64,
    bytes: usize,
    abandoned: u64,
}

impl ReassemblyBuffer {
    /// Abandons all messages of the peer's previous incarnation, and ignores those that began up to `floor`.
    pub(crate) fn reset_peer(&mut self, from: NodeId, floor: u64) {
        self.abandon_all(self.keys_through(from, u64::MAX));
        self.senders.insert(from, Sender::new(floor));
    }

    /// Adds a fragment from a confirmed incarnation. Decoding the frame has checked the fragment's position and
    /// length.
    pub(crate) fn add_fragment(
        &mut self,
        now: Duration,
        key: MessageKey,
        header: &FragmentHeader,
        data: &[u8],
    ) -> FragmentOutcome {
        if self.senders.get(&key.peer).is_none_or(|sender| sender.is_finished(key.number)) {
            return FragmentOutcome::Duplicate;
        }
        if !self.partial.contains_key(&key) {
            self.make_room(key.peer, usize::from(header.count) * FRAGMENT_BYTES);
            self.start(now, key, header);
        }
        let Some(partial) = self.partial.get_mut(&key) else { return FragmentOutcome::Duplicate };
        if let Err(outcome) = partial.store(header, data) {
            return outcome;
        }
        if partial.missing() != 0 {
            self.schedule_request(key, now + INITIAL_REQUEST_DELAY);
            return FragmentOutcome::Incomplete;
        }
        let Some(complete) = self.finish(key) else { return FragmentOutcome::Duplicate };
        let channel = complete.channel;
        FragmentOutcome::Complete { channel, message: complete.into_message() }
    }

    fn start(&mut self, now: Duration, key: MessageKey, header: &FragmentHeader) {
        let Some(sender) = self.senders.get_mut(&key.peer) else { return };
        let bytes = usize::from(header.count) * FRAGMENT_BYTES;
        sender.bytes += bytes;
        self.bytes += bytes;
        self.last_position += 1;
        let request_due = now + INITIAL_REQUEST_DELAY;
        self.requests_due.insert((request_due, key));
        let partial = PartialMessage {
            channel: header.channel,
            fragment_count: header.count,
            received: 0,
            bytes: vec![0; bytes],
            last_fragment_bytes: 0,
            started_at: now,
            position: self.last_position,
            request_due,
            requests: 0,
        };
        self.partial.insert(key, partial);
    }

    fn schedule_request(&mut self, key: MessageKey, due: Duration) {
        let Some(partial) = self.partial.get_mut(&key) else { return };
        self.requests_due.remove(&(partial.request_due, key));
        partial.request_due = due.min(partial.started_at + REASSEMBLY_TIMEOUT);
        self.requests_due.insert((partial.request_due, key));
    }

    /// Abandons messages until a new message of this many bytes fits the bounds.
    fn make_room(&mut self, from: NodeId, bytes: usize) {
        let exceeds = |sender: &Sender| sender.bytes + bytes > MAX_BYTES_PER_PEER;
        while self.senders.get(&from).is_some_and(exceeds) {
            if !self.abandon_oldest(from) {
                return;
            }
        }
        while self.bytes + bytes > MAX_BYTES {
            let usage = |(peer, sender): &(&NodeId, &Sender)| (sender.bytes, Reverse(**peer));
            let Some((largest, _)) = self.senders.iter().max_by_key(usage) else { return };
            let largest = *largest;
            if !self.abandon_oldest(largest) {
                return;
            }
        }
    }

    /// Abandons the oldest message of this peer; `false` if there is none.
    fn abandon_oldest(&mut self, from: NodeId) -> bool {
        let messages = self.partial.range(MessageKey::range_of(from));
        let oldest = messages.min_by_key(|(_, partial)| partial.position).map(|(key, _)| *key);
        let Some(key) = oldest else { return false };
        self.abandon(key);
        true
    }

    fn abandon(&mut self, key: MessageKey) {
        self.abandoned += u64::from(self.finish(key).is_some());
    }

    fn abandon_all(&mut self, keys: Vec<MessageKey>) {
        for key in keys {
            self.abandon(key);
        }
    }

    fn keys_through(&self, from: NodeId, number: u64) -> Vec<MessageKey> {
        let range = MessageKey::range_through(from, number);
        self.partial.range(range).map(|(key, _)| *key).collect()
    }

    /// Removes a message, whose fragments are ignored from then on.
    fn finish(&mut self, key: MessageKey) -> Option<PartialMessage> {
        let partial = self.partial.remove(&key)?;
        self.requests_due.remove(&(partial.request_due, key));
        self.bytes -= partial.bytes.len();
        let sender = self.senders.get_mut(&key.peer)?;
        sender.bytes -= partial.bytes.len();
        sender.finish(key.number);
        if sender.finished.len() == MAX_FINISHED_NUMBERS {
            // Fragments of messages up to the floor are ignored, so that these messages can't be completed.
            let floor = sender.floor;
            self.abandon_all(self.keys_through(key.peer, floor));
        }
        Some(partial)
    }

    /// Returns the messages whose missing fragments are to be requested now, and abandons the messages that took
    /// too long.
    pub(crate) fn take_due_requests(&mut self, now: Duration) -> Vec<MessageKey> {
        let mut requests = Vec::new();
        while let Some((_, key)) = self.requests_due.first().filter(|(due, _)| *due <= now).copied()
        {
            let Some(partial) = self.partial.get_mut(&key) else { break };
            let is_overdue = now >= partial.started_at + REASSEMBLY_TIMEOUT;
            if partial.requests >= MAX_REQUESTS || is_overdue {
                self.abandon(key);
                continue;
            }
            let mut delay = INITIAL_REQUEST_DELAY;
            let sender = self.senders.get_mut(&key.peer);
            if sender.is_some_and(|sender| sender.request_bucket.try_take(now)) {
                partial.requests += 1;
                delay = partial.request_delay();
                requests.push(key);
            }
            self.schedule_request(key, now + delay);
        }
        requests
    }

    /// Returns the missing fragments of a message, if the message is still incomplete.
    pub(crate) fn missing(&self, key: MessageKey) -> Option<u128> {
        Some(self.partial.get(&key)?.missing())
    }

    /// Returns the time of the next request for fragments.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.requests_due.first().map(|(due, _)| *due)
    }

    /// Returns the number of messages abandoned since the last call.
    pub(crate) fn take_abandoned(&mut self) -> u64 {
        std::mem::take(&mut self.abandoned)
    }

    /// Bytes of all incomplete messages.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}
