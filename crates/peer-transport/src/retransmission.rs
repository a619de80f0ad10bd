//! Own fragmented messages, retained as long as their receiver may request fragments again.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::frame::{FRAGMENT_BYTES, MessageKey, all_fragments};
use crate::{Channel, DeliveryMode, NodeId};

/// How long a message is retained. The receiver abandons an incomplete message after the same time.
pub(crate) const RETENTION: Duration = Duration::from_secs(4);
/// Largest size of all retained messages, in bytes; the oldest messages are dropped first. A leader that sends
/// an entry of 16 KiB to eight children needs 128 KiB.
const MAX_RETAINED_BYTES: usize = 1 << 20;
/// Retransmissions of a message at most, for each of its fragments. The limit ends endless requests.
const MAX_RETRANSMISSIONS_PER_FRAGMENT: u32 = 4;

/// A message to be fragmented.
pub(crate) struct OutgoingMessage {
    pub(crate) channel: Channel,
    pub(crate) mode: DeliveryMode,
    pub(crate) bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnacknowledgedMessage {
    channel: Channel,
    mode: DeliveryMode,
    bytes: Vec<u8>,
    expires_at: Duration,
    /// Position in the order in which messages were retained.
    position: u64,
    /// Fragments in the send queue.
    queued: u128,
    /// Fragments that were sent at least once.
    sent: u128,
    retransmissions: u32,
}

impl UnacknowledgedMessage {
    fn fragment_count(&self) -> u8 {
        u8::try_from(self.bytes.len().div_ceil(FRAGMENT_BYTES)).unwrap_or(u8::MAX)
    }

    fn is_sent(&self) -> bool {
        self.sent == all_fragments(self.fragment_count())
    }
}

/// Outcome of retaining a message.
pub(crate) struct Retained {
    /// Older messages that were dropped to make room before they had been sent completely.
    pub(crate) dropped: u64,
    /// Number of fragments of the message.
    pub(crate) fragments: u8,
}

/// A fragment that is to be sent now.
pub(crate) struct OutgoingFragment {
    pub(crate) channel: Channel,
    pub(crate) count: u8,
    pub(crate) data: Vec<u8>,
    pub(crate) is_retransmission: bool,
    /// Whether each fragment of the message has now been sent at least once.
    pub(crate) completes_message: bool,
}

/// The answer to a retransmission request.
pub(crate) struct RetransmissionPlan {
    /// Fragments to be queued, without the fragments that are queued already.
    pub(crate) indices: Vec<u8>,
    pub(crate) mode: DeliveryMode,
    /// Number of requested fragments that are refused.
    pub(crate) refused: u64,
}

/// The retained messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RetransmissionBuffer {
    messages: BTreeMap<MessageKey, UnacknowledgedMessage>,
    /// Keys in the order in which messages were retained.
    order: BTreeMap<u64, MessageKey>,
    last_position: u64,
    bytes: usize,
}

impl RetransmissionBuffer {
    /// Retains a message that does not fit one datagram and at most `MAX_MESSAGE_BYTES`.
    pub(crate) fn retain(
        &mut self,
        now: Duration,
        key: MessageKey,
        message: OutgoingMessage,
    ) -> Retained {
        let mut dropped = 0;
        while self.bytes + message.bytes.len() > MAX_RETAINED_BYTES {
            let Some((_, oldest)) = self.order.first_key_value() else { break };
            dropped += self.remove(*oldest);
        }
        self.bytes += message.bytes.len();
        self.last_position += 1;
        self.order.insert(self.last_position, key);
        let mut retained = UnacknowledgedMessage {
            channel: message.channel,
            mode: message.mode,
            bytes: message.bytes,
            expires_at: now + RETENTION,
            position: self.last_position,
            queued: 0,
            sent: 0,
            retransmissions: 0,
        };
        let fragments = retained.fragment_count();
        retained.queued = all_fragments(fragments);
        self.messages.insert(key, retained);
        Retained { dropped, fragments }
    }

    /// Drops a message. Returns 1 if the message had not been sent completely, 0 otherwise.
    pub(crate) fn remove(&mut self, key: MessageKey) -> u64 {
        let Some(message) = self.messages.remove(&key) else { return 0 };
        self.order.remove(&message.position);
        self.bytes -= message.bytes.len();
        u64::from(!message.is_sent())
    }

    /// Drops expired messages. Returns the number of messages that had not been sent completely.
    pub(crate) fn drop_expired(&mut self, now: Duration) -> u64 {
        let mut dropped = 0;
        while let Some(key) = self.order.first_key_value().map(|(_, key)| *key) {
            if self.messages.get(&key).is_none_or(|message| message.expires_at > now) {
                break;
            }
            dropped += self.remove(key);
        }
        dropped
    }

    /// Drops all messages to this peer. Returns the number of messages that had not been sent completely.
    pub(crate) fn clear_peer(&mut self, to: NodeId) -> u64 {
        let keys: Vec<MessageKey> =
            self.messages.range(MessageKey::range_of(to)).map(|(key, _)| *key).collect();
        keys.into_iter().map(|key| self.remove(key)).sum()
    }

    /// Marks a fragment as sent and returns it, if its message is still retained.
    pub(crate) fn take_fragment(&mut self, key: MessageKey, index: u8) -> Option<OutgoingFragment> {
        let message = self.messages.get_mut(&key)?;
        let bit = 1u128.checked_shl(u32::from(index))?;
        let start = usize::from(index) * FRAGMENT_BYTES;
        let end = message.bytes.len().min(start + FRAGMENT_BYTES);
        let data = message.bytes.get(start..end)?.to_vec();
        let is_retransmission = message.sent & bit != 0;
        message.queued &= !bit;
        message.sent |= bit;
        Some(OutgoingFragment {
            channel: message.channel,
            count: message.fragment_count(),
            data,
            is_retransmission,
            completes_message: !is_retransmission && message.is_sent(),
        })
    }

    /// Plans the answer to a retransmission request, and marks its fragments as queued.
    pub(crate) fn plan_retransmission(
        &mut self,
        key: MessageKey,
        requested: u128,
    ) -> RetransmissionPlan {
        let Some(message) = self.messages.get_mut(&key) else {
            let refused = u64::from(requested.count_ones());
            return RetransmissionPlan { indices: Vec::new(), mode: DeliveryMode::Bulk, refused };
        };
        let count = message.fragment_count();
        let requested = requested & all_fragments(count) & !message.queued;
        let limit = MAX_RETRANSMISSIONS_PER_FRAGMENT * u32::from(count);
        let mut plan = RetransmissionPlan { indices: Vec::new(), mode: message.mode, refused: 0 };
        for index in (0..count).filter(|index| requested & 1 << index != 0) {
            if message.retransmissions >= limit {
                plan.refused += 1;
                continue;
            }
            message.retransmissions += 1;
            message.queued |= 1 << index;
            plan.indices.push(index);
        }
        plan
    }

    /// Undoes the marking of fragments that did not fit the send queue.
    pub(crate) fn unmark_queued(&mut self, key: MessageKey, indices: &[u8]) {
        let Some(message) = self.messages.get_mut(&key) else { return };
        for index in indices {
            message.queued &= !1u128.checked_shl(u32::from(*index)).unwrap_or(0);
        }
    }

    /// Bytes of all retained messages.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}
