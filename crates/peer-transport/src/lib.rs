//! Messages between balancers in datagrams of 256 bytes: frames, fragmentation, incarnations and pacing.
//!
//! The sender of a message defines its meaning, and repeats the message where delivery matters. The runtime
//! provides sockets, addresses and timers.
//!
//! [`Transport`] is a state machine without I/O: it takes the time and [`Event`]s, and returns [`Action`]s. It does
//! not guarantee that a message arrives. The following guarantees hold even if the network loses, duplicates,
//! delays, corrupts, reorders or replays datagrams, and if processes are dead, partitioned, restarted or slow.
//! Each guarantee names the tests that check it, in `tests/` or in `src/tests.rs`.
//!
//! 1. A message is delivered complete, at most once, and as it was sent
//!    (`delivers_messages_complete_at_most_once_and_only_from_the_current_incarnation`,
//!    `ignores_fragments_of_a_message_that_is_already_complete`).
//! 2. A message comes from the incarnation that completed the handshake last, and reaches the incarnation that
//!    it was sent to. Both ends drop the messages of previous incarnations
//!    (`a_restarted_process_receives_nothing_sent_to_its_previous_incarnation`,
//!    `ignores_what_an_incarnation_sent_before_it_was_confirmed_again`,
//!    `does_not_send_queued_messages_to_the_next_incarnation`).
//! 3. Only the response to a challenge that is less than 5 s old confirms an incarnation
//!    (`only_the_response_to_the_current_challenge_confirms_an_incarnation`).
//! 4. In any span of `w` seconds at most `256 + 2000 w` datagrams and `65536 + 400000 w` bytes are sent
//!    ([`Budget`]) (`budget_holds_in_every_span_under_silence_retransmission_requests_and_restarts`,
//!    `no_span_exceeds_rate_and_one_burst`).
//! 5. An unconfirmed peer is sent no datagram longer than the one that it sent, and five handshakes a second;
//!    all peers together are sent 256 (`unconfirmed_peers_get_no_amplification_and_five_handshakes_a_second`,
//!    `handshakes_to_300_silent_peers_stay_within_their_own_budget`).
//! 6. Memory is bounded: 1 MiB of incomplete messages of all peers and 64 KiB of one, 1 MiB of own messages for
//!    retransmission, 768 KiB waiting for the send budget and 512 KiB waiting for handshakes. All of this memory
//!    is released after 9 s of silence (`memory_stays_bounded_when_messages_are_never_completed`).
//! 7. A peer that floods this balancer does not delay others: bulk traffic leaves tokens to urgent messages,
//!    peers take turns, the peer that uses most memory loses its messages first, and a fragment is sent at most
//!    five times
//!    (`bulk_traffic_and_one_busy_peer_delay_neither_urgent_messages_nor_other_peers`,
//!    `peers_that_never_complete_messages_do_not_block_others`,
//!    `retransmissions_and_slow_fragments_are_bounded`).
//! 8. Arbitrary bytes only increment a counter, and a confirmed malicious peer can send messages only under its
//!    own node id (`arbitrary_bytes_are_only_counted`,
//!    `malicious_confirmed_peer_sends_only_as_itself_and_within_memory_bounds`).
//! 9. Each received datagram and each message to send is counted once, by its outcome
//!    (`lossless_links_deliver_everything_and_count_everything_once`, and, with an empty bucket, the
//!    test of guarantee 4).
//! 10. A run is determined by its seed (`the_same_seed_sends_the_same_datagrams`).
//!
//! `docs/design/cluster/wire.md` describes the protocol, and the cost of each bound.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod datagram_faults;
mod frame;
mod handshake;
mod interface;
mod message;
mod metrics;
mod peer;
mod reassembly;
mod receive_window;
mod receiving;
mod retransmission;
mod rng;
mod send_queue;
mod sending;
#[cfg(test)]
mod tests;
mod token_bucket;
mod transport;

pub use config::{Budget, Config, ConfigError, MAX_CLUSTER_SIZE};
pub use datagram_faults::{DatagramOutcome, receive_through, transmit_through};
pub use frame::{MAX_UNFRAGMENTED_BYTES, VERSION};
pub use interface::{Action, DeliveryMode, Event, MemoryUsage};
pub use message::{MessageError, decode, encode};
pub use metrics::{
    DeliveredMetrics, DroppedMetrics, MessageMetrics, ReceivedMetrics, SentMetrics,
    TransportMetrics,
};
pub use transport::Transport;

use serde::{Deserialize, Serialize};

/// Longest datagram, in bytes (PROTOCOL, 'Between balancers').
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Longest message, in bytes: 89 datagrams. A longer message would use up the budget of other traffic.
pub const MAX_MESSAGE_BYTES: usize = 20 << 10;

/// A balancer of the cluster: its index in `peers` of the configuration, from 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u16);

/// One process of a balancer, from its start to its end.
///
/// The process chooses a random number at its start. Incarnations have no order: only the response of the
/// running process shows which of two incarnations is current.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u32);

/// The component within a balancer that a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Channel {
    /// Messages between the replicas of the replicated log.
    Consensus,
    /// The replicated log, sent to its learners.
    Log,
    /// Leases and their confirmations.
    Leases,
    /// Session records.
    Sessions,
    /// Versions of the endpoint lists.
    Lists,
}
