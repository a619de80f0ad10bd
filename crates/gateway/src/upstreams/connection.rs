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
    /// Gone once the connection has ended.
    pub(super) stream: WeakStream,
    pub(super) address: SocketAddr,
    /// Whether the connection was idle in the pool before this attempt.
    pub(super) is_reused: bool,
    pub(super) idle_since: Instant,
    /// From when on it may be used: a response that comes before then belongs to an earlier request, or to none.
    pub(super) rested_at: Instant,
    /// Bytes read by the end of the last response.
    pub(super) read_at_last_response: u64,
    pub(super) _task: AbortOnDrop,
}

impl Connection {
    /// Whether it is open and has nothing unread.
    ///
    /// A close may have arrived for which the connection's own task has not been woken yet. A request that is written
    /// after it is lost as a reset.
    pub(super) fn is_open(&self) -> bool {
        is_open_and_quiet(&self.stream)
    }

    /// Whether bytes were read since the last response.
    pub(super) fn has_read_unsolicited(&self) -> bool {
        self.traffic.bytes_read() > self.read_at_last_response
    }

    /// Whether bytes came while it was idle, read or not. The end of the stream does not count.
    pub(super) fn has_received_unsolicited(&self) -> bool {
        let has_unread_bytes = |stream: SharedStream| {
            let stream = stream.borrow();
            !stream.is_quiet() && !stream.has_ended()
        };
        self.has_read_unsolicited() || self.stream.upgrade().is_some_and(has_unread_bytes)
    }

    /// Notes that a response has ended here, after which it rests for so long.
    pub(super) fn mark_idle(&mut self, rest: Duration) {
        self.idle_since = Instant::now();
        self.rested_at = self.idle_since + rest;
        self.read_at_last_response = self.traffic.bytes_read();
    }
}
