//! Forwards a client's long body to an upstream while it is received, with a minimum rate and a size limit, for a single
//! attempt.
//!
//! In memory are only the buffers of both connections, and the bytes that were received before the body was known to be
//! long.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use crate::bodies::{BodyError, BodyLimits};

/// How long an upstream may read nothing of a body before the attempt times out. Without a limit, the client would wait
/// for ever.
const UPSTREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes of a body that the systems of both sides may hold between a client and this process. From when no more
/// are missing, the client may have written its last byte.
const MAX_BYTES_IN_TRANSIT: u64 = 8 << 20;

/// The rest of a client's body can't be received. [`StreamedBody::client_fault`] determines the response to the client.
#[derive(Debug, thiserror::Error)]
#[error("request body incomplete: {0:?}")]
pub struct IncompleteRequestBody(BodyError);

/// A body that is forwarded while it is received.
pub struct StreamedBody<B = Incoming> {
    source: RefCell<Source<B>>,
    /// Length in bytes; `None` for a chunked body.
    length: Option<u64>,
    bytes_sent: Cell<u64>,
    /// When the upstream's connection last took a part of the body.
    last_sent_at: Cell<Option<Instant>>,
    /// The total time of completed waits for the upstream in which the client may have written its last byte.
    blocked: Cell<Duration>,
    completed_at: Cell<Option<Instant>>,
    client_fault: Cell<Option<BodyError>>,
    on_complete: RefCell<Option<Box<dyn FnOnce()>>>,
}

/// The client's side of a streamed body.
struct Source<B> {
    /// The bytes that were received before the body was known to be long.
    first: Bytes,
    rest: B,
    limits: BodyLimits,
    /// The total time of completed waits for the client. The time that the upstream takes does not count.
    waited: Duration,
    /// When the current wait for the client began, if there is one.
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl<B: Body<Data = Bytes> + Unpin> StreamedBody<B> {
    /// Creates a body that begins with `first` and has `length` bytes in total, if known. The client's rate is measured from
    /// the first read on.
    pub fn new(first: Bytes, rest: B, length: Option<u64>, limits: BodyLimits) -> Rc<Self> {
        let source = Source {
            first,
            rest,
            limits,
            waited: Duration::ZERO,
            waiting_since: None,
            timer: Box::pin(sleep(Duration::ZERO)),
        };
        Rc::new(Self {
            source: RefCell::new(source),
            length,
            bytes_sent: Cell::new(0),
            last_sent_at: Cell::new(None),
            blocked: Cell::new(Duration::ZERO),
            completed_at: Cell::new(None),
            client_fault: Cell::new(None),
            on_complete: RefCell::new(None),
        })
    }

    /// Sets a function to be called once the last byte was passed to the upstream's connection.
    pub fn on_complete(&self, notify: impl FnOnce() + 'static) {
        *self.on_complete.borrow_mut() = Some(Box::new(notify));
    }

    /// Whether a part of the body was passed to an upstream's connection, so that the body can't be sent again.
    pub fn is_started(&self) -> bool {
        self.last_sent_at.get().is_some()
    }

    /// Whether the last byte was passed to the upstream's connection.
    pub fn is_complete(&self) -> bool {
        self.completed_at.get().is_some()
    }

    /// Returns the number of bytes passed to the upstream's connection so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.get()
    }

    /// Returns the error in the client's body, if there is one.
    pub fn client_fault(&self) -> Option<BodyError> {
        self.client_fault.get()
    }

    /// Returns how long the upstream has kept the body waiting although the client may have written its last byte. The time
    /// counts towards the client's deadline.
    pub fn blocked(&self) -> Duration {
        self.blocked.get() + self.current_block()
    }

