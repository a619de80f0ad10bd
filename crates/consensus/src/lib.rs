//! A replicated log: a few balancers, the voters, agree on it, and all balancers learn its committed entries.
//!
//! The protocol is Viewstamped Replication Revisited (Liskov, Cowling 2012). A voter may lose its state, which the
//! other voters detect by counted incarnations (Michael et al. 2017). A leader is replaced only by a voter that is
//! connected to a majority (OmniPaxos, 2023). The crate has two state machines without I/O, [`Replica`] (a voter) and
//! [`Learner`] (on every node), and the [`Store`] of a voter's records. Entries are bytes: the state machine above
//! interprets them, and the runtime provides sockets, threads and clocks.
//!
//! The following guarantees hold while nodes are dead, disconnected, paused, restarted or slow, and while disks are
//! full, lie or have changed data. Each guarantee names the tests that check it, in `tests/`.
//!
//! 1. No two nodes commit different entries at one [`LogIndex`], and each node delivers the entries in order, once
//!    (`agreement::committed_entries_stay_committed`: 2,000 random runs, and 38,000 more in an ignored test).
//! 2. An acknowledged entry is in every later log, unless so many voters lose their state at one time that the other
//!    voters are no majority (the same test). In that case the entry is in every later log if a reachable voter or
//!    learner has a copy (`learners::learners_copies_restore_the_log_after_all_voters_lose_their_state`).
//! 3. A repeated proposal becomes one entry, if fewer than [`MAX_REMEMBERED_PROPOSALS`] other proposals came between
//!    (`agreement`). A proposal is rejected only if it can never become an entry
//!    (`messages::only_impossible_proposals_are_rejected`).
//! 4. No message leaves a voter before the records that the message is based on are on disk
//!    (`messages::no_message_is_sent_before_its_records_are_on_disk`). A record that was acknowledged as persisted
//!    survives a failure at any step (`store::acknowledged_records_survive_a_fault_at_any_failpoint`,
//!    `store::a_fault_at_a_start_loses_no_records`, `store::a_cluster_survives_every_fault_at_every_failpoint`).
//! 5. A directory that belongs to another node, is damaged, or is an old copy is not trusted, if a running voter knows
//!    of later state (`store::foreign_or_damaged_files_are_rejected_and_renamed`,
//!    `store::a_restored_old_copy_is_detected`).
//! 6. A heartbeat that a majority of an older view answered was sent before a newer view began. Leases are based on
//!    this order (`agreement`, in each run in which no majority lost its state).
//! 7. After the leader is killed, another leader is elected within 1.5 s: in all of 100 runs without loss, 99 with
//!    10 % loss and 95 with 30 % (`leader_election::a_leader_is_elected_within_1500_ms_after_a_kill`). With partial
//!    connectivity a leader is elected within the same time, and keeps leading, if one voter is connected in both
//!    directions to a majority (the other tests of `leader_election`).
//! 8. A dead voter can be replaced: the new voter counts towards majorities, and the removed voter learns that it no
//!    longer votes (`learners::a_dead_voter_is_replaced_and_the_new_one_counts`). After the permanent loss of a
//!    majority, operators can continue the log in a new epoch
//!    (`learners::operators_continue_after_the_permanent_loss_of_a_majority`).
//! 9. A learner has at most eight children from the tree, and at most eight more whose own source has failed
//!    (`learners::learners_have_at_most_eight_children_and_agree_on_the_tree`). A learner finds another source if its
//!    own is dead (`learners::children_of_dead_nodes_find_another_source`), and catches up with one part of 16 KiB in
//!    flight at a time (`learners::a_learner_that_was_down_catches_up_in_small_parts`).
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
pub use learner_tree::{MAX_CHILDREN, tree_order, tree_parent};
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
