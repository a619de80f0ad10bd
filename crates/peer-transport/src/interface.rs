//! Input and output of the transport. [`crate::Transport`] implements the behaviour.

use std::time::Duration;

use crate::{Channel, Incarnation, NodeId};
#[cfg(doc)]
use crate::{MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, MAX_UNFRAGMENTED_BYTES};

/// How urgent a message is. The mode determines the message's priority, its share of the send budget, and how
/// long it may wait for the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DeliveryMode {
    /// Sent before all other messages, and may use the last token. Dropped after 250 ms in the queue. For
    /// leases, heartbeats and votes.
    Urgent,
    /// Leaves an eighth of a full bucket to urgent messages. Dropped after 500 ms in the queue.
    Normal,
    /// Leaves half of a full bucket to the other modes. Dropped after 2 s in the queue. For snapshots and
    /// catch-up.
    Bulk,
}

impl DeliveryMode {
    /// All modes, the most urgent first.
    pub(crate) const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];

    /// How long a message may wait for the send budget.
    pub(crate) fn queue_timeout(self) -> Duration {
        match self {
            Self::Urgent => Duration::from_millis(250),
            Self::Normal => Duration::from_millis(500),
            Self::Bulk => Duration::from_millis(2_000),
        }
    }
}

/// Input of the transport.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A datagram was received from the address of this peer.
    Received {
        /// The peer whose address in `peers` is the datagram's source.
        from: NodeId,
        /// The datagram. A datagram longer than [`MAX_DATAGRAM_BYTES`] may be truncated, but not to that length
        /// or less.
        bytes: &'a [u8],
    },
    /// A datagram was received from an address that is not in `peers`, and is only counted.
    ReceivedFromUnknown,
    /// A message is to be sent. Its delivery is not guaranteed.
    Send {
        /// The receiver.
        to: NodeId,
        /// The receiver's component.
        channel: Channel,
        /// At most [`MAX_MESSAGE_BYTES`] bytes; up to [`MAX_UNFRAGMENTED_BYTES`] fit one datagram.
        message: Vec<u8>,
        /// Its urgency.
        mode: DeliveryMode,
    },
    /// The time of the last [`Action::WakeAt`] has come. An earlier event has no other effect, and a later one
    /// only delays sending.
    Due,
}

/// Output of the transport, to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram of at most [`MAX_DATAGRAM_BYTES`] bytes. A socket error counts as loss.
    Transmit {
        /// The receiver.
        to: NodeId,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A message has been received completely, for the first time.
    Deliver {
        /// The sender.
        from: NodeId,
        /// The sender's incarnation, which the last [`Action::PeerRestarted`] of this peer announced.
        incarnation: Incarnation,
        /// The receiver's component.
        channel: Channel,
        /// The message.
        message: Vec<u8>,
    },
    /// Pass [`Event::Due`] to the transport at this time or, if the time has passed, after all pending events.
    /// This time replaces that of the previous [`Action::WakeAt`].
    WakeAt(Duration),
    /// The peer has a new incarnation, or the first one that this process has confirmed. All messages exchanged
    /// with a previous incarnation are void.
    PeerRestarted {
        /// The peer.
        from: NodeId,
        /// The incarnation that has just completed the handshake.
        incarnation: Incarnation,
    },
}

/// Memory that messages take at present, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize)]
pub struct MemoryUsage {
    /// Incomplete messages of peers.
    pub incoming: usize,
    /// Own fragmented messages, retained for retransmission.
    pub outgoing: usize,
    /// Messages that wait for the send budget.
    pub queued: usize,
    /// Messages that wait for a handshake.
    pub waiting: usize,
}
