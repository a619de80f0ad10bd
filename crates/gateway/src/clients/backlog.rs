//! The listener's backlog, from which connections are accepted: bounds the time that each connection has waited there.

use std::future::poll_fn;
use std::io;
use std::time::Duration;

use hollowpaddle_net::{Listener, Stream};
use tokio::task::coop::has_budget_remaining;
use tokio::time::Instant;

/// Accepts connections, and tracks since when any may be waiting.
pub(super) struct Backlog {
    listener: Box<dyn Listener>,
    /// Since when the backlog is not known to be empty; `None` while it is.
    not_empty_since: Option<Instant>,
}

/// A connection from the backlog.
pub(super) struct Accepted {
    pub(super) stream: Box<dyn Stream>,
    /// The longest time that the connection can have waited.
    pub(super) max_wait: Duration,
}

impl Backlog {
    /// Creates the backlog of a listener whose connections may have waited since now.
    pub(super) fn new(listener: Box<dyn Listener>) -> Self {
        Self { listener, not_empty_since: Some(Instant::now()) }
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    /// See [`Listener::poll_accept`].
    pub(super) async fn accept(&mut self) -> io::Result<Accepted> {
        let accepted = poll_fn(|cx| {
            let accepted = self.listener.poll_accept(cx);
            // A task without budget gets `Pending` from tokio even if connections wait.
            if accepted.is_pending() && has_budget_remaining() {
                self.not_empty_since = None;
            }
            accepted
        })
        .await;
        let not_empty_since = *self.not_empty_since.get_or_insert_with(Instant::now);
        let (stream, _) = accepted?;
        Ok(Accepted { stream, max_wait: not_empty_since.elapsed() })
    }
}
