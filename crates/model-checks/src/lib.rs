//! Drives the very machines of the bank, to break them. Nothing of it is in the daemon, and no other package depends on it.
//!
//! - [`agreement`]: `Council` under a model checker (`stateright`): three members, words lost, doubled and in any order,
//!   ends that forget, disks that have not synced. Tests: `checked::members_that_forget_agree_*`,
//!   `members_with_disks_agree_*`, `where_a_majority_forgets_one_place_still_has_one_entry`.
//! - [`holding`]: `Leases` and `PolicyState` under the same checker: three members of two sites in a chain. Tests:
//!   `checked::leases_keep_their_holders_together_*`.
//! - [`world`]: whole `Machine`s over a played network. [`day`] draws a day of faults of 5 to 7 of them; [`judge`] looks on,
//!   and [`history`] asks whether one register could have answered so. Tests: `days`.
//! - [`figures`]: what a bank of up to 300 takes, printed by `bin/cluster-figures`. Tests: `figures`.
//! - [`control_plane`]: cost as a function of the number of balancers, printed by `bin/control-plane-figures`. Tests:
//!   `control_plane`.
//! - [`change_limits`]: whether a change is accepted by the size of the fleet, printed by `bin/change-limits`. Tests:
//!   `change_limits`.
//! - `tests/published.rs`: what requests read, under `loom`.
//! - `tests/findings.rs`: what was found and is not mended yet.
//!
//! What is asked of a day, whoever is dead, cut off, paused, restarted or late:
//!
//! 1. Proposals, rollbacks and questions about them are answered as by one register whose number only grows and which is
//!    changed by compare-and-set; one question has one answer at every door.
//! 2. A yes is in every book at the end; what nobody had answered is there for good or never.
//! 3. Nobody sends for longer than T = 3 s what another under a lease forbids; two under leases never each send what the
//!    other forbids; nobody holds a lease of a stage that a book calls confirmed to be over.
//! 4. Reads are not linearizable, and are not said to be. `GET` at a door shows what is agreed, never goes back within one
//!    process, and is, where the balancer holds a lease, no older than the last stage that is confirmed (3).
//! 5. Healed, the bank agrees on a new revision, and has it in force everywhere within 20 s.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agreement;
pub mod change_limits;
pub mod control_plane;
pub mod day;
pub mod figures;
pub mod history;
pub mod holding;
pub mod judge;
pub mod world;
