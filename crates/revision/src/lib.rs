//! Routing revisions: what the bank has agreed on, who may act on it and for how long. Pure machines:
//! [`policy`] says what the log's entries mean, [`leases`] when a balancer may act on that, [`lists`] what
//! balancers tell each other about upstreams. They know no clock, file, network or thread; the log itself is
//! the council's.
//!
//! It holds, whoever is dead, cut off, paused, restarted or late, as long as clocks drift by 1 in 100 at most
//! and words come from whom they say (there is no sign-in in this cycle):
//!
//! 1. Nobody sends what another balancer holds to be forbidden for longer than T = 3 s: a lease of 2 s and
//!    what is under way (`banks::no_two_contradict_each_other_for_longer_than_t_whatever_fails`, 1,000 seeds;
//!    `three_hundred_balancers_keep_to_it_as_well`; each part that brings this about is taken out once, and
//!    the same oracle finds it: `without_the_lease_the_first_step_or_the_confirming_it_is_caught`).
//! 2. Two that hold leases never each send what the other holds to be forbidden, not for a moment (the same
//!    tests; the book's half of it: `books::whatever_comes_numbers_grow_and_stages_are_nested`).
//!    A log that was founded anew is no exception, if it waited for the leases of the one before
//!    (`banks::a_log_that_is_founded_anew_waits_for_the_leases_of_the_one_before`).
//! 3. Nobody refuses what the charter allows, whatever a document says and whatever machines join a pod later
//!    (`documents::nobody_refuses_what_the_charter_allows_whatever_a_document_says`, and the oracle of 1).
//! 4. What a charter allowed is forbidden only after every member has said by its own word, and kept on its
//!    disk if it has one, that it does not hold to it, or operators have said that it is dead
//!    (`banks::a_charter_waits_for_the_one_that_is_cut_off_or_for_operators_word`,
//!    `leases::a_charter_is_confirmed_by_each_member_s_own_word_and_after_it_is_kept`).
//! 5. A process that forgot which charter it held keeps to the bedrock until a leader's round of its own life
//!    has told it
//!    (`leases::one_that_forgot_its_charter_keeps_to_bedrock_until_a_lease_of_this_life_says_more`).
//! 6. A lease under a lease ends before it; an answer to another life, to no question or from no parent gives
//!    none (`leases::a_holder_s_end_counts_from_its_asking_and_comes_before_the_giver_s`,
//!    `an_answer_to_another_life_to_no_question_or_not_from_the_parent_counts_for_nothing`).
//! 7. A new leader gives no lease before it has applied all that was agreed before it, and gives nothing up
//!    as ended before the old leader's leases are
//!    (`leases::a_new_leader_gives_nothing_before_it_knows_all_and_nothing_up_before_a_lease_is_over`).
//! 8. Numbers only grow. Of two proposals against one base the first wins and the other is told which; the
//!    same question again gets the same answer and does nothing more
//!    (`books::of_two_against_one_base_the_first_wins_and_the_other_is_told_which`).
//! 9. Of many while a change is under way the newest comes next, and those between are known never to come
//!    into force
//!    (`books::of_many_while_a_change_is_under_way_the_newest_comes_next_and_those_between_never`).
//! 10. Any of the last 1,000 revisions (4 MiB) comes back under a new number, in the middle of a change, a
//!     trial or another rollback; what no longer fits the fleet only where forced, what the charter allows
//!     not even then (`books::any_kept_revision_comes_back_under_a_new_number_in_the_middle_of_anything`,
//!     `a_rollback_to_pods_that_are_gone_is_refused_unless_forced`,
//!     `a_thousand_are_kept_and_the_image_says_all_in_a_megabyte`).
//! 11. A trial ends confirmed or taken back, never both
//!     (`books::a_trial_is_confirmed_or_taken_back_to_what_was_before_and_never_both`).
//! 12. A peer's word stops sends to an upstream at once, and makes none usable that the own list has not
//!     named; with a list older than the floor only the charter's are used, where there are (`lists`, each by
//!     a test of that name).
//! 13. No bytes make anything here panic, and everything is bounded (`no_bytes_...` in each file of tests).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod canary;
mod codec;
pub mod difference;
pub mod document;
pub mod entry;
pub mod fallback_policy;
pub mod figures;
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
