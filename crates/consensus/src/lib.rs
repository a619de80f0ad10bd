//! A replicated log among a few balancers, some of which forget, and all that learn from it: viewstamped
//! replication (Liskov, Cowling 2012) with counted lives (Michael et al. 2017) and leaders that a majority
//! hears (OmniPaxos, 2023). Two machines without I/O, [`Replica`] (a voter) and [`Learner`] (everybody),
//! and the [`Store`] of a voter's records. It knows no rule of routing: entries are bytes. Sockets, threads
//! and clocks are the shell's.
//!
//! It holds, whoever is dead, cut off, paused, restarted or late, and whichever disk is full, lies or was
//! changed, each with the test under `tests/` that holds it to that:
//!
//! 1. No two members commit different entries at one [`LogIndex`], and each tells them in order, once
//!    (`agreement::what_is_agreed_stays_agreed`: 2,000 drawn days; 38,000 more by name).
//! 2. A yes is in every later log, unless so many voters forget at one moment that the others are no
//!    majority (the same). Then it is if a voter or learner that can be reached has it
//!    (`learners::all_voters_forget_at_once_and_the_learners_copies_bring_the_log_back`).
//! 3. A repeated proposal is one entry, as long as fewer than [`MAX_REMEMBERED_PROPOSALS`] others came between (`agreement`). A
//!    no is told only of what can never be an entry
//!    (`words::what_can_never_be_an_entry_is_told_so_and_nothing_else_is`).
//! 4. Nothing leaves a member before what it rests on is on its disk
//!    (`words::nothing_leaves_a_member_before_its_disk_has_what_was_issued`), and what was told to be there
//!    is, whatever fails at whichever step
//!    (`store::whatever_fails_at_any_point_what_was_told_to_be_kept_is`, `..._at_a_start_...`,
//!    `store::a_council_at_every_point_of_its_stores_with_every_fault`).
//! 5. A directory that is another's, damaged or an old copy is not gone on from, where one that is awake
//!    knows better (`store::a_file_of_anothers_...`, `store::an_old_copy_put_back_is_found_out`).
//! 6. A round that counted for an older view began before a newer one was led: what leases rest on
//!    (`agreement`, in each day of which no majority forgot).
//! 7. After the leader is killed there is one again within 1.5 s: all of 100 without loss, 99 of 100 at a
//!    loss of 10 %, 95 at 30 % (`leaders::a_leader_again_within_a_second_and_a_half_after_a_kill`). With
//!    links that work in part it comes as soon, and stays, where one member is connected both ways to a
//!    majority (the other seven of `leaders`).
//! 8. A dead member is replaced and the new one counts; the one that went finds that it votes no more
//!    (`learners::a_dead_member_is_replaced_and_the_new_one_counts`). Where a majority is gone for good,
//!    operators go on (`learners::operators_go_on_...`).
//! 9. A learner has eight children at most, besides eight whose own source is gone
//!    (`learners::no_learner_has_more_...`), finds another source where its own is dead
//!    (`learners::those_below_the_dead_...`), and catches up with one part of 16 KiB under way at a time
//!    (`learners::one_that_was_away_...`).
//! 10. What is said often fits a datagram, and no word, whatever is in it, makes a machine panic (`words`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod learner;
mod learner_tree;
mod log;
mod log_file;
mod log_record;
mod message;
mod recovery;
mod replica;
mod replication;
mod store;
mod view_change;

pub use learner::{
    Learner, LearnerAction, LearnerConfig, LearnerEvent, MAX_CHUNKS_PER_INTERVAL, MAX_LEADER_AGE,
    MAX_PENDING_PROPOSALS, POLL_INTERVAL, PROPOSAL_TIMEOUT, SOURCE_TIMEOUT,
};
pub use learner_tree::{MAX_CHILDREN, order, parent};
pub use log::{
    Log, MAX_LOG_BYTES, MAX_LOG_ENTRIES, MAX_REMEMBERED_PROPOSALS, RETAINED_ENTRIES, SnapshotBase,
};
pub use log_file::{Directory, Disk};
pub use log_record::{DurableState, Record, State};
pub use message::{
    Entry, EntryPayload, Heartbeat, IncarnationCounts, LogIndex, MAX_CHUNK_BYTES, MAX_ENTRY_BYTES,
    MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES, MAX_VOTERS, Message, MessageBody, MessageError, Part,
    ProposalId, ProposalOutcome, ReplicaStatus, View, VoterSet,
};
pub use recovery::{DIRECTORY_RECOVERY_TIMEOUT, EPOCH_BOOTSTRAP_DELAY, LEARNER_QUERY_PERIOD};
pub use replica::{
    Action, Event, HEARTBEAT_INTERVAL, OperatorCommand, PEER_TIMEOUT, QUORUM_LOSS_TIMEOUT, Replica,
    ReplicaConfig, default_voters,
};
pub use replication::{MAX_UNCOMMITTED_ENTRIES, SNAPSHOT_INTERVAL_ENTRIES};
pub use store::{
    COMPACTION_THRESHOLD_BYTES, Corruption, LoadedLog, MAX_FILE_BYTES, Store, StoreError, VERSION,
};
