//! Routing policy revisions: the agreed routing policy, and the leases under which balancers act on it.
//!
//! The crate has three state machines without I/O, clock or threads: [`policy_state`] applies the entries of the
//! replicated log, [`leases`] decides when a balancer may act on the resulting policy, and [`lists`] disseminates which
//! upstreams must not receive requests. `hollowpaddle-consensus` replicates the log; the gateway sends messages,
//! persists state and publishes the rules in force.
//!
//! A *revision* is a [`document`] with a number. A change from one revision to the next has two phases: the *restrict
//! phase* forbids whatever the old or the new revision forbids, and the *apply phase* puts the new revision in force.
//! Each phase is a *generation*. The next generation starts once it is confirmed that no balancer acts on an older one.
//! A balancer without a lease follows the [`fallback_policy`], which no revision can forbid. A balancer that has lost
//! all state follows the *mandatory fallback*, which every fallback policy includes.
//!
//! # Guarantees
//!
//! The guarantees hold whichever balancers are dead, cut off, paused, restarted or late, as long as clocks drift by 1
//! in 100 at most and the transport delivers messages only from their stated sender. Each guarantee names the tests
//! that check it.
//!
//! 1. No balancer sends for longer than 3 s (a lease of 2 s, and the attempts in flight) what another balancer regards
//!    as forbidden: `cluster::contradictions_stay_below_the_bound_under_any_faults`, 1,000 seeds. The oracle detects
//!    when a part of the protocol is disabled:
//!    `cluster::oracle_finds_missing_lease_restrict_phase_or_confirmation`.
//! 2. Two balancers with leases never each send what the other regards as forbidden: the same tests, and
//!    `policy_state::any_entries_keep_numbers_growing_and_phases_nested`. A new log waits for the leases of the
//!    previous log: `cluster::new_log_waits_for_leases_of_the_previous_one`.
//! 3. No balancer refuses what the fallback policy allows, whatever a document states and whatever machines join a
//!    cell: `documents::rules_permit_what_the_fallback_floor_allows_whatever_a_document_states`, and the oracle named
//!    in the first guarantee.
//! 4. What a fallback policy allowed is forbidden only after every balancer has confirmed that it no longer holds that
//!    policy, and has persisted this if it has a state directory, or after operators have marked the balancer dead:
//!    `cluster::fallback_change_waits_for_unreachable_node_or_its_dead_mark`,
//!    `leases::fallback_change_is_confirmed_by_each_holder_after_it_is_persisted`.
//! 5. A process that has lost its fallback policy follows the mandatory fallback until it has a lease from a round that
//!    the leader began during the process's own incarnation:
//!    `leases::keeps_to_mandatory_fallback_until_a_lease_of_this_incarnation`.
//! 6. A lease that a parent granted under its own lease ends before the parent's lease. Responses to another
//!    incarnation of the balancer, to no pending request or from a node that is not the parent grant nothing:
//!    `leases::lease_counts_from_the_request_and_ends_before_the_granters`,
//!    `leases::ignores_responses_to_other_incarnations_unknown_requests_or_from_other_nodes`.
//! 7. A new leader grants no lease before it has applied everything committed before it, and confirms nothing before
//!    the leases of the previous leader have ended:
//!    `leases::new_leader_grants_after_catching_up_and_confirms_after_former_leases_end`.
//! 8. Revision numbers only grow. Of two proposals against one base the first is accepted, and the second is rejected
//!    with the number of the first; a repeated command gets its first result:
//!    `policy_state::second_proposal_against_the_same_base_is_rejected`.
//! 9. Of several proposals during a change, the newest comes into force next and the others never do:
//!    `policy_state::only_the_newest_pending_revision_follows_a_running_change`.
//! 10. Operators can roll back to any of the last 1,000 revisions (4 MiB) at any time. The rollback to a revision that
//!     no longer fits the fleet has to be forced; one to a revision that forbids what the fallback policy allows is
//!     rejected:
//!     `policy_state::rollback_works_during_a_change_a_canary_and_another_rollback`,
//!     `policy_state::rollback_to_missing_cells_is_rejected_unless_forced`,
//!     `policy_state::thousand_revisions_are_retained_and_fit_a_snapshot`.
//! 11. A canary is either confirmed or rolled back: `policy_state::canary_is_either_confirmed_or_rolled_back`.
//! 12. A peer's message stops sends to an upstream at once, and never allows sends to an upstream that the balancer's
//!     own list does not name. While the own list is too old, only upstreams of the fallback policy are used, if there
//!     are any: the tests in `lists`.
//! 13. No input bytes make this crate panic, and all state is bounded: `arbitrary_bytes_...` in each test file.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod canary;
mod codec;
pub mod difference;
pub mod document;
pub mod entry;
pub mod fallback_policy;
pub mod fixed_point;
pub mod fleet;
pub mod history;
pub mod in_force;
pub mod leases;
pub mod lists;
pub mod message;
pub mod node_set;
mod place;
pub mod policy_state;
mod rejection;
pub mod rules;
