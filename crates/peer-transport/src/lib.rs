//! Words between balancers in datagrams of 256 bytes: frames, pieces, lives, pace. What a word means, and
//! that it is said again where it matters, is left to whoever says it; sockets, addresses and timers are the
//! shell's.
//!
//! [`Wire`] is a machine without I/O: time and events in, [`Action`]s out. It gives no promise that a word
//! arrives. It holds, whatever networks lose, double, delay, flip, reorder and replay, whoever is dead, cut
//! off, restarted or late (each with the test that holds it to that, under `tests/` or in `src/tests.rs`):
//!
//! 1. A word is handed over whole, once at most, and as its sender said it
//!    (`a_word_comes_whole_at_most_once_and_only_from_the_life_that_is_there`,
//!    `a_piece_that_comes_after_its_word_was_whole_begins_nothing`).
//! 2. It is of the life that answered last, and goes to the life that it was said to: nothing of a former
//!    life counts, at either end (`a_process_hears_nothing_that_was_said_to_the_one_before_however_late`,
//!    `what_a_life_said_before_it_was_confirmed_again_never_counts_again`,
//!    `what_was_to_be_said_to_one_life_is_not_said_to_the_next`).
//! 3. A life is confirmed by the answer to a nonce asked in the last 5 s, and by nothing else
//!    (`only_the_answer_to_the_nonce_that_is_asked_now_confirms_a_life`).
//! 4. In any span of `w` seconds there go at most `256 + 2000 w` datagrams and `65536 + 400000 w` bytes
//!    ([`Budget`]) (`the_budget_holds_in_every_span_whoever_is_silent_asks_for_all_or_restarts_all_the_time`,
//!    `no_span_of_time_sees_more_than_the_rate_and_one_burst`).
//! 5. A peer that is not confirmed gets no datagram longer than the one that it sent for it, and five hellos
//!    a second; all together get 256
//!    (`an_unconfirmed_peer_gets_no_more_than_it_says_and_five_hellos_a_second`,
//!    `hellos_to_three_hundred_silent_peers_stay_within_a_budget_of_their_own`).
//! 6. At most 1 MiB of peers' words that are not whole are held, 64 KiB of one peer; 1 MiB of own ones to be
//!    asked for again; 768 KiB wait for tokens and 512 KiB for peers. All of it goes within 9 s of silence
//!    (`memory_stays_within_its_bounds_whatever_is_begun_and_never_ended`).
//! 7. Nobody's flood keeps others waiting: bulk leaves tokens to urgent words, peers take turns, whoever
//!    holds most loses first, and what is asked for again goes five times at most
//!    (`bulk_and_one_peer_s_flood_keep_neither_urgent_words_nor_other_peers_waiting`,
//!    `peers_that_begin_words_without_end_keep_no_other_from_being_heard`,
//!    `nobody_is_told_a_word_for_ever_nor_trickles_one_in_for_ever`).
//! 8. Any bytes at all bring about at most a count; a confirmed liar's frames, at most words under its own
//!    name (`any_bytes_are_counted_and_bring_nothing_about`,
//!    `a_confirmed_liar_s_frames_are_its_own_words_or_nothing_and_hold_no_more_than_they_may`).
//! 9. Every datagram that came and every word that was to be said is counted once, under what became of it
//!    (`whole_links_lose_nothing_and_every_word_and_datagram_is_counted_once`, and while the bucket is dry
//!    the sweep of 4).
//! 10. One seed, one run (`the_same_seed_sends_the_same_datagrams`).
//!
//! `docs/design/cluster/wire.md` tells the protocol, and what each bound costs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod datagram_faults;
mod frame;
mod message;
mod metrics;
mod peer;
mod reassembly;
mod receive_window;
mod retransmission;
mod rng;
mod send_queue;
mod sending;
#[cfg(test)]
mod tests;
mod token_bucket;
mod transport;

pub use config::{Budget, Config, ConfigError, MEMBERS};
pub use datagram_faults::{Passage, receive_through, transmit_through};
pub use frame::{ONE_DATAGRAM, VERSION};
pub use message::{MessageError, decode, encode};
pub use metrics::{Counts, Delivered, Dropped, Heard, Sent, Words};
pub use transport::{Action, Event, Held, How, Wire};

use serde::{Deserialize, Serialize};

/// Longest datagram, in bytes (PROTOCOL, 'Between balancers').
pub const DATAGRAM: usize = 256;

/// Longest word, in bytes: 89 datagrams. Without a bound one absurd word would take the pace of everything
/// else.
pub const MAX_MESSAGE_BYTES: usize = 20 << 10;

/// A balancer of the bank: its number in the settings, from 0, which is its place in `peers`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u16);

/// One process of a balancer, from its start to its end: drawn at its start, and never used again by it.
/// Lives have no order: of two, only the process that answers now can say which of them it is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u32);

/// Whom a word is for, within a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Channel {
    /// Members of the council among themselves.
    Consensus,
    /// The log, to those that learn it.
    Log,
    /// Leases, and who has confirmed what.
    Leases,
    /// Records of vans.
    Sessions,
    /// Versions of the list of upstreams.
    Lists,
}
