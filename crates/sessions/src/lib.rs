//! Records of user sessions: which cell has the state of a session, which of its keyed requests may have been executed
//! where, and which zone owns that knowledge. Ownership and its transfer follow Slicer.
//!
//! [`Sessions`] is a state machine without I/O; its caller sends, keeps time and reports events. For each session one
//! balancer of each zone is responsible, by rendezvous hashing over the agreed ownership table. One of them *owns* the
//! session's *record*, under an [`Epoch`]; the others have at most a *tombstone*. Balancers ask the owner in their zone
//! where a request goes. An owner that has no record *claims* the session from the owners in all other zones, and the one
//! that owns it *transfers* it.
//!
//! # Guarantees
//!
//! They hold whichever balancers are dead, cut off, paused, restarted or late. Each names the tests that check it.
//!
//! 1. **No keyed request is executed twice** within the cells' window, in one cell or two, however often it is repeated
//!    and wherever: `cluster::nothing_is_executed_twice_and_each_session_has_one_owner`, 1,000 seeds; without records it
//!    happens (`cluster::keys_are_executed_twice_without_records_and_never_with_them`). A request that is not idempotent
//!    is routed once.
//! 2. **Each record has one owner at every moment**, epochs never go back, and nothing is sent under an old epoch once
//!    another balancer owns the record: the same test, by what the balancers themselves claim; also when a rejected
//!    transfer arrives late (`protocol::rejected_transfer_is_not_accepted_when_its_copy_arrives_late`) or the record was
//!    evicted (`protocol::evicted_record_returns_under_a_higher_epoch`).
//! 3. **Any one step may fail**: each message of a transfer lost or duplicated, its sender or receiver crashed or paused
//!    past its lease. 1 and 2 hold, and the session is served 6 s later: `faults::single_fault_at_each_step_is_harmless`,
//!    `faults::two_random_faults_are_harmless`.
//! 4. **No request waits for a record** longer than 25 ms or a twentieth of its time. After that requests without a key
//!    go by hash and keyed ones are rejected: `protocol::waits_are_bounded_and_only_keyed_requests_are_rejected`.
//! 5. **A key whose cell is excluded goes nowhere else** before its window ends; new keys of the session do
//!    (`protocol::key_of_an_excluded_cell_goes_nowhere_else_and_new_keys_go_on`). A key that may have been executed where
//!    nobody left knows of waits for the end of the window if its deadline allows, or fails
//!    (`protocol::sessions_of_a_lost_zone_are_taken_over_and_their_keys_wait`,
//!    `protocol::repeat_near_the_end_of_its_window_waits_if_its_deadline_allows`).
//! 6. **State is bounded**: 200,000 records with a key each take less than 32 MiB, and a key inside its window is never
//!    dropped; when the store is full, keyed requests are rejected
//!    (`memory::full_store_takes_less_than_32_mib_and_drops_no_key_inside_its_window`, and the tests of the record store).
//! 7. **A mass arrival is paced**, and the newest session goes first:
//!    `protocol::mass_arrival_is_paced_and_the_newest_sessions_go_first`.
//! 8. **No message of a peer** makes anything panic or keeps a request from being routed:
//!    `protocol::arbitrary_messages_never_panic_and_all_requests_are_routed`, and the tests of the encoding.
//!
//! # Assumptions
//!
//! The agreed table leaves out a slot only after its time has passed ([`Event::TableChanged`]); an attempt is executed
//! within [`Config::max_execution_delay`] of its sending or never; cells drop repeats for [`Config::dedup_window`] from
//! the execution on; clocks drift by 1 in 100 at most; the transport delivers no message of a previous incarnation. What a
//! peer that lies can do is in `docs/design/cluster/sessions.md`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod claims;
mod config;
mod ids;
mod interface;
mod key_entry;
mod key_log;
mod lost_owners;
mod machine;
mod message;
mod ownership;
mod ownership_table;
mod reconfiguration;
mod record_cache;
mod record_fetch;
mod record_store;
mod rendezvous;
mod replication;
mod requests;
mod routing_client;
mod session_record;
mod state;
mod time;
mod transfers;

pub use config::{Config, PERMIT_DURATION};
pub use ids::{Cell, Epoch, IdempotencyKey, OwnerSlot, SessionId, Zone};
pub use interface::{Action, Event, ExecutionStatus, Idempotency, RoutingDecision, RoutingFailure};
pub use message::{MAX_MESSAGE_BYTES, MessageError};
pub use rendezvous::{WeightedCell, cell_for};
pub use state::{KeyCounts, SessionMetrics, Sessions, TransferCounts};
