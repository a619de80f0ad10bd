//! Drives the daemon's own cluster state machines to find faults in them. The daemon does not contain this package, and
//! no other package depends on it.
//!
//! - [`consensus_model`]: the consensus state machine (`Replica`) under a model checker (`stateright`): three members,
//!   with messages lost, duplicated and reordered, crashes that lose the state, and disks with unsynced records. Tests:
//!   `model_checking::members_that_lose_state_agree_*`, `members_with_disks_agree_*`,
//!   `each_index_has_one_entry_after_a_majority_loses_state`.
//! - [`lease_model`]: `Leases` and `PolicyState` under the same checker: three members of two zones in a chain. Tests:
//!   `model_checking::lease_holders_do_not_contradict_each_other_*`.
//! - [`simulated_cluster`]: whole `Machine`s over a simulated network. [`seeded_run`] injects random faults into 5 to 7
//!   of these; [`safety_checker`] checks their state throughout, and [`history`] checks that the responses are
//!   linearizable. Tests: `seeded_runs`.
//! - [`figures`]: measurements of a cluster of up to 300, printed by `bin/cluster-figures`. Tests: `figures`.
//! - [`control_plane`]: cost as a function of the number of balancers, printed by `bin/control-plane-figures`. Tests:
//!   `control_plane`.
//! - [`change_limits`]: whether a change is accepted by the size of the fleet, printed by `bin/change-limits`. Tests:
//!   `change_limits`.
//! - `tests/published_policy.rs`: the policy that requests read, under `loom`.
//! - `tests/known_failures.rs`: known faults that are not fixed yet.
//!
//! A seeded run checks these properties while nodes are dead, cut off, paused, restarted or late:
//!
//! 1. Proposals, rollbacks and queries for their outcome are answered as by one register whose number only grows and
//!    which is changed by compare-and-set. All nodes give the same answer about one command.
//! 2. At the end a committed revision is in the policy state of every node. A change without an answer is either
//!    committed for good or never.
//! 3. No node sends for longer than 3 s ([`safety_checker::MAX_CONTRADICTION`]) what another node under a lease
//!    forbids. Two nodes under leases never each send what the other forbids. No node holds a lease of a generation
//!    that another node's policy state reports as confirmed to be over.
//! 4. Reads are not linearizable, and are not documented as such. A `GET` at a node shows committed state, never goes
//!    back within one process, and is, where the balancer holds a lease, no older than the last confirmed generation
//!    (property 3).
//! 5. After healing, the cluster commits a new revision, and has it in force everywhere within 20 s.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod change_limits;
pub mod consensus_model;
pub mod control_plane;
pub mod figures;
pub mod history;
pub mod lease_model;
pub mod safety_checker;
pub mod seeded_run;
pub mod simulated_cluster;