    /// Returns the part of [`Self::blocked`] since the upstream's connection last took a part of the body.
    fn current_block(&self) -> Duration {
        let last_sent_at = self.last_sent_at.get().filter(|_| self.counts_upstream_time());
        last_sent_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Whether the body waits for the upstream, and the client may have written its last byte.
    fn counts_upstream_time(&self) -> bool {
        let missing = self.length.map(|length| length.saturating_sub(self.bytes_sent.get()));
        let may_be_written = missing.is_some_and(|missing| missing <= MAX_BYTES_IN_TRANSIT);
        may_be_written && !self.waits_for_client() && !self.is_complete()
    }

    fn waits_for_client(&self) -> bool {
        self.source.borrow().waiting_since.is_some()
    }

    /// Computes the current deadline of an attempt that sends this body: `start_deadline` until the body is started, then
    /// [`UPSTREAM_STALL_TIMEOUT`] for the upstream to read more, and `response_timeout` after the last byte. The time in
    /// which the upstream blocks the body counts towards `response_timeout`.
    pub fn attempt_deadline(&self, start_deadline: Instant, response_timeout: Duration) -> Instant {
        let response_timeout = response_timeout.saturating_sub(self.blocked.get());
        if let Some(completed_at) = self.completed_at.get() {
            return completed_at + response_timeout;
        }
        let Some(last_sent_at) = self.last_sent_at.get() else { return start_deadline };
        // While the body waits for the client, only the minimum rate of the body limits the attempt.
        if self.waits_for_client() {
            return Instant::now() + UPSTREAM_STALL_TIMEOUT;
        }
        let counts = self.counts_upstream_time();
        let timeout = if counts { response_timeout } else { UPSTREAM_STALL_TIMEOUT };
        last_sent_at + timeout.min(UPSTREAM_STALL_TIMEOUT)
    }

    fn complete(&self) {
        if self.completed_at.replace(Some(Instant::now())).is_none()
            && let Some(notify) = self.on_complete.take()
        {
            notify();
        }
    }

    fn count_sent(&self, data: &Bytes) {
        self.last_sent_at.set(Some(Instant::now()));
        self.bytes_sent.set(self.bytes_sent.get() + data.len() as u64);
        if self.length == Some(self.bytes_sent.get()) {
            self.complete();
        }
    }

    fn fail(&self, fault: BodyError) -> Poll<Option<Result<Bytes, IncompleteRequestBody>>> {
        self.client_fault.set(Some(fault));
        Poll::Ready(Some(Err(IncompleteRequestBody(fault))))
    }

    fn poll_data(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteRequestBody>>> {
        self.blocked.set(self.blocked());
        let source = &mut *self.source.borrow_mut();
        if !source.first.is_empty() {
            let first = std::mem::take(&mut source.first);
            self.count_sent(&first);
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut source.rest).poll_frame(cx) else {
                return match source.poll_timeout(self.bytes_sent.get(), cx) {
                    Poll::Ready(()) => self.fail(BodyError::TooSlow),
                    Poll::Pending => Poll::Pending,
                };
            };
            source.stop_waiting();
            match frame {
                None => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return self.fail(BodyError::Malformed),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if self.bytes_sent.get() + data.len() as u64 > source.limits.max_bytes as u64 {
                        return self.fail(BodyError::TooLarge);
                    }
                    self.count_sent(&data);
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl<B> Source<B> {
    /// Waits for the client. Ready once the client has taken longer than allowed for `bytes_received` bytes.
    fn poll_timeout(&mut self, bytes_received: u64, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let allowed = self.limits.timeout_for(bytes_received as usize);
        let deadline = since + allowed.saturating_sub(self.waited);
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        self.timer.as_mut().poll(cx)
    }

    fn stop_waiting(&mut self) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += since.elapsed();
        }
    }
}

/// The request body that is passed to an upstream's connection.
pub enum UpstreamRequestBody {
    /// A body that was received completely.
    Buffered(Full<Bytes>),
    /// A body that is still being received.
    Streamed(Rc<StreamedBody>),
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = IncompleteRequestBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteRequestBody>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never: std::convert::Infallible| match never {}),
            Self::Streamed(body) => {
                body.poll_data(cx).map(|data| data.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Streamed(body) => body.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Streamed(body) => {
                let left = body.length.map(|length| length.saturating_sub(body.bytes_sent()));
                left.map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }
}

#[cfg(test)]
mod tests;
