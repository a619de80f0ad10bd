//! Counters of what was sent, received and dropped, by cause, for the admin API.
//!
//! The JSON keys are part of the admin API, so a renamed field keeps its former key.

use serde::Serialize;

/// Counters since the process's start.
///
/// Each received datagram is counted once, in [`ReceivedMetrics`] or in [`DroppedMetrics`]. Each message to send
/// is counted once in [`MessageMetrics`], unless it is still queued.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct TransportMetrics {
    /// Datagrams that were sent.
    pub sent: SentMetrics,
    /// Datagrams that were received and accepted.
    #[serde(rename = "heard")]
    pub received: ReceivedMetrics,
    /// Datagrams that were received and dropped.
    pub dropped: DroppedMetrics,
    /// Outcomes of own messages.
    #[serde(rename = "words")]
    pub messages: MessageMetrics,
    /// Outcomes of peers' messages.
    pub delivered: DeliveredMetrics,
}

/// Datagrams that were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct SentMetrics {
    /// All datagrams.
    pub datagrams: u64,
    /// Bytes of all datagrams.
    pub bytes: u64,
    /// Handshakes among them.
    #[serde(rename = "hellos")]
    pub handshakes: u64,
    /// Fragments among them, retransmitted ones included.
    #[serde(rename = "pieces")]
    pub fragments: u64,
    /// Retransmitted fragments among them.
    #[serde(rename = "pieces_again")]
    pub retransmitted_fragments: u64,
    /// Retransmission requests among them.
    #[serde(rename = "asks")]
    pub retransmission_requests: u64,
    /// Handshakes that were due and not sent, because of the limit of the peer, the limit of all peers
    /// together, or the send budget.
    #[serde(rename = "hellos_held_back")]
    pub suppressed_handshakes: u64,
    /// Fragments that a peer requested and that were not sent: they were requested too many times, were no longer
    /// retained, or were part of a message to another peer.
    #[serde(rename = "pieces_refused")]
    pub refused_fragments: u64,
}

/// Datagrams that were received and accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct ReceivedMetrics {
    /// Handshakes.
    #[serde(rename = "hellos")]
    pub handshakes: u64,
    /// Datagrams with complete messages.
    #[serde(rename = "words")]
    pub message_datagrams: u64,
    /// Fragments.
    #[serde(rename = "pieces")]
    pub fragments: u64,
    /// Fragments among them that had been received before, or whose message is finished.
    #[serde(rename = "pieces_again")]
    pub duplicate_fragments: u64,
    /// Retransmission requests.
    #[serde(rename = "asks")]
    pub retransmission_requests: u64,
    /// Handshakes whose response is not to the current challenge.
    #[serde(rename = "stale_nonces")]
    pub stale_responses: u64,
    /// New incarnations of peers that were confirmed.
    #[serde(rename = "lives")]
    pub incarnations: u64,
}

/// Datagrams that were received and dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct DroppedMetrics {
    /// From an address that is not in `peers`, or from this balancer's own.
    #[serde(rename = "strange")]
    pub unknown_source: u64,
    /// Longer than a datagram may be.
    pub too_long: u64,
    /// Of another version of the frame format.
    #[serde(rename = "version")]
    pub unsupported_version: u64,
    /// Truncated, corrupted, or from a balancer whose `peers` differ from ours.
    #[serde(rename = "torn")]
    pub corrupted: u64,
    /// With a valid checksum and invalid content, which indicates a faulty build at the other end.
    pub unreadable: u64,
    /// From a peer none of whose incarnations has been confirmed.
    pub unconfirmed: u64,
    /// From another incarnation of the peer than the confirmed one, or to a previous one of ours.
    #[serde(rename = "former_life")]
    pub previous_incarnation: u64,
    /// Received before.
    #[serde(rename = "copy")]
    pub duplicate: u64,
    /// Older than the receive window, which can't detect whether they are duplicates.
    #[serde(rename = "late")]
    pub too_old: u64,
}

/// Outcomes of own messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct MessageMetrics {
    /// Sent completely, whether or not they arrived.
    #[serde(rename = "said")]
    pub sent: u64,
    /// Addressed to this balancer itself, or to no balancer of the cluster.
    #[serde(rename = "nowhere")]
    pub no_such_peer: u64,
    /// Longer than a message may be.
    pub too_long: u64,
    /// Dropped for lack of memory in a queue.
    #[serde(rename = "no_room")]
    pub queue_full: u64,
    /// Dropped after waiting too long for the send budget.
    #[serde(rename = "no_tokens")]
    pub budget_timeout: u64,
    /// Dropped after waiting too long for a handshake.
    #[serde(rename = "waited_in_vain")]
    pub handshake_timeout: u64,
    /// Dropped because the peer restarted while they waited.
    #[serde(rename = "former_life")]
    pub previous_incarnation: u64,
    /// Dropped because all sequence numbers are used (after 17 years at the default budget).
    #[serde(rename = "used_up")]
    pub sequences_exhausted: u64,
}

/// Outcomes of peers' messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct DeliveredMetrics {
    /// Delivered messages.
    #[serde(rename = "words")]
    pub messages: u64,
    /// Messages abandoned because fragments did not arrive, or for lack of memory.
    #[serde(rename = "pieces_given_up")]
    pub abandoned: u64,
}
