//! Tracks how much of an attempt's request was handed to the kernel. A request that was not handed over completely can't
//! have run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::stream::Traffic;
use crate::streamed_body::StreamedBody;

/// The progress of sending one request.
#[derive(Default)]
pub(super) struct SendProgress {
    /// The traffic of the connection, and the number of bytes written to it before this request.
    written: RefCell<Option<(Traffic, u64)>>,
    /// The least size of the head and of a buffered body, in bytes.
    min_size: Cell<u64>,
    streamed_body: RefCell<Option<Rc<StreamedBody>>>,
    /// The deadline announced to the upstream, if the client's timeout has started.
    announced_deadline: Cell<Option<Duration>>,
    /// Whether the attempt is retrying to open a connection after a failure of this machine.
    is_local_retry: Cell<bool>,
}

impl SendProgress {
    /// Records the request to be sent: the least size of head and buffered body, and the streamed body, if any.
    pub(super) fn set_request(&self, min_size: u64, streamed_body: Option<Rc<StreamedBody>>) {
        self.min_size.set(min_size);
        self.streamed_body.replace(streamed_body);
    }

    /// Starts to count the bytes written on a connection.
    pub(super) fn start(&self, traffic: &Traffic) {
        self.written.replace(Some((traffic.clone(), traffic.bytes_written())));
    }

    /// Records the deadline that the request announces.
    pub(super) fn set_announced_deadline(&self, deadline: Duration) {
        self.announced_deadline.set(Some(deadline));
    }

    /// Returns the deadline that the request announces, if its client's timeout has started.
    pub(super) fn announced_deadline(&self) -> Option<Duration> {
        self.announced_deadline.get()
    }

    /// Records that this machine can't open a connection. Returns whether that was recorded before.
    pub(super) fn mark_local_retry(&self) -> bool {
        self.is_local_retry.replace(true)
    }

    /// Records that the attempt has a connection.
    pub(super) fn clear_local_retry(&self) {
        self.is_local_retry.set(false);
    }

    /// Whether the attempt waits for this machine to open a connection.
    pub(super) fn is_local_retry(&self) -> bool {
        self.is_local_retry.get()
    }

    /// Whether no byte of the request was written.
    pub(super) fn is_unsent(&self) -> bool {
        self.bytes_written() == 0
    }

    /// Whether the last byte of the request is certainly not written. An uncertain byte counts as written.
    pub(super) fn is_incomplete(&self) -> bool {
        let body = self.streamed_body.borrow();
        let is_streaming = body.as_ref().is_some_and(|body| !body.is_complete());
        let streamed = body.as_ref().map_or(0, |body| body.bytes_sent());
        is_streaming || self.bytes_written() < (self.min_size.get() + streamed).max(1)
    }

    /// Whether bytes were received while the last byte of the request was certainly not written.
    pub(super) fn was_answered_early(&self) -> bool {
        self.is_incomplete()
            || self.written_at_first_read().is_some_and(|bytes| bytes < self.min_size.get())
    }

    fn bytes_written(&self) -> u64 {
        let written = self.written.borrow();
        written.as_ref().map_or(0, |(traffic, before)| traffic.bytes_written() - before)
    }

    /// Returns the number of bytes of the request that were written when the first byte was received.
    fn written_at_first_read(&self) -> Option<u64> {
        let written = self.written.borrow();
        let (traffic, before) = written.as_ref()?;
        Some(traffic.written_at_first_read()? - before)
    }
}
