//! A replicated log among a few balancers, the voters, and all balancers that learn from it.
//!
//! The protocol is Viewstamped Replication (Liskov, Cowling 2012). Voters may lose their state, which is detected by
//! counted incarnations (Michael et al. 2017), and only a voter that a majority is connected to replaces a leader
//! (OmniPaxos, 2023). There are two state machines without I/O, [`Replica`] (a voter) and [`Learner`] (every node),
//! and the [`Store`] of a voter's records. Entries are bytes: their meaning is left to the state machine above, and
//! sockets, threads and clocks to the runtime.
//!
//! Whoever is dead, disconnected, paused, restarted or slow, and whichever disk is full, lies or was changed, it
//! guarantees the following. Each guarantee names the tests that check it, in `tests/`.
//!
//! 1. No two nodes commit different entries at one [`LogIndex`], and each delivers them in order, once
//!    (`agreement::committed_entries_stay_committed`: 2,000 random runs, and 38,000 more by name).
//! 2. An acknowledged entry is in every later log, unless so many voters lose their state at one time that the others
//!    are no majority (the same). Then it is, if a voter or learner that can be reached has it
//!    (`learners::learners_copies_restore_the_log_after_all_voters_lose_their_state`).
//! 3. A repeated proposal is one entry, if fewer than [`MAX_REMEMBERED_PROPOSALS`] others came between (`agreement`).
//!    Only what can never be an entry is rejected (`messages::only_impossible_proposals_are_rejected`).
//! 4. No message leaves a voter before the records that it is based on are on disk
//!    (`messages::no_message_is_sent_before_its_records_are_on_disk`), and what was acknowledged as persisted survives
//!    a failure at any step (`store::acknowledged_records_survive_a_fault_at_any_failpoint`,
//!    `store::a_fault_at_a_start_loses_no_records`, `store::a_cluster_survives_every_fault_at_every_failpoint`).
//! 5. A directory that is another node's, damaged, or an old copy is not trusted, if a running voter knows better
//!    (`store::foreign_or_damaged_files_are_rejected_and_renamed`, `store::a_restored_old_copy_is_detected`).
//! 6. A heartbeat that a majority of an older view answered was sent before a newer view began, on which leases are
//!    based (`agreement`, in each run in which no majority lost its state).
//! 7. After the leader is killed there is another within 1.5 s: in all of 100 runs without loss, 99 with 10 % loss and
//!    95 with 30 % (`leader_election::a_leader_is_elected_within_1500_ms_after_a_kill`). With partial connectivity a
//!    leader is elected as soon, and stays, if one voter is connected in both directions to a majority (the other
//!    tests of `leader_election`).
//! 8. A dead voter is replaced and the new one counts, and the removed one learns that it votes no more
//!    (`learners::a_dead_voter_is_replaced_and_the_new_one_counts`). Where a majority is lost for good, operators go on
//!    (`learners::operators_continue_without_a_majority_that_is_lost_for_good`).
//! 9. A learner has at most eight children, besides eight whose own source is gone
//!    (`learners::learners_have_at_most_eight_children_and_agree_on_the_tree`). It finds another source if its own is
//!    dead (`learners::children_of_dead_nodes_find_another_source`), and catches up with one part of 16 KiB under way
//!    at a time (`learners::a_learner_that_was_down_catches_up_in_small_parts`).
//! 10. Frequent messages fit a datagram, and no message makes a state machine panic (`messages`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod catch_up;
mod dispatch;
mod durability;
mod entry;
mod epoch_bootstrap;
mod heartbeat;
mod interface;
mod leadership;
mod learner;
mod learner_tree;
mod log;
mod log_file;
mod log_record;
mod message;
mod message_encoding;
mod proposals;
mod record_format;
mod recovery;
mod replica;
mod replica_state;
mod replication;
mod split_mix;
mod state_transfer;
mod store;
mod timing;
mod view_change;
mod voter_set;

pub use entry::{Entry, EntryPayload, LogIndex, MAX_ENTRY_BYTES, ProposalId, ProposalOutcome};
pub use epoch_bootstrap::EPOCH_BOOTSTRAP_DELAY;
pub use interface::{Action, Event, OperatorCommand, ReplicaConfig};
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
    Heartbeat, IncarnationCounts, LogPart, MAX_CHUNK_BYTES, MAX_MESSAGE_BYTES, MAX_SNAPSHOT_BYTES,
    Message, MessageBody, ReplicaStatus, View,
};
pub use message_encoding::MessageError;
pub use proposals::MAX_UNCOMMITTED_ENTRIES;
pub use record_format::{Corruption, MAX_FILE_BYTES, VERSION};
pub use recovery::DIRECTORY_RECOVERY_TIMEOUT;
pub use replica::Replica;
pub use replication::SNAPSHOT_INTERVAL_ENTRIES;
pub use store::{COMPACTION_THRESHOLD_BYTES, LoadedLog, Store, StoreError};
pub use timing::{HEARTBEAT_INTERVAL, LEARNER_QUERY_PERIOD, PEER_TIMEOUT, QUORUM_LOSS_TIMEOUT};
pub use voter_set::{MAX_VOTERS, VoterSet, default_voters};
