//! Says whether a request may still be forwarded: not once it has its final answer, nor once its client has gone.

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
    /// The state of a request that was received on `client`.
    pub fn new(client: &SharedStream) -> Rc<Self> {
        Rc::new(Self { cancelled_at: Cell::new(None), client: Rc::downgrade(client) })
    }

    /// Cancels the request. The first call sets the time.
    pub fn cancel(&self) {
        let at = self.cancelled_at.get().unwrap_or_else(Instant::now);
        self.cancelled_at.set(Some(at));
    }

    /// When the request was cancelled, if it was.
    pub fn cancelled_at(&self) -> Option<Instant> {
        self.cancelled_at.get()
    }

    /// Whether the request was cancelled or its client has closed the connection.
    ///
    /// The connection is looked at too, since an attempt may be ready to write in the same turn of the event loop in which
    /// the client closes, and since hyper does not look for a close behind a pipelined request.
    pub fn is_cancelled(&self) -> bool {
        let is_connected = |client: SharedStream| !client.borrow().has_ended();
        self.cancelled_at.get().is_some() || !self.client.upgrade().is_some_and(is_connected)
    }
}
