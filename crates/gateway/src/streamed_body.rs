//! A client's long body on its way to an upstream while it is received: at a least pace, bounded, and for one attempt.
//!
//! No more of it is in memory than the buffers of both connections hold, and what was received before it was known to be
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

use crate::bodies::{BodyError, Pace};

/// How long an upstream may take nothing of a body before it counts as silent; the client would wait for ever.
const UPSTREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The rest of a body does not come. What the client is told is in [`StreamedBody::client_fault`].
#[derive(Debug, thiserror::Error)]
#[error("the client's body breaks off: {0:?}")]
pub struct BodyBrokenOff(BodyError);

/// A body that is passed on while it is received.
pub struct StreamedBody<B = Incoming> {
    source: RefCell<Source<B>>,
    /// In bytes; nothing for a chunked body.
    length: Option<u64>,
    bytes_sent: Cell<u64>,
    /// When the upstream's connection last took a part of it.
    last_sent_at: Cell<Option<Instant>>,
    completed_at: Cell<Option<Instant>>,
    client_fault: Cell<Option<BodyError>>,
    on_complete: RefCell<Option<Box<dyn FnOnce()>>>,
}

/// The client's side of a streamed body.
struct Source<B> {
    /// What had been received when the body was known to be long.
    first: Bytes,
    rest: B,
    pace: Pace,
    /// How long the client was waited for before. The time that the upstream takes is not the client's.
    waited: Duration,
    /// Since when the client is waited for, if it is.
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl<B: Body<Data = Bytes> + Unpin> StreamedBody<B> {
    /// A body that begins with `first`, and has `length` bytes in all if that is known. The client's pace is measured from
    /// the first read on.
    pub fn new(first: Bytes, rest: B, length: Option<u64>, pace: Pace) -> Rc<Self> {
        let source = Source {
            first,
            rest,
            pace,
            waited: Duration::ZERO,
            waiting_since: None,
            timer: Box::pin(sleep(Duration::ZERO)),
        };
        Rc::new(Self {
            source: RefCell::new(source),
            length,
            bytes_sent: Cell::new(0),
            last_sent_at: Cell::new(None),
            completed_at: Cell::new(None),
            client_fault: Cell::new(None),
            on_complete: RefCell::new(None),
        })
    }

    /// Has `notify` called once the last byte was handed to the upstream's connection.
    pub fn on_complete(&self, notify: impl FnOnce() + 'static) {
        *self.on_complete.borrow_mut() = Some(Box::new(notify));
    }

    /// Whether a part of the body was handed on, so that it can't be sent again.
    pub fn is_spent(&self) -> bool {
        self.last_sent_at.get().is_some()
    }

    /// Whether the last byte was handed on.
    pub fn is_complete(&self) -> bool {
        self.completed_at.get().is_some()
    }

    /// The number of bytes handed on so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.get()
    }

    /// What the client did wrong.
    pub fn client_fault(&self) -> Option<BodyError> {
        self.client_fault.get()
    }

    /// When an attempt that sends this body has to end, as things stand: it has until `begin_by` to begin, then a while for
    /// the upstream to take more, then `response_timeout` for the response.
    pub fn attempt_deadline(&self, begin_by: Instant, response_timeout: Duration) -> Instant {
        if let Some(completed_at) = self.completed_at.get() {
            return completed_at + response_timeout;
        }
        let Some(last_sent_at) = self.last_sent_at.get() else { return begin_by };
        // While the client is waited for, its pace is the limit.
        let waits_for_client = self.source.borrow().waiting_since.is_some();
        let since = if waits_for_client { Instant::now() } else { last_sent_at };
        since + UPSTREAM_STALL_TIMEOUT
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

    fn break_off(&self, fault: BodyError) -> Poll<Option<Result<Bytes, BodyBrokenOff>>> {
        self.client_fault.set(Some(fault));
        Poll::Ready(Some(Err(BodyBrokenOff(fault))))
    }

    fn poll_data(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyBrokenOff>>> {
        let source = &mut *self.source.borrow_mut();
        if !source.first.is_empty() {
            let first = std::mem::take(&mut source.first);
            self.count_sent(&first);
            return Poll::Ready(Some(Ok(first)));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut source.rest).poll_frame(cx) else {
                return match source.poll_too_slow(self.bytes_sent.get(), cx) {
                    Poll::Ready(()) => self.break_off(BodyError::TooSlow),
                    Poll::Pending => Poll::Pending,
                };
            };
            source.stop_waiting();
            match frame {
                None => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return self.break_off(BodyError::Malformed),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if self.bytes_sent.get() + data.len() as u64 > source.pace.max_bytes as u64 {
                        return self.break_off(BodyError::TooLarge);
                    }
                    self.count_sent(&data);
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}

impl<B> Source<B> {
    /// Waits for the client. Ready once it has taken longer than it may for so many bytes.
    fn poll_too_slow(&mut self, bytes_received: u64, cx: &mut Context<'_>) -> Poll<()> {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let allowed = self.pace.time_allowed(bytes_received as usize);
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

/// The body of a request as an upstream's connection takes it.
pub enum UpstreamRequestBody {
    /// A body that was received completely.
    Buffered(Full<Bytes>),
    /// A body that is still being received.
    Streamed(Rc<StreamedBody>),
}

impl Body for UpstreamRequestBody {
    type Data = Bytes;
    type Error = BodyBrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBrokenOff>>> {
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
