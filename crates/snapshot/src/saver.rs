//! Saves snapshots on a separate thread, so that the caller never waits for a disk. There is one slot, in which a newer
//! snapshot replaces an older one.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::{Store, StoreError};

/// The state of saving.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Generation and Unix time of the last successful save.
    pub saved: Option<(u64, Duration)>,
    /// Error of the last attempt to save, if the attempt failed.
    pub failure: Option<String>,
    /// Whether a snapshot is being written.
    pub is_writing: bool,
    /// Number of snapshots that were never written, because a newer one replaced them.
    pub superseded: u64,
}

/// Creates the payload, on the thread that saves it.
type MakePayload = Box<dyn FnOnce() -> Vec<u8> + Send>;

/// A snapshot that is to be saved.
struct Job {
    now: Duration,
    make_payload: MakePayload,
}

#[derive(Default)]
struct Slot {
    next: Option<Job>,
    status: Status,
    is_closed: bool,
}

#[derive(Default)]
struct Shared {
    slot: Mutex<Slot>,
    changed: Condvar,
}

impl Shared {
    /// Locks the slot. A panic can't leave the slot inconsistent, so a poisoned lock is used like any other.
    fn slot(&self) -> MutexGuard<'_, Slot> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a snapshot to save. Returns `None` once the saver is dropped and the slot is empty.
    fn next_job(&self) -> Option<Job> {
        let mut slot = self.slot();
        loop {
            if let Some(job) = slot.next.take() {
                slot.status.is_writing = true;
                return Some(job);
            }
            if slot.is_closed {
                return None;
            }
            slot = self.changed.wait(slot).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Records the result of a save, and returns the new status.
    fn finish_job(&self, now: Duration, result: Result<u64, StoreError>) -> Status {
        let mut slot = self.slot();
        slot.status.is_writing = false;
        match result {
            Ok(generation) => {
                slot.status.saved = Some((generation, now));
                slot.status.failure = None;
            }
            Err(cause) => slot.status.failure = Some(cause.to_string()),
        }
        slot.status.clone()
    }
}

/// Handle to the thread that saves. After the handle is dropped, the thread saves the snapshot in the slot and ends.
pub struct Saver(Arc<Shared>);

impl Saver {
    /// Starts the thread, which calls `on_status` after each save and each failure.
    ///
    /// # Errors
    /// No thread can be started.
    pub fn start(
        mut store: Store,
        mut on_status: impl FnMut(&Status) + Send + 'static,
    ) -> std::io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let thread_shared = shared.clone();
        thread::Builder::new().name("snapshot".to_string()).spawn(move || {
            while let Some(Job { now, make_payload }) = thread_shared.next_job() {
                let result = store.save(now, &make_payload());
                let status = thread_shared.finish_job(now, result);
                thread_shared.changed.notify_all();
                on_status(&status);
            }
        })?;
        Ok(Self(shared))
    }

    /// Puts a snapshot as of `now` (Unix time) into the slot, in place of a snapshot whose save has not begun. The thread
    /// that saves calls `make_payload`. Never waits for a disk.
    pub fn save(&self, now: Duration, make_payload: impl FnOnce() -> Vec<u8> + Send + 'static) {
        let mut slot = self.0.slot();
        let superseded = slot.next.replace(Job { now, make_payload: Box::new(make_payload) });
        slot.status.superseded += u64::from(superseded.is_some());
        drop(slot);
        self.0.changed.notify_all();
    }

    /// Returns the state of saving.
    pub fn status(&self) -> Status {
        self.0.slot().status.clone()
    }

    /// Returns whether the slot is empty and no snapshot is being written.
    pub fn is_idle(&self) -> bool {
        let slot = self.0.slot();
        slot.next.is_none() && !slot.status.is_writing
    }
}

impl Drop for Saver {
    fn drop(&mut self) {
        self.0.slot().is_closed = true;
        self.0.changed.notify_all();
    }
}
