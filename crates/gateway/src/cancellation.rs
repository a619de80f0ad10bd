//! The cancellation of a request: a request that has its final answer, or whose client has disconnected, must not be
//! forwarded any more.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use crate::shared_stream::{SharedStream, WeakStream};

/// The cancellation state of one request, shared by its client's connection, the engine and its attempts.
pub struct Cancellation {
    cancelled_at: Cell<Option<Instant>>,
    client: WeakStream,
}

impl Cancellation {
    /// Creates the state of a request that was received on the connection `client`.
    pub fn new(client: &SharedStream) -> Rc<Self> {
        Rc::new(Self { cancelled_at: Cell::new(None), client: Rc::downgrade(client) })
    }

    /// Cancels the request. Only the first call sets the time of the cancellation.
    pub fn cancel(&self) {
        let at = self.cancelled_at.get().unwrap_or_else(Instant::now);
        self.cancelled_at.set(Some(at));
    }

    /// Returns when the request was cancelled, if it was.
    pub fn cancelled_at(&self) -> Option<Instant> {
        self.cancelled_at.get()
    }

    /// Whether the request was cancelled or its client has closed the connection.
    ///
    /// The connection is checked as well, since an attempt may be ready to write in the same iteration of the event loop in
    /// which the client closes, and since hyper does not detect a close after a pipelined request.
    pub fn is_cancelled(&self) -> bool {
        let is_connected = |client: SharedStream| !client.borrow().has_ended();
        self.cancelled_at.get().is_some() || !self.client.upgrade().is_some_and(is_connected)
    }
}
