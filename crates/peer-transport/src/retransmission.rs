//! Own fragmented messages, retained as long as their receiver may request fragments again; requesting is left
//! to the receiver.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::frame::{FRAGMENT_BYTES, MessageKey, all_fragments};
use crate::{Channel, DeliveryMode, NodeId};

/// How long a message is retained. A receiver abandons it after the same time.
pub(crate) const RETENTION: Duration = Duration::from_secs(4);
/// Bytes retained at most; the oldest messages are dropped first. A leader sends an entry of 16 KiB to eight
/// children: 128 KiB.
const MAX_RETAINED_BYTES: usize = 1 << 20;
/// Retransmissions of a message, for each of its fragments, so that endless requests end.
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
    /// Its position in the order of arrival.
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

/// What retaining a message led to.
pub(crate) struct Retained {
    /// Messages that were dropped for it before they had been sent completely.
    pub(crate) dropped: u64,
    /// Fragments of the message.
    pub(crate) fragments: u8,
}

/// A fragment that is to be sent now.
pub(crate) struct OutgoingFragment {
    pub(crate) channel: Channel,
    pub(crate) count: u8,
    pub(crate) data: Vec<u8>,
    pub(crate) is_retransmission: bool,
    /// With it the message has been sent completely, once.
    pub(crate) completes_message: bool,
}

/// How a retransmission request is answered.
pub(crate) struct RetransmissionPlan {
    /// Fragments to be queued. Those that are queued already are left out.
    pub(crate) indices: Vec<u8>,
    pub(crate) mode: DeliveryMode,
    /// Requested fragments that are refused.
    pub(crate) refused: u64,
}

/// The retained messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct RetransmissionBuffer {
    messages: BTreeMap<MessageKey, UnacknowledgedMessage>,
    /// Keys in the order of arrival.
    order: BTreeMap<u64, MessageKey>,
    last_position: u64,
    bytes: usize,
}

impl RetransmissionBuffer {
    /// Retains a message that is longer than a datagram and at most `MAX_MESSAGE_BYTES`.
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

    /// Drops a message; returns 1 if it had not been sent completely.
    pub(crate) fn remove(&mut self, key: MessageKey) -> u64 {
        let Some(message) = self.messages.remove(&key) else { return 0 };
        self.order.remove(&message.position);
        self.bytes -= message.bytes.len();
        u64::from(!message.is_sent())
    }

    /// Drops expired messages; returns how many of them had not been sent completely.
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

    /// Drops all messages to this peer; returns how many of them had not been sent completely.
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
