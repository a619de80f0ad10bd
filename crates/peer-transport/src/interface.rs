//! What goes into the transport and what comes out of it; what it does with them is in [`crate::Transport`].

use std::time::Duration;

use crate::{Channel, Incarnation, NodeId};
#[cfg(doc)]
use crate::{MAX_DATAGRAM_BYTES, MAX_MESSAGE_BYTES, MAX_UNFRAGMENTED_BYTES};

/// How urgent a message is: its priority, its share of the budget, and how long it may wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DeliveryMode {
    /// Sent before all others and with the last token. Dropped after 250 ms in the queue. For leases,
    /// heartbeats and votes.
    Urgent,
    /// Leaves an eighth of a full bucket to urgent messages. Dropped after 500 ms.
    Normal,
    /// Leaves half of a full bucket to the others. Dropped after 2 s. For snapshots and catching up.
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
    /// A datagram came from the address of this peer.
    Received {
        /// The peer whose address in `peers` it came from.
        from: NodeId,
        /// The datagram. One that was longer than [`MAX_DATAGRAM_BYTES`] is given with at least one byte more
        /// than that.
        bytes: &'a [u8],
    },
    /// A datagram came from an address that is not in `peers`. It is counted.
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
    /// The time of the last [`Action::WakeAt`] has come. Earlier and later calls do no harm but delay.
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
        /// The component that it is for.
        channel: Channel,
        /// The message.
        message: Vec<u8>,
    },
    /// Hand in [`Event::Due`] at this time or, if it has passed, once all pending events were handed in. It
    /// replaces the time that was asked for before.
    WakeAt(Duration),
    /// The peer has a new incarnation, or its first one that is known here: everything exchanged with a
    /// previous one is void.
    PeerRestarted {
        /// The peer.
        from: NodeId,
        /// The incarnation that has just completed the handshake.
        incarnation: Incarnation,
    },
}

/// Bytes of messages in memory at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize)]
pub struct MemoryUsage {
    /// Peers' messages of which fragments are missing.
    pub incoming: usize,
    /// Own fragmented messages, retained for retransmission.
    pub outgoing: usize,
    /// Messages that wait for the send budget.
    pub queued: usize,
    /// Messages that wait for a handshake.
    pub waiting: usize,
}
