//! State of one process for the next: the newest snapshot and the one before it, complete, dated, named and bounded. What a
//! snapshot contains, and who may trust it at which age, is left to its owner.
//!
//! Guarantees, whatever happens to a directory, each with the test under `tests/` that holds the package to it:
//!
//! 1. What [`Store::load`] returns is byte for byte what some [`Store::save`] under this name was given. A file that is cut
//!    or changed at any place, another owner's or a later build's is named and set aside (`damage`).
//! 2. After a kill at any step of a start or a save, or an error or a lost write of the disk there, the next start finds the
//!    last save that was acknowledged, or a later one; where a file can't be read or its write was lost, the acknowledged
//!    save before it (`kills`).
//! 3. A directory that can't be read or written is an error that says so, without a panic and without loss of what is there
//!    (`damage`).
//! 4. Saving never blocks ([`Saver`]): there is one slot, and the newest snapshot takes it (`saver`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod disk;
mod format;
mod saver;
mod store;

pub use disk::{Directory, Disk};
pub use format::{FORMAT_VERSION, MAX_PAYLOAD_BYTES, Snapshot, SuspectState};
pub use saver::{Saver, Status};
pub use store::{Found, SetAsideFile, Store, StoreError};
