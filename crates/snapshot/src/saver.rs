//! Saves from a thread of its own, so that whoever serves never waits for a disk: one slot, and the newest wins.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::Store;

/// How saving goes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Generation that was saved last, and when, in Unix time.
    pub saved: Option<(u64, Duration)>,
    /// What went wrong since then.
    pub failure: Option<String>,
    /// One is being written.
    pub is_writing: bool,
    /// Snapshots that were never written, because a newer one came first.
    pub superseded: u64,
}

/// What is to be saved, made by whoever saves it.
type Make = Box<dyn FnOnce() -> Vec<u8> + Send>;

#[derive(Default)]
struct Slot {
    next: Option<(Duration, Make)>,
    status: Status,
    ends: bool,
}

#[derive(Default)]
struct Shared {
    slot: Mutex<Slot>,
    changed: Condvar,
}

impl Shared {
    /// A panic elsewhere leaves a slot that is as sound as before.
    fn slot(&self) -> MutexGuard<'_, Slot> {
        self.slot.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A hand on the thread. Without it the thread ends once what it has begun is written.
pub struct Saver(Arc<Shared>);

impl Saver {
    /// Starts the thread. `tell` hears on it of each save and each failure.
    ///
    /// # Errors
    /// There can be no thread.
    pub fn start(
        mut store: Store,
        mut tell: impl FnMut(&Status) + Send + 'static,
    ) -> std::io::Result<Self> {
        let shared = Arc::<Shared>::default();
        let of_thread = shared.clone();
        thread::Builder::new().name("snapshot".to_string()).spawn(move || {
            loop {
                let (now, make) = {
                    let mut slot = of_thread.slot();
                    loop {
                        if let Some(next) = slot.next.take() {
                            slot.status.is_writing = true;
                            break next;
                        }
                        if slot.ends {
                            return;
                        }
                        slot = of_thread.changed.wait(slot).unwrap_or_else(PoisonError::into_inner);
                    }
                };
                let done = store.save(now, &make());
                let status = {
                    let mut slot = of_thread.slot();
                    slot.status.is_writing = false;
                    match done {
                        Ok(generation) => {
                            (slot.status.saved, slot.status.failure) =
                                (Some((generation, now)), None);
                        }
                        Err(cause) => slot.status.failure = Some(cause.to_string()),
                    }
                    slot.status.clone()
                };
                of_thread.changed.notify_all();
                tell(&status);
            }
        })?;
        Ok(Self(shared))
    }

    /// Has what this makes be saved, as of `now` (Unix time), in place of what is not begun yet. It is made on the
    /// thread that saves. Never waits for a disk.
    pub fn save(&self, now: Duration, make: impl FnOnce() -> Vec<u8> + Send + 'static) {
        let mut slot = self.0.slot();
        let superseded = slot.next.replace((now, Box::new(make)));
        slot.status.superseded += u64::from(superseded.is_some());
        drop(slot);
        self.0.changed.notify_all();
    }

    /// How it goes.
    pub fn status(&self) -> Status {
        self.0.slot().status.clone()
    }

    /// Whether nothing waits to be written, and nothing is being written.
    pub fn is_idle(&self) -> bool {
        let slot = self.0.slot();
        slot.next.is_none() && !slot.status.is_writing
    }
}

impl Drop for Saver {
    fn drop(&mut self) {
        self.0.slot().ends = true;
        self.0.changed.notify_all();
    }
}
