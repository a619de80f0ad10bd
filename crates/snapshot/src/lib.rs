//! What outlives a process: one snapshot and the one before it, whole, dated, named and bounded. What a snapshot holds is
//! its owner's; who may believe it at which age, too.
//!
//! It holds, whatever happens to a directory (each with the test under `tests/` that holds it to that):
//!
//! 1. What [`Store::load`] gives is byte for byte what some [`Store::save`] of this name was given: cut at any place, with
//!    any bit flipped, another's or a later build's it is named and set aside, never half believed (`damage`).
//! 2. Killed at any step of a start or a save, or refused or lied to by its disk there, the next start finds the last save
//!    that was said yes to, or a later one; for a file that could not be read, or was lied about, the yes before (`kills`).
//! 3. A directory that can't be read or written is an error that says so, and nothing else: no panic, no loss of what lay
//!    there (`damage`).
//! 4. Whoever saves never waits ([`Saver`]): one slot, and the newest wins (`saver`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod disk;
mod saver;
mod store;

pub use disk::{Directory, Disk};
pub use saver::{Saver, Status};
pub use store::{
    FORMAT_VERSION, Found, MAX_PAYLOAD_BYTES, SetAsideFile, Snapshot, Store, StoreError,
    SuspectState,
};
