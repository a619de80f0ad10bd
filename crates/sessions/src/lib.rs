//! Records of user sessions: the cell that has a session's state, the cells in which its keyed requests may have been
//! executed, and the zone that owns the record. Ownership and its transfer follow Slicer.
//!
//! [`Sessions`] is a state machine without I/O: its caller sends messages, supplies the time and reports events.
//! Rendezvous hashing over the agreed ownership table assigns each session to one balancer of each zone, the zone's
//! owner of the session. One of these balancers *owns* the session's *record*, under an [`Epoch`]; the others have at
//! most a *tombstone*. Balancers ask the owner in their zone for the route of a request. An owner without the record
//! *claims* the session from the owners in all other zones, and the owner that has the record *transfers* it.
//!
//! # Guarantees
//!
//! These guarantees hold even if balancers crash, restart, are partitioned, paused or slow. Each guarantee names the
//! tests that check it.
//!
//! 1. **No keyed request is executed twice** within the deduplication window of the cells, in one cell or two, however
//!    often and at whichever balancer the request is repeated:
//!    `cluster::nothing_is_executed_twice_and_each_session_has_one_owner`, 1,000 seeds. Without records, keyed requests
//!    are executed twice (`cluster::keys_are_executed_twice_without_records_and_never_with_them`). A request that is
//!    not idempotent is routed once.
//! 2. **Each record has at most one owner at any time**, epochs never decrease, and nothing is sent under an old epoch
//!    once another balancer owns the record. The same test checks the ownership that balancers report. The guarantee
//!    also holds if a rejected transfer arrives late
//!    (`protocol::rejected_transfer_is_not_accepted_when_its_copy_arrives_late`) or the record was evicted
//!    (`protocol::evicted_record_returns_under_a_higher_epoch`).
//! 3. **Any single step may fail**: each message of a transfer may be lost or duplicated, and its sender or receiver
//!    may crash or be paused past its lease. Guarantees 1 and 2 hold, and the session is served 6 s later:
//!    `faults::single_fault_at_each_step_is_harmless`, `faults::two_random_faults_are_harmless`.
//! 4. **No request waits for a record** longer than 25 ms or a twentieth of its remaining time. After this wait,
//!    requests without a key are routed by hash and keyed ones are rejected:
//!    `protocol::waits_are_bounded_and_only_keyed_requests_are_rejected`.
//! 5. **A key whose cell is excluded is sent to no other cell** before its window ends; new keys of the session are
//!    (`protocol::key_of_an_excluded_cell_is_sent_to_no_other_cell_unlike_new_keys`). If a key may have been executed
//!    in an unknown cell, because all balancers that knew the cell were lost, its request waits for the end of the
//!    window if the deadline allows, and fails otherwise
//!    (`protocol::sessions_of_a_lost_zone_are_taken_over_and_their_keys_wait`,
//!    `protocol::repeat_near_the_end_of_its_window_waits_if_its_deadline_allows`).
//! 6. **State is bounded**: 200,000 records with a key each take less than 32 MiB, and a key inside its window is never
//!    dropped. When the store is full, keyed requests are rejected
//!    (`memory::full_store_takes_less_than_32_mib_and_drops_no_key_inside_its_window`, and the tests of the record
//!    store).
//! 7. **Claims are limited when many sessions arrive at once**, and the newest session is claimed first:
//!    `protocol::mass_arrival_is_paced_and_the_newest_sessions_go_first`.
//! 8. **No message of a peer** causes a panic or prevents the routing of a request:
//!    `protocol::arbitrary_messages_never_panic_and_all_requests_are_routed`, and the tests of the encoding.
//!
//! # Assumptions
//!
//! - The agreed table omits a slot only after the slot's validity has ended ([`Event::TableChanged`]).
//! - An attempt is executed within [`Config::max_execution_delay`] after it was sent, or never.
//! - Cells drop repeats for [`Config::dedup_window`] after the execution.
//! - Clocks drift by 1 in 100 at most.
//! - The transport delivers no message of a previous incarnation.
//!
//! The effects of a peer that sends false messages are described in `docs/design/cluster/sessions.md`.
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
