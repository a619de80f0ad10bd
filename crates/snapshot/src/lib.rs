//! Stores the state of a process for the next process of the same balancer. There are two files, the newest snapshot and the
//! previous one; each is complete, bounded in size, and contains its time and the name of its owner. The owner defines the
//! content of a snapshot, and decides at which age it may be trusted.
//!
//! The following guarantees hold whatever happens to the directory. Each names the test under `tests/` that checks it:
//!
//! 1. [`Store::load`] returns a payload byte for byte as it was passed to a [`Store::save`] under this name. A file that is
//!    truncated or changed anywhere, or that belongs to another owner or a later build, is reported and set aside
//!    (`damage`).
//! 2. The process may be killed at any step of a start or a save, or the disk may fail or lose a write at that step. The next
//!    start then finds the last acknowledged save, or a later one. If a file can't be read or its write was lost, the start
//!    finds the acknowledged save before it (`kills`).
//! 3. A directory that can't be read or written causes an error that says so, without a panic and without loss of the files
//!    that it contains (`damage`).
//! 4. Saving never blocks ([`Saver`]): there is one slot, in which a newer snapshot replaces an older one (`saver`).
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
