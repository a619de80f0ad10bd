//! Tasks that live no longer than whoever started them, and a word to all of them.

use std::cell::Cell;
use std::pin::pin;

use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// A task that ends with its owner, and closes what it holds.
pub struct AbortOnDrop(pub JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A word that is given once and heard by all, in the order in which they began to wait. Failure:
/// `tokio::sync::watch` wakes at random, and no run in virtual time was like the one before it.
#[derive(Default)]
pub struct CloseSignal {
    given: Cell<bool>,
    heard: Notify,
}

impl CloseSignal {
    pub fn give(&self) {
        self.given.set(true);
        self.heard.notify_waiters();
    }

    /// Ends once it is given.
    pub async fn given(&self) {
        let mut heard = pin!(self.heard.notified());
        heard.as_mut().enable();
        if !self.given.get() {
            heard.await;
        }
    }
}
