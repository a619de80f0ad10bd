//! How much of an attempt's request was handed to the kernel, which tells whether it can have run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use crate::stream::Traffic;
use crate::streamed_body::StreamedBody;

/// The progress of sending one request.
#[derive(Default)]
pub(super) struct SendProgress {
    /// The connection's bytes, and how many were written before this request.
    written: RefCell<Option<(Traffic, u64)>>,
    /// The least size of the head and of a buffered body, in bytes.
    min_size: Cell<u64>,
    streamed_body: RefCell<Option<Rc<StreamedBody>>>,
    /// The deadline that the upstream is told, if the time that the client waits has begun.
    announced_deadline: Cell<Option<Duration>>,
    /// Whether no connection can be opened for a reason on this machine, and it is tried again.
    is_local_retry: Cell<bool>,
}

impl SendProgress {
    /// Notes what is to be sent: the least size of head and buffered body, or the streamed body.
    pub(super) fn set_request(&self, min_size: u64, streamed_body: Option<Rc<StreamedBody>>) {
        self.min_size.set(min_size);
        self.streamed_body.replace(streamed_body);
    }

    /// Begins to count the bytes written on this connection.
    pub(super) fn start(&self, traffic: &Traffic) {
        self.written.replace(Some((traffic.clone(), traffic.bytes_written())));
    }

    /// Notes the deadline that the request announces.
    pub(super) fn set_announced_deadline(&self, deadline: Duration) {
        self.announced_deadline.set(Some(deadline));
    }

    /// The deadline that the request announces, if the time that its client waits has begun.
    pub(super) fn announced_deadline(&self) -> Option<Duration> {
        self.announced_deadline.get()
    }

    /// Notes that this machine can't open a connection. Returns whether that was known.
    pub(super) fn mark_local_retry(&self) -> bool {
        self.is_local_retry.replace(true)
    }

    /// Notes that there is a connection.
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

    /// Whether the last byte is certainly not written. In doubt it is.
    pub(super) fn is_incomplete(&self) -> bool {
        let body = self.streamed_body.borrow();
        let is_streaming = body.as_ref().is_some_and(|body| !body.is_complete());
        let streamed = body.as_ref().map_or(0, |body| body.bytes_sent());
        is_streaming || self.bytes_written() < (self.min_size.get() + streamed).max(1)
    }

    /// Whether something was received while the last byte was certainly not written.
    pub(super) fn was_answered_early(&self) -> bool {
        self.is_incomplete()
            || self.written_at_first_read().is_some_and(|bytes| bytes < self.min_size.get())
    }

    fn bytes_written(&self) -> u64 {
        let written = self.written.borrow();
        written.as_ref().map_or(0, |(traffic, before)| traffic.bytes_written() - before)
    }

    /// Bytes of the request that were written when the first byte was received.
    fn written_at_first_read(&self) -> Option<u64> {
        let written = self.written.borrow();
        let (traffic, before) = written.as_ref()?;
        Some(traffic.written_at_first_read()? - before)
    }
}
