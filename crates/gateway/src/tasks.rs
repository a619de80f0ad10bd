//! Tasks that are aborted with their owner, and a signal to many tasks.

use std::cell::Cell;
use std::pin::pin;

use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// A task that is aborted when its owner drops it.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A signal that is sent once and wakes all waiting tasks, in the order in which they began to wait.
///
/// `tokio::sync::watch` wakes in random order, which would make runs in virtual time differ from one another.
#[derive(Default)]
pub struct CloseSignal {
    is_sent: Cell<bool>,
    waiting: Notify,
}

impl CloseSignal {
    /// Sends the signal to all tasks that wait for it now or later.
    pub fn send(&self) {
        self.is_sent.set(true);
        self.waiting.notify_waiters();
    }

    /// Completes once the signal is sent.
    pub async fn sent(&self) {
        let mut waiting = pin!(self.waiting.notified());
        waiting.as_mut().enable();
        if !self.is_sent.get() {
            waiting.await;
        }
    }
}
