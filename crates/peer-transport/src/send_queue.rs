//! Messages, fragments and requests that wait for the send budget. More urgent items come first, and the peers
//! with items of the same urgency take turns. The transport decides when an item is sent.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use crate::{Channel, DeliveryMode, NodeId};

/// Largest size of the queue of each urgency, in bytes.
const MAX_QUEUED_BYTES: usize = 256 << 10;
/// Memory that an item takes besides its message.
const ITEM_OVERHEAD_BYTES: usize = 64;

/// Something to send to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum QueuedItem {
    /// A message that fits one datagram, until its deadline.
    Message { channel: Channel, message: Vec<u8>, deadline: Duration },
    /// A fragment of a longer message.
    Fragment { message_number: u64, index: u8 },
    /// A request for the missing fragments of a peer's message.
    RetransmissionRequest { message_number: u64 },
}

impl QueuedItem {
    fn memory_bytes(&self) -> usize {
        match self {
            Self::Message { message, .. } => ITEM_OVERHEAD_BYTES + message.len(),
            _ => ITEM_OVERHEAD_BYTES,
        }
    }
}

/// The items of one urgency.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ModeQueue {
    peers: BTreeMap<NodeId, VecDeque<QueuedItem>>,
    /// The peer whose turn it was last.
    last_peer: NodeId,
    bytes: usize,
}

/// All items that wait for the send budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SendQueue {
    by_mode: [ModeQueue; 3],
}

impl SendQueue {
    /// Appends an item to the queue of its urgency and peer. Returns `false` if the queue is full.
    pub(crate) fn push(&mut self, mode: DeliveryMode, to: NodeId, item: QueuedItem) -> bool {
        self.push_all(mode, to, [item])
    }

    /// Appends all items or, if the queue is too full for them, none. Returns whether they were appended.
    pub(crate) fn push_all(
        &mut self,
        mode: DeliveryMode,
        to: NodeId,
        items: impl IntoIterator<Item = QueuedItem>,
    ) -> bool {
        let queue = &mut self.by_mode[mode as usize];
        let items: Vec<QueuedItem> = items.into_iter().collect();
        let bytes: usize = items.iter().map(QueuedItem::memory_bytes).sum();
        let fits = queue.bytes + bytes <= MAX_QUEUED_BYTES;
        if fits && !items.is_empty() {
            queue.bytes += bytes;
            queue.peers.entry(to).or_default().extend(items);
        }
        fits
    }

    /// Returns the most urgent mode for which an item waits.
    pub(crate) fn most_urgent(&self) -> Option<DeliveryMode> {
        DeliveryMode::ALL.into_iter().find(|mode| !self.by_mode[*mode as usize].peers.is_empty())
    }

    /// Returns the peer whose turn it is among the peers with items of this urgency.
    pub(crate) fn next_peer(&mut self, mode: DeliveryMode) -> Option<NodeId> {
        let queue = &mut self.by_mode[mode as usize];
        let after_last = queue.peers.range((Excluded(queue.last_peer), Unbounded)).next();
        queue.last_peer = *after_last.or_else(|| queue.peers.first_key_value())?.0;
        Some(queue.last_peer)
    }

    /// Removes and returns this peer's first item.
    pub(crate) fn pop(&mut self, mode: DeliveryMode, to: NodeId) -> Option<QueuedItem> {
        self.pop_if(mode, to, |_| true)
    }

    /// Removes and returns this peer's first item if `matches` accepts it.
    pub(crate) fn pop_if(
        &mut self,
        mode: DeliveryMode,
        to: NodeId,
        matches: impl FnOnce(&QueuedItem) -> bool,
    ) -> Option<QueuedItem> {
        let queue = &mut self.by_mode[mode as usize];
        let items = queue.peers.get_mut(&to)?;
        let item = items.pop_front_if(|item| matches(item))?;
        if items.is_empty() {
            queue.peers.remove(&to);
        }
        queue.bytes -= item.memory_bytes();
        Some(item)
    }

    /// Removes all items to this peer, and returns the number of complete messages among them.
    pub(crate) fn clear_peer(&mut self, to: NodeId) -> u64 {
        let mut messages = 0;
        for queue in &mut self.by_mode {
            for item in queue.peers.remove(&to).into_iter().flatten() {
                queue.bytes -= item.memory_bytes();
                messages += u64::from(matches!(item, QueuedItem::Message { .. }));
            }
        }
        messages
    }

    /// Bytes of all items.
    pub(crate) fn bytes(&self) -> usize {
        self.by_mode.iter().map(|queue| queue.bytes).sum()
    }
}
