//! One connection to an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::client::conn::http1::SendRequest;
use tokio::time::Instant;

use crate::shared_stream::{SharedStream, WeakStream, is_open_and_quiet};
use crate::stream::Traffic;
use crate::streamed_body::UpstreamRequestBody;
use crate::tasks::AbortOnDrop;

/// A connection that is idle in the pool or belongs to one attempt.
pub(super) struct Connection {
    pub(super) sender: SendRequest<UpstreamRequestBody>,
    pub(super) traffic: Traffic,
    /// The stream, which is dropped when the connection ends.
    pub(super) stream: WeakStream,
    pub(super) address: SocketAddr,
    /// Whether the connection served an earlier attempt and was idle in the pool before this one.
    pub(super) is_reused: bool,
    pub(super) idle_since: Instant,
    /// When the connection may be used for the next request. A response that arrives earlier belongs to an earlier request,
    /// or to none.
    pub(super) reusable_at: Instant,
    /// The number of bytes read up to the end of the last response.
    pub(super) read_at_last_response: u64,
    pub(super) _task: AbortOnDrop,
}

impl Connection {
    /// Whether the connection is open and has no unread bytes.
    ///
    /// The upstream's close may have arrived before the connection's own task was woken for it. A request written after
    /// that close would end in a reset.
    pub(super) fn is_open(&self) -> bool {
        is_open_and_quiet(&self.stream)
    }

    /// Whether bytes were read since the last response.
    pub(super) fn has_read_unsolicited(&self) -> bool {
        self.traffic.bytes_read() > self.read_at_last_response
    }

    /// Whether bytes arrived while the connection was idle, read or unread. The end of the stream does not count.
    pub(super) fn has_received_unsolicited(&self) -> bool {
        let has_unread_bytes = |stream: SharedStream| {
            let stream = stream.borrow();
            !stream.is_quiet() && !stream.has_ended()
        };
        self.has_read_unsolicited() || self.stream.upgrade().is_some_and(has_unread_bytes)
    }

    /// Marks the connection as idle after a response, and as not reusable for `reuse_delay`.
    pub(super) fn mark_idle(&mut self, reuse_delay: Duration) {
        self.idle_since = Instant::now();
        self.reusable_at = self.idle_since + reuse_delay;
        self.read_at_last_response = self.traffic.bytes_read();
    }
}
